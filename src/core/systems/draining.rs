//! Draining a router: it takes no new work, forwards waiting requests to peers and finishes
//! running ones.
//!
//! The router marks itself as leaving, which membership gossip spreads, so that it owns no pool and
//! gets no forwarded requests. A request with a ticket that this incarnation of the router minted
//! stays and runs here, since no other router may run it: a peer would have to offer a new ticket.

use crate::core::action::CoreAction;
use crate::core::action::RefusalReason;
use crate::core::action::RunOutcome;
use crate::core::event::CoreEvent;
use crate::core::event::RepeatRule;
use crate::core::event::RequestFacts;
use crate::core::state::CoreState;
use crate::core::systems::admission;
use crate::core::tables::members::MemberState;
use crate::core::tables::requests::RequestEntry;
use crate::core::tables::requests::RequestStage;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::RequestId;
use crate::units::TimeSpan;

/// Starts a drain on request; while draining, hands requests over, returns slots and detects the
/// end of the drain.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    if matches!(event, CoreEvent::DrainAsked) && !state.draining {
        state.draining = true;
        let host = state.identity.host.clone();
        state
            .members
            .change(&host, |entry| entry.state = MemberState::Leaving);
        hand_over(state);
        mark_reports_urgent(state);
    }
    if !state.draining {
        return;
    }
    if matches!(event, CoreEvent::Tick) {
        hand_over(state);
    }
    give_back_all_free(state);
    finish_drain_if_done(state);
}

/// Ends the drain once no request is left and, in addition, either all returned slots have been
/// reported to their owners or two reporting intervals have passed.
fn finish_drain_if_done(state: &mut CoreState) {
    let empty = state.requests.is_empty() && state.tickets.minter_waits.is_empty();
    if !empty || state.drained {
        state.drain_idle_since = None;
        return;
    }
    let since = *state.drain_idle_since.get_or_insert(state.now);
    let is_reported = state
        .entry_pools
        .values()
        .all(|pool| pool.held == 0 && !pool.changed);
    let report_wait = TimeSpan::from_millis(2 * state.config.reporting.interval_ms);
    if is_reported || state.now.since(since) >= report_wait {
        state.drained = true;
        state.act(CoreAction::Drained);
    }
}

/// Forwards a request that arrives during a drain to a peer, or refuses it. Returns false if this
/// router must handle the request: it is not draining, or the request's ticket decides where it
/// runs.
pub fn redirect_or_refuse(state: &mut CoreState, facts: &RequestFacts) -> bool {
    if !state.draining || matches!(facts.repeat, RepeatRule::Unrepeatable(Some(_))) {
        return false;
    }
    let peer = pick_peer(state, facts.request).filter(|_| !facts.forwarded);
    let request = facts.request;
    match peer {
        Some(host) => state.act(CoreAction::Forward { request, host }),
        None => refuse(state, request),
    }
    true
}

/// Refuses a request that is in no table because this router is draining.
pub fn refuse(state: &mut CoreState, request: RequestId) {
    let retry_after = TimeSpan::from_millis(state.config.admission.retry_after_ms);
    state.act(CoreAction::Refuse {
        request,
        reason: RefusalReason::Draining,
        outcome: RunOutcome::NotRun,
        retry_after,
    });
}

/// Makes reports urgent for all pools, since reports announce the drain to the owners.
fn mark_reports_urgent(state: &mut CoreState) {
    for (pool_id, pool) in &mut state.entry_pools {
        pool.urgent = true;
        state.changed_pools.insert(*pool_id);
    }
}

/// Forwards every waiting request that another router may run to a peer. Without a connected router
/// in state `Alive` the requests stay queued and run here.
fn hand_over(state: &mut CoreState) {
    let waiting: Vec<RequestId> = state
        .requests
        .iter()
        .filter(|(_, entry)| can_move(entry))
        .map(|(request, _)| *request)
        .collect();
    for request in waiting {
        let Some(host) = pick_peer(state, request) else {
            return;
        };
        admission::dequeue(state, request);
        state.requests.remove(request);
        state.act(CoreAction::Forward { request, host });
    }
}

/// Returns true if the request may be forwarded to another router. A request that was forwarded
/// here stays, since two draining routers could otherwise forward it back and forth. A request
/// whose answer has begun stays, since only this router knows how much the caller has received.
fn can_move(entry: &RequestEntry) -> bool {
    let waits = matches!(
        entry.stage,
        RequestStage::Waiting | RequestStage::Backoff(_)
    );
    waits && entry.is_repeatable() && !entry.facts.forwarded && entry.passed_on == 0
}

/// Picks a connected router in state `Alive`, by request id, so that handed-over requests spread
/// over all peers.
fn pick_peer(state: &CoreState, request: RequestId) -> Option<HostName> {
    let peers: Vec<&HostName> = state
        .members
        .iter()
        .filter(|(host, row)| {
            row.state == MemberState::Alive && row.connected && **host != state.identity.host
        })
        .map(|(host, _)| host)
        .collect();
    let turn = usize::try_from(request.0)
        .unwrap_or(0)
        .checked_rem(peers.len())?;
    peers.get(turn).map(|host| (*host).clone())
}

/// Returns free slots of pools without waiting requests to their owners at once.
fn give_back_all_free(state: &mut CoreState) {
    let idle: Vec<PoolId> = state
        .entry_pools
        .iter()
        .filter(|(_, pool)| pool.waiting == 0 && !pool.free_endpoints.is_empty())
        .map(|(pool, _)| *pool)
        .collect();
    for pool_id in idle {
        let Some(pool) = state.entry_pools.get_mut(&pool_id) else {
            continue;
        };
        while let Some((_, endpoint)) = pool.free_endpoints.first().copied() {
            pool.give_back(endpoint);
        }
        state.changed_pools.insert(pool_id);
    }
}
