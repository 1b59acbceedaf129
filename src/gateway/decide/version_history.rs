//! Which software versions the endpoints of each service had lately.
//!
//! Load pattern: on most days all endpoints of a service have one software version, so where a
//! stream began needs no record: it was at that version. During a release, and for as long as a
//! stream that began before or during it may be resumed, the service is *mixed*. Routers then ask
//! each other where streams began ([`super::stream_origins`]).
//!
//! A router that has just started has seen one list only. It learns which services are mixed from
//! the messages of routers that are older, with the time that is left, so that a report ends at the
//! same time however often it is passed on. In the same way it learns for how long a stream may
//! still be resumed that began before the first list of the oldest process. Until then a service
//! with one version may have had another, and counts as mixed: after all routers were killed,
//! nobody knows the versions from before, unless the store's history tells them
//! ([`super::past_versions`]).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::follow::StoreRevision;
use super::super::routes::ServiceKey;
use super::super::routes::SoftwareVersion;

/// Maximum number of mixed services in one message: 320 bytes of it. A release concerns one service
/// or a few.
const MAX_MIXED_REPORTED: usize = 32;

/// Maximum number of services that others may report: all of the largest intended fleet. A foreign
/// sender could report any number.
const MAX_MIXED_TOLD: usize = 256;

/// Time after the first list of the oldest router in which the store's history is asked for the
/// versions before.
const HISTORY_TIME: TimeSpan = TimeSpan::from_millis(3_000);

/// A service in messages between routers: the low 32 bits of the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceNumber(pub u32);

impl ServiceNumber {
    /// Returns the number of a service.
    #[must_use]
    #[allow(clippy::cast_possible_truncation)]
    pub fn of(service: &ServiceKey) -> Self {
        Self(service.hash() as u32)
    }
}

/// A service whose endpoints had several software versions lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MixedService {
    /// The service.
    pub service: ServiceNumber,
    /// For how long streams from then may still be resumed.
    pub left: TimeSpan,
}

/// What another router says of the versions that were listed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PastReport {
    /// The revision of its list.
    pub list: StoreRevision,
    /// For how long a stream may still be resumed that began before it knew the versions.
    pub left: TimeSpan,
}

/// When a software version was last listed for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LastListed {
    /// The current list has it.
    Now,
    /// It was dropped from the list at this time.
    Until(Moment),
}

/// What is known of the versions that were listed before a process's first list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PastVersions {
    /// No stream began before it: the whole system had not started.
    Known,
    /// Nothing is known, and there was no list yet.
    Unlisted,
    /// Streams that began at unknown versions may be resumed until this time.
    UnknownUntil(Moment),
}

/// The software versions of each service, from the endpoint lists of this router and from reports of
/// the others.
#[derive(Debug)]
pub struct VersionHistory {
    /// Time for which a version counts after it was last listed.
    memory: TimeSpan,
    versions: BTreeMap<ServiceKey, BTreeMap<SoftwareVersion, LastListed>>,
    /// Until when a service is mixed according to other routers.
    told: BTreeMap<ServiceNumber, Moment>,
    past: PastVersions,
}

impl VersionHistory {
    /// Creates a history without any version, of a process before which no stream began. A stream may
    /// be resumed for `memory` at most.
    #[must_use]
    pub fn new(memory: TimeSpan) -> Self {
        Self {
            memory,
            versions: BTreeMap::new(),
            told: BTreeMap::new(),
            past: PastVersions::Known,
        }
    }

    /// Creates the history of a process before which streams may have begun at any version.
    #[must_use]
    pub fn with_unknown_past(memory: TimeSpan) -> Self {
        Self {
            past: PastVersions::Unlisted,
            ..Self::new(memory)
        }
    }

