//! Limits on concurrent requests per endpoint: the published slots, or fewer while the endpoint is
//! under pressure (it queues requests or answers late) or runs requests that this side of a
//! partition did not send. Also estimates how long a request would take, by which requests that
//! can't finish in time are refused early.

use std::collections::BTreeSet;

use crate::catalog::PoolProtocol;
use crate::catalog::UrgencyClass;
use crate::core::action::CoreAction;
use crate::core::event::CoreEvent;
use crate::core::event::RequestFacts;
use crate::core::state::CoreState;
use crate::core::tables::endpoints::LoadWatcher;
use crate::core::tables::requests::RunningAttempt;
use crate::core::tables::slot_limits::SlotLimit;
use crate::units::AttemptNumber;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::RequestId;
use crate::units::TimeSpan;
use crate::wire::demand::DemandReport;

/// Handles load reports and first bytes, and adjusts limits at intervals.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::EndpointLoad { .. } => take_load(state, event),
        CoreEvent::FirstByte { request, attempt } => first_byte(state, *request, *attempt),
        CoreEvent::Tick => adjust_if_due(state),
        _ => {}
    }
}

fn take_load(state: &mut CoreState, event: &CoreEvent) {
    let CoreEvent::EndpointLoad {
        endpoint,
        running,
        waiting,
        active,
        life,
        fence,
    } = event
    else {
        return;
    };
    let now = state.now;
    let row = state.endpoints.row(*endpoint);
    row.active = Some(*active);
    row.life = *life;
    row.fence = row.fence.max(*fence);
    row.reported_running = *running;
    row.reported_at = Some(now);
    let ours: u32 = state
        .owned
        .values()
        .filter_map(|pool| pool.assigned_slots.get(endpoint))
        .sum();
    let published = state
        .catalog
        .endpoints
        .get(endpoint)
        .map_or(0, |row| row.slots.0);
    let limit = state.slot_limits.limits.entry(*endpoint).or_default();
    let present = running + waiting;
    limit.note_foreign_load(present.saturating_sub(ours), now);
    // During a partition two owners may give the endpoint up to twice its slots, and it queues
    // requests for that reason alone. Subtracting foreign load corrects that within seconds;
    // lowering the limit as well would leave the endpoint idle long after. Queued requests
    // therefore count as pressure only while the endpoint has no more requests than published
    // slots.
    limit.endpoint_queued |= *waiting > 0 && present <= published;
}

/// Counts whether the first byte of an attempt came within its latency goal.
fn first_byte(state: &mut CoreState, request: RequestId, attempt: AttemptNumber) {
    let Some(entry) = state.requests.get(request) else {
        return;
    };
    let Some(RunningAttempt { endpoint, since }) = entry.running(attempt) else {
        return;
    };
    let (pool_id, goal) = (entry.facts.pool, first_byte_goal(state, &entry.facts));
    let late = state.now.since(since) > goal;
    note_answer(state, pool_id, endpoint, late);
}

/// Counts one answer as late or in time; a refusal by the endpoint (503 or 429) counts as late.
/// Schedules a report to the owner when the endpoint crosses the threshold for late answers.
pub fn note_answer(state: &mut CoreState, pool_id: PoolId, endpoint: EndpointId, late: bool) {
    let tally = state.slot_limits.tallies.entry(endpoint).or_default();
    tally.note(late);
    let is_late = tally.per_mille() >= state.config.limits.slow_per_mille;
    if is_late == tally.reported_late {
        return;
    }
    tally.reported_late = is_late;
    if let Some(pool) = state.entry_pools.get_mut(&pool_id) {
        let next = pool.report_sequence + 1;
        pool.change_slots(endpoint, |hold| hold.first_sent_in = next);
    }
}

/// Returns the latency goal for the first byte of a request's answer: that of its kind, which
/// `first_byte_ms` can only lower, for interactive requests to pools of the engine protocol.
/// `first_byte_ms` applies alone if the kind is unknown.
fn first_byte_goal(state: &CoreState, facts: &RequestFacts) -> TimeSpan {
    let default_goal = TimeSpan::from_millis(state.config.limits.first_byte_ms);
    let kind = state
        .catalog
        .teams
        .get(&facts.team)
        .and_then(|team| team.kinds.get(&facts.kind));
    let Some(kind) = kind else {
        return default_goal;
    };
    let engine = state
        .catalog
        .pools
        .get(&facts.pool)
        .is_some_and(|pool| pool.protocol == PoolProtocol::Engine);
    if engine && kind.urgency == UrgencyClass::Interactive {
        default_goal.min(kind.goal)
    } else {
        kind.goal
    }
}

/// Records late answers that an entry router reports. Call only for reports in sequence.
pub fn record_late_reports(state: &mut CoreState, from: &HostName, report: &DemandReport) {
    let late_threshold = state.config.limits.slow_per_mille;
    for (endpoint, pressure) in report.endpoints.iter().zip(&report.pressure) {
        let limits = &mut state.slot_limits.limits;
        let limit = limits.entry(EndpointId(*endpoint)).or_default();
        if *pressure >= late_threshold {
            limit.late_reporters.insert(from.clone());
        } else {
            limit.late_reporters.remove(from);
        }
    }
}

