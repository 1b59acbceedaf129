//! Publications passed between routers, so that only a few routers read the configuration service.

use prost::Message;

/// A request for a publication newer than `revision`.
#[derive(Clone, PartialEq, Message)]
pub struct PublicationRequest {
    /// The revision that the requesting router has.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// The answer to a [`PublicationRequest`]: the sender's publication, or only its revision if it
/// isn't newer than the requested one.
#[derive(Clone, PartialEq, Message)]
pub struct PublicationOffer {
    /// The sender's revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The published JSON text; empty if it isn't newer than the requesting router's.
    #[prost(bytes = "bytes", tag = "2")]
    pub text: prost::bytes::Bytes,
}
