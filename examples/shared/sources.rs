//! A stand-in for the sources: the configuration service and the host list over HTTP.
//!
//! Serves `GET /config` and `GET /hosts` as `verbenaturn::sources::http` reads them, counts calls
//! and simulates the failures of the real services. Stops when it is dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use warp::Filter;

/// A published value with its revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PublishedValue {
    /// Revision of the value.
    pub revision: u64,
    /// Content of the value.
    pub text: Bytes,
}

/// Response behaviour of the configuration service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum ServiceMode {
    /// Answers correctly.
    #[default]
    Healthy,
    /// Accepts requests and never answers.
    Hanging,
    /// Answers every request with this outdated value.
    Old(PublishedValue),
    /// Answers with this many bytes.
    Oversized(usize),
    /// Answers with bytes that are not a valid publication, under a new revision.
    Garbage,
    /// Answers with this HTTP status.
    Failing(u16),
}

#[derive(Debug, Clone, Default)]
struct SourceState {
    config: PublishedValue,
    hosts: Bytes,
    mode: ServiceMode,
}

#[derive(Debug, Default)]
struct CallCounters {
    config_calls: AtomicU64,
    hosts_calls: AtomicU64,
    open_watches: AtomicI64,
}

/// A running stand-in for the configuration service and the host list.
#[derive(Debug)]
pub struct StandinSources {
    address: SocketAddr,
    state: watch::Sender<SourceState>,
    counters: Arc<CallCounters>,
    _stop: DropGuard,
}

impl StandinSources {
    /// Starts on a free loopback port, or on `address`.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start(address: Option<SocketAddr>) -> std::io::Result<Self> {
        let wanted = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = TcpListener::bind(wanted).await?;
        let address = listener.local_addr()?;
        let (state, reader) = watch::channel(SourceState::default());
        let counters = Arc::new(CallCounters::default());
        let stop = CancellationToken::new();
        let routes = routes(reader, Arc::clone(&counters));
        let stopped = stop.clone().cancelled_owned();
        tokio::spawn(async move {
            tokio::select! {
                () = warp::serve(routes).incoming(listener).run() => {}
                () = stopped => {}
            }
        });
        Ok(Self {
            address,
            state,
            counters,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the URL of the configuration service.
    #[must_use]
    pub fn config_url(&self) -> String {
        format!("http://{}/config", self.address)
    }

    /// Returns the URL of the host list.
    #[must_use]
    pub fn hosts_url(&self) -> String {
        format!("http://{}/hosts", self.address)
    }

    /// Publishes a text under the next revision and returns that revision.
    pub fn publish(&self, text: impl Into<Bytes>) -> u64 {
        let text = text.into();
        let mut revision = 0;
        self.state.send_modify(|state| {
            state.config.revision += 1;
            state.config.text = text;
            revision = state.config.revision;
        });
        revision
    }

    /// Replaces the host list.
    pub fn list_hosts(&self, text: impl Into<Bytes>) {
        let text = text.into();
        self.state.send_modify(|state| state.hosts = text);
    }

    /// Sets the response behaviour of the configuration service.
    pub fn set_mode(&self, mode: ServiceMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Number of calls of the configuration service so far, reads and watches.
    #[must_use]
    pub fn config_calls(&self) -> u64 {
        self.counters.config_calls.load(Ordering::Relaxed)
    }

    /// Number of reads of the host list so far.
    #[must_use]
    pub fn hosts_calls(&self) -> u64 {
        self.counters.hosts_calls.load(Ordering::Relaxed)
    }

    /// Number of watches that are waiting.
    #[must_use]
    pub fn open_watches(&self) -> i64 {
        self.counters.open_watches.load(Ordering::Relaxed)
    }
}

fn routes(
    state: watch::Receiver<SourceState>,
    counters: Arc<CallCounters>,
) -> impl Filter<Extract = (Response<Bytes>,), Error = warp::Rejection> + Clone + Send + Sync {
    let shared = warp::any().map(move || (state.clone(), Arc::clone(&counters)));
    let config = warp::path("config")
        .and(warp::path::end())
        .and(warp::header::optional::<String>("if-none-match"))
        .and(warp::header::optional::<String>("prefer"))
        .and(shared.clone())
        .then(answer_config);
    let hosts = warp::path("hosts")
        .and(warp::path::end())
        .and(shared)
        .map(answer_hosts);
    warp::get().and(config.or(hosts).unify())
}

type SharedState = (watch::Receiver<SourceState>, Arc<CallCounters>);

async fn answer_config(
    tag: Option<String>,
    prefer: Option<String>,
    (mut state, counters): SharedState,
) -> Response<Bytes> {
    counters.config_calls.fetch_add(1, Ordering::Relaxed);
    let known = tag.and_then(|tag| tag.trim_matches('"').parse::<u64>().ok());
    let wait = prefer
        .and_then(|text| text.strip_prefix("wait=")?.parse().ok())
        .map_or(Duration::ZERO, Duration::from_secs);
    let _open = OpenWatch::new(known.is_some(), counters);
    let news = timeout(wait, state.wait_for(|state| has_update(state, known)));
    let timed_out = news.await.is_err();
    if state.has_changed().is_err() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if timed_out && known.is_some() {
        return status(StatusCode::NOT_MODIFIED);
    }
    let state = state.borrow().clone();
    answer_by_mode(state, known).await
}

/// Counts a waiting watch until it is dropped.
struct OpenWatch(Option<Arc<CallCounters>>);

impl OpenWatch {
    fn new(counted: bool, counters: Arc<CallCounters>) -> Self {
        if counted {
            counters.open_watches.fetch_add(1, Ordering::Relaxed);
        }
        Self(counted.then_some(counters))
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        if let Some(counters) = &self.0 {
            counters.open_watches.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn has_update(state: &SourceState, known: Option<u64>) -> bool {
    match state.mode {
        ServiceMode::Healthy => known != Some(state.config.revision),
        _ => true,
    }
}

async fn answer_by_mode(state: SourceState, known: Option<u64>) -> Response<Bytes> {
    let next = known.unwrap_or(state.config.revision) + 1;
    match state.mode {
        ServiceMode::Healthy if state.config.revision == 0 => status(StatusCode::NOT_FOUND),
        ServiceMode::Healthy => value(&state.config),
        ServiceMode::Hanging => std::future::pending().await,
        ServiceMode::Old(config) => value(&config),
        ServiceMode::Oversized(bytes) => value(&PublishedValue {
            revision: next,
            text: Bytes::from(vec![b' '; bytes]),
        }),
        ServiceMode::Garbage => value(&PublishedValue {
            revision: next,
            text: Bytes::from_static(b"<html>\xff not json"),
        }),
        ServiceMode::Failing(code) => {
            status(StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        }
    }
}

fn value(config: &PublishedValue) -> Response<Bytes> {
    let mut answer = Response::new(config.text.clone());
    if let Ok(tag) = format!("\"{}\"", config.revision).parse() {
        answer.headers_mut().insert(http::header::ETAG, tag);
    }
    answer
}

fn answer_hosts((state, counters): SharedState) -> Response<Bytes> {
    counters.hosts_calls.fetch_add(1, Ordering::Relaxed);
    Response::new(state.borrow().hosts.clone())
}

fn status(status: StatusCode) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::new());
    *answer.status_mut() = status;
    answer
}
