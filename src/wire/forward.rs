//! Frames of a forwarded request. A connection carries one request at a time, so that TCP flow
//! control gives end-to-end back-pressure.

use prost::Message;
use prost::Oneof;

/// One frame of a forwarding connection.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardFrame {
    /// The frame's content.
    #[prost(oneof = "ForwardBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<ForwardBody>,
}

/// All kinds of frames of a forwarding connection.
#[derive(Clone, PartialEq, Oneof)]
pub enum ForwardBody {
    /// Starts a request.
    #[prost(message, tag = "1")]
    Head(ForwardHead),
    /// A piece of the request body.
    #[prost(bytes = "bytes", tag = "2")]
    Body(prost::bytes::Bytes),
    /// The request body is complete.
    #[prost(bool, tag = "3")]
    BodyEnd(bool),
    /// Starts the answer.
    #[prost(message, tag = "4")]
    AnswerHead(ForwardAnswerHead),
    /// A piece of the answer body.
    #[prost(bytes = "bytes", tag = "5")]
    AnswerBody(prost::bytes::Bytes),
    /// The answer is complete.
    #[prost(bool, tag = "6")]
    AnswerEnd(bool),
    /// The caller has disconnected.
    #[prost(bool, tag = "7")]
    Cancel(bool),
}

/// A header field.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardHeader {
    /// Its name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value as received.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: prost::bytes::Bytes,
}

/// A forwarded request without its body.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardHead {
    /// HTTP method.
    #[prost(string, tag = "1")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Header fields in order.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<ForwardHeader>,
    /// The team that the sender authenticated.
    #[prost(fixed32, tag = "4")]
    pub team: u32,
    /// The request's kind.
    #[prost(string, tag = "5")]
    pub kind: String,
    /// Milliseconds left until the caller gives up.
    #[prost(uint64, tag = "6")]
    pub deadline_ms: u64,
    /// The router incarnation that issued the ticket; 0 without a ticket.
    #[prost(fixed64, tag = "7")]
    pub ticket_issuer: u64,
    /// The ticket's number at its issuer; 0 without a ticket.
    #[prost(uint64, tag = "8")]
    pub ticket_number: u64,
}

/// An answer without its body.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardAnswerHead {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Header fields in order.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<ForwardHeader>,
}

impl ForwardFrame {
    /// Wraps a body.
    #[must_use]
    pub fn new(body: ForwardBody) -> Self {
        Self { body: Some(body) }
    }
}
