//! Settings of the connections between routers.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Settings of `peers`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PeersConfig {
    /// Largest frame in bytes; a publication of 1 MiB must fit.
    pub max_frame_bytes: usize,
    /// Control messages that wait for one peer at most; more are dropped, which senders expect.
    pub queue_messages: usize,
    /// Milliseconds for connecting and the handshake together.
    pub handshake_ms: u64,
    /// Milliseconds for writing one control frame; a peer that is slower is dropped.
    pub write_ms: u64,
    /// Milliseconds before the first redial.
    pub redial_ms: u64,
    /// Milliseconds between redials at most.
    pub redial_most_ms: u64,
    /// Connections that have not yet proved a key at most.
    pub strangers: usize,
    /// Idle forwarding connections kept for each peer.
    pub idle_forwards: usize,
    /// Milliseconds that an idle forwarding connection is kept.
    pub idle_ms: u64,
    /// Largest piece of a forwarded body in one frame, in bytes.
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
