//! verbenaturn: a router fleet that shares model capacity fairly among many teams.
//!
//! Start reading at [`core`], the decision core; `docs/ARCHITECTURE.md` describes the
//! path of a request through the files.

pub mod admin;
pub mod catalog;
pub mod configs;
pub mod core;
pub mod ctl;
pub mod daemon;
pub mod document;
pub mod endpoint;
pub mod entry;
pub mod gateway;
pub mod peers;
pub mod publication;
pub mod report;
pub mod settings;
pub mod sources;
pub mod tickets;
pub mod units;
pub mod wire;
