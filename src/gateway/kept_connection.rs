//! Waits for the next request on a kept connection of a caller, or for a reason to close it.
//!
//! Load pattern: callers reuse connections until shortly before a limit. A router that runs late,
//! because its host is short of processor time, finds the limit passed and the next request in the
//! socket at the same time. A request that arrived before the connection is closed is served or
//! refused with a reply; closing would leave its caller without either.

use std::io;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use super::front::TrafficState;
use super::front::current_limits;
use super::http::WireStream;

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
    fn of(read: io::Result<usize>) -> Self {
        match read {
            Ok(0) | Err(_) => Self::CallerLeft,
            Ok(_) => Self::Begun,
        }
    }
}

/// Waits for the first byte of a request on an idle connection.
///
/// The runtime may report that a limit passed before it has looked at the socket, so the socket is
/// looked at directly before the connection is given up.
pub async fn wait_for_request<P>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
) -> RequestWait {
    let reason = tokio::select! {
        biased;
        read = caller.fill() => return RequestWait::of(read),
        reason = reason_to_close(traffic) => reason,
    };
    if caller.has_unread_bytes() {
        RequestWait::of(caller.fill().await)
    } else {
        RequestWait::Close(reason)
    }
}

/// Resolves when a connection that is idle from now on is to be closed.
async fn reason_to_close<P>(traffic: &TrafficState<P>) -> CloseReason {
    let shared = &traffic.shared;
    let idle_limit = Duration::from_millis(current_limits(shared).idle_timeout_ms);
    tokio::select! {
        biased;
        () = shared.shutdown_stages.closing.cancelled() => CloseReason::Shutdown,
        () = traffic.callers.idle_too_long(Instant::now()) => CloseReason::Scarce,
        () = sleep(idle_limit) => CloseReason::Idle,
    }
}
