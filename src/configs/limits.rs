//! Settings of the limits system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::limits`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsConfig {
    /// Milliseconds between two adjustments of an endpoint's concurrency limit.
    pub adjust_ms: u64,
    /// Milliseconds after which the first byte of an engine's interactive answer counts as late.
    pub first_byte_ms: u64,
    /// Late answers per thousand from which an endpoint counts as under pressure.
    pub slow_per_mille: u32,
    /// Lower bound of the limit while an engine queues requests, as a percentage of the published
    /// slots.
    pub least_percent: u32,
    /// Lower bound of the limit while answers are late but the engine queues no requests, as a
    /// percentage of the published slots.
    pub least_late_percent: u32,
    /// Percentage of the limit that remains after one decrease.
    pub step_down_percent: u32,
    /// Percentage of the published slots by which one increase raises the limit.
    pub step_up_percent: u32,
    /// Factor applied to the estimated time to the end of a request, in percent. A request that
    /// would not end before its deadline by this estimate is refused at once.
    pub estimate_percent: u64,
    /// Milliseconds after which an endpoint's load report is ignored as stale.
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
