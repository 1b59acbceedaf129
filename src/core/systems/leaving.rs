//! Endpoints that are leaving: a router starts no new work on them from the time at which it learns
//! of it, and passes the update on to the other routers.
//!
//! An endpoint's generation comes from the host list and increases each time the endpoint is put
//! back after it left. A generation that is leaving stays so: a stale list or a peer with older
//! knowledge can't undo it, only a later generation can. A router that learns of it pushes it to a
//! few peers at once, and pings spread it to the rest.

use crate::core::event::CoreEvent;
use crate::core::state::CoreState;
use crate::core::systems::probing;
use crate::core::tables::gossip_queue::retransmit_limit;
use crate::units::EndpointId;
use crate::units::PoolId;
use crate::wire::PeerBody;
use crate::wire::gossip::LeavingEndpoint;

/// Applies the state of endpoints from the host list, the publication and gossip of peers.
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
        CoreEvent::Published { .. } => apply_published_leaving(state),
        _ => {}
    }
}

/// Returns the news of leaving endpoints, that is, the updates about them to gossip with one ping,
/// and counts them as sent.
pub fn take_news(state: &mut CoreState) -> Vec<LeavingEndpoint> {
    let limit = retransmit_limit(state.members.len(), state.config.probing.spread);
    let ids = state.leaving_gossip.take(state.config.leaving.news, limit);
    ids.into_iter()
        .filter_map(|id| news_of(state, id))
        .collect()
}

/// Returns the known leaving endpoints, at most `leaving.greeting` of them, for a router that just
/// connected.
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

/// Marks a generation of an endpoint as leaving. Returns true if that was not known before.
fn note_leaving(state: &mut CoreState, endpoint: EndpointId, generation: u64) -> bool {
    let row = state.endpoints.row(endpoint);
    // A stale list may name an endpoint that has since been replaced under the same name; applying
    // it would keep work from the new endpoint forever. A lower generation is therefore ignored.
    if generation < row.generation || (generation == row.generation && row.leaving) {
        return false;
    }
    row.generation = generation;
    row.leaving = true;
    state.leaving_gossip.add(endpoint);
    give_back(state, endpoint);
    true
}

/// Marks an endpoint as live if the generation is later than the known one. The same generation
/// never becomes live again, since a list may be stale or contradict itself.
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

/// Applies leaving marks of the publication. They are kept apart from those of the host list
/// because publications are ordered by revision, not by endpoint generation.
fn apply_published_leaving(state: &mut CoreState) {
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

/// Returns the free slots of an endpoint that gets no new work, which would otherwise count as held
/// by this router.
fn give_back(state: &mut CoreState, endpoint: EndpointId) {
    let pools: Vec<PoolId> = state
        .entry_pools
        .iter()
        .filter(|(_, pool)| pool.slots.contains_key(&endpoint))
        .map(|(pool, _)| *pool)
        .collect();
    for pool_id in pools {
        if let Some(pool) = state.entry_pools.get_mut(&pool_id) {
            while pool
                .slots
                .get(&endpoint)
                .is_some_and(|hold| hold.free() > 0)
            {
                pool.give_back(endpoint);
            }
        }
        state.changed_pools.insert(pool_id);
    }
}
