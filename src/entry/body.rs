//! Reading a call's body: kept while it is small, so that an attempt can be made again, and
//! passed through in chunks beyond that.

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

/// A body that was read as far as it is kept.
pub struct StoredBody {
    /// What was read.
    pub kept: Bytes,
    /// What follows; absent if `kept` is all.
    pub rest: Option<CallBody>,
}

/// How long a body may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTime {
    /// Longest pause between two chunks.
    pub pause: Duration,
    /// Longest time for what is kept of it.
    pub whole: Duration,
}

/// Reads up to `limit` bytes. Chunks that come in one piece are not copied.
///
/// # Errors
/// [`CallFault::SlowBody`] if it pauses too long, is too slow in all, or breaks off.
pub async fn read_body(
    mut body: CallBody,
    limit: usize,
    limits: BodyTime,
) -> Result<StoredBody, CallFault> {
    let read = read_kept(&mut body, limit, limits.pause);
    // A sender that gives a byte now and then would hold a request's memory for hours: seen as
    // routers full of requests that never arrive. The time for the kept part is bounded.
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

/// What follows the kept part of a body, with its pauses and size bounded.
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
