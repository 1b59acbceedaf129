//! The tables of the decision core. They hold state; the decisions are made by the systems.

pub mod byte_budget;
pub mod crashes;
pub mod detector;
pub mod endpoints;
pub mod entry_pool;
pub mod gossip_queue;
pub mod members;
pub mod orders;
pub mod owned_pool;
pub mod publication_sync;
pub mod requests;
pub mod retry_budgets;
pub mod slot_limits;
pub mod team_eviction;
pub mod team_queue;
pub mod tickets;
pub mod trials;
pub mod wait_estimator;
