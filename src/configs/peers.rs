//! Settings of the connections between routers.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `peers`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PeersConfig {
    /// Maximum frame size in bytes; a publication of 1 MiB must fit.
    pub max_frame_bytes: usize,
    /// Maximum number of control messages queued for one peer. Further messages are dropped;
    /// senders tolerate this loss.
    pub queue_messages: usize,
    /// Timeout for connecting and the handshake together, in milliseconds.
    pub handshake_ms: u64,
    /// Timeout for writing one control frame, in milliseconds; the connection to a slower peer is
    /// closed.
    pub write_ms: u64,
    /// Backoff before the first redial, in milliseconds.
    pub redial_ms: u64,
    /// Maximum backoff between redials, in milliseconds.
    pub redial_most_ms: u64,
    /// Maximum number of connections that are not yet authenticated.
    pub strangers: usize,
    /// Maximum number of idle forwarding connections kept per peer.
    pub idle_forwards: usize,
    /// Milliseconds for which an idle forwarding connection is kept.
    pub idle_ms: u64,
    /// Maximum size of the part of a forwarded body in one frame, in bytes.
    pub forward_piece_bytes: usize,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            max_frame_bytes: 1_310_720,
            queue_messages: 256,
            handshake_ms: 2_000,
            write_ms: 5_000,
            redial_ms: 50,
            redial_most_ms: 2_000,
            strangers: 64,
            idle_forwards: 8,
            idle_ms: 30_000,
            forward_piece_bytes: 65_536,
        }
    }
}
