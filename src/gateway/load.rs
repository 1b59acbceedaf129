//! Whether this router has more work than it can do.
//!
//! The load that this answers: a balancer spreads callers unevenly, and half of a fleet's traffic
//! may come to one small host. It runs out of descriptors or of processor time while the others
//! idle. The router then says that it is not ready, which sends new connections elsewhere, closes
//! connections after their answer, and refuses at once what it has no descriptors for: the
//! caller's retry reaches another router.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use super::shared::SharedState;

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Descriptors that are neither a caller's nor an endpoint's: files, listeners, peers, the store.
const OTHER_DESCRIPTORS: usize = 300;

/// Part of the descriptors that idle connections to endpoints may hold, as a divisor.
pub const IDLE_DIVISOR: usize = 8;

/// Part of the most calls at which the router asks for fewer callers, and at which it takes them
/// again, in percent. They lie apart so that readiness does not flap.
const ASK_PERCENT: usize = 75;
const TAKE_PERCENT: usize = 50;

/// Weight of a new lateness of timers in the mean: a second of steady lateness shows.
const LAG_WEIGHT: f64 = 0.2;

/// Calls that may run at the same time: each has a caller's and an endpoint's connection.
#[must_use]
pub fn most_calls(descriptors: usize) -> usize {
    let idle = descriptors / IDLE_DIVISOR;
    (descriptors.saturating_sub(OTHER_DESCRIPTORS + idle) / 2).max(1)
}

/// Whether there are no descriptors for another call.
#[must_use]
pub fn is_full(shared: &SharedState) -> bool {
    shared.in_flight() > most_calls(shared.config.descriptors)
}

/// Looks at the load until the router ends.
pub async fn watch_load(shared: Arc<SharedState>) {
    let mut lag_ms = 0.0;
    loop {
        let due = Instant::now() + LOOK_PAUSE;
        sleep(LOOK_PAUSE).await;
        let late = Instant::now().saturating_duration_since(due).as_secs_f64() * 1e3;
        lag_ms += LAG_WEIGHT * (late - lag_ms);
        let was = shared.is_overloaded();
        let is = is_overloaded(&shared, lag_ms, was);
        if is != was {
            let calls = shared.in_flight();
            spdlog::warn!("gateway: overloaded={is} calls={calls} lag_ms={lag_ms:.0}");
            shared.set_overloaded(is);
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn is_overloaded(shared: &SharedState, lag_ms: f64, was: bool) -> bool {
    let percent = if was { TAKE_PERCENT } else { ASK_PERCENT };
    let calls = most_calls(shared.config.descriptors) * percent / 100;
    let lag = shared.config.overload_lag_ms as f64 * percent as f64 / 100.0;
    shared.in_flight() > calls || lag_ms > lag
}
