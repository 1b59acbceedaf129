//! Parts of gossip messages that tell where streams began and which services are mixed.

use std::collections::BTreeMap;

use prost::Message;
use smol_str::SmolStr;

use crate::units::TimeSpan;

use super::decide::stable_ranges::ServiceRanges;
use super::decide::stream_origins::StreamNumber;
use super::decide::stream_origins::StreamStart;
use super::decide::version_choice::PointRange;
use super::decide::version_choice::VersionRanges;
use super::decide::version_history::MixedService;
use super::decide::version_history::ServiceNumber;
use super::routes::SoftwareVersion;

/// Streams that began at one software version of a service.
#[derive(Clone, PartialEq, Message)]
pub struct BegunStreams {
    /// Service number.
    #[prost(fixed32, tag = "1")]
    service: u32,
    /// Software version.
    #[prost(string, tag = "2")]
    software: String,
    /// Stream numbers.
    #[prost(fixed64, repeated, tag = "3")]
    streams: Vec<u64>,
}

impl BegunStreams {
    /// Groups streams by service and version.
    #[must_use]
    pub fn group(begun: &[(StreamNumber, StreamStart)]) -> Vec<Self> {
        let mut groups: Vec<Self> = Vec::new();
        for (stream, start) in begun {
            let (service, software) = (start.service.0, start.software.0.as_str());
            let mut known = groups.iter_mut();
            match known.find(|group| group.service == service && group.software == software) {
                Some(group) => group.streams.push(stream.0),
                None => groups.push(Self {
                    service,
                    software: software.to_owned(),
                    streams: vec![stream.0],
                }),
            }
        }
        groups
    }

    /// Returns the version at which all these streams began.
    #[must_use]
    pub fn start(&self) -> StreamStart {
        StreamStart {
            service: ServiceNumber(self.service),
            software: SoftwareVersion(SmolStr::new(&self.software)),
        }
    }

    /// Returns the streams.
    pub fn streams(&self) -> impl Iterator<Item = StreamNumber> + '_ {
        self.streams.iter().copied().map(StreamNumber)
    }
}

/// A service whose endpoints had several software versions lately.
#[derive(Clone, PartialEq, Message)]
pub struct MixedEntry {
    /// Service number.
    #[prost(fixed32, tag = "1")]
    service: u32,
    /// Time for which streams from then may still be resumed, in ms.
    #[prost(uint32, tag = "2")]
    left_ms: u32,
}

impl MixedEntry {
    /// Encodes a mixed service.
    #[must_use]
    pub fn of(mixed: &MixedService) -> Self {
        Self {
            service: mixed.service.0,
            left_ms: u32::try_from(mixed.left.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Decodes the mixed service.
    #[must_use]
    pub fn decode(&self) -> MixedService {
        MixedService {
            service: ServiceNumber(self.service),
            left: TimeSpan::from_millis(u64::from(self.left_ms)),
        }
    }
}

/// Streams that began at one software version of a service by their numbers, see
/// [`super::decide::stable_ranges`].
#[derive(Clone, PartialEq, Message)]
pub struct RangeEntry {
    /// Service number.
    #[prost(fixed32, tag = "1")]
    service: u32,
    /// Software version.
    #[prost(string, tag = "2")]
    software: String,
    /// The first point.
    #[prost(fixed32, tag = "3")]
    first: u32,
    /// The last point.
    #[prost(fixed32, tag = "4")]
    last: u32,
    /// Time for which such streams may still be resumed, in ms.
    #[prost(uint32, tag = "5")]
    left_ms: u32,
}

impl RangeEntry {
    /// Encodes the ranges of services.
    #[must_use]
    pub fn encode_all(services: &[ServiceRanges]) -> Vec<Self> {
        let entries = services.iter().flat_map(|told| {
            told.ranges.iter().map(|(software, range)| Self {
                service: told.service.0,
                software: software.0.to_string(),
                first: range.first,
                last: range.last,
                left_ms: u32::try_from(told.left.as_millis()).unwrap_or(u32::MAX),
            })
        });
        entries.collect()
    }

    /// Decodes the ranges of services.
    #[must_use]
    pub fn decode_all(entries: &[Self]) -> Vec<ServiceRanges> {
        let mut services: BTreeMap<u32, ServiceRanges> = BTreeMap::new();
        for entry in entries {
            let Some(range) = PointRange::new(entry.first, entry.last) else {
                continue;
            };
            let told = services
                .entry(entry.service)
                .or_insert_with(|| ServiceRanges {
                    service: ServiceNumber(entry.service),
                    ranges: VersionRanges::new(),
                    left: TimeSpan::from_millis(u64::from(entry.left_ms)),
                });
            let software = SoftwareVersion(SmolStr::new(&entry.software));
            told.ranges.insert(software, range);
        }
        services.into_values().collect()
    }
}
