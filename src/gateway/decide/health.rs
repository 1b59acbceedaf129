//! Health of endpoints, measured by the routers' own traffic.
//!
//! Load pattern: endpoints that fail, hang or slow down while their probes report them as healthy,
//! and the reverse. In a fleet of a hundred routers each router sees little of one endpoint, one
//! call every few seconds, so routers share their observations. Reports from other routers weigh as
//! much as a router's own observations. A router to which most endpoints are silent reports
//! nothing, since the fault is more likely its own.
//!
//! An endpoint is *overdue* at a router if the router's own attempts have waited for data longer
//! than a healthy endpoint takes; the router then reports it as *silent*. Whether it
//! counts as *hung* depends on both this router's wait and the other routers' reports
//! ([`EndpointHealth::is_silent`]).

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::units::Moment;
use crate::units::TimeSpan;

/// Half-life of counted attempts and failures, in us. Three seconds: an endpoint that failed is
/// tried again a few seconds later, which is how long short faults of endpoints last.
const HALF_LIFE_US: f64 = 3_000_000.0;

/// Successful attempts assumed before the first counted one, so that a single failure does not
/// exclude an endpoint.
const PRIOR_ATTEMPTS: f64 = 3.0;

/// Units per attempt in reported counts: they are sent in hundredths of an attempt, since the decay
/// makes them fractional.
const HUNDREDTHS: f64 = 100.0;

/// Silence beyond twice the expected time to the first output after which an endpoint counts as
/// hung, in ms. It covers one step of a full batch with a long prompt and the delay of a loaded
/// router.
const FIRST_OUTPUT_GRACE_MS: f64 = 300.0;

/// Silence in all streams after which an endpoint counts as hung. An engine that prefills long
/// prompts sends an event every eighth of a second; a preempted stream pauses, but never all
/// streams of an engine at once.
const STREAM_SILENCE: TimeSpan = TimeSpan::from_millis(800);

/// Age up to which received data shows that an endpoint is alive.
const ACTIVITY_FRESH: TimeSpan = TimeSpan::from_millis(600);

/// Time overdue after which an endpoint counts as hung for this router even if other routers
/// receive data from it, as behind a cut link. Used by [`EndpointHealth::is_silent`] only; an
/// endpoint is already reported as silent ([`EndpointHealth::is_silent_here`]) as soon as it is
/// overdue.
const SILENT_DESPITE_PEERS_AFTER: TimeSpan = TimeSpan::from_millis(2_000);

/// Number of other routers that must report an endpoint as silent before a router that is not
/// itself waiting for it counts it as hung.
const MIN_SILENT_REPORTS: u32 = 2;

/// Weight of a new measurement in the moving average of slowness. The last twenty measurements make
/// up four fifths of the average. Slowness is not reported to other routers: when it was averaged
/// over all routers, each of them refused more calls, since single measurements err upwards.
const LEARNING_WEIGHT: f64 = 0.08;

/// Time for which a measured slowness holds in full without a new measurement. In a fleet of a
/// hundred routers each of them measures an engine about once in that time.
const SLOWNESS_FRESH: TimeSpan = TimeSpan::from_millis(1_500);

/// Half-life of the measured slowness after [`SLOWNESS_FRESH`], in us.
const SLOWNESS_HALF_LIFE_US: f64 = 1_500_000.0;

/// Bounds of a single slowness measurement, so that one stalled request does not exclude an engine.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 8.0);

/// Totals of the other routers' reports on one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerHealth {
    /// Attempts, in hundredths.
    pub attempts: u32,
    /// Failed attempts, in hundredths.
    pub failures: u32,
    /// Routers that recently received data from the endpoint.
    pub receiving: u32,
    /// Routers to which the endpoint is silent.
    pub silent: u32,
}

/// When data from an endpoint is due while attempts wait for their first output. Streams are
/// checked against [`STREAM_SILENCE`] instead.
#[derive(Debug, Clone, Copy)]
struct AnswerExpectation {
    /// Start of the wait.
    since: Moment,
    /// Time from which the data is overdue.
    by: Moment,
}

/// When a router last received data from an endpoint. Shared with the attempts at the endpoint, so
/// that an event of a stream needs no look-up.
#[derive(Debug, Clone, Default)]
pub struct ActivityClock(Arc<AtomicU64>);

impl ActivityClock {
    /// Records that data arrived from the endpoint.
    pub fn record_activity(&self, now: Moment) {
        self.0.store(now.0, Ordering::Relaxed);
    }

    /// When data last arrived; 0 for never.
    #[must_use]
    pub fn last(&self) -> Moment {
        Moment(self.0.load(Ordering::Relaxed))
    }
}

/// The health of one endpoint.
#[derive(Debug)]
pub struct EndpointHealth {
    /// When this router last received data from the endpoint.
    pub last_activity: ActivityClock,
    /// The other routers' reports.
    pub peer_reports: PeerHealth,
    attempts: f64,
    failures: f64,
    counted_at: Moment,
    /// Factor by which the endpoint's queue and prefill take longer than predicted for a healthy
    /// endpoint: a moving average; 1 is as predicted.
    slowness: f64,
    learned_at: Moment,
    expectation: Option<AnswerExpectation>,
    /// This router's attempts that wait for their first output.
    waiting: u32,
    /// This router's attempts that had their first output.
    streaming: u32,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            last_activity: ActivityClock::default(),
            peer_reports: PeerHealth::default(),
            attempts: 0.0,
            failures: 0.0,
            counted_at: Moment(0),
            slowness: 1.0,
            learned_at: Moment(0),
            expectation: None,
            waiting: 0,
            streaming: 0,
        }
    }
}

