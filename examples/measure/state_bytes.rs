//! Estimates the memory that a core's tables take: rows times row size, plus the unused capacity
//! of B-tree nodes. Strings longer than 23 bytes and allocator overhead are not counted.

use std::mem::size_of;

use verbenaturn::catalog::EndpointEntry;
use verbenaturn::catalog::FleetCatalog;
use verbenaturn::catalog::KindEntry;
use verbenaturn::catalog::TeamEntry;
use verbenaturn::core::state::CoreState;
use verbenaturn::core::tables::crashes::SuspectRow;
use verbenaturn::core::tables::detector::PeerHealth;
use verbenaturn::core::tables::entry_pool::EntryPool;
use verbenaturn::core::tables::entry_pool::SlotHold;
use verbenaturn::core::tables::entry_pool::TeamRank;
use verbenaturn::core::tables::entry_pool::TeamUsage;
use verbenaturn::core::tables::members::MemberEntry;
use verbenaturn::core::tables::owned_pool::OwnedPool;
use verbenaturn::core::tables::owned_pool::PoolMember;
use verbenaturn::core::tables::owned_pool::SlotAssignment;
use verbenaturn::core::tables::owned_pool::TeamAccount;
use verbenaturn::core::tables::owned_pool::TeamDemand;
use verbenaturn::core::tables::requests::RequestEntry;
use verbenaturn::core::tables::tickets::TicketRow;
use verbenaturn::units::EndpointId;
use verbenaturn::units::HostName;
use verbenaturn::units::KindName;
use verbenaturn::units::Moment;
use verbenaturn::units::RequestFingerprint;
use verbenaturn::units::RequestId;
use verbenaturn::units::TeamId;

/// Allocated over used entries in the nodes of an ordered map.
const NODE_SLACK: f64 = 1.5;

/// Bytes by part of the core's state.
#[derive(Debug, Clone, Copy)]
pub struct StateBytes {
    /// Pools that the router sends requests to.
    pub entry: f64,
    /// Pools that the router owns.
    pub owned: f64,
    /// Requests.
    pub requests: f64,
    /// Other routers.
    pub members: f64,
    /// The publication in force.
    pub catalog: f64,
}

/// Estimates the size of a core's tables.
pub fn count(state: &CoreState) -> StateBytes {
    let members = map::<HostName, MemberEntry>(state.members.len());
    let peer_health = map::<HostName, PeerHealth>(state.detector.peer_health.len());
    StateBytes {
        entry: state.entry_pools.values().map(entry_bytes).sum(),
        owned: state.owned.values().map(owned_bytes).sum(),
        requests: map::<RequestId, RequestEntry>(state.requests.len())
            + map::<(Moment, RequestId), ()>(state.requests.len()),
        members: members + peer_health,
        catalog: catalog_bytes(&state.catalog),
    }
}

/// Returns the size in bytes of one row of selected tables.
pub fn row_sizes() -> [(&'static str, f64); 7] {
    [
        ("request_row", map::<RequestId, RequestEntry>(1)),
        ("usage_row", map::<TeamId, TeamUsage>(1)),
        (
            "claim_row",
            map::<TeamId, TeamDemand>(1) + map::<TeamId, f64>(1),
        ),
        ("account_row", map::<TeamId, TeamAccount>(1)),
        ("ticket_row", map::<u64, TicketRow>(1)),
        (
            "suspect_row",
            map::<RequestFingerprint, SuspectRow>(1) + map::<u64, ()>(2),
        ),
        ("member_row", map::<HostName, MemberEntry>(1)),
    ]
}

#[allow(clippy::cast_precision_loss)]
fn map<K, V>(rows: usize) -> f64 {
    (rows * size_of::<(K, V)>()) as f64 * NODE_SLACK
}

#[allow(clippy::cast_precision_loss)]
fn entry_bytes(pool: &EntryPool) -> f64 {
    let waiting = f64::from(pool.waiting) * size_of::<RequestId>() as f64;
    map::<TeamId, TeamUsage>(pool.teams.len())
        + map::<(TeamRank, TeamId), ()>(pool.order.len())
        + map::<EndpointId, SlotHold>(pool.slots.len())
        + map::<(u32, EndpointId), ()>(pool.free_endpoints.len())
        + map::<u64, EndpointId>(pool.prefixes.len())
        + waiting
}

fn owned_bytes(pool: &OwnedPool) -> f64 {
    let claims = pool.members.values().map(|member| {
        map::<TeamId, TeamDemand>(member.teams.len())
            + map::<TeamId, f64>(member.quotas.len())
            + map::<EndpointId, SlotAssignment>(member.slots.len())
    });
    map::<HostName, PoolMember>(pool.members.len())
        + map::<TeamId, TeamAccount>(pool.accounts.len())
        + 2.0 * map::<EndpointId, u32>(pool.limits.len())
        + claims.sum::<f64>()
}

fn catalog_bytes(catalog: &FleetCatalog) -> f64 {
    let kinds = catalog.teams.values().map(|team| team.kinds.len());
    let hashes = catalog.teams.values().map(|team| team.key_hashes.len());
    map::<TeamId, TeamEntry>(catalog.teams.len())
        + map::<KindName, KindEntry>(kinds.sum())
        + map::<[u8; 32], ()>(hashes.sum())
        + map::<EndpointId, EndpointEntry>(catalog.endpoints.len())
}
