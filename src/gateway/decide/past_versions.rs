//! Which software versions endpoints had before a process's first list, by the store's history.
//!
//! Load pattern: all routers are killed at once, and seconds later the callers of all running streams
//! come back. No process knows the versions from before: after a release the streams of the former
//! version must not go on at the new one, and on all other days every stream can go on, since its
//! service had one version all the while. The store keeps its changes for a time, which is longer
//! than streams last; they tell the two cases apart.
//!
//! An entry whose content from before the history is not known may have named any version of any
//! service. Then nothing is concluded, and streams of unknown origin are refused as before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::units::TimeSpan;

use super::super::follow::PastChange;
use super::super::routes::EndpointEntry;
use super::super::routes::EndpointKey;
use super::super::routes::ProcessStartTime;
use super::super::routes::ServiceKey;
use super::super::routes::SoftwareVersion;
use super::version_choice::SlotBounds;
use super::version_choice::SlotCount;
use super::version_choice::slots_of;

/// Least time by which the history has to be longer than streams last: between the read of the list
/// and that of the history.
const HISTORY_MARGIN: TimeSpan = TimeSpan::from_millis(1_000);

/// Largest difference between this host's time of day and that of an endpoint's host: clocks may jump
/// by seconds.
const CLOCK_MARGIN_MS: u64 = 5_000;

/// What is known when the history is judged.
#[derive(Debug, Clone, Copy)]
pub struct HistoryScope {
    /// Time of day, in ms since the Unix epoch.
    pub unix_ms: u64,
    /// Time for which the store keeps its changes.
    pub kept_for: TimeSpan,
    /// Longest time that a stream lasts.
    pub longest_stream: TimeSpan,
}

/// What the history tells of the versions before the first list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PastEvidence {
    /// Endpoints in use had these versions, and those of the list, and no others.
    Complete(BTreeSet<(ServiceKey, SoftwareVersion)>),
    /// There may have been others.
    Incomplete(HistoryGap),
}

/// Why a history does not tell all versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryGap {
    /// The store keeps its changes for less time than streams last.
    TooShort,
    /// This entry was written over or removed, and what it held before is not in the history.
    UnknownContent(EndpointKey),
    /// This endpoint is so new that its registration belongs to the history, but it is missing: the
    /// store has dropped changes sooner than it says.
    MissingRegistration(EndpointKey),
}

impl fmt::Display for HistoryGap {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooShort => formatter.write_str("streams last longer than the history"),
            Self::UnknownContent(key) => write!(formatter, "content of {key} before is unknown"),
            Self::MissingRegistration(key) => write!(formatter, "registration of {key} is missing"),
        }
    }
}

/// Returns what the changes in the store's history, oldest first, and the entries that it lists now tell
/// of the versions before.
#[must_use]
pub fn judge_history<'a>(
    scope: HistoryScope,
    listed: impl Iterator<Item = &'a EndpointEntry>,
    changes: &[PastChange],
) -> PastEvidence {
    if scope.longest_stream.0 + HISTORY_MARGIN.0 > scope.kept_for.0 {
        return PastEvidence::Incomplete(HistoryGap::TooShort);
    }
    let is_new = |born: ProcessStartTime| scope.is_within_history(born);
    let mut seen: BTreeSet<&EndpointKey> = BTreeSet::new();
    let mut versions = BTreeSet::new();
    for change in changes {
        let is_first = seen.insert(&change.key);
        let entry = change.entry.as_ref();
        // The process of an older entry has had the same version all the while.
        let tells_all = change.is_creation || entry.is_some_and(|entry| !is_new(entry.born));
        if is_first && !tells_all {
            let key = change.key.clone();
            return PastEvidence::Incomplete(HistoryGap::UnknownContent(key));
        }
        versions.extend(entry.map(|entry| (entry.service.clone(), entry.software.clone())));
    }
    let mut unseen = listed.filter(|entry| !seen.contains(&entry.key));
    match unseen.find(|entry| is_new(entry.born)) {
        Some(entry) => PastEvidence::Incomplete(HistoryGap::MissingRegistration(entry.key.clone())),
        None => PastEvidence::Complete(versions),
    }
}

/// Returns the fewest and most slots at which endpoints of each version took work in any list that
/// routers can have used over a complete history. A router may use an entry for a while after it was
/// removed, so all entries of the history may have been in one list.
#[must_use]
pub fn slot_bounds<'a>(
    listed: impl Iterator<Item = &'a EndpointEntry>,
    changes: &[PastChange],
) -> BTreeMap<ServiceKey, BTreeMap<SoftwareVersion, SlotBounds>> {
    let mut past = PastSlots::default();
    let mut first: BTreeMap<&EndpointKey, &PastChange> = BTreeMap::new();
    for change in changes {
        first.entry(&change.key).or_insert(change);
    }
    for entry in listed.filter(|entry| !first.contains_key(&entry.key)) {
        past.set(&entry.key, Some(entry));
    }
    // What is written over first was there before. Its process has had the same version and slots all
    // the while, and took work before it said that it leaves.
    let older = first.into_values().filter(|change| !change.is_creation);
    for entry in older.filter_map(|change| change.entry.as_ref()) {
        past.set(&entry.key, Some(entry));
        past.raise(entry, SlotCount::from(entry.slots.max(1)));
    }
    past.complete_all();
    let mut build_ups = BuildUps::default();
    for change in changes {
        for service in build_ups.ended_by(change) {
            past.complete(service);
        }
        past.set(&change.key, change.entry.as_ref());
    }
    past.complete_all();
    past.bounds()
}

