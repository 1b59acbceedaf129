//! Refusing the calls of a router that is late.
//!
//! The load that this answers: a team sends many times its usual through one small host, which is late
//! for seconds and refuses all that comes. Its account tells what was asked all the same.

use std::time::Duration;

use super::front::Traffic;
use super::protocol::CallFacts;
use super::protocol::CallProtocol;
use super::reply::OwnReply;
use super::reply::OwnStatus;

/// Cause of the refusal, as logs and metrics tell it.
pub const ROUTER_FULL: &str = "router is full";

/// Accounts for a call that this router is too late for; the refusal.
///
/// Guards against a team that, as logs tell it, asks nothing while its router is late.
pub fn refusal_when_late<P: CallProtocol>(traffic: &Traffic<P>, facts: &CallFacts) -> OwnReply {
    let shared = &traffic.shared;
    let table = shared.routes();
    let key = facts.credential.as_deref();
    let team = table
        .as_ref()
        .and_then(|table| key.and_then(|key| table.team(key)));
    if let (Some(team), Some(prompt)) = (team, &facts.prompt) {
        shared.core().refused_late(team, prompt);
    }
    let wait = Duration::from_millis(shared.config.elsewhere_retry_ms);
    OwnReply::later(OwnStatus::Unavailable, wait)
}
