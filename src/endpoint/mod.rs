//! The endpoint side of a router: attempts over pooled connections, load reports and orders.

pub mod attempt;
pub mod body;
pub mod connections;
pub mod events;
pub mod exchange;
pub mod load;
pub mod orders;
pub mod reader;
pub mod service;
