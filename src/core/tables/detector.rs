//! What this router has seen of others' life: contacts, suspicions, the ping under way.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::HostName;
use crate::units::Moment;
use crate::units::RouterIncarnation;

use super::members::MemberState;
use super::rumors::RumorQueue;

/// What was seen of one router.
#[derive(Debug, Default)]
pub struct PeerWatch {
    /// Last direct sign of life.
    pub heard_at: Option<Moment>,
    /// Since when it is suspected.
    pub suspect_since: Option<Moment>,
    /// Who else suspects it.
    pub confirmers: BTreeSet<HostName>,
    /// Since when it can't be reached from here.
    pub lost_at: Option<Moment>,
    /// Since when it is dead.
    pub dead_since: Option<Moment>,
}

/// The ping under way.
#[derive(Debug)]
pub struct PingRound {
    /// The router that must answer.
    pub target: HostName,
    /// Ties the answer to it.
    pub sequence: u32,
    /// When it was sent.
    pub sent_at: Moment,
    /// True once others were asked to ping the target too.
    pub helped: bool,
}

/// A ping on behalf of another router.
#[derive(Debug)]
pub struct RelayedPing {
    /// Who asked.
    pub asker: HostName,
    /// The asker's sequence.
    pub sequence: u32,
    /// When it is forgotten.
    pub expires: Moment,
}

/// Contacts, suspicions and pings.
#[derive(Debug)]
pub struct DetectorTable {
    /// One row a router.
    pub watches: BTreeMap<HostName, PeerWatch>,
    /// Routers whose suspicion or loss runs towards a limit.
    pub pending: BTreeSet<HostName>,
    /// Dead routers.
    pub dead: BTreeSet<HostName>,
    /// Connections that this router keeps, and when each was last needed.
    pub wanted: BTreeMap<HostName, Moment>,
    /// Routers that connected before any news named their address.
    pub strangers: BTreeMap<HostName, RouterIncarnation>,
    /// Routers still to be pinged in this turn, in random order.
    pub turn: Vec<HostName>,
    /// The ping under way.
    pub round: Option<PingRound>,
    /// When the next ping is due.
    pub next_ping: Moment,
    /// Sequence of the last ping.
    pub sequence: u32,
    /// Pings on behalf of others, by this router's sequence.
    pub relays: BTreeMap<u32, RelayedPing>,
    /// News of members.
    pub rumors: RumorQueue<HostName>,
    /// Lifeguard's local health: 0 if this router's own pings are answered in time.
    pub strain: u32,
    /// When the last tick came.
    pub last_tick: Moment,
    /// What this router last told of itself.
    pub told_state: MemberState,
    /// Member version that connections were last chosen for.
    pub wanted_version: u64,
    /// Routers on the last host list.
    pub listed: BTreeSet<HostName>,
}

impl Default for DetectorTable {
    fn default() -> Self {
        Self {
            watches: BTreeMap::new(),
            pending: BTreeSet::new(),
            dead: BTreeSet::new(),
            wanted: BTreeMap::new(),
            strangers: BTreeMap::new(),
            turn: Vec::new(),
            round: None,
            next_ping: Moment(0),
            sequence: 0,
            relays: BTreeMap::new(),
            rumors: RumorQueue::default(),
            strain: 0,
            last_tick: Moment(0),
            told_state: MemberState::Alive,
            wanted_version: 0,
            listed: BTreeSet::new(),
        }
    }
}

/// Most that Lifeguard's local health stretches time limits by.
const STRAIN_MOST: u32 = 4;

impl DetectorTable {
    /// The row of a router, made if new.
    pub fn watch(&mut self, host: &HostName) -> &mut PeerWatch {
        self.watches.entry(host.clone()).or_default()
    }

    /// A number for a new ping.
    pub fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// A sign that this router itself is slow or cut off.
    pub fn strain(&mut self) {
        self.strain = (self.strain + 1).min(STRAIN_MOST);
    }

    /// A sign that this router is well.
    pub fn relax(&mut self) {
        self.strain = self.strain.saturating_sub(1);
    }

    /// Time limits are multiplied by this.
    #[must_use]
    pub fn patience(&self) -> u64 {
        u64::from(self.strain) + 1
    }
}
