//! Settings of the quarantine system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::quarantine`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineConfig {
    /// Number of crashes during which a request must have been running before it is refused.
    pub crashes: u32,
    /// Milliseconds for which such a request is refused.
    pub refuse_ms: u64,
    /// Milliseconds for which a request that was running during one crash is isolated from other
    /// suspects.
    pub suspect_ms: u64,
    /// Maximum time between a lost attempt and evidence of a crash for the two to be attributed to
    /// each other, in milliseconds.
    pub evidence_ms: u64,
    /// Milliseconds for which a lost attempt waits for evidence of whether its endpoint crashed.
    pub check_ms: u64,
    /// Maximum number of suspects that are remembered.
    pub max_suspects: u32,
    /// Maximum number of crashes that are remembered.
    pub max_crashes: u32,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            crashes: 2,
            refuse_ms: 600_000,
            suspect_ms: 120_000,
            evidence_ms: 3_000,
            check_ms: 600,
            max_suspects: 4_096,
            max_crashes: 256,
        }
    }
}
