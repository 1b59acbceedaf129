//! Settings of the orders system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::orders`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct OrdersConfig {
    /// Milliseconds for which a pool must lack slots before its owner wishes for an endpoint.
    pub want_ms: u64,
    /// Milliseconds between two wishes of one pool.
    pub wish_gap_ms: u64,
    /// Milliseconds for which a router must own a pool without a pause before it gives orders.
    pub belief_ms: u64,
    /// Milliseconds between two ticks that count as a pause.
    pub pause_ms: u64,
    /// Milliseconds for which an endpoint keeps a model at least.
    pub residence_ms: u64,
    /// Milliseconds that an orderer that can't be seen keeps its say over an endpoint.
    pub takeover_ms: u64,
    /// Milliseconds after which an order that was not followed is given again.
    pub resend_ms: u64,
    /// Models that the weight store can hand out a minute, over the whole fleet.
    pub loads_per_minute: u32,
    /// Demand per slot that a wish must show, in a hundred parts of that of the pool that gives.
    pub pressure_percent: u64,
}

impl Default for OrdersConfig {
    fn default() -> Self {
        Self {
            want_ms: 3_000,
            wish_gap_ms: 1_000,
            belief_ms: 15_000,
            pause_ms: 2_000,
            residence_ms: 120_000,
            takeover_ms: 60_000,
            resend_ms: 5_000,
            loads_per_minute: 12,
            pressure_percent: 150,
        }
    }
}
