//! Endpoints that left of late, as routers tell each other in their messages.
//!
//! The load that this answers: a host whose link a flood fills, so that connections to other
//! routers time out for seconds while small datagrams still come. Such a router hears that a newer
//! list exists and can't fetch it. The numbers of the processes that left are a few bytes in each
//! message; they are in force one round after a reader knows them, and the list follows when it can.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

/// Time for which a departure is told: longer than a full link holds a list back.
const TELLING_TIME: TimeSpan = TimeSpan::from_millis(10_000);

/// Departures in one message: 160 bytes of it. A fleet that replaces more endpoints in ten seconds
/// tells the latest ones.
const MOST_TOLD: usize = 32;

/// Endpoints that left of late, by the numbers of their processes.
#[derive(Debug, Default)]
pub struct DepartureTable {
    left: BTreeMap<u32, Moment>,
}

impl DepartureTable {
    /// An endpoint left: it said so, or is registered no longer.
    pub fn left(&mut self, now: Moment, life: u32) {
        self.left.insert(life, now);
    }

    /// An endpoint takes work, perhaps again.
    pub fn is_here(&mut self, life: u32) {
        self.left.remove(&life);
    }

    /// What to tell the others, the latest first.
    pub fn telling(&mut self, now: Moment) -> Vec<u32> {
        self.left.retain(|_, at| now.since(*at) < TELLING_TIME);
        let mut latest: Vec<(Moment, u32)> =
            self.left.iter().map(|(life, at)| (*at, *life)).collect();
        latest.sort_unstable_by(|left, right| right.cmp(left));
        latest.truncate(MOST_TOLD);
        latest.into_iter().map(|(_, life)| life).collect()
    }
}
