//! An incoming call and its answer, independent of the transport: a caller's connection or a peer
//! that forwards the call.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::Stream;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::Uri;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::units::KindName;
use crate::units::TeamId;
use crate::units::TimeSpan;

/// Chunks of an answer that are buffered for a slow caller before backpressure reaches the
/// endpoint.
pub const ANSWER_BUFFER_CHUNKS: usize = 4;

/// The body of a call as a stream of chunks.
pub type CallBody = Pin<Box<dyn Stream<Item = Result<Bytes, BodyFault>> + Send>>;

/// The error of a body that ended early: its sender broke off, paused too long or sent too much.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyFault;

impl fmt::Display for BodyFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the body broke off")
    }
}

impl std::error::Error for BodyFault {}

/// A call as received, before it is validated.
pub struct IncomingCall {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The HTTP headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: CallBody,
    /// The sender.
    pub origin: CallOrigin,
    /// Cancelling it closes the connection that the call arrived on.
    pub abort: CancellationToken,
}

/// The sender of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller, which must present a key.
    Caller,
    /// Another router, which has already authenticated the caller.
    Peer(ForwardedFacts),
}

/// Facts about a forwarded call, as established by the router that forwards it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedFacts {
    /// The authenticated team.
    pub team: TeamId,
    /// The kind of the request.
    pub kind: KindName,
    /// Time left until the request's deadline.
    pub time_left: TimeSpan,
}

impl fmt::Debug for IncomingCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Headers contain keys, which must not be logged.
        write!(formatter, "{} {}", self.method, self.target.path())
    }
}

/// The answer to a call. Dropping its body means that the caller has disconnected.
pub type CallAnswer = Response<AnswerBody>;

/// The source of an answer's bytes.
#[derive(Debug)]
enum AnswerSource {
    Full(Option<Bytes>),
    Chunks(mpsc::Receiver<Bytes>, Arc<AtomicBool>),
}

/// The body of an answer. An error item means that the answer is incomplete: the transport must
/// then abort the caller's connection, so that no client mistakes it for a complete answer.
#[derive(Debug)]
pub struct AnswerBody {
    source: AnswerSource,
    watch: Option<DropGuard>,
}

impl AnswerBody {
    /// Creates a body from bytes that are already complete.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self {
            source: AnswerSource::Full(Some(bytes.into())),
            watch: None,
        }
    }

    /// Creates a body from chunks as they arrive. It is complete only if `whole` is set when the
    /// channel closes; otherwise the body ends with an error.
    #[must_use]
    pub fn chunks(receiver: mpsc::Receiver<Bytes>, whole: Arc<AtomicBool>) -> Self {
        Self {
            source: AnswerSource::Chunks(receiver, whole),
            watch: None,
        }
    }

    /// Attaches a guard whose token is cancelled when the body is dropped.
    pub fn watch(&mut self, guard: DropGuard) {
        self.watch = Some(guard);
    }
}

impl Stream for AnswerBody {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match &mut self.source {
            AnswerSource::Full(bytes) => {
                Poll::Ready(bytes.take().filter(|part| !part.is_empty()).map(Ok))
            }
            AnswerSource::Chunks(receiver, whole) => match receiver.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(chunk)) => Poll::Ready(Some(Ok(chunk))),
                Poll::Ready(None) if whole.load(Ordering::Acquire) => Poll::Ready(None),
                Poll::Ready(None) => Poll::Ready(Some(Err(incomplete_answer_error()))),
            },
        }
    }
}

/// The error that makes the transport abort the caller's connection.
fn incomplete_answer_error() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the answer is incomplete")
}
