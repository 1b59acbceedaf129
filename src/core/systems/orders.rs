//! Orders that tell endpoints which model to serve.
//!
//! The owner of a pool that lacks slots sends a wish: a request for one endpoint, addressed to the
//! owner of the pool that the endpoint serves now. That owner knows the demand of its own pool, so
//! it decides, and it alone sends the order. Endpoints that check fencing tokens reject stale
//! orders. Some endpoints don't, so two more rules hold. A router gives orders only after it has
//! owned the pool for `belief_ms`, which is longer than a previous owner can go on acting as the
//! owner after it lost the pool. An endpoint keeps a model for at least `residence_ms`, so that two
//! routers that both give orders cause at most one model load in that time.

use crate::catalog::FenceCheck;
use crate::core::action::CoreAction;
use crate::core::event::CoreEvent;
use crate::core::state::CoreState;
use crate::core::tables::orders::OpenOrder;
use crate::core::tables::orders::Residence;
use crate::core::tables::orders::SeenFence;
use crate::core::tables::orders::fence_tag;
use crate::core::tables::orders::next_fence;
use crate::core::tables::orders::tag_of;
use crate::core::tables::owned_pool::PoolMember;
use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::orders::EndpointWish;

/// Handles load reports and wishes; sends wishes and repeats orders on ticks.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::HostsListed { .. } => count_hosts(state),
        CoreEvent::EndpointLoad {
            endpoint,
            active,
            fence,
            ..
        } => take_load(state, *endpoint, *active, *fence),
        CoreEvent::Message { message, .. } => {
            if let Some(PeerBody::Wish(wish)) = &message.body {
                decide_on_wish(state, wish);
            }
        }
        CoreEvent::Tick => tick(state),
        _ => {}
    }
}

/// Updates the number of routers by which the rate of model loads is divided: the largest number
/// that this router has known whenever a host list was read, whether or not they are alive or own
/// pools. Together, all routers thus stay within the rate even if a partition makes each of them
/// consider itself the only one.
fn count_hosts(state: &mut CoreState) {
    let known = state.members.iter().count() as u64;
    let budget = &mut state.orders.budget;
    budget.hosts = budget.hosts.max(known);
}

fn take_load(state: &mut CoreState, endpoint: EndpointId, active: PoolId, fence: u64) {
    let now = state.now;
    let orders = &mut state.orders;
    let since = now;
    let residence = orders.residences.entry(endpoint);
    let residence = residence.or_insert(Residence {
        pool: active,
        since,
    });
    if residence.pool != active {
        *residence = Residence {
            pool: active,
            since,
        };
    }
    let seen = orders.fences.entry(endpoint);
    let seen = seen.or_insert(SeenFence { fence, since });
    if fence > seen.fence {
        *seen = SeenFence { fence, since };
    }
    // The order was followed, or superseded by one with a higher fencing token; there is nothing to
    // repeat.
    let highest_fence = seen.fence;
    let is_over = |order: &OpenOrder| order.pool == active || order.fence.0 < highest_fence;
    if orders.open.get(&endpoint).is_some_and(is_over) {
        orders.open.remove(&endpoint);
    }
}

fn tick(state: &mut CoreState) {
    let now = state.now;
    let pause = TimeSpan::from_millis(state.config.orders.pause_ms);
    let orders = &mut state.orders;
    // A process that was suspended still assumes what was true before, so a router that no other
    // router considers the owner any more would send an order. After a pause the time of ownership
    // is counted from zero.
    if now.since(orders.ticked_at) >= pause {
        orders.owner_since.clear();
        orders.scarce_since.clear();
        orders.open.clear();
    }
    orders.ticked_at = now;
    orders
        .budget
        .refill(now, state.config.orders.loads_per_minute);
    track_ownership(state);
    repeat_orders(state);
    let scarce: Vec<PoolId> = state.orders.scarce_since.keys().copied().collect();
    for pool in scarce {
        send_wish_if_due(state, pool);
    }
}

fn track_ownership(state: &mut CoreState) {
    let now = state.now;
    let me = &state.identity.host;
    let members = &state.members;
    let orders = &mut state.orders;
    let is_owned = |pool: &PoolId| members.owner_of(*pool) == Some(me);
    orders.owner_since.retain(|pool, _| is_owned(pool));
    orders
        .scarce_since
        .retain(|pool, _| state.owned.get(pool).is_some_and(|pool| pool.scarce));
    for (pool_id, pool) in &state.owned {
        if !is_owned(pool_id) {
            continue;
        }
        orders.owner_since.entry(*pool_id).or_insert(now);
        if pool.scarce {
            orders.scarce_since.entry(*pool_id).or_insert(now);
        }
    }
}

