//! Ends requests that are in the request table with an answer or a refusal. All systems do that
//! through this module, so that the request's ticket ends together with the request, exactly once.
//!
//! Other ends do not pass through here: requests that are refused or answered before they are added
//! to the table (`tickets`, `draining`), that are forwarded to a peer (`draining`), or whose caller
//! disconnected (`admission`).

use crate::units::RequestId;
use crate::units::TimeSpan;

use super::action::CoreAction;
use super::action::RefusalReason;
use super::action::RunOutcome;
use super::state::CoreState;
use super::systems::tickets;

/// Ends a request whose whole answer was passed on.
pub fn complete(state: &mut CoreState, request: RequestId) {
    let Some(entry) = state.requests.remove(request) else {
        return;
    };
    state.act(CoreAction::Complete { request });
    tickets::completed(state, entry.facts.repeat);
}

/// Ends a request that is refused or given up, and answers its caller at once.
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
