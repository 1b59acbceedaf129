//! Interface to the deployment's protocol with callers and endpoints, which defines the meaning of
//! headers.

use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::units::TimeSpan;

use super::http::RequestHead;
use super::http::ResponseHead;
use super::routes::EndpointKey;

/// Identifier of a prompt part's text; equal texts have equal identifiers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    /// Writes the identifier in hexadecimal, as callers send it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's text.
    pub id: PartId,
    /// Number of tokens in the part.
    pub tokens: u32,
}

/// Identifiers of a prompt's shared parts, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartIds(pub Vec<PartId>);

impl PartIds {
    /// The shared parts of a prompt; empty for a request without one.
    #[must_use]
    pub fn of(prompt: Option<&PromptShape>) -> Self {
        let shared = prompt.map(PromptShape::shared_parts).unwrap_or_default();
        Self(shared.iter().map(|part| part.id).collect())
    }
}

impl fmt::Display for PartIds {
    /// Writes the identifiers, separated by commas, or `-` if there are none.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("-");
        }
        for (index, part) in self.0.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(formatter, "{comma}{part}")?;
        }
        Ok(())
    }
}

/// Size and parts of a generation request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_limit: u32,
    /// The caller's estimate of the tokens to generate. It is accurate only at the median: about
    /// half of the requests generate more.
    pub output_hint: Option<u32>,
    /// The prompt's parts in order; the last one belongs to this request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the parts that other requests may share: all but the last one.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Expected number of generated tokens.
    #[must_use]
    pub fn expected_output(&self) -> u32 {
        let hint = self.output_hint.unwrap_or(self.output_limit);
        hint.min(self.output_limit)
    }

    /// Tokens that the request counts against its team's share: a prompt token counts once and a
    /// generated token twice, as in the published rate
    /// ([`CallerLimits::tokens_per_s`](super::routes::CallerLimits::tokens_per_s)).
    #[must_use]
    pub fn share_tokens(&self) -> f64 {
        f64::from(self.prompt_tokens) + 2.0 * f64::from(self.expected_output())
    }
}

/// Values decoded from a call's head.
#[derive(Debug, Clone, Default)]
pub struct CallFacts {
    /// The caller's id of the call; each resend has a new one.
    pub call_id: SmolStr,
    /// The caller's API key, if it sent one.
    pub credential: Option<SmolStr>,
    /// How long the caller waits, counted from the call's arrival, if it states a deadline.
    pub deadline: Option<Duration>,
    /// The last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The id of the call that brought the caller the first event of the stream that it resumes.
    pub resumes: Option<SmolStr>,
    /// Size and parts of a generation request; `None` for plain services, which have no model
    /// engines.
    pub prompt: Option<PromptShape>,
}

/// Why a call's head can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// The head lacks the call id, or a value can't be read.
    Unreadable,
}

/// Values that the router adds to a request for one endpoint.
#[derive(Debug)]
pub struct AttemptFacts<'a> {
    /// The intended endpoint; another endpoint at its address must refuse the request.
    pub endpoint: &'a EndpointKey,
    /// The team that the caller's key belongs to.
    pub team: Option<&'a str>,
    /// Time left until the call's deadline.
    pub time_left: Duration,
    /// The last event that was delivered, if a stream is resumed.
    pub last_event: Option<u64>,
    /// The engine from which the endpoint fetches shared prompt parts that it has not cached.
    pub fetch_from: Option<SocketAddr>,
}

/// Values decoded from an answer's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Whether the answer belongs to the call with the given id.
    pub is_ours: bool,
    /// Whether the endpoint proves that it made this answer, by a header that only endpoints add.
    /// Anything else on the way or at its address could make an answer without that header.
    pub is_proven: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// What the endpoint announces about itself.
    pub announcement: EndpointAnnouncement,
}

/// What an endpoint announces about itself in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointAnnouncement {
    /// Whether the endpoint is leaving.
    pub is_leaving: bool,
    /// How long this router should send it no requests, if it asked for a pause.
    pub pause: Option<TimeSpan>,
}

/// Decodes and writes the headers of one deployment.
pub trait CallProtocol: Send + Sync + 'static {
    /// The call id in a request's head, if there is one.
    fn call_id<'a>(&self, head: &'a RequestHead) -> Option<&'a str>;

    /// Decodes a call's head.
    ///
    /// # Errors
    /// If a required header is missing or unreadable.
    fn call_facts(&self, head: &RequestHead) -> Result<CallFacts, CallFault>;

    /// Returns whether only the router may send this header to endpoints, so that a caller's header
    /// of that name is dropped. Names are passed in the caller's spelling.
    fn is_reserved(&self, name: &[u8]) -> bool;

    /// Appends the headers that the router adds to one attempt.
    fn write_attempt(&self, attempt: &AttemptFacts<'_>, out: &mut Vec<u8>);

    /// Decodes the head of an answer to the call with this id.
    fn answer_facts(&self, head: &ResponseHead, call_id: &str) -> AnswerFacts;

    /// Appends the headers that identify the call in the router's own reply.
    fn write_reply(&self, call_id: &str, out: &mut Vec<u8>);
}