/// Resends open orders until a load report shows that they were followed. An order is idempotent:
/// it is repeated with the same model and the same fencing token.
fn repeat_orders(state: &mut CoreState) {
    let now = state.now;
    let gap = TimeSpan::from_millis(state.config.orders.resend_ms);
    let due: Vec<(EndpointId, OpenOrder)> = state
        .orders
        .open
        .iter()
        .filter(|(_, order)| now.since(order.sent_at) >= gap)
        .map(|(endpoint, order)| (*endpoint, *order))
        .collect();
    for (endpoint, order) in due {
        let Some(active) = active_pool(state, endpoint) else {
            continue;
        };
        if has_owned_long_enough(state, active) {
            send_order(state, endpoint, order.pool, order);
        } else {
            state.orders.open.remove(&endpoint);
        }
    }
}

fn send_order(state: &mut CoreState, endpoint: EndpointId, pool: PoolId, order: OpenOrder) {
    let sent_at = state.now;
    let open = OpenOrder { sent_at, ..order };
    state.orders.open.insert(endpoint, open);
    state.act(CoreAction::OrderModel {
        endpoint,
        pool,
        fence: order.fence,
    });
}

fn active_pool(state: &CoreState, endpoint: EndpointId) -> Option<PoolId> {
    let known = state.endpoints.get(endpoint).and_then(|row| row.active);
    let entry = state.catalog.endpoints.get(&endpoint)?;
    known.or(entry.pools.first().copied())
}

/// Returns true if this router has owned the pool for at least `belief_ms`, which is longer than a
/// previous owner can still assume to be the owner.
fn has_owned_long_enough(state: &CoreState, pool: PoolId) -> bool {
    let belief = TimeSpan::from_millis(state.config.orders.belief_ms);
    let since = state.orders.owner_since.get(&pool);
    since.is_some_and(|since| state.now.since(*since) >= belief)
}

/// Returns the demand and the number of slots of an owned pool; zeros if it is not owned here.
fn demand_of(state: &CoreState, pool: PoolId) -> (u64, u64) {
    state.owned.get(&pool).map_or((0, 0), |pool| {
        let demand: u32 = pool.members.values().map(PoolMember::demand).sum();
        (demand.into(), pool.total().into())
    })
}

/// Sends a wish if the pool has lacked slots for long enough. While the shortage lasts, successive
/// wishes go through the candidate endpoints in turn.
fn send_wish_if_due(state: &mut CoreState, pool: PoolId) {
    let now = state.now;
    let config = &state.config.orders;
    let lacks = state.orders.scarce_since.get(&pool).copied();
    let min_shortage = TimeSpan::from_millis(config.want_ms);
    let gap = TimeSpan::from_millis(config.wish_gap_ms);
    let last = state.orders.last_wish_at.get(&pool).copied();
    let waits = lacks.is_none_or(|since| now.since(since) < min_shortage);
    if waits || last.is_some_and(|last| now.since(last) < gap) {
        return;
    }
    let candidates = candidates_for(state, pool);
    let turn = usize::try_from(now.0 / gap.0.max(1)).unwrap_or(0);
    let Some(place) = turn.checked_rem(candidates.len()) else {
        return;
    };
    let endpoint = candidates[place];
    let owner = active_pool(state, endpoint)
        .and_then(|active| state.members.owner_of(active))
        .cloned();
    let Some(host) = owner else {
        return;
    };
    state.orders.last_wish_at.insert(pool, now);
    let (demand, slots) = demand_of(state, pool);
    let wish = EndpointWish {
        pool: pool.0,
        endpoint: endpoint.0,
        demand: u32::try_from(demand).unwrap_or(u32::MAX),
        slots: u32::try_from(slots).unwrap_or(u32::MAX),
    };
    state.send(&host, PeerBody::Wish(wish));
}

