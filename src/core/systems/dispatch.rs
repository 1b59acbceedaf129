//! Picks the next request to run, on a slot that this router already holds. Among the teams with
//! waiting requests, those whose running attempts are below their quota come first, then those with
//! the least virtual time, less a credit for interactive requests. Dispatching a request needs no
//! message to another router.

use crate::core::action::CoreAction;
use crate::core::event::CoreEvent;
use crate::core::state::CoreState;
use crate::core::systems::admission;
use crate::core::systems::attempts;
use crate::core::systems::quarantine;
use crate::core::systems::reporting;
use crate::core::tables::entry_pool::EntryPool;
use crate::core::tables::entry_pool::NextRequest;
use crate::core::tables::entry_pool::epoch_of;
use crate::core::tables::entry_pool::virtual_time;
use crate::core::tables::requests::RequestStage;
use crate::units::AttemptNumber;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::RouterIncarnation;
use crate::units::TeamId;
use crate::wire::PeerBody;
use crate::wire::allotment::SlotAllotment;

/// Unit of the fields `clock` and `lead` of an allotment, in virtual time. `clock` is the pool's
/// virtual time; `lead` is a team's virtual time minus `clock`.
pub const VIRTUAL_TIME_STEP: i64 = 10_000;

/// A router with waiting requests may keep its target of slots and, beyond that, the target divided
/// by this number.
const EXCESS_DIVISOR: u32 = 8;

/// Applies allotments, then dispatches waiting requests in every pool that changed.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    if let CoreEvent::Message {
        from,
        incarnation,
        message,
    } = event
        && let Some(PeerBody::Allotment(allotment)) = &message.body
    {
        take_allotment(state, from, *incarnation, allotment);
    }
    for pool in state.changed_pools.clone() {
        give_back_surplus(state, pool);
        give_back_surplus(state, pool);
        dispatch_waiting(state, pool);
        give_back_idle(state, pool);
    }
}

/// Updates a team's rank among the waiting teams of a pool.
pub fn rank_team(state: &mut CoreState, pool_id: PoolId, team: TeamId) {
    let share = state.catalog.share_of(team);
    let credit = i64::try_from(state.config.dispatch.express_units).unwrap_or(i64::MAX);
    if let Some(pool) = state.entry_pools.get_mut(&pool_id) {
        pool.rank(team, share, virtual_time(credit, share));
    }
}

fn take_allotment(
    state: &mut CoreState,
    from: &HostName,
    incarnation: RouterIncarnation,
    allotment: &SlotAllotment,
) {
    let pool_id = PoolId(allotment.pool);
    // The owner no longer counts slots granted to an earlier incarnation of this router, and the
    // acknowledgements would suppress reports of this incarnation.
    let is_for_earlier_incarnation = allotment.entry != epoch_of(state.identity.incarnation);
    if is_for_earlier_incarnation {
        return;
    }
    let Some(pool) = state.entry_pools.get_mut(&pool_id) else {
        return;
    };
    // A delayed allotment of an earlier owner or epoch would bring back slots that the new owner
    // has granted to others, so allotments whose host, epoch or term differ are dropped.
    let current = pool
        .owner
        .as_ref()
        .is_some_and(|owner| owner.host == *from && owner.epoch == epoch_of(incarnation));
    if !current || allotment.epoch != epoch_of(incarnation) || allotment.term != pool.term {
        return;
    }
    if allotment.restart {
        if let Some(owner) = pool.owner.clone() {
            reporting::begin_term(pool, owner);
        }
        state.changed_pools.insert(pool_id);
        return;
    }
    take_grants(pool, allotment);
    if allotment.sequence > pool.allotment_seen {
        pool.allotment_seen = allotment.sequence;
        pool.report_acked = pool.report_acked.max(allotment.acked);
        pool.target = allotment.target;
        pool.scarce = allotment.scarce;
        take_team_times(pool, allotment);
        let teams: Vec<TeamId> = pool.order.iter().map(|(_, team)| *team).collect();
        for team in teams {
            rank_team(state, pool_id, team);
        }
    }
    state.changed_pools.insert(pool_id);
}

fn take_grants(pool: &mut EntryPool, allotment: &SlotAllotment) {
    for (endpoint, granted) in allotment.endpoints.iter().zip(&allotment.granted) {
        pool.change_slots(EndpointId(*endpoint), |hold| {
            hold.granted = hold.granted.max(*granted);
        });
    }
}

fn take_team_times(pool: &mut EntryPool, allotment: &SlotAllotment) {
    pool.clock = steps_to_time(allotment.clock);
    let rows = allotment.teams.iter().zip(&allotment.lead);
    for ((team, lead), quota) in rows.zip(&allotment.quota) {
        let usage = pool.teams.entry(TeamId(*team)).or_default();
        usage.owner_time = pool.clock + lead.saturating_mul(VIRTUAL_TIME_STEP);
        usage.quota = Some(*quota);
        let known = usage
            .sent_charges
            .iter()
            .rev()
            .find(|(sequence, _)| *sequence <= allotment.acked);
        if let Some((_, charged)) = known {
            usage.owner_charged = *charged;
        }
        usage
            .sent_charges
            .retain(|(sequence, _)| *sequence >= allotment.acked);
    }
}

