//! Settings of the reporting system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::reporting`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ReportingConfig {
    /// Milliseconds between two reports to a pool's owner when nothing is urgent.
    pub interval_ms: u64,
    /// Minimum time between two urgent reports to a pool's owner, in milliseconds.
    pub urgent_gap_ms: u64,
    /// Milliseconds after which a report is sent even if nothing changed.
    pub keepalive_ms: u64,
    /// Average bytes per second that urgent reports may use, per router.
    pub urgent_bytes_per_s: u64,
}

impl Default for ReportingConfig {
    fn default() -> Self {
        Self {
            interval_ms: 250,
            urgent_gap_ms: 2,
            keepalive_ms: 2_000,
            urgent_bytes_per_s: 1_500,
        }
    }
}
