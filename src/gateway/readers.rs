//! Which routers read the store.
//!
//! The load that this answers: a store whose calls are limited and priced for all routers
//! together, in front of fleets of any size. A few routers read it and tell the others. Readers
//! are chosen without messages of their own: each router decides from what the digests say of who
//! hears from the store.

use crate::units::Moment;
use crate::units::TimeSpan;

/// Routers that are to hear from the store. Three: two are left when one of them dies, and a
/// store that refuses a third of all routers leaves one in 27 of such choices without any, which
/// the candidates below mend within a second.
const READERS: usize = 3;

/// Routers in touch below which more candidates try: with one left, its death would leave the
/// fleet without news until others have connected.
const ENOUGH: usize = 2;

/// Time without enough routers in touch after which twice as many try.
const DOUBLING_PAUSE: TimeSpan = TimeSpan::from_millis(1_000);

/// Most doublings by time.
const MOST_DOUBLINGS: u32 = 2;

/// Routers that go on trying although the store does not answer them. A store that refuses a third
/// of all routers refuses these twelve once in 500,000 times, and an outage costs no more calls
/// however large the fleet is.
const MOST_FAILING: usize = 12;

/// Time that a new router waits for word from others before it may read the store itself: a round
/// of messages and its answer. A fleet that rolls restarts would otherwise read the whole store
/// once for each of them.
const WELCOME_WAIT: TimeSpan = TimeSpan::from_millis(150);

/// How a router stands among those that it hears from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReaderStanding {
    /// Whether it hears from the store itself.
    pub in_touch: bool,
    /// Whether it tried and the store did not answer it.
    pub is_failing: bool,
    /// Others that tried in vain.
    pub failing: usize,
    /// Those of them that come before it.
    pub failing_before: usize,
    /// Others that do.
    pub touching: usize,
    /// Those of them that come before it in the order that all routers share.
    pub touching_before: usize,
    /// Others that come before it and have not tried.
    pub idle_before: usize,
}

/// One router's decision whether to read, over time.
#[derive(Debug)]
pub struct ReaderElection {
    /// When it may first read the store.
    earliest: Moment,
    /// When enough routers were last in touch.
    enough_at: Moment,
}

impl ReaderElection {
    /// A router that starts now. `jitter` spreads the first reads of a fleet that starts at once.
    #[must_use]
    pub fn new(now: Moment, jitter: TimeSpan) -> Self {
        let earliest = now + WELCOME_WAIT + jitter;
        Self {
            earliest,
            enough_at: earliest,
        }
    }

    /// Whether this router reads the store now.
    ///
    /// One that is in touch stays until enough others that come before it are, so that readers
    /// change only for a reason: each new one reads everything once.
    pub fn reads(&mut self, now: Moment, standing: ReaderStanding) -> bool {
        let touching = standing.touching + usize::from(standing.in_touch);
        if touching >= ENOUGH {
            self.enough_at = now;
        }
        if standing.in_touch {
            return standing.touching_before < READERS;
        }
        if now < self.earliest || touching >= READERS {
            return false;
        }
        if standing.is_failing {
            return standing.failing_before < MOST_FAILING;
        }
        // Those that the store refuses say so, and the next ones in the order try in their place.
        let wanted = (READERS - touching) << self.doublings(now, touching);
        standing.failing < MOST_FAILING && standing.idle_before < wanted
    }

    /// Guards against a store that falls silent to all readers at once: the next three in the order
    /// may be cut off from it as well, and each of them needs its whole timeout to know. With nobody
    /// in touch twice as many try from the first.
    fn doublings(&self, now: Moment, touching: usize) -> u32 {
        let at_once = u32::from(touching == 0);
        let pauses = now.since(self.enough_at).0 / DOUBLING_PAUSE.0;
        u32::try_from(pauses)
            .unwrap_or(u32::MAX)
            .clamp(at_once, MOST_DOUBLINGS)
    }

    /// Time for which too few routers have been in touch.
    #[must_use]
    pub fn shortage(&self, now: Moment) -> TimeSpan {
        now.since(self.enough_at)
    }
}
