//! Requests that were answered whole recently, which therefore don't end each process that runs
//! them.
//!
//! Load pattern: callers of all routers send one harmless request all the time, so that it runs at
//! several endpoints whenever endpoints crash, at several of one failure domain even at once. The
//! crashes alone would have it refused for minutes. Each router remembers what was answered whole
//! here. Only what is accused as well is told to the others, so that the messages stay small, and
//! only by routers that answered it, so that an answer is not passed on for ever.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::TimeSpan;

/// Time for which an answer clears a request. Signs of a crash arrive within eight seconds of it.
const ANSWER_RETENTION: TimeSpan = TimeSpan::from_millis(10_000);

/// Maximum number of requests that are remembered, about 100 KB. At 54 answers a second, as in the
/// largest fleet that is designed for, ten seconds hold an eighth of it.
const MAX_ANSWERED: usize = 4_096;

/// Requests answered whole within `ANSWER_RETENTION`.
#[derive(Debug, Default)]
pub struct AnsweredRequests {
    /// By this router.
    here: BTreeMap<RequestFingerprint, Moment>,
    /// By other routers, as they report.
    elsewhere: BTreeMap<RequestFingerprint, Moment>,
    /// Requests answered here that some router suspects.
    accused: BTreeSet<RequestFingerprint>,
}

impl AnsweredRequests {
    /// Records an answer of this router. `is_accused` tells whether the request was suspected.
    pub fn record_here(&mut self, now: Moment, fingerprint: RequestFingerprint, is_accused: bool) {
        self.here.insert(fingerprint, now);
        if is_accused {
            self.accused.insert(fingerprint);
        }
    }

    /// Records an answer that another router reports. Returns false if one is known already.
    pub fn record_elsewhere(&mut self, now: Moment, fingerprint: RequestFingerprint) -> bool {
        self.elsewhere.insert(fingerprint, now).is_none()
    }

    /// Returns true if a request that is accused now was answered whole recently.
    pub fn clears(&mut self, fingerprint: RequestFingerprint) -> bool {
        if self.here.contains_key(&fingerprint) {
            self.accused.insert(fingerprint);
            return true;
        }
        self.elsewhere.contains_key(&fingerprint)
    }

    /// Returns the requests to report to other routers.
    #[must_use]
    pub fn accused(&self) -> Vec<RequestFingerprint> {
        self.accused.iter().copied().collect()
    }

    /// Drops old answers.
    pub fn shrink(&mut self, now: Moment) {
        for answers in [&mut self.here, &mut self.elsewhere] {
            answers.retain(|_, at| now.since(*at) < ANSWER_RETENTION);
            while answers.len() > MAX_ANSWERED {
                answers.pop_first();
            }
        }
        self.accused
            .retain(|fingerprint| self.here.contains_key(fingerprint));
    }
}
