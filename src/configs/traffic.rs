//! Settings of the traffic side: limits towards callers and endpoints.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `entry` and `endpoint`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficConfig {
    /// Milliseconds within which a caller's headers must have come.
    pub header_ms: u64,
    /// Bytes of a call's body to a model engine, if the published limit is not lower.
    pub engine_body_bytes: usize,
    /// Bytes of a body to a plain service that are kept for another attempt.
    pub kept_body_bytes: usize,
    /// Milliseconds within which the kept part of a body must have come.
    pub body_ms: u64,
    /// Bytes of an unstreamed answer that are read before any of it is passed on.
    pub kept_answer_bytes: usize,
    /// Bytes of one server-sent event.
    pub event_bytes: usize,
    /// Bytes of an answer that are kept for resends with the same ticket.
    pub stored_answer_bytes: usize,
    /// Milliseconds for opening a connection to an endpoint.
    pub connect_ms: u64,
    /// Milliseconds that an answer may pause before the endpoint counts as lost.
    pub answer_pause_ms: u64,
    /// Milliseconds that an unused connection to an endpoint is kept.
    pub idle_ms: u64,
    /// Unused connections kept per endpoint.
    pub idle_connections: usize,
    /// Milliseconds between two readings of an endpoint's load.
    pub load_ms: u64,
    /// Milliseconds between two reports of a running attempt's service.
    pub progress_ms: u64,
}

impl Default for TrafficConfig {
    fn default() -> Self {
        Self {
            header_ms: 10_000,
            engine_body_bytes: 4 * 1024 * 1024,
            kept_body_bytes: 64 * 1024,
            body_ms: 60_000,
            kept_answer_bytes: 64 * 1024,
            event_bytes: 1024 * 1024,
            stored_answer_bytes: 256 * 1024,
            connect_ms: 1_000,
            answer_pause_ms: 120_000,
            idle_ms: 30_000,
            idle_connections: 256,
            load_ms: 500,
            progress_ms: 100,
        }
    }
}
