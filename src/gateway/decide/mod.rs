//! The gateway's decision logic: no I/O except log lines, no clock, no global randomness.
//!
//! A *fleet* is one deployment with all its routers and endpoints. A team's *share* is the part of
//! the token rate that it may use when the demands of all teams exceed that rate. A *flood* is
//! demand of one team that is several times its share; the team is *flooding* while it lasts. The
//! *store* is the service from which routers read the list of registered endpoints; routers decide
//! without it while it is unavailable. A route's *objective* is its latency objective: the time by
//! which a call should be answered, or a stream should have its first event.
//!
//! Each router decides on its own, from its own counts and the counts that the other routers
//! gossip. An endpoint can still refuse a request, so outdated information costs time but never
//! correctness.

pub mod accounts;
pub mod answer_memory;
pub mod answered;
pub mod attempts;
pub mod budget;
pub mod capacity;
pub mod core;
pub mod crash_report;
pub mod departures;
pub mod endpoints;
pub mod fleet_size;
pub mod health;
pub mod levels;
pub mod notices;
pub mod outcomes;
pub mod part_crashes;
pub mod past_versions;
pub mod placement;
pub mod process_ends;
pub mod quarantine;
pub mod record_refill;
pub mod shares;
pub mod sizes;
pub mod stable_ranges;
pub mod stream_deposits;
pub mod stream_origins;
pub mod surge;
pub mod team_logs;
pub mod version_choice;
pub mod version_history;
pub mod window;

pub use attempts::AttemptEnd;
pub use attempts::AttemptTicket;
pub use budget::RetryBudget;
pub use core::Admission;
pub use core::AdmissionLimit;
pub use core::AdmissionRequest;
pub use core::GatewayCore;
pub use core::RefusalCause;
pub use endpoints::EndpointTable;
