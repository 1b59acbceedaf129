//! Settings of the limits system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::limits`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsConfig {
    /// Milliseconds between two moves of an endpoint's limit.
    pub adjust_ms: u64,
    /// Milliseconds after which the first byte of an interactive answer of an engine is late.
    pub first_byte_ms: u64,
    /// Late answers in a thousand that count as pressure.
    pub slow_per_mille: u32,
    /// Part of the published slots, in a hundred, that a limit keeps while an engine holds
    /// requests back.
    pub least_percent: u32,
    /// Part of the published slots, in a hundred, that a limit keeps while answers are only late.
    pub least_late_percent: u32,
    /// Part of the limit, in a hundred, that a step down leaves.
    pub step_down_percent: u32,
    /// Part of the published slots, in a hundred, that a step up adds.
    pub step_up_percent: u32,
    /// Time that a request is reckoned to need till its end, in a hundred parts of the estimate;
    /// one that would not end before its deadline so is refused at once.
    pub estimate_percent: u64,
    /// Milliseconds for which a load report counts.
    pub load_fresh_ms: u64,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        Self {
            adjust_ms: 1_000,
            first_byte_ms: 330,
            slow_per_mille: 200,
            least_percent: 12,
            least_late_percent: 50,
            step_down_percent: 80,
            step_up_percent: 6,
            estimate_percent: 110,
            load_fresh_ms: 5_000,
        }
    }
}
