//! Settings of the publication system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::publication`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PublicationConfig {
    /// Number of routers per failure domain that watch the configuration service.
    pub readers: usize,
    /// Milliseconds after which an unanswered fetch of a publication is sent to another peer.
    pub fetch_ms: u64,
    /// Milliseconds after which a router becomes ready even if some peers have not sent their
    /// revision.
    pub ready_ms: u64,
    /// Milliseconds after the service's last answer to any router from which on it is uncertain
    /// whether the revision in force is the newest. Must exceed the time for which the service
    /// holds a watch open.
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
