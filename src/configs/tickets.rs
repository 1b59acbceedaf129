//! Settings of the tickets system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::tickets`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct TicketsConfig {
    /// Tickets that are remembered in full, running ones not counted.
    pub max_tickets: u32,
    /// Tickets of which at least the outcome is remembered; older ones are answered "unknown".
    pub max_outcomes: u32,
    /// Answers that are kept for resends.
    pub max_answers: u32,
    /// Bytes of answers that are kept for resends, over all teams.
    pub max_answer_bytes: u64,
    /// Callers that may wait for the answer of one running request, its first caller not counted.
    pub max_joined: u32,
    /// Milliseconds that a ticket of a router life nobody has told of yet is held back.
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
