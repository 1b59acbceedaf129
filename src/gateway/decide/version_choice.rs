//! Which software version a new stream begins at while a service has several.
//!
//! Load pattern: all routers are killed at once in a release, and the callers of all running streams
//! come back to processes that know nothing. What a caller brings is the id of the call that began its
//! stream. So the version of a new stream is not free: it follows from that id and the published list,
//! and a new process computes it again ([`super::stable_ranges`]). Among the endpoints of the version
//! the placement is free.
//!
//! Each version gets a range of stream numbers as wide as its part of the slots that take work. The
//! ranges are in the order of the versions' names, so that the one boundary between two versions moves
//! in one direction while endpoints are replaced.

use std::collections::BTreeMap;

use super::super::routes::EndpointEntry;
use super::super::routes::EndpointState;
use super::super::routes::ServiceKey;
use super::super::routes::SoftwareVersion;
use super::stream_origins::StreamNumber;

/// Number of points that the numbers of streams are mapped to.
const POINTS: u128 = 1 << 32;

/// A place of streams in the versions' ranges: the high half of the stream's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamPoint(pub u32);

impl StreamPoint {
    /// Returns the point of a stream.
    #[must_use]
    #[allow(clippy::cast_possible_truncation)]
    pub fn of(stream: StreamNumber) -> Self {
        Self((stream.0 >> 32) as u32)
    }
}

/// Points from the first to the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PointRange {
    /// The first point.
    pub first: u32,
    /// The last point, which belongs to the range.
    pub last: u32,
}

impl PointRange {
    /// Returns the points from `from` up to `to`, which is not one of them; `None` if there are none.
    fn between(from: u128, to: u128) -> Option<Self> {
        let last = u32::try_from(to.checked_sub(1)?).ok()?;
        Self::new(u32::try_from(from).ok()?, last)
    }

    /// Returns the points from `first` to `last`; `None` if there are none.
    #[must_use]
    pub fn new(first: u32, last: u32) -> Option<Self> {
        (first <= last).then_some(Self { first, last })
    }

    /// Returns the points that are in both ranges.
    #[must_use]
    pub fn intersection(self, other: Self) -> Option<Self> {
        Self::new(self.first.max(other.first), self.last.min(other.last))
    }

    /// Returns true if the point is in the range.
    #[must_use]
    pub fn contains(self, point: StreamPoint) -> bool {
        (self.first..=self.last).contains(&point.0)
    }
}

/// The ranges of a service's versions.
pub type VersionRanges = BTreeMap<SoftwareVersion, PointRange>;

/// Slots that take work.
pub type SlotCount = u64;

/// Returns the slots at which an endpoint takes work according to its entry.
#[must_use]
pub fn slots_of(entry: &EndpointEntry) -> SlotCount {
    match entry.state {
        EndpointState::Ready => SlotCount::from(entry.slots.max(1)),
        EndpointState::Leaving => 0,
    }
}

/// Fewest and most slots of a version over several lists.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotBounds {
    /// Fewest slots.
    pub least: SlotCount,
    /// Most slots.
    pub most: SlotCount,
}

impl SlotBounds {
    fn add(&mut self, other: Self) {
        self.least += other.least;
        self.most += other.most;
    }
}

/// Returns the boundary after versions with `below` slots of `total`.
fn boundary(below: SlotCount, total: SlotCount) -> u128 {
    let (below, total) = (u128::from(below), u128::from(total));
    (below * POINTS).checked_div(total).unwrap_or(0)
}

/// Returns the points that belong to the same version by every list whose versions have slots within
/// these bounds.
#[must_use]
pub fn stable_ranges(bounds: &BTreeMap<SoftwareVersion, SlotBounds>) -> VersionRanges {
    let mut above = SlotBounds::default();
    for version in bounds.values() {
        above.add(*version);
    }
    let mut below = SlotBounds::default();
    let mut ranges = VersionRanges::new();
    for (version, slots) in bounds {
        let from = boundary(below.most, below.most + above.least);
        below.add(*slots);
        above.least -= slots.least;
        above.most -= slots.most;
        let to = boundary(below.least, below.least + above.most);
        let range = PointRange::between(from, to).filter(|_| slots.least > 0);
        ranges.extend(range.map(|range| (version.clone(), range)));
    }
    ranges
}

/// Returns the ranges of versions with these slots.
#[must_use]
pub fn ranges_of(slots: &BTreeMap<SoftwareVersion, SlotCount>) -> VersionRanges {
    let exact = |(version, slots): (&SoftwareVersion, &SlotCount)| {
        let bounds = SlotBounds {
            least: *slots,
            most: *slots,
        };
        (version.clone(), bounds)
    };
    stable_ranges(&slots.iter().map(exact).collect())
}

/// Returns the version whose range has the point.
#[must_use]
pub fn version_at(ranges: &VersionRanges, point: StreamPoint) -> Option<&SoftwareVersion> {
    let found = ranges.iter().find(|(_, range)| range.contains(point));
    found.map(|(version, _)| version)
}

/// The slots of each version by the list in use.
#[derive(Debug, Default)]
pub struct VersionChoice {
    slots: BTreeMap<ServiceKey, BTreeMap<SoftwareVersion, SlotCount>>,
    /// The ranges of each service that has endpoints which take work.
    ranges: BTreeMap<ServiceKey, VersionRanges>,
}

impl VersionChoice {
    /// Sets the list in use.
    pub fn set_list<'a>(&mut self, entries: impl Iterator<Item = &'a EndpointEntry>) {
        self.slots.clear();
        for entry in entries {
            let versions = self.slots.entry(entry.service.clone()).or_default();
            *versions.entry(entry.software.clone()).or_default() += slots_of(entry);
        }
        let services = self.slots.iter();
        let ranges = services.map(|(service, slots)| (service.clone(), ranges_of(slots)));
        self.ranges = ranges.filter(|(_, ranges)| !ranges.is_empty()).collect();
    }

    /// Returns the ranges of each service that has endpoints which take work.
    #[must_use]
    pub fn ranges(&self) -> &BTreeMap<ServiceKey, VersionRanges> {
        &self.ranges
    }

    /// Returns the version at which a new stream begins; `None` if it may begin at any. A version whose
    /// endpoints have all said that they leave, or left by a newer list than the one in use, passes its
    /// streams on to the others: it doesn't get them back.
    pub fn version_of(
        &self,
        service: &ServiceKey,
        stream: StreamNumber,
        is_in_service: impl Fn(&SoftwareVersion) -> bool,
    ) -> Option<SoftwareVersion> {
        let slots = self.slots.get(service).filter(|slots| slots.len() > 1)?;
        let point = StreamPoint::of(stream);
        let ranges = self.ranges.get(service)?;
        let version = version_at(ranges, point).filter(|version| is_in_service(version));
        if let Some(version) = version {
            return Some(version.clone());
        }
        let staying = slots.iter().filter(|(version, _)| is_in_service(version));
        let staying = staying.map(|(version, slots)| (version.clone(), *slots));
        let ranges = ranges_of(&staying.collect());
        version_at(&ranges, point).cloned()
    }
}
