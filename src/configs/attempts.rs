//! Settings of the attempts system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::attempts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct AttemptsConfig {
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Retry budget: retries that a team earns per hundred first attempts.
    pub retry_percent: u32,
    /// Maximum number of unused retries that a team can accumulate.
    pub retry_burst: u32,
    /// Backoff before the first retry, in milliseconds; doubled for each further one, with jitter.
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
