//! The endpoint side: attempts over pooled connections, load reports, orders.

pub mod attempt;
pub mod body;
pub mod connections;
pub mod events;
pub mod exchange;
pub mod load;
pub mod orders;
pub mod reader;
pub mod service;
