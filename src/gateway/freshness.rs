//! Upper bound on the time from the publication of a change until it is in force at all routers.
//! The bound is the operator's; this module derives from it how long a watch of the store may wait.
//!
//! Load pattern: a change is published just after all routers that read the store lost their
//! connections to it without an error. The store works and the other routers can reach it, so the
//! change has to be in force at them within the operator's bound. These waits add up: the readers'
//! watches time out, the readers report that to the others, these decide to read the store, one of
//! them reads it and sends the change to the rest. All waits but the first are fixed; the first
//! gets the remaining time.

use std::time::Duration;

use super::config::GatewayConfig;
use super::follow::WATCH_SLACK;

/// Gossip rounds on this path: to report that the readers lost the store, to decide to read it, to
/// report what was read, and to apply it.
const MESSAGE_ROUNDS: u32 = 4;

/// Time to connect to the store and read it.
const READING_TIME: Duration = Duration::from_millis(100);

/// Time from the decision that places a call until its request reaches the endpoint. It allows for
/// a host's lag of half of `overload_lag_ms` (30 ms by default); the rest is for network latency.
const SENDING_TIME: Duration = Duration::from_millis(100);

/// Shortest wait of a watch. Below it the store would be polled in effect, so an operator's bound
/// ([`bound`]) that needs a shorter wait is not met.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(200);

/// Returns how long a watch of the store waits for a change.
#[must_use]
pub fn watch_wait(config: &GatewayConfig) -> Duration {
    let left = bound(config).saturating_sub(fixed_waits(config));
    left.clamp(MIN_WATCH_WAIT, max_watch_wait(config))
}

/// Returns the longest time from a change until no router acts on the previous state, provided that
/// only readers lose the store.
#[must_use]
pub fn max_propagation_time(config: &GatewayConfig) -> Duration {
    watch_wait(config) + fixed_waits(config)
}

/// Returns the stricter of the operator's bounds on the propagation time, `leave_bound_ms` and
/// `change_bound_ms`.
#[must_use]
pub fn bound(config: &GatewayConfig) -> Duration {
    Duration::from_millis(config.leave_bound_ms.min(config.change_bound_ms))
}

fn max_watch_wait(config: &GatewayConfig) -> Duration {
    Duration::from_millis(config.watch_ms).max(MIN_WATCH_WAIT)
}

fn fixed_waits(config: &GatewayConfig) -> Duration {
    let messages = MESSAGE_ROUNDS * Duration::from_millis(config.gossip_ms);
    WATCH_SLACK + messages + READING_TIME + SENDING_TIME
}
