//! Wishes of pool owners for further endpoints.

use prost::Message;

/// From the owner of a pool that lacks slots to the owner of the pool that an endpoint serves.
/// Each wish stands for itself, so that a lost, doubled or late one does no harm.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointWish {
    /// The pool that lacks slots.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The endpoint that could serve it.
    #[prost(fixed32, tag = "2")]
    pub endpoint: u32,
    /// Requests that wait or run in the pool.
    #[prost(uint32, tag = "3")]
    pub demand: u32,
    /// Slots that the pool has.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
}
