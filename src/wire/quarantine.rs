//! Notices about requests that may crash endpoints, and leases to run copies of them.

use prost::Message;

/// Fingerprints of requests that were, or may have been, running on an endpoint when it crashed,
/// and of copies of such requests that need a lease.
///
/// The home of a fingerprint is the router that grants the leases to run copies of that request.
#[derive(Clone, PartialEq, Message)]
pub struct QuarantineNotice {
    /// The endpoint that crashed.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// The incarnation of the endpoint that ended, so that one crash seen by several routers
    /// counts once.
    #[prost(fixed64, tag = "2")]
    pub crash: u64,
    /// Fingerprints of the suspected requests.
    #[prost(fixed64, repeated, tag = "3")]
    pub fingerprints: Vec<u64>,
    /// Fingerprints of requests that are refused from now on.
    #[prost(fixed64, repeated, tag = "4")]
    pub refused: Vec<u64>,
    /// True if it isn't certain that the endpoint crashed: copies of the suspected requests were
    /// lost there before the sender had read an incarnation of the endpoint.
    #[prost(bool, tag = "5")]
    pub unproven: bool,
    /// Fingerprints of requests of which the sender just lost a copy; it isn't known yet if an
    /// endpoint crashed.
    #[prost(fixed64, repeated, tag = "6")]
    pub lost: Vec<u64>,
    /// Fingerprints of suspected requests that got a complete answer.
    #[prost(fixed64, repeated, tag = "7")]
    pub innocent: Vec<u64>,
    /// To the fingerprints' home: requests of which the sender wants to run a copy or still runs
    /// one.
    #[prost(fixed64, repeated, tag = "8")]
    pub wanted: Vec<u64>,
    /// To the fingerprints' home: requests of which the sender's copy has ended.
    #[prost(fixed64, repeated, tag = "9")]
    pub ended: Vec<u64>,
    /// From the fingerprints' home: requests of which the receiver holds the lease to run a copy.
    #[prost(fixed64, repeated, tag = "10")]
    pub lease_granted: Vec<u64>,
    /// From the fingerprints' home: requests of which a copy may be running on another router, so
    /// that the lease is refused.
    #[prost(fixed64, repeated, tag = "11")]
    pub lease_denied: Vec<u64>,
}
