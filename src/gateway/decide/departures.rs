//! Endpoints that left recently, for the gossip between routers.
//!
//! Load pattern: a flood fills a host's link, so that connections to other routers time out for
//! seconds while small datagrams still arrive. A router on that host learns that a newer endpoint
//! list exists but can't fetch it. Each gossip message therefore carries the numbers of the
//! endpoint processes that left, a few bytes each. The departures take effect one gossip round
//! after a router that reads the store knows them; the list follows when it can be fetched.
//!
//! The router that reports a departure may be killed or restarted before the others have its list.
//! Each router therefore remembers what was reported until its own list is as new.
//!
//! A router that has just started can be the one that reads the store next. It had no list before,
//! so it can't tell which endpoints left. As long as others have lists from before its first one, it
//! reports which endpoints its list has, and the others conclude which ones left.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::follow::StoreRevision;

/// Time for which a departure is reported: longer than a full link delays an endpoint list, which
/// is seconds.
const DEPARTURE_REPORT_TIME: TimeSpan = TimeSpan::from_millis(10_000);

/// Maximum number of departures in one message: 160 bytes of it, as a 32-bit number takes up to
/// five bytes. If more endpoints leave within ten seconds, the latest ones are reported.
const MAX_DEPARTURES_REPORTED: usize = 32;

/// Maximum number of endpoints in a report of a first list: 1,024 bytes of a message. Routers of
/// larger fleets learn of such departures when they fetch the list.
const MAX_LISTED_REPORTED: usize = 256;

/// Time for which a report is remembered after it was last heard, if the own list stays older. An
/// endpoint whose registration was missing for a moment gets no work from a router that can't fetch
/// a list for as long.
const REPORT_MEMORY: TimeSpan = TimeSpan::from_millis(60_000);

/// Maximum number of reports that are remembered: about as many as the endpoints of the largest
/// intended fleet. A foreign sender could report any number.
const MAX_REPORTS: usize = 8_192;

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

/// The first endpoint list of a router after its start.
#[derive(Debug, Default)]
pub struct FirstList {
    read: Option<(Moment, StoreRevision)>,
}

impl FirstList {
    /// Records the revision of the router's current list.
    pub fn record(&mut self, now: Moment, own: StoreRevision) {
        if self.read.is_none() && own > StoreRevision::default() {
            self.read = Some((now, own));
        }
    }

    /// Returns true if the content of the list is to be reported: a router has an older list than
    /// the first one, and so may use endpoints that left without being reported.
    #[must_use]
    pub fn is_to_report(
        &self,
        now: Moment,
        mut others: impl Iterator<Item = StoreRevision>,
    ) -> bool {
        let Some((read_at, first)) = self.read else {
            return false;
        };
        let is_recent = now.since(read_at) < DEPARTURE_REPORT_TIME;
        is_recent && others.any(|other| other > StoreRevision::default() && other < first)
    }
}

/// Returns the numbers of the processes in a list, as far as they are to be reported: all or none,
/// since the others take an endpoint that is missing as departed.
#[must_use]
pub fn listed_to_report(process_numbers: impl Iterator<Item = u32>) -> Vec<u32> {
    let listed: Vec<u32> = process_numbers.take(MAX_LISTED_REPORTED + 1).collect();
    if listed.len() > MAX_LISTED_REPORTED {
        return Vec::new();
    }
    listed
}

/// A departure that another router reported.
#[derive(Debug, Clone, Copy)]
struct DepartureReport {
    /// Revision of the reporting router's list.
    as_of: StoreRevision,
    /// When the report was last received.
    heard: Moment,
}

/// Departures that other routers reported, keyed by the numbers of the processes.
#[derive(Debug, Default)]
pub struct DepartureReports {
    reports: BTreeMap<u32, DepartureReport>,
    /// Revision of this router's own list.
    own: StoreRevision,
}

impl DepartureReports {
    /// Records that endpoint processes left according to another router's list of revision `as_of`.
    /// Returns false if that list is no newer than this router's own, which then decides.
    pub fn record(&mut self, now: Moment, as_of: StoreRevision, process_numbers: &[u32]) -> bool {
        if as_of <= self.own {
            return false;
        }
        for process_number in process_numbers {
            let known = self.reports.get(process_number);
            if known.is_none() && self.reports.len() >= MAX_REPORTS {
                break;
            }
            let as_of = known.map_or(as_of, |report| report.as_of.max(as_of));
            let report = DepartureReport { as_of, heard: now };
            self.reports.insert(*process_number, report);
        }
        true
    }

    /// Returns true if the endpoint process left according to a remembered report.
    #[must_use]
    pub fn has_departed(&self, process_number: u32) -> bool {
        self.reports.contains_key(&process_number)
    }

    /// Sets the revision of this router's own list. Drops reports of lists that are no newer than it,
    /// and old reports.
    pub fn forget(&mut self, now: Moment, own: StoreRevision) {
        self.own = own;
        self.reports
            .retain(|_, report| report.as_of > own && now.since(report.heard) < REPORT_MEMORY);
    }
}
