//! The gateway's decisions: no I/O, no clock, no global randomness.
//!
//! Every router decides alone, from its own counts and from what the others tell of theirs. An
//! endpoint's own refusal is the last word, so a wrong belief costs time and never correctness.

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
pub use core::AttemptEnd;
pub use core::AttemptTicket;
pub use core::CallAsk;
pub use core::GatewayCore;
pub use core::RefusalCause;
pub use endpoints::EndpointTable;
