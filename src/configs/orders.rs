//! Settings of the orders system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::orders`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct OrdersConfig {
    /// Milliseconds for which a pool must lack slots before its owner sends a wish, a request for
    /// an endpoint of another pool.
    pub want_ms: u64,
    /// Minimum time between two wishes of one pool, in milliseconds.
    pub wish_gap_ms: u64,
    /// Milliseconds for which a router must own a pool without a pause before it gives orders. Must
    /// exceed the time for which a previous owner can wrongly believe that it still owns the pool.
    pub belief_ms: u64,
    /// Milliseconds between two ticks above which this process is considered to have paused.
    pub pause_ms: u64,
    /// Minimum time for which an endpoint keeps a model, in milliseconds.
    pub residence_ms: u64,
    /// Milliseconds for which the router that last gave an endpoint orders keeps that role while it
    /// can't be reached. After that, another router may give the endpoint orders.
    pub takeover_ms: u64,
    /// Milliseconds after which an order that was not carried out is sent again.
    pub resend_ms: u64,
    /// Model loads per minute that the weight store can serve, over the whole fleet.
    pub loads_per_minute: u32,
    /// Minimum demand per slot of the pool that sends a wish, as a percentage of the demand per
    /// slot of the pool that gives up the endpoint.
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
