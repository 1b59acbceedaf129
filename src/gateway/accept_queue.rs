//! For how long callers' connections have been waiting to be accepted without a pause.
//!
//! The load that this answers: a balancer sends one small host more new connections than it has
//! processor time to refuse. Accepting takes turns with the calls, so that what was accepted is
//! read soon and timers stay in time; what can't be kept up with waits in the listener's queue. A
//! queue that empties now and then is a burst; one that stands does not go away by itself, and
//! those who join it wait for as long as it holds.

use std::time::Duration;

use tokio::time::Instant;

/// The listener's queue as the accepting task sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AcceptQueue {
    standing_since: Option<Instant>,
}

impl AcceptQueue {
    /// A connection was taken from it.
    pub fn took(&mut self, now: Instant) {
        self.standing_since.get_or_insert(now);
    }

    /// Time for which it has not been empty.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Duration {
        self.standing_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
