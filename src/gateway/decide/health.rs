//! How well an endpoint does its work, by what routers see of it.
//!
//! The load that this answers: endpoints that fail, hang or slow down while their probes say that
//! they are well, and the reverse. In a fleet of a hundred routers each of them sees little of one
//! endpoint, a call in some seconds, so routers tell each other what they saw. What a router is
//! told weighs as much as its own; a router to which most endpoints are silent tells nothing,
//! since the fault is more likely its own.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::units::Moment;
use crate::units::TimeSpan;

/// Time after which a failure counts half, in us. Three seconds: an endpoint that failed is tried
/// again a few seconds later, which is how long short faults of endpoints last.
const HALF_LIFE_US: f64 = 3_000_000.0;

/// Attempts that an endpoint is taken to have passed before the first one counts, so that one
/// failure alone does not shut an endpoint out.
const PRIOR_ATTEMPTS: f64 = 3.0;

/// Counts are told in hundredths of an attempt, since they fade.
const HUNDREDTHS: f64 = 100.0;

/// Silence beyond twice the expected time to a first output after which an endpoint is taken for
/// hung, in ms: a step of a full batch with a long prompt, and a loaded router's delay.
const SILENCE_MS: f64 = 300.0;

/// Silence in the middle of streams that says the same. Engines that read long prompts give an
/// event in an eighth of a second; a preempted stream pauses, but not all streams of an engine.
const STREAM_SILENCE: TimeSpan = TimeSpan::from_millis(800);

/// Age up to which a sign of life counts.
const HEARD_FRESH: TimeSpan = TimeSpan::from_millis(600);

/// Time beyond the expected by which an endpoint is silent to this router although others hear
/// from it, as behind a cut link.
const SILENT_ALONE: TimeSpan = TimeSpan::from_millis(2_000);

/// Others that must find an endpoint silent before a router does that has not tried it itself.
const SILENT_TELLERS: u32 = 2;

/// Weight of a new measurement of slowness: about twenty answers change it. It is not told to
/// others: their sums made all routers refuse more, since single measurements err upwards.
const LEARNING_WEIGHT: f64 = 0.08;

/// Time for which a measured slowness holds without another measurement. In a fleet of a hundred
/// routers each of them measures an engine about once in that time.
const SLOWNESS_FRESH: TimeSpan = TimeSpan::from_millis(1_500);

/// Time after which half of it is believed from then on, in us.
const SLOWNESS_HALF_LIFE_US: f64 = 1_500_000.0;

/// Bounds of what a single measurement may say of an engine's slowness, so that one stalled
/// request does not shut an engine out.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 8.0);

/// Sums of what other routers tell of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ToldHealth {
    /// Attempts, in hundredths.
    pub attempts: u32,
    /// Failures among them, in hundredths.
    pub failures: u32,
    /// Routers that heard of it of late.
    pub hearing: u32,
    /// Routers to which it is silent.
    pub silent: u32,
}

/// By when something should be heard of an endpoint.
#[derive(Debug, Clone, Copy)]
struct AnswerExpectation {
    since: Moment,
    by: Moment,
}

/// When a router last heard anything of an endpoint; shared with its attempts there, so that an
/// event of a stream costs no look-up.
#[derive(Debug, Clone, Default)]
pub struct HeardClock(Arc<AtomicU64>);

impl HeardClock {
    /// Something came from the endpoint.
    pub fn hear(&self, now: Moment) {
        self.0.store(now.0, Ordering::Relaxed);
    }

    fn last(&self) -> Moment {
        Moment(self.0.load(Ordering::Relaxed))
    }
}

/// The health of one endpoint.
#[derive(Debug)]
pub struct EndpointHealth {
    /// When anything was heard of it.
    pub heard: HeardClock,
    /// What others tell.
    pub told: ToldHealth,
    attempts: f64,
    failures: f64,
    counted_at: Moment,
    /// Measured time to the first output against the predicted one; 1 is as predicted.
    slowness: f64,
    learned_at: Moment,
    expectation: Option<AnswerExpectation>,
    /// This router's attempts before their first output.
    waiting: u32,
    /// This router's attempts after it.
    streaming: u32,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            heard: HeardClock::default(),
            told: ToldHealth::default(),
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

/// Part that remains of something after a time, with this half-life in us.
fn remaining(since: Moment, now: Moment, half_life_us: f64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let passed = now.since(since).0 as f64;
    (-passed / half_life_us).exp2()
}

impl EndpointHealth {
    /// An attempt begins whose first output is expected after so long.
    pub fn begins(&mut self, now: Moment, expected_ms: f64) {
        let heard = self.heard.last();
        let is_answered = self.expectation.is_none_or(|known| heard >= known.since);
        if is_answered || self.waiting + self.streaming == 0 {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let allowance = TimeSpan::from_millis((SILENCE_MS + 2.0 * expected_ms) as u64);
            let (since, by) = (now, now + allowance);
            self.expectation = Some(AnswerExpectation { since, by });
        }
        self.waiting += 1;
    }

