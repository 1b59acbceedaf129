//! Opens connections, and carries control messages over one until it ends.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::units::HostName;
use crate::wire::PeerMessage;

use super::MeshSettings;
use super::error::PeerError;
use super::error::PeerStep;
use super::frames::FRAME_OVERHEAD;
use super::handshake::HandshakeParams;
use super::handshake::LinkPurpose;
use super::handshake::PeerFramed;
use super::handshake::RemotePeer;
use super::handshake::run_handshake;
use super::keys::PeerKeys;
use super::keys::PeerSide;
use super::mesh::PeerEvent;
use super::tls::wrap_accepted;
use super::tls::wrap_dialed;
use super::traffic::TrafficCounters;
use super::traffic::TrafficKind;

/// State shared by all connections of a router.
#[derive(Debug)]
pub(super) struct LinkContext {
    pub settings: MeshSettings,
    pub keys: std::sync::RwLock<PeerKeys>,
    pub counters: TrafficCounters,
}

impl LinkContext {
    pub fn current_keys(&self) -> PeerKeys {
        let keys = self.keys.read();
        keys.unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    fn handshake_limit(&self) -> Duration {
        Duration::from_millis(self.settings.config.handshake_ms)
    }
}

/// Dials a host and runs the dialer's side of the handshake; fails if another host answers.
pub(super) async fn dial(
    context: &LinkContext,
    host: &HostName,
    address: &str,
    purpose: LinkPurpose,
) -> Result<(PeerFramed, RemotePeer), Report<PeerError>> {
    let fail = |step| PeerError::new(step, host.as_str());
    let attempt = async {
        let stream = TcpStream::connect(address)
            .await
            .change_context_lazy(|| fail(PeerStep::Dial))?;
        stream
            .set_nodelay(true)
            .change_context_lazy(|| fail(PeerStep::Dial))?;
        let stream = wrap_dialed(context.settings.tls.as_ref(), stream, host).await?;
        let keys = context.current_keys();
        let params = params(context, &keys, PeerSide::Dialer, purpose, host.as_str());
        run_handshake(stream, &params).await
    };
    let (framed, remote) = timeout(context.handshake_limit(), attempt)
        .await
        .change_context_lazy(|| fail(PeerStep::Dial))??;
    if remote.host != *host {
        return Err(Report::new(fail(PeerStep::Identity))
            .attach(format!("host {} answered at {address}", remote.host)));
    }
    Ok((framed, remote))
}

/// Runs the acceptor's side of the handshake.
pub(super) async fn accept(
    context: &LinkContext,
    stream: TcpStream,
    peer: &str,
) -> Result<(PeerFramed, RemotePeer), Report<PeerError>> {
    let attempt = async {
        stream
            .set_nodelay(true)
            .change_context_lazy(|| PeerError::new(PeerStep::Hello, peer))?;
        let stream = wrap_accepted(context.settings.tls.as_ref(), stream, peer).await?;
        let keys = context.current_keys();
        let side = PeerSide::Acceptor;
        let params = params(context, &keys, side, LinkPurpose::Control, peer);
        run_handshake(stream, &params).await
    };
    timeout(context.handshake_limit(), attempt)
        .await
        .change_context_lazy(|| PeerError::new(PeerStep::Hello, peer))?
}

fn params<'params>(
    context: &'params LinkContext,
    keys: &'params PeerKeys,
    side: PeerSide,
    purpose: LinkPurpose,
    peer: &'params str,
) -> HandshakeParams<'params> {
    HandshakeParams {
        host: &context.settings.host,
        incarnation: context.settings.incarnation,
        keys,
        side,
        purpose,
        max_frame_bytes: context.settings.config.max_frame_bytes,
        counters: &context.counters,
        peer,
    }
}

/// Carries control messages in both directions until the connection ends or `cancel` fires.
pub(super) async fn carry_control(
    context: &Arc<LinkContext>,
    framed: PeerFramed,
    remote: &RemotePeer,
    queue: mpsc::Receiver<PeerMessage>,
    events: &mpsc::Sender<PeerEvent>,
    cancel: &CancellationToken,
) -> Result<(), Report<PeerError>> {
    let (sink, stream) = framed.split();
    tokio::select! {
        () = cancel.cancelled() => Ok(()),
        ended = read_messages(context, stream, remote, events) => ended,
        ended = write_messages(context, sink, remote, queue) => ended,
    }
}

async fn read_messages(
    context: &LinkContext,
    mut stream: futures_util::stream::SplitStream<PeerFramed>,
    remote: &RemotePeer,
    events: &mpsc::Sender<PeerEvent>,
) -> Result<(), Report<PeerError>> {
    let fail = |step| PeerError::new(step, remote.host.as_str());
    while let Some(frame) = stream.next().await {
        let frame = frame.change_context_lazy(|| fail(PeerStep::Read))?;
        let bytes = frame.len() + FRAME_OVERHEAD;
        let message = PeerMessage::decode(frame).change_context_lazy(|| fail(PeerStep::Decode))?;
        context
            .counters
            .add_received(TrafficKind::of(&message), bytes);
        let event = PeerEvent::Message {
            from: remote.host.clone(),
            incarnation: remote.incarnation,
            message,
        };
        if events.send(event).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

async fn write_messages(
    context: &LinkContext,
    mut sink: futures_util::stream::SplitSink<PeerFramed, Bytes>,
    remote: &RemotePeer,
    mut queue: mpsc::Receiver<PeerMessage>,
) -> Result<(), Report<PeerError>> {
    let fail = || PeerError::new(PeerStep::Write, remote.host.as_str());
    let limit = Duration::from_millis(context.settings.config.write_ms);
    while let Some(message) = queue.recv().await {
        let frame = Bytes::from(message.encode_to_vec());
        let bytes = frame.len() + FRAME_OVERHEAD;
        // A paused peer stops reading. Without a timeout its queue would keep old messages for as
        // long as the pause lasts and deliver them afterwards.
        timeout(limit, sink.send(frame))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .change_context_lazy(fail)?;
        context.counters.add_sent(TrafficKind::of(&message), bytes);
    }
    Ok(())
}
