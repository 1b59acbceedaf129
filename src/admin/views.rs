//! The admin API's views of the router, its pools, endpoints and teams, from the core's state.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::catalog::EndpointEntry;
use crate::catalog::PoolEntry;
use crate::core::state::CoreState;
use crate::core::systems::publication;
use crate::core::tables::entry_pool::EntryPool;
use crate::core::tables::entry_pool::SlotHold;
use crate::core::tables::members::MemberEntry;
use crate::core::tables::members::MemberState;
use crate::core::tables::publication_sync::ConfigKnowledge;
use crate::core::tables::requests::RequestStage;
use crate::peers::traffic::TrafficCounters;
use crate::peers::traffic::TrafficKind;
use crate::report::samples::pool_sample;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::TeamId;

use super::board::StatusBoard;
use super::status::EndpointStatus;
use super::status::MemberStatus;
use super::status::NotReadyReason;
use super::status::PoolStatus;
use super::status::PublicationStatus;
use super::status::ReadinessStatus;
use super::status::RouterStatus;
use super::status::TeamSummary;
use super::status::TrafficStatus;

/// The router as a whole.
#[must_use]
pub fn router_status(
    state: &CoreState,
    board: &StatusBoard,
    counters: &TrafficCounters,
    uptime_s: u64,
) -> RouterStatus {
    let running = state
        .requests
        .iter()
        .filter(|(_, entry)| matches!(entry.stage, RequestStage::Running { .. }))
        .count() as u64;
    let identity = &state.identity;
    RouterStatus {
        host: identity.host.clone(),
        domain: identity.domain.clone(),
        incarnation: hex(identity.incarnation.0),
        uptime_s,
        readiness: readiness(state),
        publication: publication_status(state, board),
        waiting: state.requests.len() as u64 - running,
        running,
        members: members(state),
        pools: pools(state),
        traffic: traffic(counters),
    }
}

fn publication_status(state: &CoreState, board: &StatusBoard) -> PublicationStatus {
    let knowledge = match publication::knowledge(state) {
        ConfigKnowledge::Nothing => "nothing",
        ConfigKnowledge::Behind => "behind",
        ConfigKnowledge::Uncertain => "uncertain",
        ConfigKnowledge::Current => "current",
    };
    PublicationStatus {
        knowledge: SmolStr::new_static(knowledge),
        ..board.publication(state.catalog.revision)
    }
}

/// Whether the balancer should send the router requests.
#[must_use]
pub fn readiness(state: &CoreState) -> ReadinessStatus {
    let mut reasons = Vec::new();
    if state.draining {
        reasons.push(NotReadyReason::Draining);
    }
    if state.catalog.revision.0 == 0 {
        reasons.push(NotReadyReason::NoPublication);
    } else if !state.publication_sync.ready {
        reasons.push(NotReadyReason::AskingPeers);
    }
    ReadinessStatus {
        ready: reasons.is_empty(),
        reasons,
    }
}

/// All routers that this one knows.
#[must_use]
pub fn members(state: &CoreState) -> Vec<MemberStatus> {
    let rows = state.members.iter();
    rows.map(|(host, entry)| member(host, entry)).collect()
}

fn member(host: &HostName, entry: &MemberEntry) -> MemberStatus {
    MemberStatus {
        host: host.clone(),
        state: SmolStr::new_static(match entry.state {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Dead => "dead",
        }),
        domain: entry.domain.clone(),
        address: entry.address.clone(),
        incarnation: entry.incarnation.map(|incarnation| hex(incarnation.0)),
        connected: entry.connected,
    }
}

fn hex(number: u64) -> SmolStr {
    format_smolstr!("{number:016x}")
}

/// All pools.
#[must_use]
pub fn pools(state: &CoreState) -> Vec<PoolStatus> {
    let pools = state.catalog.pools.iter();
    let mut pools: Vec<PoolStatus> = pools.map(|(id, entry)| pool(state, *id, entry)).collect();
    pools.sort_by(|one, other| one.name.cmp(&other.name));
    pools
}

fn pool(state: &CoreState, id: PoolId, entry: &PoolEntry) -> PoolStatus {
    let here = state.entry_pools.get(&id);
    let number = |read: fn(&EntryPool) -> u32| here.map_or(0, read);
    PoolStatus {
        name: entry.name.clone(),
        owner: state.members.owner_of(id).cloned(),
        endpoints: u32::try_from(entry.endpoints.len()).unwrap_or(u32::MAX),
        waiting: number(|pool| pool.waiting),
        running: number(|pool| pool.busy),
        held: number(|pool| pool.held),
        scarce: here.is_some_and(|pool| pool.scarce),
        fleet: state.owned.get(&id).map(pool_sample),
    }
}

/// Bytes between routers, by purpose.
#[must_use]
pub fn traffic(counters: &TrafficCounters) -> BTreeMap<SmolStr, TrafficStatus> {
    TrafficKind::ALL
        .into_iter()
        .map(|kind| {
            let status = TrafficStatus {
                sent: counters.sent(kind),
                received: counters.received(kind),
                control: kind.is_control(),
            };
            (SmolStr::new_static(kind.label()), status)
        })
        .collect()
}

/// All published endpoints.
#[must_use]
pub fn endpoints(state: &CoreState) -> Vec<EndpointStatus> {
    let endpoints = state.catalog.endpoints.iter();
    let mut endpoints: Vec<EndpointStatus> = endpoints
        .map(|(id, entry)| endpoint(state, *id, entry))
        .collect();
    endpoints.sort_by(|one, other| one.name.cmp(&other.name));
    endpoints
}

fn endpoint(state: &CoreState, id: EndpointId, entry: &EndpointEntry) -> EndpointStatus {
    let row = state.endpoints.get(id).cloned().unwrap_or_default();
    let holds = || {
        state
            .entry_pools
            .values()
            .filter_map(|pool| pool.slots.get(&id))
    };
    let pool = row.active.or_else(|| entry.pools.first().copied());
    EndpointStatus {
        name: entry.name.clone(),
        address: format_smolstr!("{}", entry.address),
        domain: entry.domain.clone(),
        pool: pool.and_then(|id| Some(state.catalog.pools.get(&id)?.name.clone())),
        slots: entry.slots.0,
        leaving: entry.leaving || row.leaving,
        resting_ms: row.backoff_until.since(state.now).as_millis(),
        failures: row.failures,
        held: holds().map(SlotHold::held).sum(),
        running: holds().map(|hold| hold.busy).sum(),
        reported_running: row.reported_at.map(|_| row.reported_running),
    }
}

/// All published teams.
#[must_use]
pub fn teams(state: &CoreState) -> Vec<TeamSummary> {
    let mut sums: BTreeMap<TeamId, (u32, u32, i64)> = BTreeMap::new();
    for pool in state.entry_pools.values() {
        for (team, usage) in &pool.teams {
            let sum = sums.entry(*team).or_default();
            sum.0 += u32::try_from(usage.queue.len()).unwrap_or(u32::MAX);
            sum.1 += usage.running;
            sum.2 += usage.charged;
        }
    }
    let teams = state.catalog.teams.iter();
    let mut teams: Vec<TeamSummary> = teams
        .map(|(id, entry)| {
            let (waiting, running, service) = sums.get(id).copied().unwrap_or_default();
            TeamSummary {
                name: entry.name.clone(),
                share: entry.share.0,
                waiting,
                running,
                service,
            }
        })
        .collect();
    teams.sort_by(|one, other| one.name.cmp(&other.name));
    teams
}