    /// An attempt gives its first output.
    pub fn outputs(&mut self, now: Moment) {
        self.heard.hear(now);
        self.waiting = self.waiting.saturating_sub(1);
        self.streaming += 1;
    }

    /// An attempt is over.
    pub fn ends(&mut self, had_output: bool) {
        if had_output {
            self.streaming = self.streaming.saturating_sub(1);
        } else {
            self.waiting = self.waiting.saturating_sub(1);
        }
    }

    /// Counts an attempt.
    pub fn count(&mut self, now: Moment, failed: bool) {
        let kept = remaining(self.counted_at, now, HALF_LIFE_US);
        self.counted_at = now;
        self.attempts = self.attempts * kept + 1.0;
        self.failures = self.failures * kept + f64::from(u8::from(failed));
    }

    /// The rate of failures of all routers' attempts, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Moment) -> f64 {
        let told_failures = f64::from(self.told.failures) / HUNDREDTHS;
        if self.failures + told_failures <= 0.0 {
            return 0.0;
        }
        let kept = remaining(self.counted_at, now, HALF_LIFE_US);
        let failures = self.failures * kept + told_failures;
        let attempts = self.attempts * kept + f64::from(self.told.attempts) / HUNDREDTHS;
        failures / (attempts + PRIOR_ATTEMPTS)
    }

    /// Learns from one measured time to a first output against the predicted one.
    pub fn learn_slowness(&mut self, now: Moment, ratio: f64) {
        let known = self.slowness(now);
        let sample = (known * ratio).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness = known + LEARNING_WEIGHT * (sample - known);
        self.learned_at = now;
    }

    /// Measured time to the first output against the predicted one.
    ///
    /// Guards against a router that has learned that all endpoints are slow, and so refuses every
    /// call: it would measure nothing any more and never learn better. What was not measured again
    /// for a while fades.
    #[must_use]
    pub fn slowness(&self, now: Moment) -> f64 {
        let fading_since = self.learned_at + SLOWNESS_FRESH;
        1.0 + (self.slowness - 1.0) * remaining(fading_since, now, SLOWNESS_HALF_LIFE_US)
    }

    /// Whether something came from it of late.
    #[must_use]
    pub fn is_heard(&self, now: Moment) -> bool {
        now.since(self.heard.last()) < HEARD_FRESH
    }

    /// Whether this router has waited for the endpoint for longer than one that works takes.
    #[must_use]
    pub fn is_silent_here(&self, now: Moment) -> bool {
        self.overdue(now) > TimeSpan(0)
    }

    /// Time for which something has been overdue.
    fn overdue(&self, now: Moment) -> TimeSpan {
        let heard = self.heard.last();
        let first = match self.expectation {
            Some(known) if self.waiting > 0 && heard < known.since => now.since(known.by),
            _ => TimeSpan(0),
        };
        let next = if self.streaming > 0 {
            now.since(heard + STREAM_SILENCE)
        } else {
            TimeSpan(0)
        };
        first.max(next)
    }

    /// Whether it hangs. A request that waits longer than predicted does not say so by itself: an
    /// endpoint that anybody hears from works, and is merely loaded. Only one that has kept this
    /// router waiting for long is taken to be silent to this router alone.
    #[must_use]
    pub fn is_silent(&self, now: Moment) -> bool {
        let overdue = self.overdue(now);
        if overdue > SILENT_ALONE {
            return true;
        }
        let nobody_hears = self.told.hearing == 0 && !self.is_heard(now);
        let is_missed = overdue > TimeSpan(0) || self.told.silent >= SILENT_TELLERS;
        nobody_hears && is_missed
    }

    /// What this router tells of its attempts there: all, and failures among them, in hundredths.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn telling(&self, now: Moment) -> (u32, u32) {
        let kept = HUNDREDTHS * remaining(self.counted_at, now, HALF_LIFE_US);
        ((self.attempts * kept) as u32, (self.failures * kept) as u32)
    }
}