/// Returns the fraction that remains after exponential decay with the given half-life in us.
fn remaining(since: Moment, now: Moment, half_life_us: f64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let passed = now.since(since).0 as f64;
    (-passed / half_life_us).exp2()
}

impl EndpointHealth {
    /// Records the start of an attempt; `expected_ms` is the predicted time to its first output.
    pub fn attempt_started(&mut self, now: Moment, expected_ms: f64) {
        let last_activity = self.last_activity.last();
        let is_answered = self
            .expectation
            .is_none_or(|known| last_activity >= known.since);
        if is_answered || self.waiting + self.streaming == 0 {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let allowance =
                TimeSpan::from_millis((FIRST_OUTPUT_GRACE_MS + 2.0 * expected_ms) as u64);
            let (since, by) = (now, now + allowance);
            self.expectation = Some(AnswerExpectation { since, by });
        }
        self.waiting += 1;
    }

    /// Records the first output of an attempt.
    pub fn first_output_received(&mut self, now: Moment) {
        self.last_activity.record_activity(now);
        self.waiting = self.waiting.saturating_sub(1);
        self.streaming += 1;
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, had_output: bool) {
        if had_output {
            self.streaming = self.streaming.saturating_sub(1);
        } else {
            self.waiting = self.waiting.saturating_sub(1);
        }
    }

    /// Counts an attempt and whether it failed.
    pub fn count(&mut self, now: Moment, failed: bool) {
        let kept = remaining(self.counted_at, now, HALF_LIFE_US);
        self.counted_at = now;
        self.attempts = self.attempts * kept + 1.0;
        self.failures = self.failures * kept + f64::from(u8::from(failed));
    }

    /// Returns the failure rate over all routers' attempts, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Moment) -> f64 {
        let peer_failures = f64::from(self.peer_reports.failures) / HUNDREDTHS;
        if self.failures + peer_failures <= 0.0 {
            return 0.0;
        }
        let kept = remaining(self.counted_at, now, HALF_LIFE_US);
        let failures = self.failures * kept + peer_failures;
        let attempts = self.attempts * kept + f64::from(self.peer_reports.attempts) / HUNDREDTHS;
        failures / (attempts + PRIOR_ATTEMPTS)
    }

    /// Updates the slowness from one measurement; `ratio` is the measured time to the first output
    /// divided by the time that was predicted with the slowness known at the placement.
    pub fn learn_slowness(&mut self, now: Moment, ratio: f64) {
        let known = self.slowness(now);
        let sample = (known * ratio).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness = known + LEARNING_WEIGHT * (sample - known);
        self.learned_at = now;
    }

    /// Returns the factor by which the endpoint's queue and prefill take longer than predicted for
    /// a healthy endpoint.
    ///
    /// Guards against a router that has learned that all endpoints are slow and so refuses every
    /// call: it would take no new measurements and never correct itself. A slowness that is not
    /// measured again therefore decays towards 1.
    #[must_use]
    pub fn slowness(&self, now: Moment) -> f64 {
        let fading_since = self.learned_at + SLOWNESS_FRESH;
        1.0 + (self.slowness - 1.0) * remaining(fading_since, now, SLOWNESS_HALF_LIFE_US)
    }

    /// Returns true if this router recently received data from the endpoint.
    #[must_use]
    pub fn is_recently_active(&self, now: Moment) -> bool {
        now.since(self.last_activity.last()) < ACTIVITY_FRESH
    }

    /// Returns true if this router's own attempts have waited for the endpoint for longer than a
    /// healthy one takes.
    #[must_use]
    pub fn is_silent_here(&self, now: Moment) -> bool {
        self.overdue(now) > TimeSpan(0)
    }

    /// Returns how long the next data from the endpoint has been overdue.
    fn overdue(&self, now: Moment) -> TimeSpan {
        let last_activity = self.last_activity.last();
        let first = match self.expectation {
            Some(known) if self.waiting > 0 && last_activity < known.since => now.since(known.by),
            _ => TimeSpan(0),
        };
        let next = if self.streaming > 0 {
            now.since(last_activity + STREAM_SILENCE)
        } else {
            TimeSpan(0)
        };
        first.max(next)
    }

    /// Returns true if the endpoint seems to hang: no router recently received data from it, and
    /// either it is overdue at this router or two other routers report it as silent. An endpoint
    /// from which any router receives data works and is merely loaded, unless it is overdue at this
    /// router by more than two seconds.
    #[must_use]
    pub fn is_silent(&self, now: Moment) -> bool {
        let overdue = self.overdue(now);
        if overdue > SILENT_DESPITE_PEERS_AFTER {
            return true;
        }
        let nobody_receives = self.peer_reports.receiving == 0 && !self.is_recently_active(now);
        let is_overdue = overdue > TimeSpan(0) || self.peer_reports.silent >= MIN_SILENT_REPORTS;
        nobody_receives && is_overdue
    }

    /// Returns this router's counts for the reports to other routers: attempts, and failures among
    /// them, in hundredths.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn counts_to_report(&self, now: Moment) -> (u32, u32) {
        let kept = HUNDREDTHS * remaining(self.counted_at, now, HALF_LIFE_US);
        ((self.attempts * kept) as u32, (self.failures * kept) as u32)
    }
}
