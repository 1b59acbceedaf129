//! Settings of each system, one small file a system with its defaults in one place.

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

/// Settings of the decision core, one field a system.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CoreConfig {
    /// Bounded queues.
    pub admission: AdmissionConfig,
    /// Retries.
    pub attempts: AttemptsConfig,
    /// Picking the next request.
    pub dispatch: DispatchConfig,
    /// Endpoints that leave.
    pub leaving: LeavingConfig,
    /// How much endpoints are given.
    pub limits: LimitsConfig,
    /// Who the routers are.
    pub membership: MembershipConfig,
    /// Which models endpoints serve.
    pub orders: OrdersConfig,
    /// Sharing out a pool's slots.
    pub ownership: OwnershipConfig,
    /// Pinging other routers.
    pub probing: ProbingConfig,
    /// Requests that crash endpoints.
    pub quarantine: QuarantineConfig,
    /// Which publication is in force.
    pub publication: PublicationConfig,
    /// Telling owners of demand.
    pub reporting: ReportingConfig,
    /// Unrepeatable requests.
    pub tickets: TicketsConfig,
}
