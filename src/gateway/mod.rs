//! A router for fleets in which every router decides alone.
//!
//! The other mode of this product hands the slots of a pool to one owner. A gateway does not: any
//! number of its fellows may vanish at any moment, its objectives are a tenth of the time that a
//! change of owners takes, and endpoints refuse by themselves what they can't take. See
//! `docs/design/platform-adapter.md`.
//!
//! [`process`] starts it; a call goes through [`front`], [`call`], [`attempt`] and [`relay`];
//! decisions are in [`decide`]. What a deployment's headers and store look like is behind
//! [`protocol::CallProtocol`] and [`follow::StateStore`].

pub mod accept;
pub mod accept_queue;
pub mod attempt;
pub mod call;
pub mod call_record;
pub mod call_state;
pub mod config;
pub mod decide;
pub mod digest;
pub mod endpoint_list;
pub mod endpoint_view;
pub mod follow;
pub mod freshness;
pub mod front;
pub mod gossip;
pub mod handover;
pub mod http;
pub mod late;
pub mod link;
pub mod load;
pub mod metrics;
pub mod peer_table;
pub mod pool;
pub mod process;
pub mod protocol;
pub mod readers;
pub mod readiness;
pub mod relay;
pub mod reply;
pub mod routes;
pub mod shared;
