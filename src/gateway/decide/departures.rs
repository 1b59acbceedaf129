//! Endpoints that left recently, for the gossip between routers.
//!
//! Load pattern: a flood fills a host's link, so that connections to other routers time out for
//! seconds while small datagrams still arrive. A router on that host learns that a newer endpoint
//! list exists but can't fetch it. Each gossip message therefore carries the numbers of the
//! endpoint processes that left, a few bytes each. The departures take effect one gossip round
//! after a router that reads the store knows them; the list follows when it can be fetched.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

/// Time for which a departure is reported: longer than a full link delays an endpoint list, which
/// is seconds.
const DEPARTURE_REPORT_TIME: TimeSpan = TimeSpan::from_millis(10_000);

/// Maximum number of departures in one message: 160 bytes of it, as a 32-bit number takes up to
/// five bytes. If more endpoints leave within ten seconds, the latest ones are reported.
const MAX_DEPARTURES_REPORTED: usize = 32;

/// Endpoints that left recently, keyed by the numbers of their processes.
#[derive(Debug, Default)]
pub struct DepartureTable {
    left: BTreeMap<u32, Moment>,
}

impl DepartureTable {
    /// Records that an endpoint process left: it is registered as leaving, no longer registered, or
    /// replaced by a new process under the same key.
    pub fn mark_departed(&mut self, now: Moment, process_number: u32) {
        self.left.insert(process_number, now);
    }

    /// Records that an endpoint process takes work, possibly again after it left.
    pub fn mark_present(&mut self, process_number: u32) {
        self.left.remove(&process_number);
    }

    /// Returns the departures to report to other routers, latest first.
    pub fn departures_to_report(&mut self, now: Moment) -> Vec<u32> {
        self.left
            .retain(|_, at| now.since(*at) < DEPARTURE_REPORT_TIME);
        let mut latest: Vec<(Moment, u32)> = self
            .left
            .iter()
            .map(|(process_number, at)| (*at, *process_number))
            .collect();
        latest.sort_unstable_by(|left, right| right.cmp(left));
        latest.truncate(MAX_DEPARTURES_REPORTED);
        latest
            .into_iter()
            .map(|(_, process_number)| process_number)
            .collect()
    }
}
