//! Settings of the probing system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::probing`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ProbingConfig {
    /// Milliseconds between two pings of a router in a small fleet.
    pub period_ms: u64,
    /// Milliseconds between two pings of a router in a large fleet.
    pub large_period_ms: u64,
    /// Milliseconds after which other routers are asked to ping the target too.
    pub answer_ms: u64,
    /// Routers that are asked.
    pub helpers: usize,
    /// News of members in one ping at most.
    pub news: usize,
    /// A piece of news is passed on this many times the logarithm of the number of routers.
    pub spread: u32,
    /// Routers that are told at once of a new publication or a leaving endpoint.
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
