//! Lifecycle of attempts: charging as the answer streams, ends, and retries within budgets.

use rand::RngExt;

use crate::core::action::RefusalReason;
use crate::core::action::RunOutcome;
use crate::core::event::AttemptOutcome;
use crate::core::event::CoreEvent;
use crate::core::finish;
use crate::core::state::CoreState;
use crate::core::systems::admission;
use crate::core::systems::dispatch;
use crate::core::systems::limits;
use crate::core::systems::quarantine;
use crate::core::tables::requests::RequestEntry;
use crate::core::tables::requests::RequestStage;
use crate::core::tables::requests::RunningAttempt;
use crate::units::AttemptNumber;
use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::RequestId;
use crate::units::ServiceUnits;
use crate::units::TeamId;
use crate::units::TimeSpan;

/// Limit of exponential backoff, for endpoints and for retries: the number of times that the base
/// backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Handles progress and ends of attempts, and expired backoffs.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::Progress {
            request,
            attempt,
            service,
        } => progress(state, *request, *attempt, *service),
        CoreEvent::AttemptEnded {
            request,
            attempt,
            outcome,
            service,
        } => ended(state, *request, *attempt, *outcome, *service),
        CoreEvent::Tick => end_backoffs(state),
        _ => {}
    }
}

fn units(service: ServiceUnits) -> i64 {
    i64::try_from(service.0).unwrap_or(i64::MAX)
}

fn progress(
    state: &mut CoreState,
    request: RequestId,
    attempt: AttemptNumber,
    service: ServiceUnits,
) {
    let Some(entry) = state.requests.get(request) else {
        return;
    };
    if !entry.runs_attempt(attempt) {
        return;
    }
    if units(service) <= entry.charged {
        return;
    }
    set_charge(state, request, units(service));
}

/// Sets the total charge of a request's running attempt and charges its team the difference.
fn set_charge(state: &mut CoreState, request: RequestId, service: i64) {
    let Some(entry) = state.requests.get_mut(request) else {
        return;
    };
    let difference = service - entry.charged;
    entry.charged = service;
    let (team, pool_id) = (entry.facts.team, entry.facts.pool);
    if difference == 0 {
        return;
    }
    if let Some(pool) = state.entry_pools.get_mut(&pool_id) {
        pool.charge(team, difference);
        dispatch::rank_team(state, pool_id, team);
    }
}

fn ended(
    state: &mut CoreState,
    request: RequestId,
    attempt: AttemptNumber,
    outcome: AttemptOutcome,
    service: ServiceUnits,
) {
    let Some(entry) = state.requests.get(request) else {
        return;
    };
    let Some(RunningAttempt { endpoint, since }) = entry.running(attempt) else {
        return;
    };
    let team = entry.facts.team;
    let pool_id = entry.facts.pool;
    set_charge(state, request, units(service));
    release(state, request);
    update_endpoint_backoff(state, endpoint, outcome);
    if outcome == AttemptOutcome::Refused {
        limits::note_answer(state, pool_id, endpoint, true);
    }
    if outcome == AttemptOutcome::Whole {
        record_run(state, pool_id, team, since);
        finish::complete(state, request);
        return;
    }
    retry_or_refuse(state, request, outcome);
}

fn record_run(state: &mut CoreState, pool_id: PoolId, team: TeamId, since: Moment) {
    let span = state.now.since(since);
    let pool = state.entry_pools.get_mut(&pool_id);
    if let Some(usage) = pool.and_then(|pool| pool.teams.get_mut(&team)) {
        usage.wait_estimate.record_run(span);
    }
}

/// Frees the slot that a request's ended or cancelled attempt used.
pub fn release(state: &mut CoreState, request: RequestId) {
    let Some(entry) = state.requests.get_mut(request) else {
        return;
    };
    let RequestStage::Running { endpoint, .. } = entry.stage else {
        return;
    };
    entry.stage = RequestStage::New;
    entry.charged = 0;
    let (team, pool_id) = (entry.facts.team, entry.facts.pool);
    let Some(pool) = state.entry_pools.get_mut(&pool_id) else {
        return;
    };
    if let Some(usage) = pool.teams.get_mut(&team) {
        usage.running -= 1;
    }
    pool.mark_changed(team);
    pool.change_slots(endpoint, |hold| hold.busy = hold.busy.saturating_sub(1));
    dispatch::rank_team(state, pool_id, team);
    state.changed_pools.insert(pool_id);
}

