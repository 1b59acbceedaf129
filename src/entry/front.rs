//! The listener for callers: `warp` filters on `hyper` connections with bounded headers.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use futures_util::Stream;
use futures_util::StreamExt;
use http::HeaderMap;
use http::Method;
use http::Uri;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::path::FullPath;

use super::admit::answer;
use super::call::BodyFault;
use super::call::CallAnswer;
use super::call::CallOrigin;
use super::call::IncomingCall;
use super::context::EntryContext;
use super::refusal::CallFault;

/// Pause after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// The listener for callers.
#[derive(Debug)]
pub struct CallerFront {
    listener: TcpListener,
    context: Arc<EntryContext>,
    connections: TaskTracker,
}

impl CallerFront {
    /// Opens the listener.
    ///
    /// # Errors
    /// If the listener can't be bound to the address.
    pub async fn bind(address: SocketAddr, context: Arc<EntryContext>) -> Result<Self, io::Error> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            context,
            connections: TaskTracker::new(),
        })
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    /// If the operating system can't report the address.
    pub fn address(&self) -> Result<SocketAddr, io::Error> {
        self.listener.local_addr()
    }

    /// Serves callers until `closing` is cancelled, then waits until all answers in flight have
    /// ended.
    pub async fn serve(self, closing: CancellationToken) {
        loop {
            let accepted = tokio::select! {
                () = closing.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let context = Arc::clone(&self.context);
                    let serving = serve_connection(stream, context, closing.clone());
                    self.connections.spawn(serving);
                }
                Err(fault) => {
                    spdlog::warn!("entry: accept failed: {fault}.");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
        drop(self.listener);
        self.connections.close();
        self.connections.wait().await;
    }
}

async fn serve_connection(
    stream: TcpStream,
    context: Arc<EntryContext>,
    closing: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let limit = context
        .control
        .catalog
        .borrow()
        .fleet
        .caller_limits
        .header_bytes;
    let header_bytes = usize::try_from(limit)
        .unwrap_or(MIN_BUFFER_BYTES)
        .max(MIN_BUFFER_BYTES);
    let abort = CancellationToken::new();
    let header_time = Duration::from_millis(context.config.header_ms);
    let service = TowerToHyperService::new(warp::service(filter(context, abort.clone())));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(header_time)
        .max_buf_size(header_bytes);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // The error of a broken connection is ignored: the request learns of it when its answer is
        // dropped.
        _ = connection.as_mut() => return,
        () = abort.cancelled() => return,
        () = closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = abort.run_until_cancelled(connection).await;
}

/// A filter that accepts every method and path, with the body as a stream.
fn filter(
    context: Arc<EntryContext>,
    abort: CancellationToken,
) -> impl Filter<Extract = (warp::reply::Response,), Error = Rejection> + Clone {
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    warp::any()
        .map(move || (Arc::clone(&context), abort.clone()))
        .and(warp::method())
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        // Boxed because the future is large and the filters move it several times.
        .then(|shared, method, path, query, headers, body| {
            Box::pin(take_call(shared, method, path, query, headers, body))
        })
}

async fn take_call<B: Buf>(
    (context, abort): (Arc<EntryContext>, CancellationToken),
    method: Method,
    path: FullPath,
    query: String,
    headers: HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>> + Send + 'static,
) -> warp::reply::Response {
    let chunks = body.map(|chunk| {
        chunk
            .map(|mut part| part.copy_to_bytes(part.remaining()))
            .map_err(|_| BodyFault)
    });
    let target = match query.as_str() {
        "" => path.as_str().parse::<Uri>(),
        query => format!("{}?{query}", path.as_str()).parse(),
    };
    let Ok(target) = target else {
        return reply(CallFault::UnknownPath.into_answer());
    };
    let call = IncomingCall {
        method,
        target,
        headers,
        body: Box::pin(chunks),
        origin: CallOrigin::Caller,
        abort,
    };
    reply(answer(&context, call).await)
}

fn reply(answer: CallAnswer) -> warp::reply::Response {
    let (parts, body) = answer.into_parts();
    let mut response = warp::reply::stream(body).into_response();
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}
