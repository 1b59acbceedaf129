//! Receives requests that peers forward.

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

/// Maximum number of pieces of a body or answer that are queued between the connection and the
/// handler.
const MAX_WAITING_PIECES: usize = 4;

/// Maximum time to read the rest of a body after its answer has ended.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// A request that a peer forwarded.
#[derive(Debug)]
pub struct ForwardedCall {
    /// The peer that forwarded it.
    pub remote: RemotePeer,
    /// The request without its body.
    pub head: ForwardHead,
    /// The body. It ends with `Whole`; the channel closes without it if the connection broke.
    pub body: mpsc::Receiver<BodyPiece>,
    /// Sends the answer.
    pub answer: AnswerSender,
    /// Fires when the caller or the peer has disconnected.
    pub cancelled: CancellationToken,
}

/// A piece of a forwarded body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPiece {
    /// Some bytes.
    Bytes(Bytes),
    /// The body is complete.
    Whole,
}

/// Sends the answer to a forwarded call. Dropping it before [`Self::finish`] closes the connection,
/// so that the peer sees the answer as truncated.
#[derive(Debug)]
pub struct AnswerSender {
    frames: mpsc::Sender<ForwardBody>,
    max_piece_bytes: usize,
}

/// The peer or its connection is gone, so the answer can't be delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerClosed;

impl AnswerSender {
    /// Sends the answer's head.
    ///
    /// # Errors
    /// The peer is gone.
    pub async fn head(&self, head: ForwardAnswerHead) -> Result<(), AnswerClosed> {
        self.push(ForwardBody::AnswerHead(head)).await
    }

    /// Sends a piece of the answer's body; waits while the peer is slow to read.
    ///
    /// # Errors
    /// The peer is gone.
    pub async fn send(&self, mut piece: Bytes) -> Result<(), AnswerClosed> {
        while !piece.is_empty() {
            let part = piece.split_to(piece.len().min(self.max_piece_bytes));
            self.push(ForwardBody::AnswerBody(part)).await?;
        }
        Ok(())
    }

    /// Marks the answer as complete.
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
    // Twice the client's limit, so that the client is the end that closes an idle connection.
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
                    .attach("the first frame of a forwarded request is not its head"));
            }
        };
        let again = serve_call(context, &mut reader, &mut writer, remote, head, calls).await;
        if !again.change_context_lazy(|| fail(PeerStep::Read))? {
            return Ok(());
        }
    }
}

/// Serves one call; returns true if the connection can carry another.
async fn serve_call(
    context: &LinkContext,
    reader: &mut ForwardReader,
    writer: &mut ForwardWriter,
    remote: &RemotePeer,
    head: ForwardHead,
    calls: &mpsc::Sender<ForwardedCall>,
) -> std::io::Result<bool> {
    let (body, body_pieces) = mpsc::channel(MAX_WAITING_PIECES);
    let (frames, answer_frames) = mpsc::channel(MAX_WAITING_PIECES);
    let cancelled = CancellationToken::new();
    // However this function ends, the handler is notified that its answer is no longer needed.
    let _guard = cancelled.clone().drop_guard();
    let answered = CancellationToken::new();
    let call = ForwardedCall {
        remote: remote.clone(),
        head,
        body: body_pieces,
        answer: AnswerSender {
            frames,
            max_piece_bytes: context.settings.config.forward_piece_bytes,
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

/// Reads the body, then waits until the answer ends or the caller disconnects. Returns true if the
/// body was complete and the connection is intact.
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
                return Err(std::io::Error::other("unexpected frame in a request"));
            }
            Err(error) => {
                cancelled.cancel();
                return Err(error);
            }
        };
        let whole = piece == BodyPiece::Whole;
        if let Some(sender) = &body {
            // A handler that has answered early no longer reads the body. The rest is read and
            // discarded, because closing with unread bytes could destroy the answer in transit.
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

/// Writes the answer; returns true if it was complete.
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
            // The handler stopped before the answer's end. Without an end frame the peer sees the
            // answer as truncated.
            cancelled.cancel();
            return Err(std::io::Error::other(
                "the handler stopped before the answer's end",
            ));
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
