//! What an attempt costs, in service units. The one place where the unit is defined.
//!
//! Model engines: one unit per token of input (taken as four bytes of the request's body) and
//! two per token of output (one event of a streamed answer, or the token count that an
//! unstreamed answer states, or else four bytes of it). Plain services: [`PLAIN_CALL`] a call.

use serde::Deserialize;

use crate::units::ServiceUnits;

/// Units of one call to a plain service.
pub const PLAIN_CALL: u64 = 100;
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

/// Service of an engine's attempt after `tokens` of output.
#[must_use]
pub fn engine_service(request_bytes: usize, tokens: u64) -> ServiceUnits {
    let input = request_bytes as u64 / BYTES_PER_TOKEN;
    ServiceUnits(input * INPUT_WEIGHT + tokens * OUTPUT_WEIGHT)
}

/// Tokens of an unstreamed answer; `None` if it is not JSON.
#[must_use]
pub fn answer_tokens(body: &[u8]) -> Option<u64> {
    let parsed: UsageBody = serde_json::from_slice(body).ok()?;
    let guess = body.len() as u64 / BYTES_PER_TOKEN;
    Some(parsed.usage.map_or(guess, |usage| usage.completion_tokens))
}
