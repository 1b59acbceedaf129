//! Bounds reading after a time limit has passed.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which bytes that are ready are still read after a time limit, counted from the first
/// such read. A whole answer that has arrived takes some ms.
const OVERDUE_READ_TIME: Duration = Duration::from_millis(50);

/// Decides whether a connection that has bytes ready may still be read after a time limit.
///
/// Load pattern: a router that runs late comes round to a connection after the time limit, though
/// the answer arrived in time; it is read. An endpoint in trouble always has bytes ready; reading
/// them would keep the time limit from being seen. The two differ only in how long the reads last.
#[derive(Debug, Clone, Copy, Default)]
pub struct OverdueReads {
    /// The time limit and when it was first found to have passed.
    found: Option<(Instant, Instant)>,
}

impl OverdueReads {
    /// Returns whether a read at `now` may be made though the time limit `until` may have passed.
    pub fn allows(&mut self, now: Instant, until: Instant) -> bool {
        if now < until {
            return true;
        }
        let (_, began) = match self.found {
            Some((limit, began)) if limit == until => (limit, began),
            _ => *self.found.insert((until, now)),
        };
        now.saturating_duration_since(began) < OVERDUE_READ_TIME
    }
}
