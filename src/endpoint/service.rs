//! The cost of an attempt in service units. This module alone defines the unit.
//!
//! Model engines: one unit per input token (estimated as four bytes of the request's body) and two
//! per output token (one event of a streamed answer; for an unstreamed answer the token count that
//! it states, or else four bytes of it). Plain services: [`PLAIN_CALL_UNITS`] per call.

use serde::Deserialize;

use crate::units::ServiceUnits;

/// Service units of one call to a plain service.
pub const PLAIN_CALL_UNITS: u64 = 100;
const INPUT_WEIGHT: u64 = 1;
const OUTPUT_WEIGHT: u64 = 2;
const BYTES_PER_TOKEN: u64 = 4;

#[derive(Debug, Deserialize)]
struct UsageBody {
    usage: Option<UsageCount>,
}

#[derive(Debug, Deserialize)]
struct UsageCount {
    completion_tokens: u64,
}

/// Returns the service of an engine's attempt after `tokens` output tokens.
#[must_use]
pub fn engine_service(request_bytes: usize, tokens: u64) -> ServiceUnits {
    let input = request_bytes as u64 / BYTES_PER_TOKEN;
    ServiceUnits(input * INPUT_WEIGHT + tokens * OUTPUT_WEIGHT)
}

/// Returns the output tokens of an unstreamed answer, or `None` if it can't be parsed as JSON.
#[must_use]
pub fn answer_tokens(body: &[u8]) -> Option<u64> {
    let parsed: UsageBody = serde_json::from_slice(body).ok()?;
    let guess = body.len() as u64 / BYTES_PER_TOKEN;
    Some(parsed.usage.map_or(guess, |usage| usage.completion_tokens))
}
