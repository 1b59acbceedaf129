//! Settings of the publication system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::publication`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PublicationConfig {
    /// Routers of each failure domain that watch the configuration service.
    pub readers: usize,
    /// Milliseconds after which an unanswered question for a publication goes to another peer.
    pub fetch_ms: u64,
    /// Milliseconds after which a router becomes ready though not all peers told their revision.
    pub ready_ms: u64,
    /// Milliseconds since the service last answered anyone above which the newest revision
    /// counts as not known. Must exceed the time that the service holds a watch open.
    pub certain_ms: u64,
}

impl Default for PublicationConfig {
    fn default() -> Self {
        Self {
            readers: 2,
            fetch_ms: 2_000,
            ready_ms: 3_000,
            certain_ms: 45_000,
        }
    }
}
