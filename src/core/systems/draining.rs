//! A router that drains: no new work, what waits goes to peers, what runs finishes.
//!
//! The router takes itself for leaving, which the membership gossip spreads, so that it owns no
//! pool and gets nothing forwarded. A request with a ticket of this router life stays and runs
//! here: no other router may run it. A peer that was given one would have to offer a new ticket.

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

/// Begins to drain when asked; then hands over, gives slots back and watches for the end.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    if matches!(event, CoreEvent::DrainAsked) && !state.draining {
        state.draining = true;
        let host = state.identity.host.clone();
        state
            .members
            .change(&host, |entry| entry.state = MemberState::Leaving);
        hand_over(state);
        tell_owners(state);
    }
    if !state.draining {
        return;
    }
    if matches!(event, CoreEvent::Tick) {
        hand_over(state);
    }
    give_back_idle(state);
    tell_if_done(state);
}

/// The drain is over when nothing is left here and the owners know that the slots are back, or
/// have had the time to hear of it.
fn tell_if_done(state: &mut CoreState) {
    let empty = state.requests.is_empty() && state.tickets.minter_waits.is_empty();
    if !empty || state.drained {
        state.drain_idle_since = None;
        return;
    }
    let since = *state.drain_idle_since.get_or_insert(state.now);
    let told = state
        .entries
        .values()
        .all(|pool| pool.held == 0 && !pool.changed);
    let patience = TimeSpan::from_millis(2 * state.config.reporting.interval_ms);
    if told || state.now.since(since) >= patience {
        state.drained = true;
        state.act(CoreAction::Drained);
    }
}

/// Sends a request that arrives during a drain to a peer, or refuses it. False if this router
/// has to look at it itself, because its ticket decides where it runs.
pub fn turn_away(state: &mut CoreState, facts: &RequestFacts) -> bool {
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

/// Refuses a request that no table holds, because of the drain.
pub fn refuse(state: &mut CoreState, request: RequestId) {
    let retry_after = TimeSpan::from_millis(state.config.admission.retry_after_ms);
    state.act(CoreAction::Refuse {
        request,
        reason: RefusalReason::Draining,
        outcome: RunOutcome::NotRun,
        retry_after,
    });
}

/// Owners hear of the drain with the next reports, which are due at once.
fn tell_owners(state: &mut CoreState) {
    for (pool_id, pool) in &mut state.entries {
        pool.urgent = true;
        state.touched_pools.insert(*pool_id);
    }
}

/// Hands every waiting request that another router may run to a peer. Without a peer it goes on
/// waiting here and runs here.
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

/// True if another router may run the request. One that was forwarded here stays, or two
/// draining routers could pass it to and fro. One whose answer has begun stays, since only this
/// router knows how much of it the caller has.
fn can_move(entry: &RequestEntry) -> bool {
    let waits = matches!(
        entry.stage,
        RequestStage::Waiting | RequestStage::Backoff(_)
    );
    waits && entry.is_repeatable() && !entry.facts.forwarded && entry.passed_on == 0
}

/// Peers take turns by request id, so that the handover spreads over all of them.
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

/// Slots that nothing here can use any more go back to their owners at once.
fn give_back_idle(state: &mut CoreState) {
    let idle: Vec<PoolId> = state
        .entries
        .iter()
        .filter(|(_, pool)| pool.waiting == 0 && !pool.open.is_empty())
        .map(|(pool, _)| *pool)
        .collect();
    for pool_id in idle {
        let Some(pool) = state.entries.get_mut(&pool_id) else {
            continue;
        };
        while let Some((_, endpoint)) = pool.open.first().copied() {
            pool.give_back(endpoint);
        }
        state.touched_pools.insert(pool_id);
    }
}
