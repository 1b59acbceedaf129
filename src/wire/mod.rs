//! Messages between routers: hand-written structs that derive their `prost` encoding, so that no
//! generated code is needed.

pub mod allotment;
pub mod demand;
pub mod forward;
pub mod gossip;
pub mod handshake;
pub mod orders;
pub mod publication;
pub mod quarantine;

use prost::Message;
use prost::Oneof;

use self::allotment::SlotAllotment;
use self::demand::DemandReport;
use self::gossip::GossipPing;
use self::orders::EndpointWish;
use self::publication::PublicationOffer;
use self::publication::PublicationRequest;
use self::quarantine::QuarantineNotice;

/// Version of the message format. The handshake refuses peers of another version.
pub const WIRE_VERSION: u32 = 1;

/// One control message from one router to another.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// The message's content.
    #[prost(oneof = "PeerBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<PeerBody>,
}

/// All kinds of control messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// A demand report, from an entry router to a pool's owner.
    #[prost(message, tag = "1")]
    Demand(DemandReport),
    /// A slot allotment, from a pool's owner to an entry router.
    #[prost(message, tag = "2")]
    Allotment(SlotAllotment),
    /// Membership gossip: a ping, its answer, or a request to ping another router.
    #[prost(message, tag = "3")]
    Gossip(GossipPing),
    /// A publication, sent to a peer that requested it.
    #[prost(message, tag = "4")]
    Publication(PublicationOffer),
    /// A request for a publication newer than the sender's.
    #[prost(message, tag = "5")]
    PublicationWanted(PublicationRequest),
    /// Requests suspected of crashing endpoints, and leases to run their copies.
    #[prost(message, tag = "6")]
    Quarantine(QuarantineNotice),
    /// A wish for an endpoint, from a pool's owner that lacks slots to the owner of another pool.
    #[prost(message, tag = "7")]
    Wish(EndpointWish),
}

impl PeerMessage {
    /// Wraps a body.
    #[must_use]
    pub fn new(body: PeerBody) -> Self {
        Self { body: Some(body) }
    }
}
