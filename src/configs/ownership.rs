//! Settings of the ownership system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::ownership`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct OwnershipConfig {
    /// Milliseconds for which a new owner collects reports before it grants slots.
    pub settle_ms: u64,
    /// Milliseconds between two allocations of a pool's slots when nothing is urgent.
    pub share_out_ms: u64,
    /// Minimum time between two allocations of a pool's slots, in milliseconds.
    pub share_gap_ms: u64,
    /// Milliseconds after which an entry router with waiting requests is sent the virtual times of
    /// the teams again.
    pub refresh_ms: u64,
    /// Milliseconds within which a team's lead or lag in service is evened out.
    pub correction_ms: u64,
    /// Maximum lead of a team in service units; a larger debt is clamped to this.
    pub debt_units: u64,
    /// Average bytes per second that allotments may use, per owner. Above this, a pool is allocated
    /// only every `refresh_ms`, unless it used less than an equal part of the budget.
    pub bytes_per_s: u64,
    /// Milliseconds without a report after which an entry router's slots are granted to others.
    pub claim_ms: u64,
}

impl Default for OwnershipConfig {
    fn default() -> Self {
        Self {
            settle_ms: 150,
            share_out_ms: 100,
            share_gap_ms: 2,
            refresh_ms: 400,
            correction_ms: 10_000,
            debt_units: 200_000,
            bytes_per_s: 2_500,
            claim_ms: 6_000,
        }
    }
}
