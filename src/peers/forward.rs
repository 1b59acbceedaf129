//! Forwards a request to a peer and reads its answer.
//!
//! A connection carries one request at a time and is reused afterwards. The body and the answer
//! are written to and read from the connection directly, so a slow reader slows the writer.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use futures_util::FutureExt;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use prost::Message;

use crate::units::HostName;
use crate::units::RouterIncarnation;
use crate::wire::forward::ForwardAnswerHead;
use crate::wire::forward::ForwardBody;
use crate::wire::forward::ForwardFrame;
use crate::wire::forward::ForwardHead;

use super::error::PeerError;
use super::error::PeerStep;
use super::frames::FRAME_OVERHEAD;
use super::handshake::LinkPurpose;
use super::handshake::PeerFramed;
use super::handshake::RemotePeer;
use super::link::LinkContext;
use super::link::dial;
use super::traffic::TrafficKind;

/// The writing half of a forwarding connection.
pub(super) type ForwardWriter = SplitSink<PeerFramed, Bytes>;

/// The reading half of a forwarding connection.
pub(super) type ForwardReader = SplitStream<PeerFramed>;

/// The peer that a request is forwarded to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardTarget {
    /// The peer's host.
    pub host: HostName,
    /// IP number and port of its peer listener.
    pub address: smol_str::SmolStr,
    /// The only incarnation that may receive the request, if the request has a ticket.
    pub incarnation: Option<RouterIncarnation>,
}

/// Forwards requests over a pool of connections.
#[derive(Debug, Clone)]
pub struct ForwardClient {
    context: Arc<LinkContext>,
    idle: Arc<IdlePool>,
}

#[derive(Debug, Default)]
struct IdlePool {
    links: Mutex<BTreeMap<HostName, Vec<IdleLink>>>,
}

#[derive(Debug)]
struct IdleLink {
    link: ForwardLink,
    since: Instant,
}

#[derive(Debug)]
struct ForwardLink {
    remote: RemotePeer,
    writer: ForwardWriter,
    reader: ForwardReader,
}

/// State shared by both halves of a connection. Collects them after a complete exchange, so that
/// the connection can be reused.
#[derive(Debug)]
struct SharedLink {
    client: ForwardClient,
    remote: RemotePeer,
    writer: Mutex<Option<ForwardWriter>>,
    reader: Mutex<Option<ForwardReader>>,
}

/// Sends the request's body. Dropping it before [`Self::finish`] closes the connection, which the
/// peer treats as a disconnected caller.
#[derive(Debug)]
pub struct ForwardSink {
    writer: ForwardWriter,
    shared: Arc<SharedLink>,
}

/// Reads the answer.
#[derive(Debug)]
pub struct ForwardAnswer {
    reader: Option<ForwardReader>,
    shared: Arc<SharedLink>,
}

impl ForwardClient {
    pub(super) fn new(context: Arc<LinkContext>) -> Self {
        Self {
            context,
            idle: Arc::default(),
        }
    }

    /// Starts a forwarded request.
    ///
    /// # Errors
    /// At `Dial`, `Tls`, `Hello`, `Version`, `Proof` or `Identity`, no part of the request was
    /// sent. At `Write`, the peer may have received it.
    pub async fn open(
        &self,
        target: &ForwardTarget,
        head: ForwardHead,
    ) -> Result<(ForwardSink, ForwardAnswer), Report<PeerError>> {
        let link = match self.take_idle(&target.host) {
            Some(link) => link,
            None => self.dial_new(target).await?,
        };
        // A restarted router doesn't know the tickets of its previous incarnation and must not run
        // their requests.
        if target
            .incarnation
            .is_some_and(|wanted| wanted != link.remote.incarnation)
        {
            return Err(
                Report::new(PeerError::new(PeerStep::Identity, target.host.as_str()))
                    .attach("the host runs another incarnation than the ticket's"),
            );
        }
        let shared = Arc::new(SharedLink {
            client: self.clone(),
            remote: link.remote,
            writer: Mutex::default(),
            reader: Mutex::default(),
        });
        let mut sink = ForwardSink {
            writer: link.writer,
            shared: Arc::clone(&shared),
        };
        sink.write(ForwardBody::Head(head)).await?;
        let answer = ForwardAnswer {
            reader: Some(link.reader),
            shared,
        };
        Ok((sink, answer))
    }

    async fn dial_new(&self, target: &ForwardTarget) -> Result<ForwardLink, Report<PeerError>> {
        let purpose = LinkPurpose::Forward;
        let (framed, remote) = dial(&self.context, &target.host, &target.address, purpose).await?;
        let (writer, reader) = framed.split();
        Ok(ForwardLink {
            remote,
            writer,
            reader,
        })
    }

    /// Takes an idle connection that the peer has neither closed nor written to.
    fn take_idle(&self, host: &HostName) -> Option<ForwardLink> {
        let limit = Duration::from_millis(self.context.settings.config.idle_ms);
        loop {
            let mut idle = self
                .idle
                .links
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let mut entry = idle.get_mut(host)?.pop()?;
            drop(idle);
            let quiet = entry.link.reader.next().now_or_never().is_none();
            if quiet && entry.since.elapsed() < limit {
                return Some(entry.link);
            }
        }
    }

