//! The edge towards callers and endpoints: what headers mean is the deployment's.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::units::TimeSpan;

use super::http::RequestHead;
use super::http::ResponseHead;
use super::routes::EndpointKey;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's text.
    pub id: u64,
    /// Tokens in it.
    pub tokens: u32,
}

/// What a generation asks of a model engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub output_limit: u32,
    /// The caller's estimate of the tokens to generate; right at the median only.
    pub output_hint: Option<u32>,
    /// The prompt's parts in order; the last belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Tokens that the generation is expected to have.
    #[must_use]
    pub fn expected_output(&self) -> u32 {
        let hint = self.output_hint.unwrap_or(self.output_limit);
        hint.min(self.output_limit)
    }

    /// What the request counts against its team's share: a token read counts once and a
    /// generated one twice, as the published rate does.
    #[must_use]
    pub fn share_tokens(&self) -> f64 {
        f64::from(self.prompt_tokens) + 2.0 * f64::from(self.expected_output())
    }
}

/// What a call's head says, decoded.
#[derive(Debug, Clone, Default)]
pub struct CallFacts {
    /// The caller's id of this attempt.
    pub call_id: SmolStr,
    /// The caller's key, if it sent one.
    pub credential: Option<SmolStr>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// What a generation asks; nothing for plain services.
    pub prompt: Option<PromptShape>,
}

/// Why a call can't be served as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// The head lacks the caller's id, or a value can't be read.
    Unreadable,
}

/// What the router adds to a request for one endpoint.
#[derive(Debug)]
pub struct AttemptFacts<'a> {
    /// The endpoint that is meant; another one at its address must refuse.
    pub endpoint: &'a EndpointKey,
    /// The team that the caller's key belongs to.
    pub team: Option<&'a str>,
    /// How long the endpoint may work.
    pub time_left: Duration,
    /// The last event that was delivered, if the stream goes on.
    pub last_event: Option<u64>,
    /// The engine from which it fetches shared parts of the prompt that it lacks.
    pub fetch_from: Option<SocketAddr>,
}

/// What an answer's head says, decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Whether it answers the call with the id asked about.
    pub is_ours: bool,
    /// Whether the endpoint proves that it made this answer.
    pub is_proven: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// What the endpoint says of itself.
    pub words: SpokenWords,
}

/// What an endpoint says of itself in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpokenWords {
    /// It leaves.
    pub is_leaving: bool,
    /// For how long it wants no requests from this router.
    pub pause: Option<TimeSpan>,
}

/// How callers and endpoints of one deployment write headers.
pub trait CallProtocol: Send + Sync + 'static {
    /// The id that the caller gave the call, if it gave one.
    fn call_id<'a>(&self, head: &'a RequestHead) -> Option<&'a str>;

    /// Decodes a call's head.
    ///
    /// # Errors
    /// If a required header is missing or unreadable.
    fn call_facts(&self, head: &RequestHead) -> Result<CallFacts, CallFault>;

    /// Whether only the router may set this header towards endpoints, so that a caller's is
    /// dropped. Names come in the caller's spelling.
    fn is_reserved(&self, name: &[u8]) -> bool;

    /// Appends the router's headers of one attempt.
    fn write_attempt(&self, attempt: &AttemptFacts<'_>, out: &mut Vec<u8>);

    /// Decodes the head of an answer to the call with this id.
    fn answer_facts(&self, head: &ResponseHead, call_id: &str) -> AnswerFacts;

    /// Appends the headers that tie the router's own answer to a call.
    fn write_reply(&self, call_id: &str, out: &mut Vec<u8>);
}
