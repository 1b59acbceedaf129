//! Election of the routers that read the store.
//!
//! Load pattern: a store whose calls are rate-limited and billed over all routers together, with
//! fleets of any size. A few routers read it and send what they read to the others. The election
//! needs no messages of its own: each router decides from the digests, which report who is in
//! contact with the store. All routers share the same order, that of the hashes of their IP
//! addresses; those that come first in it are the candidates.

use crate::units::Moment;
use crate::units::TimeSpan;

/// Number of readers to keep in contact with the store. Three: two are left when one of them dies.
/// If the store refuses a third of all routers, it refuses all three in one of 27 cases, and the
/// further candidates below replace them within a second.
const READERS: usize = 3;

/// Number of routers in contact below which more candidates try: if only one is left and dies, the
/// fleet gets no changes until others have connected.
const MIN_IN_CONTACT: usize = 2;

/// Time with fewer than `MIN_IN_CONTACT` routers in contact after which the number of candidates
/// doubles.
const DOUBLING_PAUSE: TimeSpan = TimeSpan::from_millis(1_000);

/// Most doublings of the number of candidates.
const MAX_DOUBLINGS: u32 = 2;

/// Time with all readers silent after which the number of candidates doubles: enough for a
/// candidate that lives to read the store and for its message.
const SILENT_DOUBLING_PAUSE: TimeSpan = TimeSpan::from_millis(300);

/// Most doublings while all readers are silent: 48 candidates. If four fifths of a fleet died with
/// the readers, one of them lives in all but one of 40,000 cases.
const MAX_SILENT_DOUBLINGS: u32 = 4;

/// Most routers that keep trying while the store doesn't respond to them. If the store refuses a
/// third of all routers, it refuses all twelve once in 500,000 cases, and the calls during an
/// outage don't grow with the fleet.
const MAX_FAILING: usize = 12;

/// Time that a new router waits for messages from others before it may read the store itself: one
/// gossip round and the reply. Otherwise each router of a rolling restart would read the whole
/// store.
const STARTUP_WAIT: TimeSpan = TimeSpan::from_millis(150);

/// A router's position in the election, and the state of the others as far as it knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ElectionInput {
    /// True if the router is in contact with the store.
    pub in_touch: bool,
    /// True if its last call to the store failed.
    pub is_failing: bool,
    /// True if it can't get a newer state that others have, see [`super::catch_up`].
    pub is_stuck: bool,
    /// Other routers that are not in contact with the store and whose last call to it failed.
    pub failing: usize,
    /// Those of them that come before it in the order that all routers share.
    pub failing_before: usize,
    /// Other routers that are in contact with the store.
    pub contact_count: usize,
    /// Those of them that come before it in the shared order.
    pub contact_before: usize,
    /// Those in `contact_count` of which nothing has been heard for longer than a reader that lives
    /// is silent, so that they have probably died or stand still.
    pub silent_count: usize,
    /// Those in `contact_before` that are silent.
    pub silent_before: usize,
    /// Other routers that come before it in the shared order and are neither in contact with the
    /// store nor counted in `failing`.
    pub untried_before: usize,
}

/// The state of one router's decision whether to read the store.
#[derive(Debug)]
pub struct ReaderElection {
    /// When the router may first read the store.
    earliest: Moment,
    /// When at least `MIN_IN_CONTACT` routers were last in contact.
    sufficient_at: Moment,
    /// Since when all readers have been silent.
    silent_since: Option<Moment>,
}

impl ReaderElection {
    /// Creates the state of a router that starts now. `jitter` spreads the first reads of a fleet
    /// that starts at once.
    #[must_use]
    pub fn new(now: Moment, jitter: TimeSpan) -> Self {
        let earliest = now + STARTUP_WAIT + jitter;
        Self {
            earliest,
            sufficient_at: earliest,
            silent_since: None,
        }
    }

    /// Returns true if this router should read the store now.
    ///
    /// A router that is in contact remains a reader until enough routers before it in the order are
    /// in contact too, so that readers change only when needed: each new reader reads the whole
    /// store once. A router that can't get what the readers have read reads it itself.
    pub fn should_read(&mut self, now: Moment, election_input: ElectionInput) -> bool {
        let others = self.count_readers(now, election_input);
        let contact_count = others + usize::from(election_input.in_touch);
        if contact_count >= MIN_IN_CONTACT {
            self.sufficient_at = now;
        }
        if election_input.is_stuck && now >= self.earliest {
            return !election_input.is_failing || election_input.failing_before < MAX_FAILING;
        }
        if election_input.in_touch {
            return election_input.contact_before - election_input.silent_before < READERS;
        }
        if now < self.earliest || contact_count >= READERS {
            return false;
        }
        if election_input.is_failing {
            return election_input.failing_before < MAX_FAILING;
        }
        // Routers that the store refuses report it, and the next ones in the order try instead.
        let wanted = (READERS - contact_count) << self.doublings(now, contact_count);
        election_input.failing < MAX_FAILING && election_input.untried_before < wanted
    }

    /// Returns how many other routers count as in contact: silent ones only beside one that is not
    /// silent. A reader may be silent because its host is busy, and each new reader reads the whole
    /// store; but with all of them silent, changes reach nobody.
    fn count_readers(&mut self, now: Moment, election_input: ElectionInput) -> usize {
        let ElectionInput {
            contact_count,
            silent_count,
            ..
        } = election_input;
        if contact_count > silent_count {
            self.silent_since = None;
            return contact_count;
        }
        if silent_count > 0 {
            self.silent_since.get_or_insert(now);
        }
        0
    }

    /// Returns how often the number of candidates is doubled.
    ///
    /// Guards against a store that stops responding to all readers at once: the next three routers
    /// in the order may get no response either, and each of them notices that only by its timeout.
    /// With no router in contact, twice as many try from the start.
    fn doublings(&self, now: Moment, contact_count: usize) -> u32 {
        let at_once = u32::from(contact_count == 0);
        let pauses = now.since(self.sufficient_at).0 / DOUBLING_PAUSE.0;
        let usual = u32::try_from(pauses)
            .unwrap_or(u32::MAX)
            .clamp(at_once, MAX_DOUBLINGS);
        usual.max(self.silent_doublings(now))
    }

    /// Returns how often the number of candidates is doubled since all readers are silent.
    ///
    /// Guards against candidates that died with the readers: they still count as candidates until
    /// their own silence is noticed, which takes seconds in a large fleet.
    fn silent_doublings(&self, now: Moment) -> u32 {
        let Some(since) = self.silent_since else {
            return 0;
        };
        let pauses = now.since(since).0 / SILENT_DOUBLING_PAUSE.0;
        let doublings = u32::try_from(pauses).unwrap_or(u32::MAX).saturating_add(1);
        doublings.min(MAX_SILENT_DOUBLINGS)
    }

    /// Returns for how long fewer than `MIN_IN_CONTACT` routers have been in contact.
    #[must_use]
    pub fn shortage(&self, now: Moment) -> TimeSpan {
        now.since(self.sufficient_at)
    }
}
