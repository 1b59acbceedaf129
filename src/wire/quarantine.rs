//! Notices about requests that crash endpoints, and leases to run their copies.

use prost::Message;

/// Fingerprints of requests that were running on an endpoint when it crashed, or may have been.
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
    /// True if nothing proves that the endpoint crashed: the suspects' copies were lost there
    /// before the sender had read a life of it.
    #[prost(bool, tag = "5")]
    pub unproven: bool,
    /// Fingerprints of requests of which the sender lost a copy a moment ago; whether an endpoint
    /// crashed is not known yet.
    #[prost(fixed64, repeated, tag = "6")]
    pub lost: Vec<u64>,
    /// Fingerprints of suspects that were answered whole.
    #[prost(fixed64, repeated, tag = "7")]
    pub innocent: Vec<u64>,
    /// To their home: fingerprints of requests of which the sender wants to run a copy, or runs
    /// one still.
    #[prost(fixed64, repeated, tag = "8")]
    pub wanted: Vec<u64>,
    /// To their home: fingerprints of requests of which the sender's copy ended.
    #[prost(fixed64, repeated, tag = "9")]
    pub ended: Vec<u64>,
    /// From their home: fingerprints of requests of which the receiver may run a copy.
    #[prost(fixed64, repeated, tag = "10")]
    pub lent: Vec<u64>,
    /// From their home: fingerprints of requests of which a copy may run elsewhere.
    #[prost(fixed64, repeated, tag = "11")]
    pub withheld: Vec<u64>,
}
