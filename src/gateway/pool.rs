//! Idle connections to endpoints.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::http::ResponseHead;
use super::http::WireStream;
use super::http::head::has_connection_option;
use super::routes::EndpointProcess;

/// Most idle connections kept to one endpoint. A router has a few requests at each endpoint at
/// the same time; more idle ones than that are left over from a peak.
const MOST_IDLE: usize = 12;

/// Time before an endpoint's stated idle limit at which a connection is no longer used: a request
/// must not cross the endpoint's close. Covers the way there and a timer that fires late.
const IDLE_MARGIN: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct IdleConnection {
    stream: WireStream,
    usable_until: Instant,
}

/// Idle connections by the process that they lead to, newest last.
#[derive(Debug)]
pub struct EndpointPool {
    /// Most connections in all, so that a router before hundreds of endpoints keeps descriptors
    /// for its callers.
    most: usize,
    /// Connections kept now.
    count: Cell<usize>,
    idle: RefCell<BTreeMap<EndpointProcess, Vec<IdleConnection>>>,
}

impl EndpointPool {
    /// An empty pool for at most so many connections.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            count: Cell::new(0),
            idle: RefCell::default(),
        }
    }

    /// Connections kept now.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// A connection on which nothing is outstanding, if there is one.
    ///
    /// Guards against the answer of another request: a connection that has anything to read, or
    /// was closed, is dropped here.
    pub fn take(&self, endpoint: &EndpointProcess) -> Option<WireStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        let now = Instant::now();
        while let Some(mut connection) = connections.pop() {
            self.count.set(self.count.get() - 1);
            if connection.usable_until > now && connection.stream.is_clean() {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection whose answer was whole.
    pub fn put(&self, endpoint: &EndpointProcess, stream: WireStream, idle_limit: Duration) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint.clone()).or_default();
        if connections.len() < MOST_IDLE && self.count.get() < self.most {
            self.count.set(self.count.get() + 1);
            connections.push(IdleConnection {
                stream,
                usable_until: Instant::now() + idle_limit,
            });
        }
    }

    /// Drops what is too old, and all connections to endpoints that are not `known`.
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

/// How long a connection may be idle after this answer and still be used; nothing if it may not.
#[must_use]
pub fn reuse_limit(head: &ResponseHead, unstated: Duration) -> Option<Duration> {
    if head.old || has_connection_option(&head.fields, "close") {
        return None;
    }
    let stated = head.text("keep-alive").and_then(timeout_of);
    Some(stated.map_or(unstated, |limit| limit.saturating_sub(IDLE_MARGIN)))
}

fn timeout_of(text: &str) -> Option<Duration> {
    text.split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs)
}
