//! Slot limits of endpoints, and each entry router's target and quotas.

use std::collections::BTreeMap;

use super::accounts::team_weight;
use crate::core::share::ShareClaim;
use crate::core::share::round_shares;
use crate::core::share::water_fill;
use crate::core::state::CoreState;
use crate::core::systems::limits;
use crate::core::tables::owned_pool::OwnedPool;
use crate::core::tables::owned_pool::PoolMember;
use crate::core::tables::owned_pool::TeamDemand;
use crate::units::EndpointId;
use crate::units::PoolId;
use crate::units::TeamId;

/// Sets the slot limit of each of the pool's endpoints: 0 for one that leaves or serves another
/// pool now.
pub(super) fn set_limits(state: &mut CoreState, pool_id: PoolId) {
    let Some(entry) = state.catalog.pools.get(&pool_id) else {
        return;
    };
    let mut limits = BTreeMap::new();
    for endpoint in &entry.endpoints {
        let Some(row) = state.catalog.endpoints.get(endpoint) else {
            continue;
        };
        let known = state.endpoints.get(*endpoint);
        let default_pool = row.pools.first().copied();
        let active = known.and_then(|known| known.active).or(default_pool);
        let leaving = row.leaving || known.is_some_and(|known| known.leaving);
        let open = active == Some(pool_id) && !leaving;
        let allowed = limits::allowed_slots(state, *endpoint, row.slots.0);
        limits.insert(*endpoint, if open { allowed } else { 0 });
    }
    let Some(pool) = state.owned.get_mut(&pool_id) else {
        return;
    };
    let gone: Vec<EndpointId> = pool
        .limits
        .keys()
        .filter(|endpoint| !limits.contains_key(endpoint))
        .copied()
        .collect();
    for endpoint in gone {
        pool.set_limit(endpoint, 0);
    }
    for (endpoint, limit) in limits {
        pool.set_limit(endpoint, limit);
    }
}

/// Sets each entry router's target from the fair shares of the teams that have demand there.
pub(super) fn set_targets(
    state: &CoreState,
    pool: &mut OwnedPool,
    demands: &BTreeMap<TeamId, TeamDemand>,
) {
    let total = pool.total();
    let demands: BTreeMap<TeamId, u32> = demands
        .iter()
        .map(|(team, demand)| (*team, demand.waiting + demand.running))
        .filter(|(_, demand)| *demand > 0)
        .collect();
    let wanted: u32 = demands.values().sum();
    pool.scarce = wanted > total;
    let shares = team_shares(state, pool, total, &demands);
    let rest = f64::from(total.saturating_sub(wanted));
    let staying = pool.members.values().filter(|member| !member.draining);
    let spare = rest / f64::from(u32::try_from(staying.count()).unwrap_or(1).max(1));
    for member in pool.members.values_mut() {
        member.quotas = member_quotas(member, &shares, &demands);
    }
    let ideal_targets: Vec<f64> = pool
        .members
        .values()
        .map(|member| {
            let spare = if member.draining { 0.0 } else { spare };
            spare + member.quotas.values().sum::<f64>()
        })
        .collect();
    let targets = round_shares(total, &ideal_targets);
    let slots_needed = pool.members.values().any(|member| {
        let running = member.demand() - member.waiting();
        member.waiting() > 0 && member.held <= running
    });
    for (member, target) in pool.members.values_mut().zip(targets) {
        // While no router lacks slots, none are asked back, so that an idle pool costs no messages.
        let target = if slots_needed || pool.scarce || member.draining {
            target
        } else {
            target.max(member.held)
        };
        member.target = target;
    }
}

fn team_shares(
    state: &CoreState,
    pool: &OwnedPool,
    total: u32,
    demands: &BTreeMap<TeamId, u32>,
) -> BTreeMap<TeamId, f64> {
    let claims: Vec<ShareClaim> = demands
        .iter()
        .map(|(team, demand)| ShareClaim {
            weight: team_weight(state, pool, *team),
            demand: f64::from(*demand),
        })
        .collect();
    demands
        .keys()
        .copied()
        .zip(water_fill(f64::from(total), &claims))
        .collect()
}

/// Returns an entry router's part of each team's share, in proportion to its part of the team's
/// demand.
fn member_quotas(
    member: &PoolMember,
    shares: &BTreeMap<TeamId, f64>,
    demands: &BTreeMap<TeamId, u32>,
) -> BTreeMap<TeamId, f64> {
    member
        .teams
        .iter()
        .map(|(team, demand)| {
            let all = demands.get(team).copied().unwrap_or(0).max(1);
            let share = shares.get(team).copied().unwrap_or(0.0);
            let part = f64::from(demand.waiting + demand.running) / f64::from(all);
            (*team, share * part)
        })
        .collect()
}
