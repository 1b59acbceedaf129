//! Refusal of calls that arrive while this router must refuse all calls: it lags too much, or
//! almost all its descriptors are in use.
//!
//! Load pattern: a team sends many times its usual load through one small host, which falls behind
//! for seconds and refuses all calls. The refused calls are still counted in the team's account,
//! the decision core's counts of each team's demand for the logs.

use std::time::Duration;

use super::front::TrafficState;
use super::protocol::CallFacts;
use super::protocol::CallProtocol;
use super::reply::OwnReply;
use super::reply::OwnStatus;

/// Cause of the refusal in logs and metrics; it covers both lag and lack of descriptors.
pub const ROUTER_FULL: &str = "router is full";

/// Counts a call that this router must refuse in its team's account, and returns the refusal.
///
/// Without the count the logs would show no demand of the team while its router refuses all calls.
pub fn full_router_refusal<P: CallProtocol>(
    traffic: &TrafficState<P>,
    facts: &CallFacts,
) -> OwnReply {
    let shared = &traffic.shared;
    let table = shared.routes();
    let key = facts.credential.as_deref();
    let team = table
        .as_ref()
        .and_then(|table| key.and_then(|key| table.team(key)));
    if let (Some(team), Some(prompt)) = (team, &facts.prompt) {
        let now = shared.clock.now();
        shared.core().record_refused_late(now, team, prompt);
    }
    let wait = Duration::from_millis(shared.config.elsewhere_retry_ms);
    OwnReply::with_retry_after(OwnStatus::Unavailable, wait)
}
