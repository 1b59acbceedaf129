//! Counts over a sliding window, in buckets.

use crate::units::Moment;
use crate::units::TimeSpan;

/// Buckets per window. The current bucket is one of them and only partly filled, so an amount is
/// dropped up to a tenth of the window too early, never too late.
const BUCKETS: usize = 10;

/// A sum over a sliding window.
#[derive(Debug, Clone)]
pub struct WindowCount {
    bucket_us: u64,
    buckets: [f64; BUCKETS],
    /// Number of the current bucket, counted from time 0; [`slot`] gives its index in `buckets`.
    newest: u64,
}

impl WindowCount {
    /// Creates an empty window.
    #[must_use]
    pub fn new(length: TimeSpan) -> Self {
        Self {
            bucket_us: (length.0 / BUCKETS as u64).max(1),
            buckets: [0.0; BUCKETS],
            newest: 0,
        }
    }

    fn advance(&mut self, now: Moment) {
        let current = now.0 / self.bucket_us;
        let passed = current.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 1..=passed {
            self.buckets[slot(self.newest + step)] = 0.0;
        }
        if passed == BUCKETS as u64 {
            self.buckets = [0.0; BUCKETS];
        }
        self.newest = self.newest.max(current);
    }

    /// Adds an amount to the current bucket.
    pub fn add(&mut self, now: Moment, amount: f64) {
        self.advance(now);
        self.buckets[slot(self.newest)] += amount;
    }

    /// Returns the sum over the window.
    pub fn sum(&mut self, now: Moment) -> f64 {
        self.advance(now);
        self.buckets.iter().sum()
    }
}

fn slot(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKETS as u64).unwrap_or_default()
}