fn update_endpoint_backoff(state: &mut CoreState, endpoint: EndpointId, outcome: AttemptOutcome) {
    let first_backoff = match outcome {
        AttemptOutcome::Whole | AttemptOutcome::Cancelled => {
            state.endpoints.row(endpoint).failures = 0;
            return;
        }
        _ => TimeSpan::from_millis(state.config.attempts.backoff_ms),
    };
    let now = state.now;
    let row = state.endpoints.row(endpoint);
    // Applies to every failure. The worst is an endpoint that refuses connections: it frees its
    // slots at once, so without a backoff it would attract all traffic and cause a burst of
    // failures. The backoff doubles with each failure.
    row.backoff_until = now + TimeSpan(first_backoff.0 << row.failures.min(MAX_BACKOFF_DOUBLINGS));
    row.failures += 1;
}

/// Returns the outcome to report for a request that ends without an answer now.
#[must_use]
pub fn outcome_so_far(entry: &RequestEntry) -> RunOutcome {
    if entry.may_have_run {
        RunOutcome::Unknown
    } else {
        RunOutcome::NotRun
    }
}

fn retry_or_refuse(state: &mut CoreState, request: RequestId, outcome: AttemptOutcome) {
    let Some(entry) = state.requests.get_mut(request) else {
        return;
    };
    let proved_not_run = matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Refused);
    if !proved_not_run {
        entry.may_have_run = true;
    }
    if let AttemptOutcome::CutAt(offset) = outcome {
        entry.passed_on = entry.passed_on.max(offset);
    }
    let can_continue = entry.passed_on == 0 || entry.facts.resumable;
    // An unrepeatable request whose bytes may have reached an endpoint is never retried: a second
    // execution would violate the at-most-once guarantee.
    let allowed = (proved_not_run && !entry.may_have_run) || entry.is_repeatable();
    let tries_left = entry.attempts < state.config.attempts.max_attempts;
    let so_far = outcome_so_far(entry);
    let (team, retries) = (entry.facts.team, entry.attempts.saturating_sub(1));
    if !allowed || !can_continue {
        finish::refuse(state, request, RefusalReason::LinkLost, so_far, TimeSpan(0));
        return;
    }
    if !tries_left || !state.retry_budgets.spend(team, &state.config.attempts) {
        let later = TimeSpan::from_millis(state.config.admission.retry_after_ms);
        finish::refuse(state, request, RefusalReason::RetryBudget, so_far, later);
        return;
    }
    back_off(state, request, retries);
}

fn back_off(state: &mut CoreState, request: RequestId, retries: u32) {
    let base = TimeSpan::from_millis(state.config.attempts.backoff_ms);
    let longest = (base.0 << retries.min(MAX_BACKOFF_DOUBLINGS)).max(1);
    let wait = TimeSpan(state.random.random_range(longest / 2..=longest));
    let until = state.now + wait;
    if let Some(entry) = state.requests.get_mut(request) {
        entry.stage = RequestStage::Backoff(until);
        state.backoffs.insert((until, request));
    }
}

fn end_backoffs(state: &mut CoreState) {
    while let Some((until, request)) = state.backoffs.first().copied() {
        if until > state.now {
            return;
        }
        state.backoffs.pop_first();
        let waits = state
            .requests
            .get(request)
            .is_some_and(|entry| entry.stage == RequestStage::Backoff(until));
        if waits && quarantine::awaits_crash_check(state, request) {
            // 0 retries: waiting for the crash check is no retry, so it takes the shortest backoff.
            back_off(state, request, 0);
        } else if waits {
            admission::enqueue_first(state, request);
        }
    }
}

/// Returns the latest time at which the first byte of an attempt that starts now may be written.
#[must_use]
pub fn latest_write_at(state: &CoreState, deadline: Moment) -> Moment {
    let span = TimeSpan::from_millis(state.config.dispatch.write_within_ms);
    (state.now + span).min(deadline)
}
