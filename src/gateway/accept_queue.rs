//! Measures for how long the listener's accept queue has been non-empty without a break.
//!
//! Load pattern: a balancer sends one small host more new connections than it has processor time to
//! refuse. Accepting takes turns with serving calls, so that accepted requests are read soon and
//! timers stay punctual; the excess waits in the listener's queue. A queue that empties now and
//! then indicates a burst; a standing queue, that is, one that is never empty, does not drain by
//! itself, and every new connection waits behind it.

use std::time::Duration;

use tokio::time::Instant;

/// The listener's queue as the accepting task sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AcceptQueue {
    non_empty_since: Option<Instant>,
}

impl AcceptQueue {
    /// Records that a connection was accepted from the queue.
    pub fn record_accept(&mut self, now: Instant) {
        self.non_empty_since.get_or_insert(now);
    }

    /// How long the queue has been non-empty; zero if it is empty.
    #[must_use]
    pub fn non_empty_for(&self, now: Instant) -> Duration {
        self.non_empty_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