fn candidates_for(state: &CoreState, pool: PoolId) -> Vec<EndpointId> {
    let Some(entry) = state.catalog.pools.get(&pool) else {
        return Vec::new();
    };
    entry
        .endpoints
        .iter()
        .copied()
        .filter(|endpoint| {
            let active = active_pool(state, *endpoint);
            active.is_some_and(|active| active != pool) && can_serve(state, *endpoint, pool)
        })
        .collect()
}

fn can_serve(state: &CoreState, endpoint: EndpointId, pool: PoolId) -> bool {
    let leaves = state.endpoints.get(endpoint).is_some_and(|row| row.leaving);
    let entry = state.catalog.endpoints.get(&endpoint);
    entry.is_some_and(|entry| entry.pools.contains(&pool) && !entry.leaving && !leaves)
}

/// Decides on another owner's wish for an endpoint of a pool that this router owns.
fn decide_on_wish(state: &mut CoreState, wish: &EndpointWish) {
    let (endpoint, pool) = (EndpointId(wish.endpoint), PoolId(wish.pool));
    let Some(active) = active_pool(state, endpoint) else {
        return;
    };
    let residence = TimeSpan::from_millis(state.config.orders.residence_ms);
    let may = active != pool
        && has_owned_long_enough(state, active)
        && can_serve(state, endpoint, pool)
        && !state.orders.open.contains_key(&endpoint)
        && state.orders.has_resided_for(endpoint, state.now, residence)
        && is_transfer_justified(state, endpoint, active, wish);
    if !may {
        return;
    }
    let Some(order) = next_order(state, endpoint, pool) else {
        return;
    };
    if state.orders.budget.spend() {
        send_order(state, endpoint, pool, order);
    }
}

/// Returns true if the endpoint should move to the pool that wishes for it. All of these must hold:
///
/// - The wishing pool has more demand than slots.
/// - Its demand per slot now is at least `pressure_percent` percent of the demand per slot that the
///   giving pool will have without the endpoint.
/// - Its demand per slot with the endpoint is no less than that of the giving pool without it. This
///   keeps the endpoint from being requested back.
/// - The giving pool keeps slots or has no demand.
fn is_transfer_justified(
    state: &CoreState,
    endpoint: EndpointId,
    active: PoolId,
    wish: &EndpointWish,
) -> bool {
    let Some(entry) = state.catalog.endpoints.get(&endpoint) else {
        return false;
    };
    let moved = u64::from(entry.slots.0);
    let (demand, slots) = demand_of(state, active);
    let (wanted, has) = (u64::from(wish.demand), u64::from(wish.slots));
    let left = slots.saturating_sub(moved);
    if left == 0 && demand > 0 {
        return false;
    }
    let percent = state.config.orders.pressure_percent;
    let much_more = wanted * left.max(1) * 100 >= demand * has.max(1) * percent;
    let no_less = wanted * left.max(1) >= demand * (has + moved);
    much_more && no_less && wanted > has
}

/// Returns the next order, or `None` while another router that gave the last order, and is not
/// known here to be alive, may still control the endpoint.
fn next_order(state: &CoreState, endpoint: EndpointId, pool: PoolId) -> Option<OpenOrder> {
    let entry = state.catalog.endpoints.get(&endpoint)?;
    let seen = state.orders.fences.get(&endpoint).copied();
    let seen = seen.filter(|_| entry.fence_check == FenceCheck::Checked);
    let reported = seen.map_or(0, |seen| seen.fence);
    let incarnation = state.identity.incarnation;
    let foreign = reported != 0 && tag_of(reported) != fence_tag(incarnation);
    let takeover = TimeSpan::from_millis(state.config.orders.takeover_ms);
    let waited = seen.is_none_or(|seen| state.now.since(seen.since) >= takeover);
    if foreign && !waited && !is_fence_holder_alive(state, tag_of(reported)) {
        return None;
    }
    Some(OpenOrder {
        pool,
        fence: next_fence(state.catalog.revision, reported, incarnation),
        sent_at: Moment(0),
    })
}

/// Returns true if the router that gave the last order is known to be alive. It has then handed the
/// endpoint over: otherwise it would still own the pool that the endpoint serves, and this router
/// would not.
fn is_fence_holder_alive(state: &CoreState, tag: u32) -> bool {
    state.members.iter().any(|(host, row)| {
        let holds = row
            .incarnation
            .is_some_and(|incarnation| fence_tag(incarnation) == tag);
        holds && state.members.is_live(host)
    })
}
