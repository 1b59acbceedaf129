//! Settings of the dispatch system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::dispatch`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchConfig {
    /// Service units by which an interactive request may be dispatched ahead of its team's turn.
    pub express_units: u64,
    /// Milliseconds within which the first byte of an attempt must be sent to the endpoint.
    pub write_within_ms: u64,
    /// Number of prompt prefixes per pool for which the last endpoint is remembered.
    pub prefix_memory: u32,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        Self {
            express_units: 2_000,
            write_within_ms: 250,
            prefix_memory: 1_024,
        }
    }
}
