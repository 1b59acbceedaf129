//! Pool of idle connections to endpoints.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::http::ResponseHead;
use super::http::WireStream;
use super::http::head::has_connection_option;
use super::routes::EndpointProcess;

/// Most idle connections kept per endpoint. A router has a few requests at each endpoint at the
/// same time; more idle connections than that are left over from a peak.
const MAX_IDLE_PER_ENDPOINT: usize = 12;

/// Time before an endpoint's stated idle limit from which a connection is no longer used, so that
/// no request is in flight when the endpoint closes. Covers the network delay and a late timer.
const IDLE_MARGIN: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct IdleConnection {
    stream: WireStream,
    usable_until: Instant,
}

/// Idle connections by endpoint process, newest last.
#[derive(Debug)]
pub struct EndpointPool {
    /// Most connections in total, so that a router with hundreds of endpoints keeps descriptors
    /// for its callers.
    max_idle: usize,
    /// Number of idle connections.
    count: Cell<usize>,
    idle: RefCell<BTreeMap<EndpointProcess, Vec<IdleConnection>>>,
}

impl EndpointPool {
    /// Creates an empty pool with this limit on its total number of connections.
    #[must_use]
    pub fn new(max_idle: usize) -> Self {
        Self {
            max_idle,
            count: Cell::new(0),
            idle: RefCell::default(),
        }
    }

    /// Number of idle connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Takes a usable idle connection to an endpoint, if there is one.
    ///
    /// Guards against delivering the answer of another request: a connection that was closed or
    /// has bytes to read is dropped.
    pub fn take(&self, endpoint: &EndpointProcess) -> Option<WireStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            self.count.set(self.count.get() - 1);
            if connection.usable_until > now && connection.stream.is_clean() {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Returns true if a usable idle connection to an endpoint is still open. Others are dropped.
    pub fn has_open(&self, endpoint: &EndpointProcess) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(endpoint) else {
            return false;
        };
        let (now, before) = (Instant::now(), connections.len());
        connections
            .retain(|connection| connection.usable_until > now && connection.stream.is_clean());
        self.count
            .set(self.count.get() - (before - connections.len()));
        !connections.is_empty()
    }

    /// Keeps a connection whose answer was complete, unless the pool is full.
    pub fn put(&self, endpoint: &EndpointProcess, stream: WireStream, idle_limit: Duration) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT && self.count.get() < self.max_idle {
            self.count.set(self.count.get() + 1);
            connections.push(IdleConnection {
                stream,
                usable_until: Instant::now() + idle_limit,
            });
        }
    }

    /// Drops expired connections and all connections to endpoint processes for which `known`
    /// returns false.
    pub fn sweep(&self, known: impl Fn(&EndpointProcess) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|endpoint, connections| {
            connections.retain(|connection| connection.usable_until > now);
            !connections.is_empty() && known(endpoint)
        });
        self.count.set(idle.values().map(Vec::len).sum());
    }
}

/// How long a connection may be idle after this answer before it is reused; `None` if it must not
/// be reused. `default_limit` applies if the endpoint states no limit.
#[must_use]
pub fn reuse_limit(head: &ResponseHead, default_limit: Duration) -> Option<Duration> {
    if head.old || has_connection_option(&head.fields, "close") {
        return None;
    }
    let stated = head.text("keep-alive").and_then(keep_alive_timeout);
    Some(stated.map_or(default_limit, |limit| limit.saturating_sub(IDLE_MARGIN)))
}

/// The timeout in a `Keep-Alive` header.
fn keep_alive_timeout(text: &str) -> Option<Duration> {
    text.split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs)
}
