//! At which software version a stream began that no process has a record of, by its number.
//!
//! Load pattern: all routers are killed at once while a service has two versions. New streams began at
//! versions that follow from their numbers and the lists of their time ([`super::version_choice`]), and
//! those lists can have moved while the streams that are taken up now began. The store's history bounds
//! them ([`super::past_versions`]). Only a stream whose number belongs to one version by all of these
//! lists, and by those that this router has used since, counts as begun at that version; of all others
//! it is not known. A few routers read the history and tell the rest.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::routes::ServiceKey;
use super::super::routes::SoftwareVersion;
use super::stream_origins::StreamNumber;
use super::version_choice::StreamPoint;
use super::version_choice::VersionRanges;
use super::version_choice::version_at;
use super::version_history::ServiceNumber;

/// Maximum number of services in one message. A release concerns one service or a few.
const MAX_SERVICES_REPORTED: usize = 8;

/// Maximum number of services that are kept: all of the largest intended fleet. A foreign sender could
/// report any number.
const MAX_SERVICES: usize = 256;

/// The ranges of a service's versions, for the messages between routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRanges {
    /// The service.
    pub service: ServiceNumber,
    /// Points that belonged to these versions all the while.
    pub ranges: VersionRanges,
    /// For how long streams from then may still be resumed.
    pub left: TimeSpan,
}

#[derive(Debug)]
struct PastRanges {
    ranges: VersionRanges,
    until: Moment,
}

/// Points that belonged to one version all the while, by service.
#[derive(Debug, Default)]
pub struct StableRanges {
    /// By all lists that this router has used.
    own: BTreeMap<ServiceNumber, VersionRanges>,
    /// By the lists before, and those that other routers have used.
    past: BTreeMap<ServiceNumber, PastRanges>,
}

/// Leaves the points that belong to the same version by both.
fn intersect(ranges: &mut VersionRanges, other: &VersionRanges) {
    let both = ranges.iter().filter_map(|(version, range)| {
        let range = range.intersection(*other.get(version)?)?;
        Some((version.clone(), range))
    });
    *ranges = both.collect();
}

impl StableRanges {
    /// Records the ranges of the list in use.
    pub fn record_list(&mut self, now: Moment, ranges: &BTreeMap<ServiceKey, VersionRanges>) {
        for (service, listed) in ranges {
            let service = ServiceNumber::of(service);
            let known = self.own.entry(service).or_insert_with(|| listed.clone());
            intersect(known, listed);
        }
        self.past.retain(|_, past| now < past.until);
    }

    /// Learns which points belonged to which versions before, from the store's history or another
    /// router.
    pub fn learn(&mut self, now: Moment, told: ServiceRanges) {
        let ServiceRanges {
            service,
            ranges,
            left,
        } = told;
        let is_known = self.past.contains_key(&service);
        if !is_known && self.past.len() >= MAX_SERVICES {
            return;
        }
        let until = now + left;
        let past = self.past.entry(service).or_insert_with(|| PastRanges {
            ranges: ranges.clone(),
            until,
        });
        intersect(&mut past.ranges, &ranges);
        past.until = until.max(past.until);
    }

    /// Returns the version at which a stream of the service began, if that follows from its number.
    #[must_use]
    pub fn version_of(
        &self,
        now: Moment,
        service: &ServiceKey,
        stream: StreamNumber,
    ) -> Option<SoftwareVersion> {
        let told = self.to_tell(now, ServiceNumber::of(service))?;
        version_at(&told.ranges, StreamPoint::of(stream)).cloned()
    }

    /// Returns what is known of these services, for the messages to the other routers.
    #[must_use]
    pub fn to_report(
        &self,
        now: Moment,
        services: impl Iterator<Item = ServiceNumber>,
    ) -> Vec<ServiceRanges> {
        let known = services.filter_map(|service| self.to_tell(now, service));
        known.take(MAX_SERVICES_REPORTED).collect()
    }

    fn to_tell(&self, now: Moment, service: ServiceNumber) -> Option<ServiceRanges> {
        let past = self.past.get(&service).filter(|past| now < past.until)?;
        let mut ranges = past.ranges.clone();
        intersect(&mut ranges, self.own.get(&service)?);
        Some(ServiceRanges {
            service,
            ranges,
            left: past.until.since(now),
        })
    }
}
