//! A call as it comes in and the answer to it, whichever way it came: from a caller's
//! connection or from a peer that forwards it.

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

/// Chunks of an answer that may wait for a slow reader before its endpoint is held back.
pub const ANSWER_CHUNKS: usize = 4;

/// The body of a call, in chunks.
pub type CallBody = Pin<Box<dyn Stream<Item = Result<Bytes, BodyFault>> + Send>>;

/// A body that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyFault;

impl fmt::Display for BodyFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the body broke off")
    }
}

impl std::error::Error for BodyFault {}

/// A call.
pub struct IncomingCall {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: CallBody,
    /// Who sent it here.
    pub origin: CallOrigin,
    /// Cancelled to close the connection that it came over.
    pub abort: CancellationToken,
}

/// Who sent a call here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller, who must show a key.
    Caller,
    /// Another router, which has checked the key.
    Peer(PeerVouch),
}

/// What the router that forwards a call says of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerVouch {
    /// The team that it authenticated.
    pub team: TeamId,
    /// The kind of the request.
    pub kind: KindName,
    /// How long the caller still waits.
    pub time_left: TimeSpan,
}

impl fmt::Debug for IncomingCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Headers hold keys: they never get into a log.
        write!(formatter, "{} {}", self.method, self.target.path())
    }
}

/// The answer to a call. Dropping its body tells that the caller left.
pub type CallAnswer = Response<AnswerBody>;

/// Where the bytes of an answer come from.
#[derive(Debug)]
enum AnswerSource {
    Full(Option<Bytes>),
    Chunks(mpsc::Receiver<Bytes>, Arc<AtomicBool>),
}

/// The body of an answer. An error item means that the answer is not whole: the transport to
/// the caller must be aborted, so that no client takes it for whole.
#[derive(Debug)]
pub struct AnswerBody {
    source: AnswerSource,
    watch: Option<DropGuard>,
}

impl AnswerBody {
    /// A body that is here already.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self {
            source: AnswerSource::Full(Some(bytes.into())),
            watch: None,
        }
    }

    /// A body in chunks as they come. It is whole only if `whole` is set when the chunks end: a
    /// sender that is dropped for any other reason has cut it.
    #[must_use]
    pub fn chunks(receiver: mpsc::Receiver<Bytes>, whole: Arc<AtomicBool>) -> Self {
        Self {
            source: AnswerSource::Chunks(receiver, whole),
            watch: None,
        }
    }

    /// Cancels this guard's token once the body is dropped.
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
                Poll::Ready(None) => Poll::Ready(Some(Err(cut_error()))),
            },
        }
    }
}

/// The error that makes a transport abort an answer.
fn cut_error() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the answer is not whole")
}