fn steps_to_time(steps: u64) -> i64 {
    i64::try_from(steps)
        .unwrap_or(i64::MAX)
        .saturating_mul(VIRTUAL_TIME_STEP)
}

fn dispatch_waiting(state: &mut CoreState, pool_id: PoolId) {
    loop {
        let Some(pool) = state.entry_pools.get(&pool_id) else {
            return;
        };
        let Some((_, team)) = pool.order.first().copied() else {
            return;
        };
        if pool.free_endpoints.is_empty() {
            return;
        }
        let Some(next) = take_next(state, pool_id, team) else {
            return;
        };
        let Some(endpoint) = pick_endpoint(state, pool_id, next) else {
            admission::enqueue_first(state, next.request);
            return;
        };
        start(state, pool_id, next, endpoint);
    }
}

fn take_next(state: &mut CoreState, pool_id: PoolId, team: TeamId) -> Option<NextRequest> {
    let pool = state.entry_pools.get_mut(&pool_id)?;
    let usage = pool.teams.get_mut(&team)?;
    let request = usage.queue.pop()?;
    pool.waiting -= 1;
    Some(NextRequest { request, team })
}

/// Picks the endpoint that last ran this prefix if it has a free slot, else the one with the most
/// free slots. Avoids the endpoint of the request's last attempt while there is another.
fn pick_endpoint(state: &CoreState, pool_id: PoolId, next: NextRequest) -> Option<EndpointId> {
    let pool = state.entry_pools.get(&pool_id)?;
    let entry = state.requests.get(next.request)?;
    let usable = |endpoint: EndpointId| state.endpoints.is_open(endpoint, state.now);
    let prefix_endpoint = pool.prefixes.get(&entry.facts.prefix).copied();
    if let Some(endpoint) = prefix_endpoint
        && pool
            .slots
            .get(&endpoint)
            .is_some_and(|hold| hold.free() > 0)
        && usable(endpoint)
        && entry.last_endpoint != Some(endpoint)
    {
        return Some(endpoint);
    }
    let mut free_endpoints = pool
        .free_endpoints
        .iter()
        .rev()
        .map(|(_, endpoint)| *endpoint)
        .filter(|endpoint| usable(*endpoint));
    let first = free_endpoints.next()?;
    if entry.last_endpoint == Some(first) {
        return free_endpoints.next().or(Some(first));
    }
    Some(first)
}

/// Starts a new attempt of a request on an endpoint.
pub fn start(state: &mut CoreState, pool_id: PoolId, next: NextRequest, endpoint: EndpointId) {
    let NextRequest { request, team } = next;
    let now = state.now;
    let Some(entry) = state.requests.get_mut(request) else {
        return;
    };
    entry.attempts += 1;
    let attempt = AttemptNumber(entry.attempts);
    entry.last_endpoint = Some(endpoint);
    entry.stage = RequestStage::Running {
        attempt,
        endpoint,
        since: now,
    };
    let (deadline, resume_at, prefix) = (entry.facts.deadline, entry.passed_on, entry.facts.prefix);
    if let Some(pool) = state.entry_pools.get_mut(&pool_id) {
        let usage = pool.teams.entry(team).or_default();
        usage.running += 1;
        usage
            .wait_estimate
            .record_start(now, !usage.queue.is_empty());
        pool.change_slots(endpoint, |hold| hold.busy += 1);
        pool.mark_changed(team);
        let most = state.config.dispatch.prefix_memory as usize;
        pool.remember_prefix(prefix, endpoint, most);
    }
    rank_team(state, pool_id, team);
    quarantine::watch_first_life(state, endpoint);
    let not_after = attempts::latest_write_at(state, deadline);
    state.act(CoreAction::Dispatch {
        request,
        attempt,
        endpoint,
        resume_at,
        not_after,
    });
}

/// Returns free slots above the target to the owner before requests are started on them.
/// Otherwise a router with a backlog would reuse its slots forever, and a lower target or limit
/// would never take effect. While requests wait here, the router keeps slightly more than the
/// target, so that a target that alternates by one causes no messages.
fn give_back_surplus(state: &mut CoreState, pool_id: PoolId) {
    give_back_while(state, pool_id, |pool| {
        let kept = if pool.waiting > 0 {
            pool.target + pool.target / EXCESS_DIVISOR
        } else {
            pool.target
        };
        pool.held > kept
    });
}

/// Returns all free slots to the owner while other routers lack slots and nothing waits here.
fn give_back_idle(state: &mut CoreState, pool_id: PoolId) {
    give_back_while(state, pool_id, |pool| pool.scarce && pool.waiting == 0);
}

fn give_back_while(state: &mut CoreState, pool_id: PoolId, wanted: impl Fn(&EntryPool) -> bool) {
    let Some(pool) = state.entry_pools.get_mut(&pool_id) else {
        return;
    };
    while wanted(pool) {
        let Some((_, endpoint)) = pool.free_endpoints.first().copied() else {
            return;
        };
        pool.give_back(endpoint);
    }
}
