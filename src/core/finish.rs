//! The ways in which a request ends. Every system that ends a request calls one of these, so
//! that each end is accounted once.

use crate::units::RequestId;
use crate::units::TimeSpan;

use super::action::CoreAction;
use super::action::RefusalReason;
use super::action::RunOutcome;
use super::state::CoreState;
use super::systems::tickets;

/// The answer was passed on whole.
pub fn complete(state: &mut CoreState, request: RequestId) {
    let Some(entry) = state.requests.remove(request) else {
        return;
    };
    state.act(CoreAction::Complete { request });
    tickets::completed(state, entry.facts.repeat);
}

/// The request is refused or given up; its caller is told at once.
pub fn refuse(
    state: &mut CoreState,
    request: RequestId,
    reason: RefusalReason,
    outcome: RunOutcome,
    retry_after: TimeSpan,
) {
    let Some(entry) = state.requests.remove(request) else {
        return;
    };
    state.act(CoreAction::Refuse {
        request,
        reason,
        outcome,
        retry_after,
    });
    tickets::refused(state, entry.facts.repeat, reason, outcome, retry_after);
}
