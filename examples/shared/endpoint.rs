//! A stand-in endpoint: a small HTTP server that can crash, restart and fail on request.
//!
//! A request selects a fault with the header `standin-do`: `crash`, `refuse`, `garbage`, `cut=N`
//! (break off after N events or bytes), `slow=MS` (wait first), `short` (send a content length
//! greater than the body). With the prefix `once-` the fault applies only to the first execution of
//! a `standin-id`.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::engine;
use super::plain;

/// Time after a crash until the endpoint listens again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Kind of a stand-in endpoint.
#[derive(Debug, Clone)]
pub enum EndpointRole {
    /// A model engine.
    Engine {
        /// Model that is loaded at the start.
        model: String,
        /// Time between two tokens of a stream.
        token: Duration,
        /// True if the engine can resume a stream at an event.
        resumes: bool,
        /// True if the engine rejects orders with an old fencing number.
        checks_fence: bool,
    },
    /// A plain service.
    Plain {
        /// Pool of the service.
        pool: String,
        /// Processing time of a call.
        work: Duration,
    },
}

/// State shared by all connections of an endpoint.
#[derive(Debug)]
pub struct EndpointShared {
    /// Kind of the endpoint.
    pub role: EndpointRole,
    /// Free slots; requests beyond them wait.
    pub slots: Semaphore,
    /// Total number of slots.
    pub slot_count: usize,
    /// Running requests.
    pub running: AtomicU32,
    /// Requests waiting for a slot.
    pub waiting: AtomicU32,
    /// Microseconds for which slots were busy, added at the end of each request.
    pub busy_micros: AtomicU64,
    /// Tokens and calls served.
    pub served: AtomicU64,
    /// Bytes of fixed-length answers that were passed to the connection.
    pub sent_bytes: AtomicU64,
    /// Requests that were cancelled or broken off before their answer was complete.
    pub cancelled: AtomicU64,
    /// Incremented on each crash.
    pub life: AtomicU64,
    /// Highest fencing number of an accepted order.
    pub fence: AtomicU64,
    /// Model that is loaded now.
    pub model: Mutex<String>,
    /// Number of started executions by `standin-id`.
    pub executions: Mutex<BTreeMap<String, u32>>,
    /// Tokens and calls served, by the team in the `standin-team` header.
    pub by_team: Mutex<BTreeMap<String, u64>>,
    refuse_all: AtomicBool,
    crash_token: Mutex<CancellationToken>,
}

/// A running stand-in endpoint.
#[derive(Debug, Clone)]
pub struct StandinEndpoint {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// State shared with the connections.
    pub shared: Arc<EndpointShared>,
    closing: CancellationToken,
}

impl StandinEndpoint {
    /// Starts an endpoint on `address`; port 0 picks a free port.
    pub async fn start(address: SocketAddr, role: EndpointRole, slots: usize) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let model = match &role {
            EndpointRole::Engine { model, .. } => model.clone(),
            EndpointRole::Plain { pool, .. } => pool.clone(),
        };
        let shared = Arc::new(EndpointShared {
            role,
            slots: Semaphore::new(slots),
            slot_count: slots,
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            busy_micros: AtomicU64::new(0),
            served: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            life: AtomicU64::new(1),
            fence: AtomicU64::new(0),
            model: Mutex::new(model),
            executions: Mutex::default(),
            by_team: Mutex::default(),
            refuse_all: AtomicBool::new(false),
            crash_token: Mutex::new(CancellationToken::new()),
        });
        let closing = CancellationToken::new();
        let serving = serve(listener, address, Arc::clone(&shared), closing.clone());
        tokio::spawn(serving);
        Ok(Self {
            address,
            shared,
            closing,
        })
    }

    /// Stops the endpoint for good.
    pub fn stop(&self) {
        self.closing.cancel();
        self.shared.crash();
    }

    /// Returns the number of started executions of the request with this `standin-id`.
    pub fn executions_of(&self, id: &str) -> u32 {
        let executions = self.shared.executions.lock().unwrap();
        executions.get(id).copied().unwrap_or(0)
    }

    /// Turns on or off that all requests except load reports are refused with 503.
    pub fn refuse_all(&self, refuse: bool) {
        self.shared.refuse_all.store(refuse, Ordering::Relaxed);
    }
}

impl EndpointShared {
    /// Simulates a crash: breaks all connections and stops listening for a while.
    pub fn crash(&self) {
        self.life.fetch_add(1, Ordering::Relaxed);
        self.crash_token.lock().unwrap().cancel();
    }

    /// Counts an execution of the request and returns the number so far.
    pub fn count_execution(&self, headers: &HeaderMap) -> u32 {
        let id = text_of(headers, "standin-id");
        let mut executions = self.executions.lock().unwrap();
        let count = executions.entry(id).or_insert(0);
        *count += 1;
        *count
    }
}

