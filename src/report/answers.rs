//! Counts of good and bad answers per team and kind, in time buckets.

use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

use crate::units::KindName;
use crate::units::TeamId;

/// Maximum number of rows per resolution. A row is one team and kind in one bucket.
const MAX_ROWS: usize = 200_000;

/// Bucket width in seconds and number of buckets: ten seconds each, for one hour.
const FINE: (u64, u64) = (10, 360);

/// Bucket width in seconds and number of buckets: five minutes each, for three days.
const COARSE: (u64, u64) = (300, 864);

/// Classification of an answer against the latency goal of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// Complete and within the goal.
    Good,
    /// Complete, but later than the goal.
    Late,
    /// Incomplete, or it is unknown whether the request ran.
    Failed,
    /// Refused; the request did not run.
    Refused,
}

/// Number of answers for each [`AnswerVerdict`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Complete and within the goal.
    pub good: u64,
    /// Complete, but later than the goal.
    pub late: u64,
    /// Incomplete, or it is unknown whether the request ran.
    pub failed: u64,
    /// Refused; the request did not run.
    pub refused: u64,
}

impl AnswerCounts {
    /// Number of answers that were not good.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.late + self.failed + self.refused
    }

    /// Number of all answers.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.good + self.bad()
    }

    fn count(&mut self, verdict: AnswerVerdict) {
        let field = match verdict {
            AnswerVerdict::Good => &mut self.good,
            AnswerVerdict::Late => &mut self.late,
            AnswerVerdict::Failed => &mut self.failed,
            AnswerVerdict::Refused => &mut self.refused,
        };
        *field += 1;
    }
}

impl AddAssign for AnswerCounts {
    fn add_assign(&mut self, other: Self) {
        self.good += other.good;
        self.late += other.late;
        self.failed += other.failed;
        self.refused += other.refused;
    }
}

/// Team and kind under which answers are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerKey {
    /// The team.
    pub team: TeamId,
    /// The kind.
    pub kind: KindName,
}

/// Counts in time buckets of one width. The oldest buckets are removed first.
#[derive(Debug)]
struct BucketRing {
    width_s: u64,
    most_buckets: u64,
    rows: usize,
    buckets: BTreeMap<u64, BTreeMap<AnswerKey, AnswerCounts>>,
}

impl BucketRing {
    fn new((width_s, most_buckets): (u64, u64)) -> Self {
        Self {
            width_s,
            most_buckets,
            rows: 0,
            buckets: BTreeMap::new(),
        }
    }

    fn record(&mut self, key: &AnswerKey, verdict: AnswerVerdict, at_s: u64) {
        let index = at_s / self.width_s;
        let bucket = self.buckets.entry(index).or_default();
        if let Some(counts) = bucket.get_mut(key) {
            counts.count(verdict);
        } else {
            bucket.entry(key.clone()).or_default().count(verdict);
            self.rows += 1;
        }
        self.evict(index);
    }

    /// Removes buckets that are too old, and the oldest ones while there are more than `MAX_ROWS`
    /// rows: many active teams would otherwise use too much memory long before their buckets are
    /// too old. A report may then cover less time than its span, see `since_s`.
    fn evict(&mut self, newest: u64) {
        let oldest = newest.saturating_sub(self.most_buckets);
        while let Some(entry) = self.buckets.first_entry()
            && (*entry.key() < oldest || (self.rows > MAX_ROWS && *entry.key() < newest))
        {
            self.rows -= entry.remove().len();
        }
    }

    fn sum(&self, from_s: u64, to_s: u64, sums: &mut BTreeMap<AnswerKey, AnswerCounts>) {
        for bucket in self
            .buckets
            .range(from_s / self.width_s..=to_s / self.width_s)
        {
            for (key, counts) in bucket.1 {
                *sums.entry(key.clone()).or_default() += *counts;
            }
        }
    }
}

#[derive(Debug)]
struct HistoryState {
    fine: BucketRing,
    coarse: BucketRing,
}

/// Counts of this router's answers over at most the last three days.
#[derive(Debug)]
pub struct AnswerHistory {
    state: Mutex<HistoryState>,
    start_s: u64,
}

impl AnswerHistory {
    /// Creates an empty history that begins at `start_s`, in seconds since 1970.
    #[must_use]
    pub fn new(start_s: u64) -> Self {
        Self {
            state: Mutex::new(HistoryState {
                fine: BucketRing::new(FINE),
                coarse: BucketRing::new(COARSE),
            }),
            start_s,
        }
    }

