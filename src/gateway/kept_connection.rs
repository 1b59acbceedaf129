//! Waits for the next request on a kept connection of a caller, or for a reason to close it.
//!
//! Load pattern: callers reuse connections until shortly before a limit. A router that runs late,
//! because its host is short of processor time, finds the limit passed and the next request in the
//! socket at the same time. A request that arrived before the connection is closed is served or
//! refused with a reply; closing would leave its caller without either.

use std::io;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;

use super::front::TrafficState;
use super::front::current_limits;
use super::http::WireStream;
use super::shared::SharedState;

/// Time from the opening of a connection in which a caller sends its first request. Covers a round
/// trip on a link whose packets wait.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);

/// Why the router closes an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The router shuts down.
    Shutdown,
    /// Descriptors are scarce.
    Scarce,
    /// The idle limit passed.
    Idle,
}

impl CloseReason {
    /// Its name in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Shutdown => "shutdown",
            Self::Scarce => "scarce",
            Self::Idle => "idle",
        }
    }
}

/// How the wait for a request ended.
#[derive(Debug)]
pub enum RequestWait {
    /// Bytes of a request were read.
    Begun,
    /// The caller closed the connection, or it broke.
    CallerLeft,
    /// The connection is to be closed; no byte of a request has arrived.
    Close(CloseReason),
}

impl RequestWait {
    fn of(read: &io::Result<usize>) -> Self {
        match read {
            Ok(0) | Err(_) => Self::CallerLeft,
            Ok(_) => Self::Begun,
        }
    }
}

/// Waits for the first byte of a request on an idle connection. `former_limit` is the idle limit
/// that was in force when the last request on it was read, `None` before the first one.
///
/// The runtime may report that a limit passed before it has looked at the socket, so the socket is
/// looked at directly before the connection is given up.
pub async fn wait_for_request<P>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    former_limit: Option<Duration>,
) -> RequestWait {
    let reason = tokio::select! {
        biased;
        read = caller.fill() => return RequestWait::of(&read),
        reason = reason_to_close(traffic, former_limit) => reason,
    };
    if caller.has_unread_bytes() {
        RequestWait::of(&caller.fill().await)
    } else {
        RequestWait::Close(reason)
    }
}

/// Resolves when a connection that is idle from now on is to be closed.
async fn reason_to_close<P>(
    traffic: &TrafficState<P>,
    former_limit: Option<Duration>,
) -> CloseReason {
    let shared = &traffic.shared;
    let since = Instant::now();
    tokio::select! {
        biased;
        () = shutdown_closes(shared, since, former_limit) => CloseReason::Shutdown,
        () = traffic.callers.idle_too_long(since) => CloseReason::Scarce,
        () = idle_limit_passed(shared, since, former_limit) => CloseReason::Idle,
    }
}

/// Resolves in the closing stage of a shutdown. A connection without a former request is new: its
/// caller is about to send one and gets the time for it.
async fn shutdown_closes(shared: &SharedState, since: Instant, former_limit: Option<Duration>) {
    shared.shutdown_stages.closing.cancelled().await;
    if former_limit.is_none() {
        sleep_until(since + FIRST_REQUEST_TIME).await;
    }
}

/// Resolves when a connection that is idle since `since` has been so for longer than each limit that
/// was in force from its last request on.
///
/// A caller may learn of a change of the limit before or after this router, so none of these limits
/// may end a connection that another one allows the caller to use.
async fn idle_limit_passed(shared: &SharedState, since: Instant, former_limit: Option<Duration>) {
    let mut limit = former_limit.unwrap_or_default().max(idle_limit(shared));
    while since.elapsed() < limit {
        sleep_until(since + limit).await;
        limit = limit.max(idle_limit(shared));
    }
}

/// Returns the idle limit in force.
#[must_use]
pub fn idle_limit(shared: &SharedState) -> Duration {
    Duration::from_millis(current_limits(shared).idle_timeout_ms)
}
