//! Settings of the membership system.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `core::systems::membership`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipConfig {
    /// Milliseconds after which a suspect router is declared dead.
    pub suspicion_ms: u64,
    /// Shorter value of `suspicion_ms` that applies once `confirmations` other routers suspect the
    /// router too.
    pub confirmed_ms: u64,
    /// Number of other routers that must suspect a router for `confirmed_ms` to apply.
    pub confirmations: usize,
    /// Milliseconds between two ticks above which this process is considered to have paused.
    pub pause_ms: u64,
    /// Largest fleet, in routers, in which all routers connect to each other. In a larger fleet,
    /// connections are opened on demand.
    pub small_fleet: usize,
    /// Milliseconds after which an unused connection in a large fleet is closed.
    pub idle_ms: u64,
    /// Milliseconds after which a dead router that is not on the host list is removed from the
    /// member table.
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
