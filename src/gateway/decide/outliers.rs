//! How much an endpoint fails beyond its fellows.

use crate::units::Moment;

/// Time after which a failure counts half, in us. Three seconds: an endpoint that failed is tried
/// again a few seconds later, which is how long short faults of endpoints last.
const HALF_LIFE_US: f64 = 3_000_000.0;

/// Attempts that an endpoint is taken to have passed before the first one counts, so that one
/// failure alone does not shut an endpoint out.
const PRIOR_ATTEMPTS: f64 = 3.0;

/// A failure rate that forgets.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    attempts: f64,
    failures: f64,
    at: Moment,
}

impl FailureRate {
    fn decay(&mut self, now: Moment) {
        #[allow(clippy::cast_precision_loss)]
        let passed = now.since(self.at).0 as f64;
        let kept = (-passed / HALF_LIFE_US).exp2();
        self.attempts *= kept;
        self.failures *= kept;
        self.at = now;
    }

    /// Counts an attempt.
    pub fn count(&mut self, now: Moment, failed: bool) {
        self.decay(now);
        self.attempts += 1.0;
        if failed {
            self.failures += 1.0;
        }
    }

    /// The rate now, from 0 to 1.
    #[must_use]
    pub fn rate(&self, now: Moment) -> f64 {
        let mut current = *self;
        current.decay(now);
        current.failures / (current.attempts + PRIOR_ATTEMPTS)
    }
}