fn adjust_if_due(state: &mut CoreState) {
    let wait = TimeSpan::from_millis(state.config.limits.adjust_ms);
    if state.now.since(state.slot_limits.adjusted_at) < wait {
        return;
    }
    state.slot_limits.adjusted_at = state.now;
    let endpoints = owned_endpoints(state);
    watch_owned(state, &endpoints);
    for endpoint in endpoints {
        drop_departed_routers(state, endpoint);
        adjust_limit(state, endpoint);
    }
}

fn owned_endpoints(state: &CoreState) -> BTreeSet<EndpointId> {
    state
        .owned
        .keys()
        .filter_map(|pool| state.catalog.pools.get(pool))
        .flat_map(|pool| pool.endpoints.iter().copied())
        .collect()
}

/// Watches the load of all endpoints of owned pools, and stops watching those no longer owned.
fn watch_owned(state: &mut CoreState, endpoints: &BTreeSet<EndpointId>) {
    let before: Vec<EndpointId> = state
        .endpoints
        .iter()
        .filter(|(_, row)| row.watchers.contains(&LoadWatcher::Owner))
        .map(|(endpoint, _)| endpoint)
        .collect();
    for endpoint in before {
        if !endpoints.contains(&endpoint) {
            watch_load(state, endpoint, LoadWatcher::Owner, false);
            state.slot_limits.limits.remove(&endpoint);
        }
    }
    for endpoint in endpoints {
        watch_load(state, *endpoint, LoadWatcher::Owner, true);
    }
}

/// Starts or stops watching an endpoint's load on behalf of one watcher.
pub fn watch_load(state: &mut CoreState, endpoint: EndpointId, watcher: LoadWatcher, on: bool) {
    let watchers = &mut state.endpoints.row(endpoint).watchers;
    let before = !watchers.is_empty();
    if on {
        watchers.insert(watcher);
    } else {
        watchers.remove(&watcher);
    }
    let after = !watchers.is_empty();
    if before != after {
        state.act(CoreAction::WatchLoad {
            endpoint,
            on: after,
        });
    }
}

/// Drops late-answer reports of routers that are gone, since they can't withdraw them.
fn drop_departed_routers(state: &mut CoreState, endpoint: EndpointId) {
    let Some(limit) = state.slot_limits.limits.get_mut(&endpoint) else {
        return;
    };
    let members = &state.members;
    limit.late_reporters.retain(|host| members.is_live(host));
}

/// Adjusts an endpoint's limit: multiplicative decrease under pressure, additive increase by a
/// fraction of the published slots otherwise. From the minimum, the limit is back at the published
/// slots after at most `100 / step_up_percent` steps.
fn adjust_limit(state: &mut CoreState, endpoint: EndpointId) {
    let Some(row) = state.catalog.endpoints.get(&endpoint) else {
        return;
    };
    let config = &state.config.limits;
    let published = f64::from(row.slots.0);
    let part = |percent: u32| published * f64::from(percent) / 100.0;
    let Some(limit) = state.slot_limits.limits.get_mut(&endpoint) else {
        return;
    };
    let endpoint_queued = std::mem::take(&mut limit.endpoint_queued);
    let late = !limit.late_reporters.is_empty();
    let allowed = limit.allowed.unwrap_or(published);
    // Late answers alone may be due to long prompts, which fewer slots would not fix, so they lower
    // the limit only to a higher minimum.
    let least = if endpoint_queued {
        part(config.least_percent)
    } else {
        part(config.least_late_percent)
    };
    let next = if endpoint_queued || late {
        let down = allowed * f64::from(config.step_down_percent) / 100.0;
        down.max(least.min(allowed))
    } else {
        // At least half a slot per step.
        allowed + part(config.step_up_percent).max(0.5)
    };
    limit.allowed = (next < published).then_some(next);
}

/// Returns the slots of an endpoint that its owner may allot now.
///
/// During a partition both sides have an owner for the endpoint. Each subtracts what the other
/// side runs, down to half of the slots, so that both converge to half and neither starves.
#[must_use]
pub fn allowed_slots(state: &CoreState, endpoint: EndpointId, published: u32) -> u32 {
    let Some(limit) = state.slot_limits.limits.get(&endpoint) else {
        return published;
    };
    let own = allowed_without_foreign(limit, published);
    let fresh = TimeSpan::from_millis(state.config.limits.load_fresh_ms);
    let known = limit
        .foreign_at()
        .is_some_and(|at| state.now.since(at) <= fresh);
    let foreign = if known { limit.foreign() } else { 0 };
    own.saturating_sub(foreign).max(own.div_ceil(2))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn allowed_without_foreign(limit: &SlotLimit, published: u32) -> u32 {
    let Some(allowed) = limit.allowed else {
        return published;
    };
    (allowed.floor().max(0.0) as u32).clamp(1.min(published), published)
}

/// Estimates the time from now to the end of a new request, scaled by `estimate_percent`; zero if
/// no request is ahead of it in its team's queue.
#[must_use]
pub fn time_to_end(state: &CoreState, facts: &RequestFacts, urgency: UrgencyClass) -> TimeSpan {
    let pool = state.entry_pools.get(&facts.pool);
    let Some(usage) = pool.and_then(|pool| pool.teams.get(&facts.team)) else {
        return TimeSpan(0);
    };
    let ahead = usage.queue.ahead_of(urgency);
    let estimate = usage.wait_estimate.time_to_end(ahead, state.now);
    TimeSpan(
        estimate
            .0
            .saturating_mul(state.config.limits.estimate_percent)
            / 100,
    )
}
