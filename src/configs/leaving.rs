//! Settings of the leaving system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::leaving`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LeavingConfig {
    /// Leaving endpoints in one ping at most.
    pub news: usize,
    /// Leaving endpoints in a greeting at most.
    pub greeting: usize,
}

impl Default for LeavingConfig {
    fn default() -> Self {
        Self {
            news: 16,
            greeting: 512,
        }
    }
}
