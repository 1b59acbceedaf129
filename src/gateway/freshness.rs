//! How old the news may be by which a router acts, and what that leaves for each wait.
//!
//! The load that this answers: a change is published just after every router that reads the store
//! was cut off from it without a sign. The store is well and the other routers reach it, so the
//! change has to be in force at them within the operator's bound. Until then these waits come in a
//! row: the readers' watches run out and are overdue, each tells the others, these decide to read,
//! one of them reads, and tells the rest. All but the first are fixed; the first is what they leave.

use std::time::Duration;

use super::config::GatewayConfig;
use super::follow::WATCH_SLACK;

/// Rounds of messages on the way: to tell that the readers lost the store, to decide to read, to
/// tell what was read, and to act by it.
const MESSAGE_ROUNDS: u32 = 4;

/// Time to connect to the store and read it.
const READING_TIME: Duration = Duration::from_millis(100);

/// Time from the decision that places a call until its request is at the endpoint: links, and a
/// host that is late by half of what counts as overload.
const SENDING_TIME: Duration = Duration::from_millis(100);

/// Shortest wait of a watch: below it a store is asked as often as if it were polled, and a bound
/// that small is not held.
const SHORTEST_WATCH: Duration = Duration::from_millis(200);

/// How long a watch of the store waits for a change.
#[must_use]
pub fn watch_wait(config: &GatewayConfig) -> Duration {
    let left = bound(config).saturating_sub(fixed_waits(config));
    left.clamp(SHORTEST_WATCH, longest_watch(config))
}

/// Time from a change until no router acts by what was before, while only readers are cut off.
#[must_use]
pub fn longest_news(config: &GatewayConfig) -> Duration {
    watch_wait(config) + fixed_waits(config)
}

/// The stricter of the operator's bounds.
#[must_use]
pub fn bound(config: &GatewayConfig) -> Duration {
    Duration::from_millis(config.leave_bound_ms.min(config.change_bound_ms))
}

fn longest_watch(config: &GatewayConfig) -> Duration {
    Duration::from_millis(config.watch_ms).max(SHORTEST_WATCH)
}

fn fixed_waits(config: &GatewayConfig) -> Duration {
    let messages = MESSAGE_ROUNDS * Duration::from_millis(config.gossip_ms);
    WATCH_SLACK + messages + READING_TIME + SENDING_TIME
}
