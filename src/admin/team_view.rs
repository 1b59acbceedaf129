//! The admin API's view of one team, with the reasons why it waits.

use smol_str::SmolStr;

use crate::catalog::KindEntry;
use crate::catalog::TeamEntry;
use crate::catalog::UrgencyClass;
use crate::core::state::CoreState;
use crate::core::tables::entry_pool::EntryPool;
use crate::core::tables::entry_pool::TeamUsage;
use crate::core::tables::entry_pool::VIRTUAL_SCALE;
use crate::core::tables::requests::RequestStage;
use crate::units::KindName;
use crate::units::PoolId;
use crate::units::TeamId;
use crate::units::TeamName;
use crate::units::TimeSpan;

use super::status::TeamKindStatus;
use super::status::TeamPoolStatus;
use super::status::TeamStatus;
use super::status::WaitReason;

/// Returns the team's status; `None` if it is not published.
#[must_use]
pub fn team_status(state: &CoreState, name: &TeamName) -> Option<TeamStatus> {
    let id = TeamId::from(name);
    let entry = state.catalog.teams.get(&id)?;
    Some(TeamStatus {
        name: entry.name.clone(),
        share: entry.share.0,
        queue_limit: entry.queue_limit,
        kinds: kinds(entry),
        pools: pools(state, id),
    })
}

fn kinds(entry: &TeamEntry) -> Vec<TeamKindStatus> {
    let kinds = entry.kinds.iter();
    kinds.map(|(name, kind)| kind_status(name, kind)).collect()
}

fn kind_status(name: &KindName, kind: &KindEntry) -> TeamKindStatus {
    TeamKindStatus {
        name: name.clone(),
        urgency: SmolStr::new_static(match kind.urgency {
            UrgencyClass::Interactive => "interactive",
            UrgencyClass::Batch => "batch",
        }),
        unrepeatable: kind.unrepeatable,
        deadline_ms: kind.deadline.as_millis(),
        goal_ms: kind.goal.as_millis(),
        objective_per_mille: kind.objective_per_mille,
    }
}

fn pools(state: &CoreState, team: TeamId) -> Vec<TeamPoolStatus> {
    let pools = state.entry_pools.iter();
    let mut pools: Vec<TeamPoolStatus> = pools
        .filter_map(|(id, pool)| pool_status(state, team, *id, pool))
        .collect();
    pools.sort_by(|one, other| one.pool.cmp(&other.pool));
    pools
}

fn pool_status(
    state: &CoreState,
    team: TeamId,
    id: PoolId,
    pool: &EntryPool,
) -> Option<TeamPoolStatus> {
    let usage = pool.teams.get(&team)?;
    let name = state.catalog.pools.get(&id)?.name.clone();
    let ahead = usage.rank.map_or(0, |rank| {
        let before = pool.order.range(..(rank, team));
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    });
    let share = state.catalog.share_of(team);
    let first = pool.order.first().map(|(_, team)| *team);
    let lead = first.map_or(0, |first| {
        let least = pool.local_virtual_time(first, state.catalog.share_of(first));
        (pool.local_virtual_time(team, share) - least) / VIRTUAL_SCALE
    });
    Some(TeamPoolStatus {
        pool: name,
        waiting: u32::try_from(usage.queue.len()).unwrap_or(u32::MAX),
        running: usage.running,
        oldest_wait_ms: oldest_wait_ms(state, team, id),
        service: usage.charged,
        lead_units: lead,
        ahead,
        queued_teams: u32::try_from(pool.order.len()).unwrap_or(u32::MAX),
        held: pool.held,
        busy: pool.busy,
        reasons: reasons(state, team, id, pool, usage, ahead),
    })
}

fn oldest_wait_ms(state: &CoreState, team: TeamId, pool: PoolId) -> u64 {
    let waits = state.requests.iter().filter(|(_, entry)| {
        let waiting = matches!(
            entry.stage,
            RequestStage::Waiting | RequestStage::Backoff(_)
        );
        waiting && entry.facts.team == team && entry.facts.pool == pool
    });
    let longest = waits.map(|(_, entry)| state.now.since(entry.arrived)).max();
    longest.map_or(0, TimeSpan::as_millis)
}

fn reasons(
    state: &CoreState,
    team: TeamId,
    id: PoolId,
    pool: &EntryPool,
    usage: &TeamUsage,
    ahead: u32,
) -> Vec<WaitReason> {
    let mut reasons = Vec::new();
    let pauses = state.requests.iter().any(|(_, entry)| {
        let here = entry.facts.team == team && entry.facts.pool == id;
        here && matches!(entry.stage, RequestStage::Backoff(_))
    });
    if pauses {
        reasons.push(WaitReason::Backoff);
    }
    if usage.queue.is_empty() {
        return reasons;
    }
    if !has_open_endpoint(state, id) {
        reasons.push(WaitReason::NoEndpoint);
    }
    if !owner_reachable(state, id) {
        reasons.push(WaitReason::OwnerUnreachable);
    }
    if pool.held == 0 && !pool.scarce {
        reasons.push(WaitReason::SlotsAsked);
    } else if pool.busy >= pool.held {
        reasons.push(WaitReason::SlotsBusy);
    }
    reasons.push(if ahead > 0 {
        WaitReason::OthersFirst
    } else {
        WaitReason::Next
    });
    reasons
}

fn has_open_endpoint(state: &CoreState, pool: PoolId) -> bool {
    let Some(entry) = state.catalog.pools.get(&pool) else {
        return false;
    };
    entry.endpoints.iter().any(|endpoint| {
        let published = state.catalog.endpoints.get(endpoint);
        published.is_some_and(|published| !published.leaving)
            && state.endpoints.is_open(*endpoint, state.now)
    })
}

fn owner_reachable(state: &CoreState, pool: PoolId) -> bool {
    let owner = state.members.owner_of(pool);
    owner
        .and_then(|host| state.members.get(host))
        .is_some_and(|member| member.connected)
}