    /// Counts an answer that ended at `at_s`, in seconds since 1970.
    pub fn record(&self, key: &AnswerKey, verdict: AnswerVerdict, at_s: u64) {
        let mut state = self.lock();
        state.fine.record(key, verdict, at_s);
        state.coarse.record(key, verdict, at_s);
    }

    /// Returns the counts of the last `span_s` seconds, rounded to whole buckets.
    #[must_use]
    pub fn totals(&self, span_s: u64, now_s: u64) -> BTreeMap<AnswerKey, AnswerCounts> {
        let mut sums = BTreeMap::new();
        let state = self.lock();
        let ring = state.ring(span_s);
        let from_s = (now_s + 1).saturating_sub(span_s);
        ring.sum(from_s, now_s, &mut sums);
        sums
    }

    /// Returns the counts of the last `span_s` seconds in about `points` steps, by the start of the
    /// step in seconds since 1970.
    #[must_use]
    pub fn series(
        &self,
        span_s: u64,
        points: u64,
        now_s: u64,
    ) -> BTreeMap<AnswerKey, BTreeMap<u64, AnswerCounts>> {
        let state = self.lock();
        let ring = state.ring(span_s);
        let step_s = (span_s / points.max(1))
            .max(1)
            .next_multiple_of(ring.width_s);
        let from_s = (now_s + 1).saturating_sub(span_s);
        let mut series: BTreeMap<AnswerKey, BTreeMap<u64, AnswerCounts>> = BTreeMap::new();
        for (index, bucket) in ring.buckets.range(from_s / ring.width_s..) {
            let step = index * ring.width_s / step_s * step_s;
            for (key, counts) in bucket {
                let points = series.entry(key.clone()).or_default();
                *points.entry(step).or_default() += *counts;
            }
        }
        series
    }

    /// Returns the time from which the counts of the last `span_s` seconds are complete, in seconds
    /// since 1970. Earlier counts are missing if the process started later or if buckets were
    /// removed to save memory.
    #[must_use]
    pub fn since_s(&self, span_s: u64, now_s: u64) -> u64 {
        let state = self.lock();
        let ring = state.ring(span_s);
        let full = ring.rows >= MAX_ROWS;
        let first = ring.buckets.first_key_value();
        let kept = first.map_or(0, |(index, _)| if full { index * ring.width_s } else { 0 });
        kept.max(self.start_s).max(now_s.saturating_sub(span_s))
    }

    fn lock(&self) -> MutexGuard<'_, HistoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HistoryState {
    fn ring(&self, span_s: u64) -> &BucketRing {
        if span_s <= FINE.0 * FINE.1 {
            &self.fine
        } else {
            &self.coarse
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(team: u32) -> AnswerKey {
        AnswerKey {
            team: TeamId(team),
            kind: "query".parse().unwrap(),
        }
    }

    #[test]
    fn old_answers_leave_the_window() {
        let history = AnswerHistory::new(0);
        history.record(&key(1), AnswerVerdict::Good, 1_000);
        history.record(&key(1), AnswerVerdict::Late, 1_300);
        assert_eq!(history.totals(60, 1_300)[&key(1)].total(), 1);
        assert_eq!(history.totals(3_600, 1_300)[&key(1)].total(), 2);
        assert_eq!(history.totals(86_400, 1_300)[&key(1)].bad(), 1);
        assert_eq!(history.series(3_600, 60, 1_300)[&key(1)].len(), 2);
    }

    #[test]
    fn memory_stays_bounded() {
        let mut ring = BucketRing::new(FINE);
        for at_s in 0..6_000 {
            for team in 0..2 {
                ring.record(
                    &key(team + 10 * u32::try_from(at_s % 97).unwrap()),
                    AnswerVerdict::Good,
                    at_s,
                );
            }
        }
        assert!(ring.buckets.len() <= 361);
        let rows: usize = ring.buckets.values().map(BTreeMap::len).sum();
        assert_eq!(rows, ring.rows);
        for team in 0..2 * u32::try_from(MAX_ROWS).unwrap() {
            ring.record(
                &key(team),
                AnswerVerdict::Good,
                40_000 + u64::from(team) / 1_000,
            );
        }
        assert!(ring.rows <= MAX_ROWS);
    }
}
