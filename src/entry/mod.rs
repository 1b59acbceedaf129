//! The entry side of a router: receives calls, validates them, waits for the core's decision and
//! returns the answers.
//!
//! Each request has its own task ([`task`]), which carries out the core's decisions. [`front`]
//! accepts calls from callers; calls forwarded by peers go through the same [`admit::answer`].

pub mod admit;
pub mod answers;
pub mod body;
pub mod call;
pub mod caller;
pub mod catalog;
pub mod context;
pub mod forwarding;
pub mod front;
pub mod headers;
pub mod refusal;
pub mod route;
pub mod task;
