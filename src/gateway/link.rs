//! Estimates the utilisation of this host's network link from the bytes that this process counts.
//!
//! Load pattern: small hosts on slow links receive prompts of many kilobytes. A host at 10 Mbit/s
//! carries about a hundred such calls a second; a flood of one team through it fills the link while
//! its processor idles. Packets then wait for seconds: endpoints' answers arrive after the callers
//! have left, connections to endpoints time out, and idle endpoints are taken for dead. Only the
//! number of bytes sent and received shows this on the host.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Overhead of packets, in percent of the payload: headers of 40 bytes for each 1,448 bytes of
/// payload, and the acknowledgements of what the other direction carries.
const HEADER_PERCENT: u64 = 5;

/// Weight of a new sample in the moving average. After a sudden change of the load, three samples
/// at intervals of a tenth of a second move the average by two thirds of the change. A single
/// burst, which network buffers absorb anyway, therefore does not count as a full link.
const LINK_SAMPLE_WEIGHT: f64 = 0.3;

/// Speed of a link, in Mbit/s.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct LinkSpeed(pub f64);

impl fmt::Display for LinkSpeed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for LinkSpeed {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

impl LinkSpeed {
    /// Bytes that the link carries in one direction in `time`.
    #[must_use]
    pub fn bytes_in(self, time: Duration) -> f64 {
        self.0 * 1e6 / 8.0 * time.as_secs_f64()
    }
}

/// Bytes that this process has sent and received since it started.
#[derive(Debug, Default)]
pub struct LinkMeter {
    received: AtomicU64,
    sent: AtomicU64,
}

impl LinkMeter {
    /// Counts received bytes.
    pub fn received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts sent bytes.
    pub fn sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Total bytes received and total bytes sent.
    #[must_use]
    pub fn totals(&self) -> (u64, u64) {
        let received = self.received.load(Ordering::Relaxed);
        (received, self.sent.load(Ordering::Relaxed))
    }
}

/// Moving average of a link's utilisation.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkUse {
    totals: (u64, u64),
    received: f64,
    sent: f64,
}

impl LinkUse {
    /// Adds a sample: the meter's totals, `passed` after the previous sample.
    #[allow(clippy::cast_precision_loss)]
    pub fn add_sample(&mut self, totals: (u64, u64), passed: Duration, speed: LinkSpeed) {
        let carried = speed.bytes_in(passed).max(1.0);
        let part = |now: u64, before: u64| {
            let bytes = now.saturating_sub(before) * (100 + HEADER_PERCENT) / 100;
            bytes as f64 / carried
        };
        self.received += LINK_SAMPLE_WEIGHT * (part(totals.0, self.totals.0) - self.received);
        self.sent += LINK_SAMPLE_WEIGHT * (part(totals.1, self.totals.1) - self.sent);
        self.totals = totals;
    }

    /// Utilisation of the busier direction, in percent of the link's speed.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn percent(&self) -> usize {
        (self.received.max(self.sent) * 100.0) as usize
    }

    /// Utilisation for receiving and for sending, in percent of the link's speed.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn percent_by_direction(&self) -> (usize, usize) {
        (
            (self.received * 100.0) as usize,
            (self.sent * 100.0) as usize,
        )
    }
}
