//! Settings of the probing system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::probing`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ProbingConfig {
    /// Milliseconds between two pings that a router sends in a small fleet.
    pub period_ms: u64,
    /// Milliseconds between two pings that a router sends in a large fleet.
    pub large_period_ms: u64,
    /// Milliseconds without an answer after which other routers are asked to ping the target too.
    pub answer_ms: u64,
    /// Number of routers that are asked to ping the target.
    pub helpers: usize,
    /// Maximum number of membership updates in one ping.
    pub news: usize,
    /// Retransmission factor: an update is sent this many times the logarithm of the number of
    /// routers.
    pub spread: u32,
    /// Number of routers to which a new publication or a leaving endpoint is pushed at once.
    pub fanout: usize,
}

impl Default for ProbingConfig {
    fn default() -> Self {
        Self {
            period_ms: 250,
            large_period_ms: 1_000,
            answer_ms: 100,
            helpers: 3,
            news: 6,
            spread: 3,
            fanout: 4,
        }
    }
}
