//! Settings of the admission system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::admission`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionConfig {
    /// Maximum number of waiting requests at one router, over all teams.
    pub queue_limit: u32,
    /// Minimum time after which a refused caller is told to retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            queue_limit: 4_096,
            retry_after_ms: 1_000,
        }
    }
}
