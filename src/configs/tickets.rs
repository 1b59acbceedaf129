//! Settings of the tickets system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::tickets`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct TicketsConfig {
    /// Maximum number of tickets that are remembered in full, not counting running ones.
    pub max_tickets: u32,
    /// Maximum number of tickets of which at least the outcome is remembered; older ones are
    /// answered "unknown".
    pub max_outcomes: u32,
    /// Maximum number of answers that are kept for resends.
    pub max_answers: u32,
    /// Maximum total size of answers that are kept for resends, in bytes, over all teams.
    pub max_answer_bytes: u64,
    /// Maximum number of callers that wait for the answer of one running request, not counting its
    /// first caller.
    pub max_joined: u32,
    /// Milliseconds for which a request is held back if the router incarnation that minted its
    /// ticket is not yet known.
    pub minter_wait_ms: u64,
}

impl Default for TicketsConfig {
    fn default() -> Self {
        Self {
            max_tickets: 4_096,
            max_outcomes: 65_536,
            max_answers: 1_024,
            max_answer_bytes: 16 * 1_024 * 1_024,
            max_joined: 8,
            minter_wait_ms: 500,
        }
    }
}
