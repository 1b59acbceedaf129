//! Settings of connections to callers and endpoints.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `entry` and `endpoint`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficConfig {
    /// Milliseconds within which a caller's headers must have arrived.
    pub header_ms: u64,
    /// Maximum body size of a call to a model engine, in bytes; a lower published limit takes
    /// precedence.
    pub engine_body_bytes: usize,
    /// Bytes of a body to a plain service that are buffered for a retry.
    pub kept_body_bytes: usize,
    /// Milliseconds within which the buffered part of a body must have arrived.
    pub body_ms: u64,
    /// Bytes of a non-streamed answer that are read before any of it is forwarded.
    pub kept_answer_bytes: usize,
    /// Maximum size of one server-sent event, in bytes.
    pub event_bytes: usize,
    /// Maximum size of an answer that is kept for resends with the same ticket, in bytes.
    pub stored_answer_bytes: usize,
    /// Timeout for opening a connection to an endpoint, in milliseconds.
    pub connect_ms: u64,
    /// Maximum pause in an answer before the endpoint counts as lost, in milliseconds.
    pub answer_pause_ms: u64,
    /// Milliseconds for which an unused connection to an endpoint is kept.
    pub idle_ms: u64,
    /// Maximum number of unused connections kept per endpoint.
    pub idle_connections: usize,
    /// Milliseconds between two reads of an endpoint's load.
    pub load_ms: u64,
    /// Milliseconds between two progress reports of a running attempt's service.
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
