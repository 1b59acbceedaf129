//! Settings of the membership system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::membership`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipConfig {
    /// Milliseconds of suspicion after which a router is taken for dead.
    pub suspicion_ms: u64,
    /// The same once `confirmations` other routers suspect it too.
    pub confirmed_ms: u64,
    /// Routers that must share a suspicion to shorten it.
    pub confirmations: usize,
    /// Milliseconds between two ticks above which this process counts as having paused.
    pub pause_ms: u64,
    /// Routers up to which each is connected to all; beyond, connections open on demand.
    pub small_fleet: usize,
    /// Milliseconds after which an unused connection of a large fleet is closed.
    pub idle_ms: u64,
    /// Milliseconds after which a dead router that is not on the host list is forgotten.
    pub forget_ms: u64,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            suspicion_ms: 1_500,
            confirmed_ms: 500,
            confirmations: 2,
            pause_ms: 1_000,
            small_fleet: 16,
            idle_ms: 30_000,
            forget_ms: 600_000,
        }
    }
}
