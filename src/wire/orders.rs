//! Requests of pool owners for additional endpoints.

use prost::Message;

/// Asks for an endpoint; sent by the owner of a pool that lacks slots to the owner of the pool that
/// the endpoint serves. Each wish is independent of earlier ones, so a lost, duplicated or late one
/// does no harm.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointWish {
    /// The pool that lacks slots.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The endpoint that could serve it.
    #[prost(fixed32, tag = "2")]
    pub endpoint: u32,
    /// Requests waiting or running in the pool.
    #[prost(uint32, tag = "3")]
    pub demand: u32,
    /// Slots that the pool has.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
}