/// Fault that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    None,
    /// Crash before answering.
    Crash,
    /// Answer 503 without processing the request.
    Refuse,
    /// Answer with a body that is not valid for this API.
    Garbage,
    /// Break off after this many events or bytes.
    Cut(u64),
    /// Wait before answering.
    Slow(Duration),
    /// Send a content length greater than the body.
    Short,
}

/// Returns the fault that the request asks for in this execution.
pub fn injected_fault(headers: &HeaderMap, execution: u32) -> InjectedFault {
    let text = text_of(headers, "standin-do");
    let text = match text.strip_prefix("once-") {
        Some(_) if execution > 1 => "",
        Some(rest) => rest,
        None => &text,
    };
    let (name, value) = text.split_once('=').unwrap_or((text, "0"));
    let value = value.parse().unwrap_or(0);
    match name {
        "crash" => InjectedFault::Crash,
        "refuse" => InjectedFault::Refuse,
        "garbage" => InjectedFault::Garbage,
        "cut" => InjectedFault::Cut(value),
        "slow" => InjectedFault::Slow(Duration::from_millis(value)),
        "short" => InjectedFault::Short,
        _ => InjectedFault::None,
    }
}

/// Returns the system time in nanoseconds since the Unix epoch.
pub fn clock_nanos() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_nanos()).unwrap_or(u64::MAX)
}

/// Returns a header as text, or an empty string if it is absent or not text.
pub fn text_of(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn serve(
    first: TcpListener,
    address: SocketAddr,
    shared: Arc<EndpointShared>,
    closing: CancellationToken,
) {
    let mut listener = Some(first);
    while !closing.is_cancelled() {
        let Some(open) = listener.take() else {
            time::sleep(RESTART_DELAY).await;
            listener = TcpListener::bind(address).await.ok();
            continue;
        };
        let crash_token = CancellationToken::new();
        *shared.crash_token.lock().unwrap() = crash_token.clone();
        accept_until(&open, &shared, &crash_token).await;
    }
}

async fn accept_until(
    listener: &TcpListener,
    shared: &Arc<EndpointShared>,
    crash_token: &CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = crash_token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            let (shared, crash_token) = (Arc::clone(shared), crash_token.clone());
            tokio::spawn(crash_token.run_until_cancelled_owned(connection(stream, shared)));
        }
    }
}

async fn connection(stream: TcpStream, shared: Arc<EndpointShared>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(respond(shared, request).await) }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond(shared: Arc<EndpointShared>, request: Request<Incoming>) -> Response<SentBody> {
    match (&shared.role, request.uri().path()) {
        (_, "/load") => load(&shared),
        _ if shared.refuse_all.load(Ordering::Relaxed) => {
            status(StatusCode::SERVICE_UNAVAILABLE, "busy")
        }
        (EndpointRole::Engine { .. }, _) => engine::respond(shared, request).await,
        (EndpointRole::Plain { .. }, _) => plain::respond(shared, request).await,
    }
}

fn load(shared: &EndpointShared) -> Response<SentBody> {
    let report = serde_json::json!({
        "running": shared.running.load(Ordering::Relaxed),
        "waiting": shared.waiting.load(Ordering::Relaxed),
        "serves": *shared.model.lock().unwrap(),
        "life": shared.life.load(Ordering::Relaxed),
        "fence": shared.fence.load(Ordering::Relaxed),
    });
    Response::new(SentBody::whole(report.to_string()))
}

/// Builds an answer with a status and a short text.
pub fn status(status: StatusCode, text: &'static str) -> Response<SentBody> {
    let mut response = Response::new(SentBody::whole(text));
    *response.status_mut() = status;
    response
}

/// Body of an answer; an error item breaks the connection.
pub enum SentBody {
    /// The complete body.
    Whole(Option<Bytes>),
    /// Chunks sent as they arrive.
    Chunks(mpsc::Receiver<Result<Bytes, io::Error>>),
    /// The request body, sent back.
    Echo(Incoming),
}

impl SentBody {
    /// Creates a body from bytes that are already complete.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|part| Ok(Frame::data(part)))),
            Self::Chunks(receiver) => receiver
                .poll_recv(context)
                .map(|next| next.map(|chunk| chunk.map(Frame::data))),
            Self::Echo(incoming) => Pin::new(incoming)
                .poll_frame(context)
                .map(|next| next.map(|frame| frame.map_err(io::Error::other))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(Some(bytes)) => hyper::body::SizeHint::with_exact(bytes.len() as u64),
            Self::Echo(incoming) => incoming.size_hint(),
            _ => hyper::body::SizeHint::default(),
        }
    }
}
