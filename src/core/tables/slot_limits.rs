//! Concurrency limits of endpoints, kept by pool owners, and counts of late first bytes, kept by
//! entry routers.
//!
//! The foreign load of an endpoint is the number of its requests beyond the slots that this router,
//! as the owner, has granted: during a partition another owner grants slots of the same endpoint.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::Moment;

/// Number of recent load reports over which the minimum of the foreign load is taken.
const FOREIGN_LOAD_SAMPLES: usize = 4;

/// Number of answers at which a tally is halved, so that old answers lose weight.
const TALLY_HALVING_ANSWERS: u32 = 64;

/// Minimum number of answers for a tally to be used.
const MIN_TALLY_ANSWERS: u32 = 8;

/// The concurrency limit of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct SlotLimit {
    /// Number of requests that may run at once; `None` if all published slots may be used.
    pub allowed: Option<f64>,
    /// True if the endpoint queued requests since the last adjustment of the limit.
    pub endpoint_queued: bool,
    /// Entry routers that report late answers from the endpoint.
    pub late_reporters: BTreeSet<HostName>,
    foreign: [u32; FOREIGN_LOAD_SAMPLES],
    next_sample: usize,
    foreign_at: Option<Moment>,
}

impl SlotLimit {
    /// Records an estimate of the foreign load: requests that run or wait at the endpoint without a
    /// slot granted by this owner.
    pub fn note_foreign_load(&mut self, requests: u32, now: Moment) {
        self.foreign[self.next_sample] = requests;
        self.next_sample = (self.next_sample + 1) % FOREIGN_LOAD_SAMPLES;
        self.foreign_at = Some(now);
    }

    /// The foreign load: the minimum of the last estimates, because a report that lags behind
    /// returned slots overestimates it for a short time.
    #[must_use]
    pub fn foreign(&self) -> u32 {
        self.foreign.iter().copied().min().unwrap_or(0)
    }

    /// When the foreign load was last estimated.
    #[must_use]
    pub fn foreign_at(&self) -> Option<Moment> {
        self.foreign_at
    }
}

/// Counts late first bytes of one endpoint at this router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FirstByteTally {
    answers: u32,
    late: u32,
    /// True if the last report to the owner, or the next one, says that answers are late.
    pub reported_late: bool,
}

impl FirstByteTally {
    /// Counts one answer.
    pub fn note(&mut self, late: bool) {
        if self.answers >= TALLY_HALVING_ANSWERS {
            self.answers /= 2;
            self.late /= 2;
        }
        self.answers += 1;
        self.late += u32::from(late);
    }

    /// Late answers per mille; 0 while there are too few answers.
    #[must_use]
    pub fn per_mille(&self) -> u32 {
        if self.answers < MIN_TALLY_ANSWERS {
            return 0;
        }
        self.late * 1_000 / self.answers
    }
}

/// Limits of endpoints and tallies of their late answers.
#[derive(Debug, Default)]
pub struct SlotLimits {
    /// Limits of the endpoints of pools that this router owns.
    pub limits: BTreeMap<EndpointId, SlotLimit>,
    /// Tallies of the endpoints that this router uses as an entry router.
    pub tallies: BTreeMap<EndpointId, FirstByteTally>,
    /// When the limits were last adjusted.
    pub adjusted_at: Moment,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_lagging_report_is_not_foreign_load() {
        let mut limit = SlotLimit::default();
        for requests in [9, 2, 0, 7, 8] {
            limit.note_foreign_load(requests, Moment(1));
        }
        assert_eq!(limit.foreign(), 0);
        limit.note_foreign_load(7, Moment(2));
        limit.note_foreign_load(6, Moment(3));
        assert_eq!(limit.foreign(), 6);
    }

    #[test]
    fn too_few_answers_report_no_lateness() {
        let mut tally = FirstByteTally::default();
        (0..7).for_each(|_| tally.note(true));
        assert_eq!(tally.per_mille(), 0);
        tally.note(false);
        assert_eq!(tally.per_mille(), 875);
    }
}
