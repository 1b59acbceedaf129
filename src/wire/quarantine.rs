//! Notices about requests that crash endpoints.

use prost::Message;

/// Fingerprints of requests that were running on an endpoint when it crashed.
#[derive(Clone, PartialEq, Message)]
pub struct QuarantineNotice {
    /// The endpoint that crashed.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// The endpoint's life that ended, so that one crash seen by several routers counts once.
    #[prost(fixed64, tag = "2")]
    pub crash: u64,
    /// Fingerprints of the suspects.
    #[prost(fixed64, repeated, tag = "3")]
    pub fingerprints: Vec<u64>,
    /// Fingerprints that are refused from now on.
    #[prost(fixed64, repeated, tag = "4")]
    pub refused: Vec<u64>,
}
