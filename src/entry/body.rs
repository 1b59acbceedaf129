//! Reading a call's body: a small body is buffered so that an attempt can be retried; what exceeds
//! the buffer is streamed through in chunks.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::time;

use crate::core::action::RunOutcome;

use super::call::BodyFault;
use super::call::CallBody;
use super::refusal::CallFault;

/// A body whose beginning was read into memory.
pub struct StoredBody {
    /// The part that was read.
    pub kept: Bytes,
    /// The unread rest; absent if `kept` is the whole body.
    pub rest: Option<CallBody>,
}

/// Time limits for reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTimeouts {
    /// Longest pause between two chunks.
    pub pause: Duration,
    /// Longest total time for reading the buffered part.
    pub whole: Duration,
}

/// Reads a body until it ends or more than `limit` bytes were read. A body that arrives as a
/// single chunk is not copied.
///
/// # Errors
/// [`CallFault::SlowBody`] if the body pauses too long, takes too long in total, or breaks off.
pub async fn read_body(
    mut body: CallBody,
    limit: usize,
    limits: BodyTimeouts,
) -> Result<StoredBody, CallFault> {
    let read = read_kept(&mut body, limit, limits.pause);
    // The total time is bounded as well as the pauses: a sender that trickles single bytes would
    // occupy memory for hours, and routers filled up with requests that were never complete.
    let (kept, ended) = time::timeout(limits.whole, read)
        .await
        .map_err(|_| CallFault::SlowBody(RunOutcome::NotRun))??;
    let rest = (!ended).then_some(body);
    Ok(StoredBody { kept, rest })
}

async fn read_kept(
    body: &mut CallBody,
    limit: usize,
    pause: Duration,
) -> Result<(Bytes, bool), CallFault> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    loop {
        let next = time::timeout(pause, body.next())
            .await
            .map_err(|_| CallFault::SlowBody(RunOutcome::NotRun))?;
        let Some(chunk) = next else {
            return Ok((join(first, joined), true));
        };
        let chunk = chunk.map_err(|_| CallFault::SlowBody(RunOutcome::NotRun))?;
        if first.is_empty() && joined.is_empty() {
            first = chunk;
        } else {
            if joined.is_empty() {
                joined.extend_from_slice(&first);
            }
            joined.extend_from_slice(&chunk);
        }
        if first.len().max(joined.len()) > limit {
            return Ok((join(first, joined), false));
        }
    }
}

fn join(first: Bytes, joined: BytesMut) -> Bytes {
    if joined.is_empty() {
        first
    } else {
        joined.freeze()
    }
}

/// Wraps the unread rest of a body so that it fails if a pause is longer than `pause` or if more
/// than `left` bytes follow.
#[must_use]
pub fn bounded_rest(rest: CallBody, left: u64, pause: Duration) -> CallBody {
    Box::pin(stream::unfold(
        Some((rest, left)),
        move |state| async move {
            let (mut rest, left) = state?;
            let Ok(next) = time::timeout(pause, rest.next()).await else {
                return Some((Err(BodyFault), None));
            };
            match next? {
                Ok(chunk) if chunk.len() as u64 <= left => {
                    let left = left - chunk.len() as u64;
                    Some((Ok(chunk), Some((rest, left))))
                }
                _ => Some((Err(BodyFault), None)),
            }
        },
    ))
}
