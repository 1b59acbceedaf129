//! A router for fleets in which every router decides on its own.
//!
//! The other mode of this product is the daemon (`crate::daemon`): there one router, the owner of a
//! pool of endpoints, grants the pool's slots (requests that endpoints run at the same time) to all
//! routers. A gateway has no owner: any number of its peers may vanish at any moment, its latency
//! objectives are a tenth of the time that a change of owner takes, and endpoints themselves refuse
//! work that they can't take. See `docs/design/platform-adapter.md`.
//!
//! Two threads run a gateway: the traffic thread serves callers, the control thread does all else
//! (store, gossip, readiness, metrics). They share [`shared::SharedState`].
//!
//! [`process`] starts it; a call goes through [`front`], [`call`], [`attempt`] and [`relay`];
//! decisions are made in [`decide`]. The headers and the store of a deployment are abstracted by
//! [`protocol::CallProtocol`] and [`follow::StateStore`].

pub mod accept;
pub mod accept_queue;
pub mod attempt;
pub mod call;
pub mod call_record;
pub mod call_state;
pub mod catch_up;
pub mod config;
pub mod decide;
pub mod digest;
pub mod end_check;
pub mod endpoint_list;
pub mod endpoint_view;
pub mod follow;
pub mod freshness;
pub mod front;
pub mod gossip;
pub mod handover;
pub mod http;
pub mod kept_connection;
pub mod late;
pub mod link;
pub mod load;
pub mod metrics;
pub mod origin_exchange;
pub mod origin_lookup;
pub mod past;
pub mod peer_table;
pub mod place;
pub mod pool;
pub mod process;
pub mod protocol;
pub mod readers;
pub mod readiness;
pub mod relay;
pub mod reply;
pub mod resume;
pub mod routes;
pub mod shared;
pub mod sightings;
pub mod skipped;
pub mod stream_messages;
