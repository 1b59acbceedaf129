//! The catalog: the rendered publication that all routers use, indexed by id.
//!
//! A catalog is built once from a checked publication and is immutable. The publication comes from
//! the configuration service, see `publication`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::units::ConfigRevision;
use crate::units::DomainName;
use crate::units::EndpointId;
use crate::units::EndpointName;
use crate::units::KindName;
use crate::units::PoolId;
use crate::units::PoolName;
use crate::units::ShareWeight;
use crate::units::SlotCount;
use crate::units::TeamId;
use crate::units::TeamName;
use crate::units::TimeSpan;

/// Urgency of a kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UrgencyClass {
    /// A person waits for the answer: nurse queries, portal lookups.
    Interactive,
    /// Long jobs: cohort reviews, corrective plans.
    Batch,
}

/// One kind of request of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindEntry {
    /// Urgency of the requests.
    pub urgency: UrgencyClass,
    /// True if a request must be executed at most once because a second execution does harm.
    pub unrepeatable: bool,
    /// Maximum total time of a request, from its arrival.
    pub deadline: TimeSpan,
    /// Latency goal of the service-level objective: an answer within this time counts as good.
    pub goal: TimeSpan,
    /// Service-level objective: target share of good answers per thousand, such as 990.
    pub objective_per_mille: u16,
    /// If set, only requests with this method are of this kind.
    pub method: Option<SmolStr>,
    /// If set, only requests whose path starts with this prefix are of this kind.
    pub path_prefix: Option<SmolStr>,
}

/// One team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamEntry {
    /// Its name.
    pub name: TeamName,
    /// Its share of every pool that it uses.
    pub share: ShareWeight,
    /// SHA-256 hashes of its API keys; two during a key rotation.
    pub key_hashes: Vec<[u8; 32]>,
    /// Maximum number of its waiting requests at one router.
    pub queue_limit: u32,
    /// Its kinds of requests.
    pub kinds: BTreeMap<KindName, KindEntry>,
    /// The kind of a request that names no kind and matches none.
    pub default_kind: KindName,
}

/// Protocol of a pool's endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolProtocol {
    /// Model engines with the public completion API; the pool name is the model name.
    Engine,
    /// Any method and path under `prefix`, such as `/portal`.
    Plain {
        /// Path prefix with a leading slash and without a trailing one.
        prefix: SmolStr,
    },
}

/// One pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolEntry {
    /// Its name; for engines, the model name.
    pub name: PoolName,
    /// Protocol of its endpoints.
    pub protocol: PoolProtocol,
    /// Its endpoints, in id order.
    pub endpoints: Vec<EndpointId>,
}

/// Defines whether an endpoint rejects orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    /// An order with a number below the highest seen is rejected.
    Checked,
    /// The number is ignored.
    Ignored,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Its name.
    pub name: EndpointName,
    /// IP number and port.
    pub address: SocketAddr,
    /// The pools that it can serve; it serves the first until an order changes that.
    pub pools: Vec<PoolId>,
    /// Its failure domain.
    pub domain: DomainName,
    /// Maximum number of requests that it runs concurrently within its latency goals.
    pub slots: SlotCount,
    /// Defines whether it checks fencing numbers.
    pub fence_check: FenceCheck,
    /// True once the operators publish that it is leaving.
    pub leaving: bool,
}

/// Limits on callers at every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum request header size, in bytes.
    pub header_bytes: u64,
    /// Maximum request body size, in bytes.
    pub body_bytes: u64,
    /// Maximum pause within a request's header or body.
    pub body_idle: TimeSpan,
    /// Maximum pause of a caller while it reads its answer.
    pub answer_idle: TimeSpan,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1_024,
            body_bytes: 8 * 1_024 * 1_024,
            body_idle: TimeSpan::from_millis(10_000),
            answer_idle: TimeSpan::from_millis(60_000),
        }
    }
}

/// The rendered publication, indexed by id.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetCatalog {
    /// Revision of the publication at its source.
    pub revision: ConfigRevision,
    /// All teams.
    pub teams: BTreeMap<TeamId, TeamEntry>,
    /// All pools.
    pub pools: BTreeMap<PoolId, PoolEntry>,
    /// All endpoints.
    pub endpoints: BTreeMap<EndpointId, EndpointEntry>,
    /// Limits on callers at every router.
    pub caller_limits: CallerLimits,
}

impl FleetCatalog {
    /// Returns a team's share, or 1 for a team that is not in the catalog.
    #[must_use]
    pub fn share_of(&self, team: TeamId) -> ShareWeight {
        self.teams
            .get(&team)
            .map_or(ShareWeight(1), |entry| entry.share)
    }
}
