//! Publications passed between routers, so that few of them read the source's service.

use prost::Message;

/// A question for a publication newer than `revision`.
#[derive(Clone, PartialEq, Message)]
pub struct PublicationRequest {
    /// The asker's revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// The answer: the sender's publication, or only its revision if the asker's is as new.
#[derive(Clone, PartialEq, Message)]
pub struct PublicationOffer {
    /// The sender's revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The published JSON text; empty if not newer than the asker's.
    #[prost(bytes = "bytes", tag = "2")]
    pub text: prost::bytes::Bytes,
}