    fn keep(&self, link: ForwardLink) {
        let max_len = self.context.settings.config.idle_forwards;
        let mut idle = self
            .idle
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(link.remote.host.clone()).or_default();
        if links.len() < max_len {
            let since = Instant::now();
            links.push(IdleLink { link, since });
        }
    }
}

impl SharedLink {
    fn fail(&self, step: PeerStep) -> PeerError {
        PeerError::new(step, self.remote.host.as_str())
    }

    /// Returns the connection to the pool once both halves are back.
    fn pool_if_complete(&self) {
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut reader = self.reader.lock().unwrap_or_else(PoisonError::into_inner);
        if let (Some(writer), Some(reader)) = (writer.take_if(|_| reader.is_some()), reader.take())
        {
            self.client.keep(ForwardLink {
                remote: self.remote.clone(),
                writer,
                reader,
            });
        }
    }
}

impl ForwardSink {
    /// Sends a piece of the body; waits while the peer is slow to read.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn send(&mut self, mut piece: Bytes) -> Result<(), Report<PeerError>> {
        let max_len = self
            .shared
            .client
            .context
            .settings
            .config
            .forward_piece_bytes;
        while !piece.is_empty() {
            let part = piece.split_to(piece.len().min(max_len));
            self.write(ForwardBody::Body(part)).await?;
        }
        Ok(())
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn finish(mut self) -> Result<(), Report<PeerError>> {
        self.write(ForwardBody::BodyEnd(true)).await?;
        let Self { writer, shared } = self;
        *shared.writer.lock().unwrap_or_else(PoisonError::into_inner) = Some(writer);
        shared.pool_if_complete();
        Ok(())
    }

    async fn write(&mut self, body: ForwardBody) -> Result<(), Report<PeerError>> {
        let shared = &self.shared;
        write_frame(&shared.client.context, &mut self.writer, body)
            .await
            .change_context_lazy(|| shared.fail(PeerStep::Write))
    }
}

impl ForwardAnswer {
    /// The incarnation of the answering router.
    #[must_use]
    pub fn incarnation(&self) -> RouterIncarnation {
        self.shared.remote.incarnation
    }

    /// Waits for the answer's head.
    ///
    /// # Errors
    /// The connection broke, or the peer sent another frame first.
    pub async fn head(&mut self) -> Result<ForwardAnswerHead, Report<PeerError>> {
        match self.read().await? {
            ForwardBody::AnswerHead(head) => Ok(head),
            _ => Err(Report::new(self.shared.fail(PeerStep::Decode))
                .attach("the first frame of the answer is not its head")),
        }
    }

    /// Reads the next piece of the answer's body; `None` once the answer is complete.
    ///
    /// # Errors
    /// `AnswerCut` if the connection broke before the answer's end, so that a truncated answer is
    /// never mistaken for a complete one.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, Report<PeerError>> {
        if self.reader.is_none() {
            return Ok(None);
        }
        match self.read().await? {
            ForwardBody::AnswerBody(piece) => Ok(Some(piece)),
            ForwardBody::AnswerEnd(_) => {
                let mut place = self
                    .shared
                    .reader
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                *place = self.reader.take();
                drop(place);
                self.shared.pool_if_complete();
                Ok(None)
            }
            _ => Err(Report::new(self.shared.fail(PeerStep::Decode))
                .attach("unexpected frame in an answer")),
        }
    }

    async fn read(&mut self) -> Result<ForwardBody, Report<PeerError>> {
        let shared = Arc::clone(&self.shared);
        let cut = || shared.fail(PeerStep::AnswerCut);
        let Some(reader) = self.reader.as_mut() else {
            return Err(Report::new(cut()).attach("the answer has ended already"));
        };
        let frame = read_frame(&shared.client.context, reader)
            .await
            .change_context_lazy(cut)?;
        frame.ok_or_else(|| Report::new(cut()).attach("the peer closed the connection"))
    }
}

/// Writes one frame and counts it.
pub(super) async fn write_frame(
    context: &LinkContext,
    writer: &mut ForwardWriter,
    body: ForwardBody,
) -> io::Result<()> {
    let frame = Bytes::from(ForwardFrame::new(body).encode_to_vec());
    let bytes = frame.len() + FRAME_OVERHEAD;
    writer.send(frame).await?;
    context.counters.add_sent(TrafficKind::Forwarded, bytes);
    Ok(())
}

/// Reads one frame and counts it; `None` if the connection has ended.
pub(super) async fn read_frame(
    context: &LinkContext,
    reader: &mut ForwardReader,
) -> io::Result<Option<ForwardBody>> {
    let Some(frame) = reader.next().await else {
        return Ok(None);
    };
    let frame = frame?;
    let bytes = frame.len() + FRAME_OVERHEAD;
    context.counters.add_received(TrafficKind::Forwarded, bytes);
    let frame = ForwardFrame::decode(frame).map_err(io::Error::other)?;
    frame
        .body
        .map(Some)
        .ok_or_else(|| io::Error::other("frame without content"))
}
