//! Taking requests that peers forward.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::wire::forward::ForwardAnswerHead;
use crate::wire::forward::ForwardBody;
use crate::wire::forward::ForwardHead;

use super::error::PeerError;
use super::error::PeerStep;
use super::forward::ForwardReader;
use super::forward::ForwardWriter;
use super::forward::read_frame;
use super::forward::write_frame;
use super::handshake::PeerFramed;
use super::handshake::RemotePeer;
use super::link::LinkContext;

/// Pieces of a body or answer that wait between the connection and the handler.
const WAITING_PIECES: usize = 4;

/// Longest wait for the rest of a body whose answer has ended.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// A request that a peer forwarded.
#[derive(Debug)]
pub struct ForwardedCall {
    /// The peer.
    pub remote: RemotePeer,
    /// The request up to its body.
    pub head: ForwardHead,
    /// The body: ends after `Whole`; closes without it if the connection broke.
    pub body: mpsc::Receiver<BodyPiece>,
    /// Takes the answer.
    pub answer: AnswerSender,
    /// Fires when the caller or the peer is gone.
    pub cancelled: CancellationToken,
}

/// A piece of a forwarded body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPiece {
    /// Some bytes.
    Bytes(Bytes),
    /// The body is whole.
    Whole,
}

/// Takes the answer to a forwarded call. Dropping it before [`Self::finish`] closes the
/// connection, so that the peer sees the answer as cut.
#[derive(Debug)]
pub struct AnswerSender {
    frames: mpsc::Sender<ForwardBody>,
    most: usize,
}

/// The peer or its connection is gone; the answer goes nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerClosed;

impl AnswerSender {
    /// Sends the head.
    ///
    /// # Errors
    /// The peer is gone.
    pub async fn head(&self, head: ForwardAnswerHead) -> Result<(), AnswerClosed> {
        self.push(ForwardBody::AnswerHead(head)).await
    }

    /// Sends a piece of the body; waits while the peer is slow.
    ///
    /// # Errors
    /// The peer is gone.
    pub async fn send(&self, mut piece: Bytes) -> Result<(), AnswerClosed> {
        while !piece.is_empty() {
            let part = piece.split_to(piece.len().min(self.most));
            self.push(ForwardBody::AnswerBody(part)).await?;
        }
        Ok(())
    }

    /// Says that the answer is whole.
    ///
    /// # Errors
    /// The peer is gone.
    pub async fn finish(self) -> Result<(), AnswerClosed> {
        self.push(ForwardBody::AnswerEnd(true)).await
    }

    async fn push(&self, body: ForwardBody) -> Result<(), AnswerClosed> {
        self.frames.send(body).await.map_err(|_| AnswerClosed)
    }
}

/// Serves one forwarding connection: request after request until it ends.
pub(super) async fn serve_forwards(
    context: &Arc<LinkContext>,
    framed: PeerFramed,
    remote: &RemotePeer,
    calls: &mpsc::Sender<ForwardedCall>,
) -> Result<(), Report<PeerError>> {
    let (mut writer, mut reader) = framed.split();
    // Twice the client's limit, so that the client is the one who gives up an idle connection.
    let idle = Duration::from_millis(context.settings.config.idle_ms) * 2;
    loop {
        let Ok(first) = timeout(idle, read_frame(context, &mut reader)).await else {
            return Ok(());
        };
        let fail = |step| PeerError::new(step, remote.host.as_str());
        let head = match first.change_context_lazy(|| fail(PeerStep::Read))? {
            Some(ForwardBody::Head(head)) => head,
            None => return Ok(()),
            Some(_) => {
                return Err(Report::new(fail(PeerStep::Decode))
                    .attach("a forwarded request does not begin with its head"));
            }
        };
        let again = serve_call(context, &mut reader, &mut writer, remote, head, calls).await;
        if !again.change_context_lazy(|| fail(PeerStep::Read))? {
            return Ok(());
        }
    }
}

