//! What endpoints say of themselves in their answers, and for how long it holds.
//!
//! The load that this answers: a store that is away for seconds while endpoints leave or are full. An
//! answer is then the only news there is, and what the store says is older or comes later.
//!
//! | word | holds | overruled by |
//! |---|---|---|
//! | it leaves | for its process, at all routers | its next start alone |
//! | it wants a pause | for so long, at the router that it told | its next start alone |
//! | it is full | a moment | the end of that |
//! | another one answers at its address | a pause that grows | any later answer of its own |
//! | it closes the connection | for the connection | nothing |
//!
//! The first two are kept here, by process. What the store, a peer's list or a connection says of the
//! endpoint does not touch them: none of it is later than the endpoint's own word.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

/// Time for which words of a process are kept that is in no list any more. An entry comes back within
/// seconds of a store's return, and a store may be away for minutes.
const WORD_MEMORY: TimeSpan = TimeSpan::from_millis(600_000);

/// What one process said of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointWords {
    /// It leaves.
    pub is_leaving: bool,
    /// It wants nothing before.
    pub paused_until: Moment,
}

impl EndpointWords {
    /// Whether it takes work by what it said.
    #[must_use]
    pub fn takes_work(&self, now: Moment) -> bool {
        !self.is_leaving && now >= self.paused_until
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct KeptWords {
    words: EndpointWords,
    heard: Moment,
}

/// What processes said, by the hashes of their lives.
#[derive(Debug, Default)]
pub struct WordTable {
    kept: BTreeMap<u64, KeptWords>,
}

impl WordTable {
    /// What a process said.
    #[must_use]
    pub fn of(&self, life: u64) -> EndpointWords {
        let kept = self.kept.get(&life);
        kept.map_or_else(EndpointWords::default, |kept| kept.words)
    }

    /// A process says that it leaves; whether that is news.
    pub fn leaves(&mut self, now: Moment, life: u64) -> bool {
        let kept = self.kept.entry(life).or_default();
        kept.heard = now;
        !std::mem::replace(&mut kept.words.is_leaving, true)
    }

    /// A process wants nothing for so long. A shorter wish does not end a longer one.
    pub fn wants_pause(&mut self, now: Moment, life: u64, pause: TimeSpan) {
        let kept = self.kept.entry(life).or_default();
        kept.heard = now;
        let until = Moment(now.0.saturating_add(pause.0));
        kept.words.paused_until = kept.words.paused_until.max(until);
    }

    /// Forgets processes that are not `known` and said nothing for long.
    pub fn forget(&mut self, now: Moment, known: impl Fn(u64) -> bool) {
        self.kept
            .retain(|life, kept| now.since(kept.heard) < WORD_MEMORY || known(*life));
    }
}
