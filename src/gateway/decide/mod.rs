//! The gateway's decision logic: no I/O, no clock, no global randomness.
//!
//! Each router decides on its own, from its own counts and the counts that the other routers
//! gossip. An endpoint can still refuse a request, so outdated information costs time but never
//! correctness.

pub mod accounts;
pub mod budget;
pub mod capacity;
pub mod core;
pub mod departures;
pub mod endpoints;
pub mod health;
pub mod levels;
pub mod notices;
pub mod placement;
pub mod quarantine;
pub mod shares;
pub mod sizes;
pub mod surge;
pub mod window;

pub use budget::RetryBudget;
pub use core::Admission;
pub use core::AdmissionRequest;
pub use core::AttemptEnd;
pub use core::AttemptTicket;
pub use core::GatewayCore;
pub use core::RefusalCause;
pub use endpoints::EndpointTable;
