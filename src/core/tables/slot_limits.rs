//! How many requests endpoints take within their latency goals, as seen by pool owners, and
//! late first bytes, as seen by entry routers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::Moment;

/// Load reports of which the least foreign load counts.
const SAMPLES: usize = 4;

/// Answers after which a tally is halved, so that old ones fade.
const TALLY_SPAN: u32 = 64;

/// Answers before a tally says anything.
const TALLY_LEAST: u32 = 8;

/// The limit of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct SlotLimit {
    /// Requests that may run at once; `None` while no pressure was ever seen.
    pub allowed: Option<f64>,
    /// True if the engine held requests back since the last move.
    pub held_back: bool,
    /// Entry routers that say its answers are late.
    pub late_at: BTreeSet<HostName>,
    foreign: [u32; SAMPLES],
    next_sample: usize,
    foreign_at: Option<Moment>,
}

impl SlotLimit {
    /// Takes in one estimate of the requests that run there without this owner's leave.
    pub fn note_foreign(&mut self, running: u32, now: Moment) {
        self.foreign[self.next_sample] = running;
        self.next_sample = (self.next_sample + 1) % SAMPLES;
        self.foreign_at = Some(now);
    }

    /// Requests of others: the least of the last estimates, because a report that lags behind
    /// returned slots shows too many for a moment.
    #[must_use]
    pub fn foreign(&self) -> u32 {
        self.foreign.iter().copied().min().unwrap_or(0)
    }

    /// When foreign load was last estimated.
    #[must_use]
    pub fn foreign_at(&self) -> Option<Moment> {
        self.foreign_at
    }
}

/// Late first bytes of one endpoint at this router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FirstByteTally {
    answers: u32,
    late: u32,
    /// True if the owner was told, or is about to be told, that answers are late.
    pub told_late: bool,
}

impl FirstByteTally {
    /// Counts one answer.
    pub fn note(&mut self, late: bool) {
        if self.answers >= TALLY_SPAN {
            self.answers /= 2;
            self.late /= 2;
        }
        self.answers += 1;
        self.late += u32::from(late);
    }

    /// Late answers in a thousand; 0 while there are too few to tell.
    #[must_use]
    pub fn per_mille(&self) -> u32 {
        if self.answers < TALLY_LEAST {
            return 0;
        }
        self.late * 1_000 / self.answers
    }
}

/// Limits of endpoints and tallies of their answers.
#[derive(Debug, Default)]
pub struct SlotLimits {
    /// As a pool's owner.
    pub limits: BTreeMap<EndpointId, SlotLimit>,
    /// As an entry router.
    pub tallies: BTreeMap<EndpointId, FirstByteTally>,
    /// When limits were last moved.
    pub moved_at: Moment,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_lagging_report_is_not_foreign_load() {
        let mut limit = SlotLimit::default();
        for running in [9, 2, 0, 7, 8] {
            limit.note_foreign(running, Moment(1));
        }
        assert_eq!(limit.foreign(), 0);
        limit.note_foreign(7, Moment(2));
        limit.note_foreign(6, Moment(3));
        assert_eq!(limit.foreign(), 6);
    }

    #[test]
    fn few_answers_say_nothing() {
        let mut tally = FirstByteTally::default();
        (0..7).for_each(|_| tally.note(true));
        assert_eq!(tally.per_mille(), 0);
        tally.note(false);
        assert_eq!(tally.per_mille(), 875);
    }
}