/// Serves one call; true if the connection can carry another.
async fn serve_call(
    context: &LinkContext,
    reader: &mut ForwardReader,
    writer: &mut ForwardWriter,
    remote: &RemotePeer,
    head: ForwardHead,
    calls: &mpsc::Sender<ForwardedCall>,
) -> std::io::Result<bool> {
    let (body, body_pieces) = mpsc::channel(WAITING_PIECES);
    let (frames, answer_frames) = mpsc::channel(WAITING_PIECES);
    let cancelled = CancellationToken::new();
    // However this function ends, the handler learns that nobody waits for its answer.
    let _guard = cancelled.clone().drop_guard();
    let answered = CancellationToken::new();
    let call = ForwardedCall {
        remote: remote.clone(),
        head,
        body: body_pieces,
        answer: AnswerSender {
            frames,
            most: context.settings.config.forward_piece_bytes,
        },
        cancelled: cancelled.clone(),
    };
    if calls.send(call).await.is_err() {
        return Ok(false);
    }
    let reading = read_body(context, reader, body, &cancelled, &answered);
    let writing = write_answer(context, writer, answer_frames, &cancelled, &answered);
    let (body_whole, answer_whole) = tokio::join!(reading, writing);
    Ok(body_whole? && answer_whole?)
}

/// Reads the body, then waits for the answer's end or the caller's leaving. True if the body
/// was whole and the connection is good.
async fn read_body(
    context: &LinkContext,
    reader: &mut ForwardReader,
    body: mpsc::Sender<BodyPiece>,
    cancelled: &CancellationToken,
    answered: &CancellationToken,
) -> std::io::Result<bool> {
    let mut body = Some(body);
    loop {
        let frame = tokio::select! {
            biased;
            () = cancelled.cancelled() => return Ok(false),
            () = answered.cancelled(), if body.is_none() => return Ok(true),
            () = drain_limit(answered), if body.is_some() => return Ok(false),
            frame = read_frame(context, reader) => frame,
        };
        let piece = match frame {
            Ok(Some(ForwardBody::Body(piece))) if body.is_some() => BodyPiece::Bytes(piece),
            Ok(Some(ForwardBody::BodyEnd(_))) if body.is_some() => BodyPiece::Whole,
            Ok(Some(ForwardBody::Cancel(_)) | None) => {
                cancelled.cancel();
                return Ok(false);
            }
            Ok(Some(_)) => {
                cancelled.cancel();
                return Err(std::io::Error::other("a frame that has no place here"));
            }
            Err(error) => {
                cancelled.cancel();
                return Err(error);
            }
        };
        let whole = piece == BodyPiece::Whole;
        if let Some(sender) = &body {
            // A handler that has answered early no longer takes the body; the rest is read and
            // dropped, because closing with unread bytes could destroy the answer on its way.
            tokio::select! {
                _ = sender.send(piece) => {}
                () = answered.cancelled() => {}
                () = cancelled.cancelled() => return Ok(false),
            }
        }
        if whole {
            body = None;
        }
    }
}

async fn drain_limit(answered: &CancellationToken) {
    answered.cancelled().await;
    tokio::time::sleep(DRAIN_LIMIT).await;
}

/// Writes the answer; true if it was whole.
async fn write_answer(
    context: &LinkContext,
    writer: &mut ForwardWriter,
    mut frames: mpsc::Receiver<ForwardBody>,
    cancelled: &CancellationToken,
    answered: &CancellationToken,
) -> std::io::Result<bool> {
    loop {
        let frame = tokio::select! {
            () = cancelled.cancelled() => return Ok(false),
            frame = frames.recv() => frame,
        };
        let Some(frame) = frame else {
            // The handler gave up in the middle. Without an end frame the peer sees a cut.
            cancelled.cancel();
            return Err(std::io::Error::other("the answer was given up"));
        };
        let last = matches!(frame, ForwardBody::AnswerEnd(_));
        tokio::select! {
            () = cancelled.cancelled() => return Ok(false),
            written = write_frame(context, writer, frame) => {
                if let Err(error) = written {
                    cancelled.cancel();
                    return Err(error);
                }
            }
        }
        if last {
            answered.cancel();
            return Ok(true);
        }
    }
}
