//! The rendered publication: what the whole fleet runs on, indexed by id.
//!
//! A catalog is built once from a checked publication and never changed. Source: the
//! sources's configuration service, see `publication`.

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

/// How quickly a caller needs the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UrgencyClass {
    /// Somebody waits at a screen: nurse queries, portal lookups.
    Interactive,
    /// Long jobs: cohort reviews, corrective plans.
    Batch,
}

/// One kind of request of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindEntry {
    /// How quickly callers need the answer.
    pub urgency: UrgencyClass,
    /// True if a second execution does harm: at most one execution ever.
    pub unrepeatable: bool,
    /// How long a request may take in all, from arrival.
    pub deadline: TimeSpan,
    /// Service-level objective: an answer within this span counts as good.
    pub goal: TimeSpan,
    /// Objective in parts per thousand of good answers, such as 990.
    pub objective_per_mille: u16,
    /// Only requests with this method are of this kind, if set.
    pub method: Option<SmolStr>,
    /// Only requests whose path starts with this are of this kind, if set.
    pub path_prefix: Option<SmolStr>,
}

/// One team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamEntry {
    /// Its name.
    pub name: TeamName,
    /// Its share of every pool it uses.
    pub share: ShareWeight,
    /// SHA-256 hashes of its keys; two while a key rotates.
    pub key_hashes: Vec<[u8; 32]>,
    /// Requests it may have waiting at one router.
    pub queue_limit: u32,
    /// Its kinds.
    pub kinds: BTreeMap<KindName, KindEntry>,
    /// The kind of a request that names and matches none.
    pub default_kind: KindName,
}

/// What a pool's endpoints speak.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolProtocol {
    /// Model engines with the published completion API; the pool name is the model.
    Engine,
    /// Any method and path under `prefix`, such as `/portal`.
    Plain {
        /// Path prefix with leading slash, without trailing one.
        prefix: SmolStr,
    },
}

/// One pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolEntry {
    /// Its name; the model name for engines.
    pub name: PoolName,
    /// What its endpoints speak.
    pub protocol: PoolProtocol,
    /// Its endpoints, in id order.
    pub endpoints: Vec<EndpointId>,
}

/// Whether an endpoint refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    /// An order with a number below the highest seen is refused.
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
    /// The pools it can serve; the first is the one it serves until an order changes that.
    pub pools: Vec<PoolId>,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once within its latency goals.
    pub slots: SlotCount,
    /// Whether it checks fencing numbers.
    pub fence_check: FenceCheck,
    /// True once the operators publish that it leaves.
    pub leaving: bool,
}

/// What every router demands of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request header, in bytes.
    pub header_bytes: u64,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Longest pause within a request's header or body.
    pub body_idle: TimeSpan,
    /// Longest pause of a caller that reads its answer.
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

/// The rendered publication.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetCatalog {
    /// The source's revision.
    pub revision: ConfigRevision,
    /// All teams.
    pub teams: BTreeMap<TeamId, TeamEntry>,
    /// All pools.
    pub pools: BTreeMap<PoolId, PoolEntry>,
    /// All endpoints.
    pub endpoints: BTreeMap<EndpointId, EndpointEntry>,
    /// What every router demands of callers.
    pub caller_limits: CallerLimits,
}

impl FleetCatalog {
    /// A team's share; 1 for a team that the catalog does not hold.
    #[must_use]
    pub fn share_of(&self, team: TeamId) -> ShareWeight {
        self.teams
            .get(&team)
            .map_or(ShareWeight(1), |entry| entry.share)
    }
}
