//! Settings of the attempts system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::attempts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct AttemptsConfig {
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Retries that a team earns per hundred first attempts.
    pub retry_percent: u32,
    /// Retries that a team may save up.
    pub retry_burst: u32,
    /// Milliseconds before the first retry; doubled for each further one, with jitter.
    pub backoff_ms: u64,
}

impl Default for AttemptsConfig {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            retry_percent: 10,
            retry_burst: 10,
            backoff_ms: 20,
        }
    }
}