    /// Records the versions of the endpoints in use.
    pub fn record_list<'a>(
        &mut self,
        now: Moment,
        listed: impl Iterator<Item = (&'a ServiceKey, &'a SoftwareVersion)>,
    ) {
        if self.past == PastVersions::Unlisted {
            self.past = PastVersions::UnknownUntil(now + self.memory);
        }
        for version in self.versions.values_mut().flat_map(BTreeMap::values_mut) {
            if *version == LastListed::Now {
                *version = LastListed::Until(now);
            }
        }
        for (service, software) in listed {
            let versions = self.versions.entry(service.clone()).or_default();
            versions.insert(software.clone(), LastListed::Now);
        }
        let memory = self.memory;
        for versions in self.versions.values_mut() {
            versions.retain(|_, last| last.time_left(now, memory) > TimeSpan(0));
        }
        self.versions.retain(|_, versions| !versions.is_empty());
        self.told.retain(|_, until| now < *until);
    }

    /// Returns true if the store's history may tell the versions before the first list: the oldest
    /// router has just got its own. Later the history covers less of the past, and an older router
    /// has found already that it doesn't tell.
    #[must_use]
    pub fn may_ask_history(&self, now: Moment) -> bool {
        let PastVersions::UnknownUntil(until) = self.past else {
            return false;
        };
        until.since(now).0 + HISTORY_TIME.0 > self.memory.0
    }

    /// Records the versions that endpoints had before the first list; no others are to be expected.
    pub fn record_past(&mut self, now: Moment, versions: BTreeSet<(ServiceKey, SoftwareVersion)>) {
        for (service, software) in versions {
            let versions = self.versions.entry(service).or_default();
            versions.entry(software).or_insert(LastListed::Until(now));
        }
        if self.past != PastVersions::Known {
            self.past = PastVersions::UnknownUntil(now);
        }
    }

    /// Applies another router's report of mixed services.
    pub fn apply_report(&mut self, now: Moment, mixed: &[MixedService]) {
        for MixedService { service, left } in mixed {
            let is_known = self.told.contains_key(service);
            if !is_known && self.told.len() >= MAX_MIXED_TOLD {
                continue;
            }
            let until = now + (*left).min(self.memory);
            let known = self.told.entry(*service).or_insert(until);
            *known = until.max(*known);
        }
    }

    /// Applies another router's report of [`Self::past_unknown_for`], beside which it reports the mixed
    /// services that it knows. `own_list` is the revision of this router's list.
    ///
    /// Guards against a router that stood still through a release and wakes with the list from
    /// before: it hasn't seen the versions that were dropped before this router's first list.
    pub fn apply_past_report(&mut self, now: Moment, own_list: StoreRevision, report: PastReport) {
        if report.list < own_list {
            return;
        }
        if let PastVersions::UnknownUntil(until) = &mut self.past {
            *until = (*until).min(now + report.left);
        }
    }

    /// Returns for how long a stream may still be resumed that began before the first list of this
    /// router, or of any router whose reports it applied; `None` before the first list.
    #[must_use]
    pub fn past_unknown_for(&self, now: Moment) -> Option<TimeSpan> {
        match self.past {
            PastVersions::Known => Some(TimeSpan(0)),
            PastVersions::Unlisted => None,
            PastVersions::UnknownUntil(until) => Some(until.since(now)),
        }
    }

    /// Returns for how long the service still counts as mixed; zero if it does not.
    #[must_use]
    pub fn mixed_for(&self, now: Moment, service: &ServiceKey) -> TimeSpan {
        let told = self.told.get(&ServiceNumber::of(service));
        let told = told.map_or(TimeSpan(0), |until| until.since(now));
        let past = self.past_unknown_for(now).unwrap_or(self.memory);
        told.max(past).max(self.seen_mixed_for(now, service))
    }

    /// Returns true if streams that began at several versions of the service may be resumed.
    #[must_use]
    pub fn is_mixed(&self, now: Moment, service: &ServiceKey) -> bool {
        self.mixed_for(now, service) > TimeSpan(0)
    }

    /// As [`Self::is_mixed`], for a service in messages between routers.
    #[must_use]
    pub fn is_mixed_number(&self, now: Moment, service: ServiceNumber) -> bool {
        let told = self.told.get(&service);
        let is_told = told.is_some_and(|until| now < *until);
        let is_past_unknown = self.past_unknown_for(now) != Some(TimeSpan(0));
        let mut keys = self.versions.keys();
        let is_mixed_here =
            |key: &ServiceKey| ServiceNumber::of(key) == service && self.is_mixed(now, key);
        is_told || is_past_unknown || keys.any(is_mixed_here)
    }

    fn seen_mixed_for(&self, now: Moment, service: &ServiceKey) -> TimeSpan {
        let versions = self.versions.get(service);
        let versions = versions.into_iter().flat_map(BTreeMap::values);
        let mut left: Vec<TimeSpan> = versions
            .map(|last| last.time_left(now, self.memory))
            .collect();
        // The second version to be forgotten is the last one beside another.
        left.sort_unstable();
        left.iter().rev().nth(1).copied().unwrap_or(TimeSpan(0))
    }

    /// Returns the version of the service's endpoints if they had no other lately.
    #[must_use]
    pub fn only_version(&self, now: Moment, service: &ServiceKey) -> Option<&SoftwareVersion> {
        if self.is_mixed(now, service) {
            return None;
        }
        let versions = self.versions.get(service)?.iter();
        let (software, _) = versions.max_by_key(|(_, last)| last.time_left(now, self.memory))?;
        Some(software)
    }

    /// Returns the mixed services, for the messages to the other routers.
    #[must_use]
    pub fn to_report(&self, now: Moment) -> Vec<MixedService> {
        let mut mixed: BTreeMap<ServiceNumber, TimeSpan> = BTreeMap::new();
        let seen = self.versions.keys();
        let seen = seen.map(|key| (ServiceNumber::of(key), self.seen_mixed_for(now, key)));
        let told = self
            .told
            .iter()
            .map(|(service, until)| (*service, until.since(now)));
        for (service, left) in seen.chain(told).filter(|(_, left)| *left > TimeSpan(0)) {
            let known = mixed.entry(service).or_insert(left);
            *known = left.max(*known);
        }
        mixed
            .into_iter()
            .take(MAX_MIXED_REPORTED)
            .map(|(service, left)| MixedService { service, left })
            .collect()
    }
}

impl LastListed {
    fn time_left(self, now: Moment, memory: TimeSpan) -> TimeSpan {
        match self {
            Self::Now => memory,
            Self::Until(at) => (at + memory).since(now),
        }
    }
}
