//! Parts of gossip messages that tell where streams began and which services are mixed.

use prost::Message;
use smol_str::SmolStr;

use crate::units::TimeSpan;

use super::decide::stream_origins::StreamNumber;
use super::decide::stream_origins::StreamStart;
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
