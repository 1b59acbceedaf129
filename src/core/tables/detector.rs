//! Failure detection state: last contacts, suspicions and the ping in progress.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::HostName;
use crate::units::Moment;
use crate::units::RouterIncarnation;

use super::gossip_queue::GossipQueue;
use super::members::MemberState;

/// Failure detection state of one other router.
#[derive(Debug, Default)]
pub struct PeerHealth {
    /// When this router last received a message or handshake from it directly.
    pub last_contact_at: Option<Moment>,
    /// When the current suspicion began.
    pub suspect_since: Option<Moment>,
    /// Other routers that reported the same suspicion.
    pub confirmers: BTreeSet<HostName>,
    /// Since when this router has had no connection to the peer although it wants to keep one.
    /// After the suspicion timeout the peer is marked as not reachable and this is cleared. It is
    /// also cleared when a connection opens.
    pub lost_at: Option<Moment>,
    /// When it was declared dead.
    pub dead_since: Option<Moment>,
}

/// A ping that awaits its answer.
#[derive(Debug)]
pub struct PendingPing {
    /// The router that was pinged.
    pub target: HostName,
    /// Sequence number that matches the answer to the ping.
    pub sequence: u32,
    /// When the ping was sent.
    pub sent_at: Moment,
    /// True once other routers were asked to ping the target too.
    pub indirect_sent: bool,
}

/// An indirect ping, sent on behalf of another router.
#[derive(Debug)]
pub struct RelayedPing {
    /// The router that asked for it.
    pub asker: HostName,
    /// The asker's sequence number, to be used in the reply.
    pub sequence: u32,
    /// When it is discarded.
    pub expires: Moment,
}

/// State of the failure detector and of the connections to other routers.
#[derive(Debug)]
pub struct DetectorTable {
    /// Failure detection state per router.
    pub peer_health: BTreeMap<HostName, PeerHealth>,
    /// Routers with a running suspicion timeout (`suspect_since`) or reachability timeout
    /// (`lost_at`).
    pub running_timeouts: BTreeSet<HostName>,
    /// Routers that were declared dead; not those known from the host list only, although their
    /// state is `Dead` too.
    pub dead: BTreeSet<HostName>,
    /// Routers to which this one keeps a connection open, and when each was last needed.
    pub kept_connections: BTreeMap<HostName, Moment>,
    /// Routers that connected before their address was known from the host list or gossip.
    pub unknown_peers: BTreeMap<HostName, RouterIncarnation>,
    /// Routers still to be pinged in the current pass over all routers, in random order.
    pub ping_order: Vec<HostName>,
    /// The ping that awaits its answer.
    pub pending_ping: Option<PendingPing>,
    /// When the next ping is due.
    pub next_ping: Moment,
    /// Sequence number of the last ping.
    pub sequence: u32,
    /// Pings on behalf of other routers, by this router's sequence number.
    pub relays: BTreeMap<u32, RelayedPing>,
    /// Membership updates to gossip.
    pub gossip_queue: GossipQueue<HostName>,
    /// Local health score as in Lifeguard, an extension of the SWIM failure detector: 0 while this
    /// router's own pings are answered in time, higher the slower this router is.
    pub health_score: u32,
    /// Time of the last tick.
    pub last_tick: Moment,
    /// The state of this router that it last announced.
    pub announced_state: MemberState,
    /// Version of the member table for which `kept_connections` was last updated.
    pub connections_version: u64,
    /// Routers on the last host list.
    pub listed: BTreeSet<HostName>,
}

impl Default for DetectorTable {
    fn default() -> Self {
        Self {
            peer_health: BTreeMap::new(),
            running_timeouts: BTreeSet::new(),
            dead: BTreeSet::new(),
            kept_connections: BTreeMap::new(),
            unknown_peers: BTreeMap::new(),
            ping_order: Vec::new(),
            pending_ping: None,
            next_ping: Moment(0),
            sequence: 0,
            relays: BTreeMap::new(),
            gossip_queue: GossipQueue::default(),
            health_score: 0,
            last_tick: Moment(0),
            announced_state: MemberState::Alive,
            connections_version: 0,
            listed: BTreeSet::new(),
        }
    }
}

/// Highest local health score. Timeouts are multiplied by the score plus one.
const MAX_HEALTH_SCORE: u32 = 4;

impl DetectorTable {
    /// The row of a router, created if missing.
    pub fn peer_health_mut(&mut self, host: &HostName) -> &mut PeerHealth {
        self.peer_health.entry(host.clone()).or_default()
    }

    /// Returns a sequence number for a new ping.
    pub fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Raises the health score (a higher score is worse) after an indication that this router
    /// itself is slow or isolated.
    pub fn raise_health_score(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// Lowers the health score after a ping was answered in time.
    pub fn lower_health_score(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }

    /// The factor by which timeouts are multiplied.
    #[must_use]
    pub fn timeout_multiplier(&self) -> u64 {
        u64::from(self.health_score) + 1
    }
}
