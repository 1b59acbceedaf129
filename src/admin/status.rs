//! Types of the admin API's JSON.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::document::DocumentFault;
use crate::report::samples::PoolSample;
use crate::units::DomainName;
use crate::units::EndpointName;
use crate::units::HostName;
use crate::units::KindName;
use crate::units::PoolName;
use crate::units::TeamName;

/// A router and the fleet as it sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Its host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its incarnation, in hexadecimal digits.
    pub incarnation: SmolStr,
    /// Seconds since its start.
    pub uptime_s: u64,
    /// Whether the balancer should send it requests.
    pub readiness: ReadinessStatus,
    /// State of its publications.
    pub publication: PublicationStatus,
    /// Requests that arrived at this router and wait.
    pub waiting: u64,
    /// Requests that arrived at this router and run.
    pub running: u64,
    /// Routers that this one knows.
    pub members: Vec<MemberStatus>,
    /// All published pools.
    pub pools: Vec<PoolStatus>,
    /// Bytes between routers since the start, by purpose.
    pub traffic: BTreeMap<SmolStr, TrafficStatus>,
}

/// Whether the balancer should send a router requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadinessStatus {
    /// True if it should.
    pub ready: bool,
    /// Reasons why it should not; empty if it should.
    pub reasons: Vec<NotReadyReason>,
}

/// Why a router is not ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotReadyReason {
    /// It is draining.
    Draining,
    /// It has no publication yet.
    NoPublication,
    /// It is asking its peers for the newest publication.
    AskingPeers,
}

impl NotReadyReason {
    /// Short label of the reason, for tables.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::NoPublication => "no publication",
            Self::AskingPeers => "asking peers",
        }
    }
}

/// Publications as a router sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationStatus {
    /// The revision in force; 0 if none.
    pub revision: u64,
    /// The last publication that was refused, if it is newer than the one in force.
    pub refused: Option<RefusedPublication>,
    /// What the router knows of the newest publication: `nothing`, `behind` (a peer has a newer
    /// one), `uncertain` (the service has answered no router recently) or `current`.
    #[serde(default)]
    pub knowledge: SmolStr,
    /// True if this router watches the configuration service; the others get updates from peers.
    pub watching: bool,
    /// Fault of the configuration service, if its last answer was a failure.
    pub source_fault: Option<String>,
    /// Fault of the host list, if its last read was a failure.
    pub hosts_fault: Option<String>,
}

/// A publication that was refused as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedPublication {
    /// Its revision.
    pub revision: u64,
    /// Its faults.
    pub faults: Vec<DocumentFault>,
}

/// A router as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its host.
    pub host: HostName,
    /// Its membership state: `alive`, `suspect`, `leaving` or `dead`.
    pub state: SmolStr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its peer address.
    pub address: SmolStr,
    /// Its incarnation, in hexadecimal digits; `None` if unknown.
    pub incarnation: Option<SmolStr>,
    /// True while a connection to it is open.
    pub connected: bool,
}

/// A pool as a router sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Its name.
    pub name: PoolName,
    /// The router that leases out its slots.
    pub owner: Option<HostName>,
    /// Its endpoints.
    pub endpoints: u32,
    /// Requests that wait at this router.
    pub waiting: u32,
    /// Requests of this router that run.
    pub running: u32,
    /// Slots leased to this router.
    pub held: u32,
    /// True while requests wait somewhere in the fleet for lack of slots.
    pub scarce: bool,
    /// Figures of the whole fleet, if this router is the pool's owner.
    pub fleet: Option<PoolSample>,
}

/// Bytes between routers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficStatus {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// True if it counts as control traffic.
    pub control: bool,
}

/// An endpoint as a router sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub name: EndpointName,
    /// IP address and port.
    pub address: SmolStr,
    /// Its failure domain.
    pub domain: DomainName,
    /// The pool that it serves now.
    pub pool: Option<PoolName>,
    /// Slots that are published for it.
    pub slots: u32,
    /// True if it gets no new work because it is leaving.
    pub leaving: bool,
    /// Remaining backoff after failures to connect, in milliseconds; it gets no new work meanwhile.
    pub resting_ms: u64,
    /// Consecutive failures to connect.
    pub failures: u32,
    /// Slots of it that are leased to this router.
    pub held: u32,
    /// Requests of this router that run on it.
    pub running: u32,
    /// Running requests of all routers, as the endpoint last reported.
    pub reported_running: Option<u32>,
}

/// A team in a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSummary {
    /// Its name.
    pub name: TeamName,
    /// Its share.
    pub share: u32,
    /// Requests that wait at this router.
    pub waiting: u32,
    /// Requests of this router that run.
    pub running: u32,
    /// Service charged at this router since its start, in service units.
    pub service: i64,
}

/// One team, and why it waits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Its name.
    pub name: TeamName,
    /// Its share.
    pub share: u32,
    /// Maximum of its requests that may wait at this router.
    pub queue_limit: u32,
    /// Its kinds.
    pub kinds: Vec<TeamKindStatus>,
    /// The pools that it used at this router.
    pub pools: Vec<TeamPoolStatus>,
}

/// A kind of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamKindStatus {
    /// Its name.
    pub name: KindName,
    /// `interactive` or `batch`.
    pub urgency: SmolStr,
    /// True if a second execution does harm.
    pub unrepeatable: bool,
    /// Time limit for a whole request, in milliseconds.
    pub deadline_ms: u64,
    /// Milliseconds within which an answer counts as good.
    pub goal_ms: u64,
    /// Answers per thousand that should be good.
    pub objective_per_mille: u16,
}

/// A team in a pool at a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamPoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// Requests that wait here.
    pub waiting: u32,
    /// Requests that run here.
    pub running: u32,
    /// Time that the oldest request has waited, in milliseconds.
    pub oldest_wait_ms: u64,
    /// Service charged here since the router's start, in service units.
    pub service: i64,
    /// Service per unit of share that the team has received beyond the team that is served next,
    /// in service units.
    pub lead_units: i64,
    /// Teams that are served before it here.
    pub ahead: u32,
    /// Teams that wait here.
    pub queued_teams: u32,
    /// Slots leased to this router.
    pub held: u32,
    /// Of these, slots with a running request.
    pub busy: u32,
    /// Why the team waits; empty if nothing of it waits.
    pub reasons: Vec<WaitReason>,
}

/// Why a team waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// The pool has no endpoint that takes new work.
    NoEndpoint,
    /// No router owns the pool, or there is no connection to the one that does.
    OwnerUnreachable,
    /// All slots leased to this router are busy, and none is free in the fleet.
    SlotsBusy,
    /// This router holds no slot yet and has asked for some.
    SlotsAsked,
    /// Other teams have received less service for their share and go first.
    OthersFirst,
    /// It is next as soon as a slot is free.
    Next,
    /// Requests are in backoff before a retry.
    Backoff,
}

impl WaitReason {
    /// The reason as a sentence for operators.
    #[must_use]
    pub fn sentence(self) -> &'static str {
        match self {
            Self::NoEndpoint => "The pool has no endpoint that takes new work.",
            Self::OwnerUnreachable => {
                "The router that shares out the pool's slots can't be reached."
            }
            Self::SlotsBusy => "All slots of the pool are busy.",
            Self::SlotsAsked => "This router has asked for slots and holds none yet.",
            Self::OthersFirst => "Other teams have had less service for their share and go first.",
            Self::Next => "It is next as soon as a slot is free.",
            Self::Backoff => "Some of its requests pause before a retry.",
        }
    }
}