/// Longest time between the starts of the first and the last endpoint that a service starts with.
const BUILD_UP_MS: u64 = 1_000;

/// Services that had no endpoint when the history began, while those that they start with register.
///
/// Streams did not begin by the lists of that time. Otherwise a service whose endpoints of two versions
/// started at once would seem to have moved from one to the other. A build-up ends at the first change
/// that is no registration, as a heartbeat is none, or with an endpoint that started later.
#[derive(Debug, Default)]
struct BuildUps(BTreeMap<ServiceKey, ProcessStartTime>);

impl BuildUps {
    /// Returns the services whose build-up has ended before this change.
    fn ended_by(&mut self, change: &PastChange) -> Vec<ServiceKey> {
        let Some(entry) = change.entry.as_ref().filter(|_| change.is_creation) else {
            return std::mem::take(&mut self.0).into_keys().collect();
        };
        let service = &entry.service;
        let began = *self.0.entry(service.clone()).or_insert(entry.born);
        let is_late = entry.born.0.abs_diff(began.0) > BUILD_UP_MS;
        if is_late || !entry.has_start_time() {
            return vec![service.clone()];
        }
        Vec::new()
    }
}

/// A version of a service.
type ServiceVersion = (ServiceKey, SoftwareVersion);

/// Slots of versions while the changes of a history are applied.
#[derive(Debug, Default)]
struct PastSlots {
    entries: BTreeMap<EndpointKey, (ServiceVersion, SlotCount)>,
    current: BTreeMap<ServiceKey, BTreeMap<SoftwareVersion, SlotCount>>,
    /// Fewest slots of the services that have their first endpoints; none for other versions.
    least: BTreeMap<ServiceKey, BTreeMap<SoftwareVersion, SlotCount>>,
    /// Most slots of each endpoint.
    most: BTreeMap<(EndpointKey, ServiceVersion), SlotCount>,
}

impl PastSlots {
    /// Sets the entry of an endpoint.
    fn set(&mut self, key: &EndpointKey, entry: Option<&EndpointEntry>) {
        let next = entry.map(|entry| (version_of(entry), slots_of(entry)));
        if self.entries.get(key) == next.as_ref() {
            return;
        }
        // First the new slots, so that an entry that is written again isn't missing between.
        if let (Some(entry), Some(((service, software), slots))) = (entry, &next) {
            let versions = self.current.entry(service.clone()).or_default();
            *versions.entry(software.clone()).or_default() += slots;
            self.raise(entry, *slots);
        }
        let former = match next {
            Some(next) => self.entries.insert(key.clone(), next),
            None => self.entries.remove(key),
        };
        if let Some((version, slots)) = former {
            self.take(&version, slots);
        }
    }

    fn raise(&mut self, entry: &EndpointEntry, slots: SlotCount) {
        let most = self.most.entry((entry.key.clone(), version_of(entry)));
        let most = most.or_default();
        *most = slots.max(*most);
    }

    fn take(&mut self, (service, software): &ServiceVersion, slots: SlotCount) {
        let versions = self.current.get_mut(service);
        let Some(current) = versions.and_then(|versions| versions.get_mut(software)) else {
            return;
        };
        *current = current.saturating_sub(slots);
        let versions = self.least.get_mut(service);
        if let Some(least) = versions.and_then(|versions| versions.get_mut(software)) {
            *least = (*least).min(*current);
        }
    }

    /// Counts the lists of a service from now on.
    fn complete(&mut self, service: ServiceKey) {
        let current = self.current.get(&service).cloned().unwrap_or_default();
        self.least.entry(service).or_insert(current);
    }

    fn complete_all(&mut self) {
        let services: Vec<ServiceKey> = self.current.keys().cloned().collect();
        for service in services {
            self.complete(service);
        }
    }

    fn bounds(&self) -> BTreeMap<ServiceKey, BTreeMap<SoftwareVersion, SlotBounds>> {
        let mut bounds: BTreeMap<ServiceKey, BTreeMap<SoftwareVersion, SlotBounds>> =
            BTreeMap::new();
        for ((_, (service, software)), most) in &self.most {
            let versions = bounds.entry(service.clone()).or_default();
            let slots = versions.entry(software.clone()).or_default();
            let least = self.least.get(service);
            let least = least.and_then(|versions| versions.get(software));
            slots.least = least.copied().unwrap_or(0);
            slots.most += most;
        }
        bounds
    }
}

fn version_of(entry: &EndpointEntry) -> ServiceVersion {
    (entry.service.clone(), entry.software.clone())
}

impl HistoryScope {
    /// Returns true if the history also tells the lists of streams' beginnings when routers use lists
    /// that are up to `list_lag` old.
    #[must_use]
    pub fn covers_lists(&self, list_lag: TimeSpan) -> bool {
        self.longest_stream.0 + list_lag.0 + HISTORY_MARGIN.0 <= self.kept_for.0
    }

    /// Returns true if a process that started then may have registered within the history.
    fn is_within_history(&self, born: ProcessStartTime) -> bool {
        let kept_ms = self.kept_for.as_millis();
        let oldest = kept_ms.saturating_add(CLOCK_MARGIN_MS);
        born.0 > self.unix_ms.saturating_sub(oldest)
    }
}
