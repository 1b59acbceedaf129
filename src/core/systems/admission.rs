//! Admission of new requests: bounded queues, deadlines, callers that disconnect.

use crate::catalog::UrgencyClass;
use crate::core::action::CoreAction;
use crate::core::action::RefusalReason;
use crate::core::action::RunOutcome;
use crate::core::event::CoreEvent;
use crate::core::event::RequestFacts;
use crate::core::finish;
use crate::core::state::CoreState;
use crate::core::systems::attempts;
use crate::core::systems::dispatch;
use crate::core::systems::draining;
use crate::core::systems::limits;
use crate::core::systems::quarantine;
use crate::core::systems::tickets;
use crate::core::systems::tickets::TicketDecision;
use crate::core::tables::requests::RequestEntry;
use crate::core::tables::requests::RequestStage;
use crate::units::RequestId;
use crate::units::TimeSpan;

/// Handles arrivals, callers that disconnect, and expired deadlines.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::Arrived(facts) => arrived(state, facts),
        CoreEvent::CallerLeft(request) => caller_left(state, *request),
        CoreEvent::Tick => drop_overdue(state),
        _ => {}
    }
}

/// Why a request can't be admitted, and when its caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlyRefusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Wait before the caller should retry.
    pub retry_after: TimeSpan,
}

fn arrived(state: &mut CoreState, facts: &RequestFacts) {
    if draining::redirect_or_refuse(state, facts) {
        return;
    }
    if tickets::check_ticket(state, facts) == TicketDecision::Handled {
        return;
    }
    let urgency = urgency_of(state, facts);
    let entry = RequestEntry::new(facts.clone(), urgency, state.now);
    state.requests.insert(entry);
    if let Some(refusal) = reason_to_refuse(state, facts) {
        let EarlyRefusal {
            reason,
            retry_after,
        } = refusal;
        finish::refuse(
            state,
            facts.request,
            reason,
            RunOutcome::NotRun,
            retry_after,
        );
        return;
    }
    state.retry_budgets.earn(facts.team, &state.config.attempts);
    enqueue(state, facts.request);
}

fn urgency_of(state: &CoreState, facts: &RequestFacts) -> UrgencyClass {
    state
        .catalog
        .teams
        .get(&facts.team)
        .and_then(|team| team.kinds.get(&facts.kind))
        .map_or(UrgencyClass::Batch, |kind| kind.urgency)
}

/// Returns why a request can't be admitted now, or `None` if it can.
#[must_use]
pub fn reason_to_refuse(state: &CoreState, facts: &RequestFacts) -> Option<EarlyRefusal> {
    let usual_delay = TimeSpan::from_millis(state.config.admission.retry_after_ms);
    let refusal = |reason, retry_after| {
        Some(EarlyRefusal {
            reason,
            retry_after,
        })
    };
    let Some(pool) = state.entry_pools.get(&facts.pool) else {
        return refusal(RefusalReason::NoEndpoint, usual_delay);
    };
    let Some(team) = state.catalog.teams.get(&facts.team) else {
        return refusal(RefusalReason::NotReady, usual_delay);
    };
    if let Some(until) = state
        .crashes
        .quarantined_until(facts.fingerprint, state.now)
    {
        let later = until.since(state.now);
        return refusal(RefusalReason::Quarantined, later);
    }
    // The queue limit is per team, so that a burst of one team fills only that team's queue. The
    // limit over all teams bounds memory when many teams send bursts at once.
    let waiting = pool
        .teams
        .get(&facts.team)
        .map_or(0, |usage| usage.queue.len());
    let full = waiting >= team.queue_limit as usize;
    // `>`: a request that has arrived is already in the table and counts itself.
    let router_full = state.requests.len() > state.config.admission.queue_limit as usize;
    if full || router_full {
        return refusal(RefusalReason::QueueFull, usual_delay);
    }
    // A request that can't finish before its deadline would wait in vain and, once started, take a
    // slot from one that can. It is refused at once, with the wait after which a retry may succeed.
    let needed = limits::time_to_end(state, facts, urgency_of(state, facts));
    let left = facts.deadline.since(state.now);
    if needed > left {
        let later = TimeSpan(needed.0 - left.0).max(usual_delay);
        return refusal(RefusalReason::Overloaded, later);
    }
    None
}

/// Puts a request at the back of its team's queue.
pub fn enqueue(state: &mut CoreState, request: RequestId) {
    put_in_queue(state, request, false);
}

/// Puts a request whose attempt failed or could not start at the front of its team's queue.
pub fn enqueue_first(state: &mut CoreState, request: RequestId) {
    put_in_queue(state, request, true);
}

fn put_in_queue(state: &mut CoreState, request: RequestId, first: bool) {
    let Some(entry) = state.requests.get_mut(request) else {
        return;
    };
    entry.stage = RequestStage::Waiting;
    let (team, pool_id, urgency) = (entry.facts.team, entry.facts.pool, entry.urgency);
    if quarantine::isolate_if_suspect(state, request) {
        return;
    }
    let Some(pool) = state.entry_pools.get_mut(&pool_id) else {
        return;
    };
    let usage = pool.teams.entry(team).or_default();
    let begins = usage.queue.is_empty();
    if first {
        usage.queue.push_front(request, urgency);
    } else {
        usage.queue.push(request, urgency);
    }
    pool.waiting += 1;
    pool.mark_changed(team);
    if begins {
        pool.has_new_demand = true;
    }
    dispatch::rank_team(state, pool_id, team);
    state.changed_pools.insert(pool_id);
}

/// Takes a waiting request out of its queue.
pub fn dequeue(state: &mut CoreState, request: RequestId) {
    if state.trials.isolated.remove(&request).is_some() {
        return;
    }
    let Some(entry) = state.requests.get(request) else {
        return;
    };
    let (team, pool_id, urgency) = (entry.facts.team, entry.facts.pool, entry.urgency);
    let Some(pool) = state.entry_pools.get_mut(&pool_id) else {
        return;
    };
    let Some(usage) = pool.teams.get_mut(&team) else {
        return;
    };
    if usage.queue.remove(request, urgency) {
        pool.waiting -= 1;
        pool.mark_changed(team);
        dispatch::rank_team(state, pool_id, team);
    }
}

fn caller_left(state: &mut CoreState, request: RequestId) {
    let Some(entry) = state.requests.get(request) else {
        return;
    };
    let (repeat, current_stage) = (entry.facts.repeat, entry.stage);
    let sent = entry.may_have_run || matches!(current_stage, RequestStage::Running { .. });
    if tickets::continue_or_release_ticket(state, repeat, sent) {
        return;
    }
    match current_stage {
        RequestStage::New | RequestStage::Backoff(_) => {}
        RequestStage::Waiting => dequeue(state, request),
        RequestStage::Running { attempt, .. } => {
            state.act(CoreAction::Cancel { request, attempt });
            attempts::release(state, request);
        }
    }
    state.requests.remove(request);
}

fn drop_overdue(state: &mut CoreState) {
    for request in state.requests.overdue(state.now) {
        let Some(entry) = state.requests.get(request) else {
            continue;
        };
        // A running attempt may finish after its deadline: the router guarantees not to cut off
        // an answer that the caller is still reading.
        if matches!(entry.stage, RequestStage::Running { .. }) {
            continue;
        }
        let outcome = attempts::outcome_so_far(entry);
        dequeue(state, request);
        let reason = RefusalReason::DeadlinePassed;
        finish::refuse(state, request, reason, outcome, TimeSpan(0));
    }
}
