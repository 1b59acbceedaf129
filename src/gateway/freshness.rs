//! Upper bound on the time from the publication of a change until it is in force at all routers.
//! The bound is the operator's; this module derives from it how long a watch of the store may wait.
//!
//! Two load patterns have a sum of waits each. First: all routers that read the store die or stand
//! still just before a change. The others must notice their silence ([`reader_silence`]), decide to
//! read the store, read it and send the change to the rest.
//!
//! Second: a change is published just after all routers that read the store lost their connections
//! to it without an error. The store works and the other routers can reach it, so the
//! change has to be in force at them within the operator's bound. These waits add up: the readers'
//! watches time out, the readers report that to the others, these decide to read the store, one of
//! them reads it and sends the change to the rest. All waits but the first are fixed; the first
//! gets the remaining time.

use std::time::Duration;

use crate::units::TimeSpan;

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

/// Gossip rounds without a sign of a reader after which it counts as silent: more than a sign takes
/// to reach 1,300 routers with three messages per router and round.
const SILENT_ROUNDS: u32 = 10;

/// Fewest gossip rounds without a sign of a reader after which it may count as silent. Below it a
/// few lost messages would make others read the store.
const MIN_SILENT_ROUNDS: u32 = 4;

/// Returns the time without a sign of a reader after which it counts as silent; shorter than usual
/// if the operator's bound requires it.
#[must_use]
pub fn reader_silence(config: &GatewayConfig) -> TimeSpan {
    let round = Duration::from_millis(config.gossip_ms);
    let left = bound(config).saturating_sub(waits_after_silence(config));
    span(left.clamp(MIN_SILENT_ROUNDS * round, SILENT_ROUNDS * round))
}

/// Returns the time from the store's return for which endpoints without a registration are used. It
/// ends within the bound on endpoints that leave: what looks like an outage may have been one of the
/// routers' own connections, and an endpoint that is missing then has left.
#[must_use]
pub fn lapse_grace(config: &GatewayConfig) -> TimeSpan {
    let latest = Duration::from_millis(config.leave_bound_ms).saturating_sub(SENDING_TIME);
    let grace = Duration::from_millis(config.lapse_grace_ms).min(latest);
    span(grace)
}

fn span(duration: Duration) -> TimeSpan {
    TimeSpan(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

/// Returns for how long a router tries to get a newer state from others before it reads the store: the
/// other half of the operator's bound is left to notice the state and to read it.
#[must_use]
pub fn stuck_limit(config: &GatewayConfig) -> TimeSpan {
    span(bound(config) / 2)
}

/// Returns how long a watch of the store waits for a change.
#[must_use]
pub fn watch_wait(config: &GatewayConfig) -> Duration {
    let left = bound(config).saturating_sub(fixed_waits(config));
    left.clamp(MIN_WATCH_WAIT, max_watch_wait(config))
}

/// Returns the longest time from a change until no router acts on the previous state, provided that
/// only readers lose the store, die or stand still.
#[must_use]
pub fn max_propagation_time(config: &GatewayConfig) -> Duration {
    let lost = watch_wait(config) + fixed_waits(config);
    let silent = reader_silence(config).as_duration() + waits_after_silence(config);
    lost.max(silent)
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
    WATCH_SLACK + waits_after_loss(config)
}

/// Waits from the loss of all readers until the last router has the change that another one read.
fn waits_after_loss(config: &GatewayConfig) -> Duration {
    let messages = MESSAGE_ROUNDS * Duration::from_millis(config.gossip_ms);
    messages + READING_TIME + SENDING_TIME
}

/// As [`waits_after_loss`], with the pause after a change in which a reader that dies takes no
/// further change from the store.
fn waits_after_silence(config: &GatewayConfig) -> Duration {
    Duration::from_millis(config.endpoint_batch_ms) + waits_after_loss(config)
}
