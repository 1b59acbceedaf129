//! Settings of the ownership system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::ownership`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct OwnershipConfig {
    /// Milliseconds that a new owner listens before it grants slots.
    pub settle_ms: u64,
    /// Milliseconds between two shares-out of a pool when nothing is urgent.
    pub share_out_ms: u64,
    /// Milliseconds between two shares-out of a pool at least.
    pub share_gap_ms: u64,
    /// Milliseconds after which an entry router with waiting requests is told the teams' order anew.
    pub refresh_ms: u64,
    /// Milliseconds within which a team that is ahead or behind is brought level.
    pub correction_ms: u64,
    /// Service units of lead that a team keeps at most: remembered debt is clamped here.
    pub debt_units: u64,
    /// Bytes a second that allotments may use on average, per owner. Beyond that a pool is shared
    /// out only every `refresh_ms`, unless it used less than its even part.
    pub bytes_per_s: u64,
    /// Milliseconds of silence after which an entry router's slots are granted to others.
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
