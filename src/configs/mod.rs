//! Settings of each system and their defaults, one file per system.

pub mod admission;
pub mod attempts;
pub mod dispatch;
pub mod leaving;
pub mod limits;
pub mod membership;
pub mod orders;
pub mod ownership;
pub mod peers;
pub mod probing;
pub mod publication;
pub mod quarantine;
pub mod reporting;
pub mod tickets;
pub mod traffic;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use self::admission::AdmissionConfig;
use self::attempts::AttemptsConfig;
use self::dispatch::DispatchConfig;
use self::leaving::LeavingConfig;
use self::limits::LimitsConfig;
use self::membership::MembershipConfig;
use self::orders::OrdersConfig;
use self::ownership::OwnershipConfig;
use self::probing::ProbingConfig;
use self::publication::PublicationConfig;
use self::quarantine::QuarantineConfig;
use self::reporting::ReportingConfig;
use self::tickets::TicketsConfig;

/// Settings of the decision core, one field per system.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CoreConfig {
    /// Admission of new requests into bounded queues.
    pub admission: AdmissionConfig,
    /// Attempts and retries.
    pub attempts: AttemptsConfig,
    /// Selection of the next request to run.
    pub dispatch: DispatchConfig,
    /// Endpoints that are leaving.
    pub leaving: LeavingConfig,
    /// Concurrency limits of endpoints.
    pub limits: LimitsConfig,
    /// Membership: which routers form the fleet.
    pub membership: MembershipConfig,
    /// Orders that tell endpoints which model to serve.
    pub orders: OrdersConfig,
    /// Allocation of a pool's slots by its owner.
    pub ownership: OwnershipConfig,
    /// Failure detection by pings.
    pub probing: ProbingConfig,
    /// Quarantine of requests that crash endpoints.
    pub quarantine: QuarantineConfig,
    /// Distribution of publications among routers.
    pub publication: PublicationConfig,
    /// Demand reports to pool owners.
    pub reporting: ReportingConfig,
    /// Tickets of unrepeatable requests.
    pub tickets: TicketsConfig,
}
