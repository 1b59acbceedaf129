//! Estimates how long a new request of a team would wait, from the rate at which its waiting
//! requests are started.

use crate::units::Moment;
use crate::units::TimeSpan;

/// Divisor of the weight of a new sample in the moving averages. Slots often free up in batches,
/// and the average has to span several of them.
const SMOOTHING: u64 = 32;

/// Moving averages, in microseconds, of the time between two starts while the team has a backlog
/// (`gap`) and of the run time of its attempts (`run`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitEstimator {
    last: Option<Moment>,
    backlogged: bool,
    gap: Option<u64>,
    run: Option<u64>,
}

impl WaitEstimator {
    /// Records a start. `more_wait` is true if further requests are waiting.
    pub fn record_start(&mut self, now: Moment, more_wait: bool) {
        if let Some(last) = self.last {
            let passed = now.since(last).0;
            // Without a backlog the time between starts is that between arrivals, so it is only an
            // upper bound of the gap. Ignoring it would keep the long gap of an overload, and
            // callers would still be refused after the overload has ended.
            self.gap = match (self.backlogged, self.gap) {
                (true, gap) => Some(smooth(gap, passed)),
                (false, gap) => gap.map(|gap| gap.min(passed)),
            };
        }
        self.last = Some(now);
        self.backlogged = more_wait;
    }

    /// Records the run time of an attempt that delivered its whole answer.
    pub fn record_run(&mut self, span: TimeSpan) {
        self.run = Some(smooth(self.run, span.0));
    }

    /// Estimated time, waiting and running, until the end of a request that has `ahead` others
    /// before it in its team's queue. Zero if there are none: with an estimate that is too high,
    /// every request would otherwise be refused, and no new sample would correct it.
    #[must_use]
    pub fn time_to_end(&self, ahead: usize, now: Moment) -> TimeSpan {
        let Some(gap) = self.gap.filter(|_| ahead > 0) else {
            return TimeSpan(0);
        };
        let since = self.last.map_or(0, |last| now.since(last).0);
        let stalled = if self.backlogged {
            since.saturating_sub(gap)
        } else {
            0
        };
        let starts = u64::try_from(ahead).unwrap_or(u64::MAX).saturating_add(1);
        let wait = gap.saturating_mul(starts).saturating_add(stalled);
        TimeSpan(wait.saturating_add(self.run.unwrap_or(0)))
    }
}

fn smooth(mean: Option<u64>, sample: u64) -> u64 {
    mean.map_or(sample, |mean| (mean * (SMOOTHING - 1) + sample) / SMOOTHING)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_wait_is_the_start_interval_times_the_requests_ahead() {
        let mut estimator = WaitEstimator::default();
        for turn in 0..5 {
            estimator.record_start(Moment(turn * 1_000), true);
        }
        estimator.record_run(TimeSpan(500));
        let now = Moment(4_000);
        assert_eq!(estimator.time_to_end(9, now), TimeSpan(10_500));
        assert_eq!(estimator.time_to_end(0, now), TimeSpan(0));
        assert_eq!(estimator.time_to_end(1, Moment(9_000)), TimeSpan(6_500));
    }

    #[test]
    fn a_long_start_interval_is_corrected_without_a_backlog() {
        let mut estimator = WaitEstimator::default();
        estimator.record_start(Moment(0), true);
        estimator.record_start(Moment(1_000_000), false);
        estimator.record_start(Moment(1_000_100), false);
        assert_eq!(estimator.time_to_end(1, Moment(1_000_100)), TimeSpan(200));
    }
}
