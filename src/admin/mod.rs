//! Admin API of a router: status, metrics, history, drain and log level.
//!
//! The views are functions of the decision core's state, run on the control thread; they return
//! the JSON that the admin API sends and `verbenactl` reads.

pub mod board;
pub mod metrics;
pub mod records;
pub mod route;
pub mod sampler;
pub mod server;
pub mod status;
pub mod team_view;
pub mod views;
