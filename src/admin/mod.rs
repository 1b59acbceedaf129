//! The operators' side of a router: status, metrics, history, drain and log level.
//!
//! The views are functions over the decision core's state, run on the control thread; what they
//! return is the JSON that the admin API answers and `verbenactl` reads.

pub mod board;
pub mod metrics;
pub mod records;
pub mod route;
pub mod sampler;
pub mod server;
pub mod status;
pub mod team_view;
pub mod views;
