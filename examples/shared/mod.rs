//! Stand-ins for the services around the routers, used by the examples and the tests.

#![allow(dead_code)]

pub mod caller;
pub mod endpoint;
pub mod engine;
pub mod fleet;
pub mod plain;
pub mod processes;
pub mod single;
pub mod site;
pub mod sources;
pub mod traffic;
