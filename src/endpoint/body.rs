//! The body of a request that is sent to an endpoint.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::entry::call::BodyFault;
use crate::entry::call::CallBody;

/// A request body: a buffered part followed by an optional stream.
pub struct OutgoingBody {
    kept: Option<Bytes>,
    rest: Option<CallBody>,
    left: Option<u64>,
    broken: Option<Arc<AtomicBool>>,
}

impl OutgoingBody {
    /// Creates a body from bytes that are already complete.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self {
            left: Some(bytes.len() as u64),
            kept: Some(bytes).filter(|part| !part.is_empty()),
            rest: None,
            broken: None,
        }
    }

    /// Creates a body whose rest is streamed. `length` is its total length in bytes, if stated by
    /// the sender. `broken` is set if the stream fails.
    #[must_use]
    pub fn streamed(
        kept: Bytes,
        rest: CallBody,
        length: Option<u64>,
        broken: Arc<AtomicBool>,
    ) -> Self {
        Self {
            kept: Some(kept),
            rest: Some(rest),
            left: length,
            broken: Some(broken),
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let next = match (self.kept.take(), &mut self.rest) {
            (Some(kept), _) => Some(Ok(kept)),
            (None, None) => None,
            (None, Some(rest)) => match rest.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(next) => next,
            },
        };
        if let (Some(Ok(chunk)), Some(left)) = (&next, self.left) {
            self.left = Some(left.saturating_sub(chunk.len() as u64));
        }
        if let (Some(Err(_)), Some(broken)) = (&next, &self.broken) {
            broken.store(true, Ordering::Relaxed);
        }
        Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.kept.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
