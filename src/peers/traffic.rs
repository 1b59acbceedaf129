//! Counters of the bytes between routers, by kind. A frame's length field, prost-encoded payload
//! and tag are counted; TCP/IP headers and TLS records are not.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::wire::PeerBody;
use crate::wire::PeerMessage;

/// A kind of traffic between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TrafficKind {
    /// Hellos and proofs.
    Handshake,
    /// Demand reports.
    Demand,
    /// Slot allotments.
    Allotment,
    /// Membership gossip.
    Gossip,
    /// Publications and requests for them.
    Publication,
    /// Quarantine notices.
    Quarantine,
    /// Wishes for endpoints.
    Wish,
    /// Forwarded requests and answers, with their frames. Not control traffic.
    Forwarded,
}

impl TrafficKind {
    /// All kinds, in the order of their counters.
    pub const ALL: [Self; 8] = [
        Self::Handshake,
        Self::Demand,
        Self::Allotment,
        Self::Gossip,
        Self::Publication,
        Self::Quarantine,
        Self::Wish,
        Self::Forwarded,
    ];

    /// Returns the kind of a control message; an empty one counts as gossip.
    #[must_use]
    pub fn of(message: &PeerMessage) -> Self {
        match &message.body {
            Some(PeerBody::Demand(_)) => Self::Demand,
            Some(PeerBody::Allotment(_)) => Self::Allotment,
            Some(PeerBody::Gossip(_)) | None => Self::Gossip,
            Some(PeerBody::Publication(_) | PeerBody::PublicationWanted(_)) => Self::Publication,
            Some(PeerBody::Quarantine(_)) => Self::Quarantine,
            Some(PeerBody::Wish(_)) => Self::Wish,
        }
    }

    /// Returns the kind's label in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Handshake => "handshake",
            Self::Demand => "demand",
            Self::Allotment => "allotment",
            Self::Gossip => "gossip",
            Self::Publication => "publication",
            Self::Quarantine => "quarantine",
            Self::Wish => "wish",
            Self::Forwarded => "forwarded",
        }
    }

    /// Returns true for all kinds but forwarded requests.
    #[must_use]
    pub fn is_control(self) -> bool {
        self != Self::Forwarded
    }
}

/// Bytes sent and received since the start, and control messages dropped.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    sent: [AtomicU64; TrafficKind::ALL.len()],
    received: [AtomicU64; TrafficKind::ALL.len()],
    dropped: AtomicU64,
}

impl TrafficCounters {
    /// Adds sent bytes.
    pub fn add_sent(&self, kind: TrafficKind, bytes: usize) {
        self.sent[kind as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds received bytes.
    pub fn add_received(&self, kind: TrafficKind, bytes: usize) {
        self.received[kind as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a control message that was dropped for a full queue or a missing connection.
    pub fn add_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Bytes sent of a kind.
    #[must_use]
    pub fn sent(&self, kind: TrafficKind) -> u64 {
        self.sent[kind as usize].load(Ordering::Relaxed)
    }

    /// Bytes received of a kind.
    #[must_use]
    pub fn received(&self, kind: TrafficKind) -> u64 {
        self.received[kind as usize].load(Ordering::Relaxed)
    }

    /// Number of control messages dropped.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Bytes sent of all kinds of control traffic.
    #[must_use]
    pub fn control_sent(&self) -> u64 {
        TrafficKind::ALL
            .into_iter()
            .filter(|kind| kind.is_control())
            .map(|kind| self.sent(kind))
            .sum()
    }
}
