//! The first frames of a connection between routers. Their layout is the same in every version, so
//! that routers of different versions can detect the mismatch.

use prost::Message;

/// The identity of one end of a connection, and the connection's purpose.
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
    /// 0: control messages; 1: forwarded requests. Only the dialer's value is used.
    #[prost(uint32, tag = "4")]
    pub purpose: u32,
    /// 32 random bytes, new for each connection.
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
