//! Endpoints that leave: no new work once anybody has said so.
//!
//! An endpoint's generation comes from the host list. Leaving holds for a generation for good:
//! a list that lags, or peers that were told later, can't put it back; only a later generation
//! can. Whoever learns of it tells a few peers at once, and pings carry it to the rest.

use crate::core::event::CoreEvent;
use crate::core::state::CoreState;
use crate::core::systems::probing;
use crate::core::tables::rumors::telling_limit;
use crate::units::EndpointId;
use crate::units::PoolId;
use crate::wire::PeerBody;
use crate::wire::gossip::LeavingEndpoint;

/// Takes in what the host list, the publication and peers say of endpoints.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::HostsListed { leaving, .. } => {
            let fresh = leaving
                .iter()
                .filter(|(endpoint, generation)| note_leaving(state, *endpoint, *generation))
                .count();
            spread(state, fresh);
        }
        CoreEvent::EndpointsListed { live } => {
            for (endpoint, generation) in live {
                note_live(state, *endpoint, *generation);
            }
        }
        CoreEvent::Message { message, .. } => {
            if let Some(PeerBody::Gossip(ping)) = &message.body {
                let fresh = ping
                    .leaving
                    .iter()
                    .filter(|news| note_leaving(state, EndpointId(news.endpoint), news.generation))
                    .count();
                spread(state, fresh);
            }
        }
        CoreEvent::Published { .. } => follow_catalog(state),
        _ => {}
    }
}

/// News of leaving endpoints for one ping.
pub fn take_news(state: &mut CoreState) -> Vec<LeavingEndpoint> {
    let limit = telling_limit(state.members.len(), state.config.probing.spread);
    let ids = state.leaving_rumors.take(state.config.leaving.news, limit);
    ids.into_iter()
        .filter_map(|id| news_of(state, id))
        .collect()
}

/// All leaving endpoints, for a router that just connected.
#[must_use]
pub fn all_news(state: &CoreState) -> Vec<LeavingEndpoint> {
    let rows = state.endpoints.iter().filter(|(_, row)| row.leaving);
    rows.take(state.config.leaving.greeting)
        .filter_map(|(id, _)| news_of(state, id))
        .collect()
}

fn news_of(state: &CoreState, endpoint: EndpointId) -> Option<LeavingEndpoint> {
    let row = state.endpoints.get(endpoint)?;
    row.leaving.then_some(LeavingEndpoint {
        endpoint: endpoint.0,
        generation: row.generation,
    })
}

/// Returns whether that is news.
fn note_leaving(state: &mut CoreState, endpoint: EndpointId, generation: u64) -> bool {
    let row = state.endpoints.row(endpoint);
    // A list that lags names an endpoint that was since replaced under the same name; seen as a
    // new endpoint that never gets work. Its generation is lower and says nothing of this one.
    if generation < row.generation || (generation == row.generation && row.leaving) {
        return false;
    }
    row.generation = generation;
    row.leaving = true;
    state.leaving_rumors.add(endpoint);
    give_back(state, endpoint);
    true
}

/// A later generation is another endpoint. The same generation never comes back, whatever a
/// list says that lags or contradicts itself.
fn note_live(state: &mut CoreState, endpoint: EndpointId, generation: u64) {
    let row = state.endpoints.row(endpoint);
    if generation > row.generation {
        row.generation = generation;
        row.leaving = false;
    }
}

fn spread(state: &mut CoreState, fresh: usize) {
    if fresh > 0 {
        probing::push(state);
    }
}

/// A publication may call an endpoint leaving too; publications have an order of their own.
fn follow_catalog(state: &mut CoreState) {
    let catalog = state.catalog.clone();
    for (endpoint, entry) in &catalog.endpoints {
        let known = state.endpoints.get(*endpoint);
        if !entry.leaving && known.is_none_or(|row| !row.published_leaving) {
            continue;
        }
        state.endpoints.row(*endpoint).published_leaving = entry.leaving;
        if entry.leaving {
            give_back(state, *endpoint);
        }
    }
}

/// Free slots of an endpoint that gets no new work would count as held here for nothing.
fn give_back(state: &mut CoreState, endpoint: EndpointId) {
    let pools: Vec<PoolId> = state
        .entries
        .iter()
        .filter(|(_, pool)| pool.slots.contains_key(&endpoint))
        .map(|(pool, _)| *pool)
        .collect();
    for pool_id in pools {
        if let Some(pool) = state.entries.get_mut(&pool_id) {
            while pool
                .slots
                .get(&endpoint)
                .is_some_and(|hold| hold.free() > 0)
            {
                pool.give_back(endpoint);
            }
        }
        state.woken.insert(pool_id);
    }
}
