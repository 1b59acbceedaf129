//! The router's own replies, and the heads that it writes to endpoints and callers.

use std::time::Duration;

use super::http::HeaderField;
use super::http::RequestHead;
use super::http::ResponseHead;
use super::http::head::has_connection_option;
use super::protocol::AttemptFacts;
use super::protocol::CallProtocol;

/// A reply that the router makes itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnReply {
    /// The reply's status.
    pub status: OwnStatus,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// Statuses of the router's own replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnStatus {
    /// The request can't be parsed.
    BadRequest,
    /// The key is missing or unknown.
    Unauthorized,
    /// No route matches the request.
    NotFound,
    /// The request did not arrive in time; it did not run.
    RequestTimeout,
    /// The body is larger than allowed.
    TooLarge,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The team is over its share; the request did not run.
    TooManyRequests,
    /// The request did not run.
    Unavailable,
    /// The request may have run.
    BadGateway,
    /// The request may have run, and its deadline has passed.
    GatewayTimeout,
}

impl OwnStatus {
    /// The status code and the reason phrase.
    #[must_use]
    pub fn line(self) -> (u16, &'static str) {
        match self {
            Self::BadRequest => (400, "Bad Request"),
            Self::Unauthorized => (401, "Unauthorized"),
            Self::NotFound => (404, "Not Found"),
            Self::RequestTimeout => (408, "Request Timeout"),
            Self::TooLarge => (413, "Content Too Large"),
            Self::HeadTooLarge => (431, "Request Header Fields Too Large"),
            Self::TooManyRequests => (429, "Too Many Requests"),
            Self::Unavailable => (503, "Service Unavailable"),
            Self::BadGateway => (502, "Bad Gateway"),
            Self::GatewayTimeout => (504, "Gateway Timeout"),
        }
    }
}

impl OwnReply {
    /// A reply without `Retry-After`: it does not invite the caller to retry.
    #[must_use]
    pub fn plain(status: OwnStatus) -> Self {
        Self {
            status,
            retry_after: None,
        }
    }

    /// A refusal with `Retry-After`: the request did not run, and the caller may retry after
    /// `wait`.
    #[must_use]
    pub fn with_retry_after(status: OwnStatus, wait: Duration) -> Self {
        Self {
            status,
            retry_after: Some(wait),
        }
    }

    /// The reply as it is written to the caller.
    #[must_use]
    pub fn bytes<P: CallProtocol>(&self, protocol: &P, call_id: &str, keep: bool) -> Vec<u8> {
        let (code, reason) = self.status.line();
        let mut out = format!("HTTP/1.1 {code} {reason}\r\nContent-Length: 0\r\n").into_bytes();
        if let Some(wait) = self.retry_after {
            let line = format!("Retry-After: {:.3}\r\n", wait.as_secs_f64());
            out.extend_from_slice(line.as_bytes());
        }
        if !call_id.is_empty() {
            protocol.write_reply(call_id, &mut out);
        }
        if !keep {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// Hop-by-hop headers and `Content-Length`, which are not passed on: where a message needs them,
/// the router writes its own.
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Returns whether a header field is passed on: it is neither one of `HOP_HEADERS` nor named in a
/// `Connection` field, both of which concern a single connection.
fn passes(field: &HeaderField, all: &[HeaderField]) -> bool {
    let is_hop = HOP_HEADERS.iter().any(|name| field.is(name));
    let named = field_name(field).is_some_and(|name| has_connection_option(all, name));
    !is_hop && !named
}

fn field_name(field: &HeaderField) -> Option<&str> {
    std::str::from_utf8(&field.name).ok()
}

fn push_field(out: &mut Vec<u8>, field: &HeaderField) {
    out.extend_from_slice(&field.name);
    out.extend_from_slice(b": ");
    out.extend_from_slice(&field.value);
    out.extend_from_slice(b"\r\n");
}

/// The request as it is written to one endpoint.
#[must_use]
pub fn endpoint_request<P: CallProtocol>(
    protocol: &P,
    head: &RequestHead,
    body: &[u8],
    attempt: &AttemptFacts<'_>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 1_024);
    out.extend_from_slice(&head.method);
    out.push(b' ');
    out.extend_from_slice(&head.target);
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for field in &head.fields {
        let expects = field.is("expect");
        if passes(field, &head.fields) && !expects && !protocol.is_reserved(&field.name) {
            push_field(&mut out, field);
        }
    }
    protocol.write_attempt(attempt, &mut out);
    let bodiless = body.is_empty() && matches!(&head.method[..], b"GET" | b"HEAD" | b"DELETE");
    if !bodiless {
        out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// How the body of an answer to the caller is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyFraming {
    /// `Content-Length` with this number of bytes.
    Length(usize),
    /// Chunked transfer encoding.
    Chunked,
}

/// The head of an endpoint's answer as it is written to the caller.
#[must_use]
pub fn caller_head(head: &ResponseHead, framing: ReplyFraming, keep: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {} {}\r\n", head.status, reason(head.status)).into_bytes();
    for field in &head.fields {
        if passes(field, &head.fields) {
            push_field(&mut out, field);
        }
    }
    let framing = match framing {
        ReplyFraming::Length(length) => format!("Content-Length: {length}\r\n"),
        ReplyFraming::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
    };
    out.extend_from_slice(framing.as_bytes());
    if !keep {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn reason(status: u16) -> &'static str {
    http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown")
}

/// Appends `bytes` as one chunk of a chunked body.
pub fn push_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// The chunk that ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
