//! Settings of the leaving system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::leaving`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LeavingConfig {
    /// Maximum number of leaving endpoints in one ping.
    pub news: usize,
    /// Maximum number of leaving endpoints in the greeting on a new connection.
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
