//! The first frames of a connection between routers. Their layout stays the same in every
//! version, so that two routers of different versions can tell each other so.

use prost::Message;

/// Who is at one end of a connection and what the connection is for.
#[derive(Clone, PartialEq, Message)]
pub struct HelloFrame {
    /// [`super::WIRE_VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The sender's host.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The sender's incarnation.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// 0 control messages, 1 forwarded requests. The dialer decides.
    #[prost(uint32, tag = "4")]
    pub purpose: u32,
    /// 32 random bytes, fresh for each connection.
    #[prost(bytes = "bytes", tag = "5")]
    pub nonce: prost::bytes::Bytes,
}

/// Proof that the sender holds a peer key: a keyed hash over both hellos.
#[derive(Clone, PartialEq, Message)]
pub struct ProofFrame {
    /// HMAC-SHA256, 32 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub proof: prost::bytes::Bytes,
}
