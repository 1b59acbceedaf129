//! The number of routers that share the retry budget.
//!
//! Load pattern: a partition separates routers for minutes while all of them still reach endpoints
//! that fail. A router that divided the slack among those that it hears from would spend the parts
//! of the others, which spend them as well.

use crate::units::Moment;
use crate::units::TimeSpan;

/// Time for which a larger fleet is remembered: longer than most partitions. Hosts that are taken
/// away for good give their parts to the others only after it.
const FLEET_MEMORY: TimeSpan = TimeSpan::from_millis(600_000);

/// The largest number of routers known within `FLEET_MEMORY`.
#[derive(Debug, Default)]
pub struct FleetSize {
    largest: usize,
    known_at: Moment,
}

impl FleetSize {
    /// Records the number of routers that are known now.
    pub fn record(&mut self, now: Moment, routers: usize) {
        if routers >= self.largest || now.since(self.known_at) >= FLEET_MEMORY {
            self.largest = routers;
            self.known_at = now;
        }
    }

    /// Returns the number of routers that share the budget, at least one.
    #[must_use]
    pub fn size(&self) -> usize {
        self.largest.max(1)
    }
}
