//! Messages between routers, as `prost` structs. Generated code is not needed: the structs
//! are written by hand and derive their codec.

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

/// Version of the messages below. Peers of another version are refused at the handshake.
pub const WIRE_VERSION: u32 = 1;

/// One control message from one router to another.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// What it says.
    #[prost(oneof = "PeerBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<PeerBody>,
}

/// The closed set of control messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// From an entry router to a pool's owner.
    #[prost(message, tag = "1")]
    Demand(DemandReport),
    /// From a pool's owner to an entry router.
    #[prost(message, tag = "2")]
    Allotment(SlotAllotment),
    /// Membership: a ping, its answer, or a ping on behalf of another.
    #[prost(message, tag = "3")]
    Gossip(GossipPing),
    /// A publication, sent to a peer that asked.
    #[prost(message, tag = "4")]
    Publication(PublicationOffer),
    /// A question for a publication newer than the asker's.
    #[prost(message, tag = "5")]
    PublicationWanted(PublicationRequest),
    /// A request that crashes endpoints.
    #[prost(message, tag = "6")]
    Quarantine(QuarantineNotice),
    /// From a pool's owner that lacks slots to the owner of another pool.
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
