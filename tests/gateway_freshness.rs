//! The waits between a change and the last router that applies it, under the operator's bounds.

use std::time::Duration;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::freshness::bound;
use verbenaturn::gateway::freshness::max_propagation_time;
use verbenaturn::gateway::freshness::watch_wait;

fn bounded(leave_ms: u64, change_ms: u64) -> GatewayConfig {
    GatewayConfig {
        leave_bound_ms: leave_ms,
        change_bound_ms: change_ms,
        ..GatewayConfig::default()
    }
}

/// All readers lose the store just after a watch began, in fleets with any bounds from 1.3 s on.
/// The sum of the waits must stay within the stricter bound.
#[test]
fn the_waits_in_a_row_hold_the_bound() {
    for leave in (1_300..6_000).step_by(100) {
        for change in (1_300..6_000).step_by(100) {
            let config = bounded(leave, change);
            assert!(
                max_propagation_time(&config) <= bound(&config),
                "{leave} {change}"
            );
        }
    }
}

/// Each call to the store is billed, so a wide bound must not shorten watches.
#[test]
fn a_wide_bound_leaves_watches_as_they_are_set() {
    let config = bounded(3_000, 3_000);
    assert_eq!(watch_wait(&config), Duration::from_millis(config.watch_ms));
}

/// A bound that can't be met must not make a fleet poll its store without a pause.
#[test]
fn a_bound_that_can_not_be_met_is_reported_and_watches_keep_a_wait() {
    let config = bounded(300, 300);
    assert!(max_propagation_time(&config) > bound(&config));
    assert_eq!(watch_wait(&config), Duration::from_millis(200));
}
