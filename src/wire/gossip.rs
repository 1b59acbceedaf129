//! Gossip messages about the membership of the fleet.

use prost::Message;

/// A ping, an answer to one, or a request to ping another router.
#[derive(Clone, PartialEq, Message)]
pub struct GossipPing {
    /// 0: ping; 1: answer; 2: request to ping `target` on the sender's behalf.
    #[prost(uint32, tag = "1")]
    pub step: u32,
    /// Matches an answer to its ping.
    #[prost(uint32, tag = "2")]
    pub sequence: u32,
    /// The router to ping, for step 2.
    #[prost(string, tag = "3")]
    pub target: String,
    /// The sender's publication revision.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// State updates about members.
    #[prost(message, repeated, tag = "5")]
    pub news: Vec<MemberUpdate>,
    /// Endpoints known to be leaving, each with its generation.
    #[prost(message, repeated, tag = "6")]
    pub leaving: Vec<LeavingEndpoint>,
    /// Milliseconds since the configuration service last answered any router that the sender knows
    /// of, plus one; 0 if it never answered.
    #[prost(uint64, tag = "7")]
    pub service_age: u64,
}

/// The membership state of one router, as known to the sender.
#[derive(Clone, PartialEq, Message)]
pub struct MemberUpdate {
    /// Host name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// IP number and port of its peer listener.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// 0: alive; 1: suspect; 2: leaving; 3: dead.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// Refutation count of that incarnation; a router raises its own when it learns that it is
    /// suspected.
    #[prost(uint32, tag = "5")]
    pub refutation: u32,
    /// Failure domain.
    #[prost(string, tag = "6")]
    pub domain: String,
}

/// An endpoint that is leaving, as known to the sender.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingEndpoint {
    /// The endpoint.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// The generation of the endpoint (from the host list) that is leaving.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
}
