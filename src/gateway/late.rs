//! Refusal of calls that arrive while this router is too late.
//!
//! Load pattern: a team sends many times its usual load through one small host, which falls behind
//! for seconds and refuses all calls. The team's account counts the refused calls all the same.

use std::time::Duration;

use super::front::Traffic;
use super::protocol::CallFacts;
use super::protocol::CallProtocol;
use super::reply::OwnReply;
use super::reply::OwnStatus;

/// Cause of the refusal in logs and metrics.
pub const ROUTER_FULL: &str = "router is full";

/// Counts a call that this router is too late for in its team's account, and returns the refusal.
///
/// Without the count the team would seem, by the logs, to ask for nothing while its router is late.
pub fn refusal_when_late<P: CallProtocol>(traffic: &Traffic<P>, facts: &CallFacts) -> OwnReply {
    let shared = &traffic.shared;
    let table = shared.routes();
    let key = facts.credential.as_deref();
    let team = table
        .as_ref()
        .and_then(|table| key.and_then(|key| table.team(key)));
    if let (Some(team), Some(prompt)) = (team, &facts.prompt) {
        shared.core().record_refused_late(team, prompt);
    }
    let wait = Duration::from_millis(shared.config.elsewhere_retry_ms);
    OwnReply::later(OwnStatus::Unavailable, wait)
}
