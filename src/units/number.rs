//! Distinct types for numbers: ids, sizes, shares and service.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::EndpointName;
use super::PoolName;
use super::TeamName;

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number_type!(
    /// A request at its entry router; unique within one router incarnation.
    RequestId, u64
);
number_type!(
    /// Number of an attempt of one request, counted from 1.
    AttemptNumber, u32
);
number_type!(
    /// Revision of a publication at its source.
    ConfigRevision, u64
);
number_type!(
    /// One run of a router process, made of its start time and a random number.
    RouterIncarnation, u64
);
number_type!(
    /// Fencing number of orders to an endpoint; grows with each change of the router that gives
    /// them. Engines may check it.
    FenceNumber, u64
);
number_type!(
    /// A team's share, relative to the other teams' shares. Never 0 in a checked publication.
    ShareWeight, u32
);
number_type!(
    /// Amount of service: weighted tokens for engines, calls times a weight for plain services.
    ServiceUnits, u64
);
number_type!(
    /// Number of requests that may run concurrently.
    SlotCount, u32
);
number_type!(
    /// A size in bytes.
    ByteSize, u64
);
number_type!(
    /// Hash of a request's content, by which resends of it are recognised.
    RequestFingerprint, u64
);
number_type!(
    /// Id of a team on the wire: the low 32 bits of the hash of its name.
    TeamId, u32
);
number_type!(
    /// Id of an endpoint on the wire: the low 32 bits of the hash of its name.
    EndpointId, u32
);
number_type!(
    /// Id of a pool on the wire: the low 32 bits of the hash of its name.
    PoolId, u32
);

impl RouterIncarnation {
    /// Returns the incarnation of a process that starts at this second. A later start gets a higher
    /// number, so late messages about an earlier incarnation are recognised; the random lower half
    /// distinguishes two starts within one second.
    #[must_use]
    pub fn from_start_time(unix_seconds: u64, random: u32) -> Self {
        Self(unix_seconds << 32 | u64::from(random))
    }
}

/// Returns the low 32 bits of a name's hash. Truncation is safe because a publication in which two
/// names have the same id is refused.
#[allow(clippy::cast_possible_truncation)]
fn id_of(text: &str) -> u32 {
    xxh3_64(text.as_bytes()) as u32
}

impl From<&TeamName> for TeamId {
    fn from(name: &TeamName) -> Self {
        Self(id_of(name.as_str()))
    }
}

impl From<&EndpointName> for EndpointId {
    fn from(name: &EndpointName) -> Self {
        Self(id_of(name.as_str()))
    }
}

impl From<&PoolName> for PoolId {
    fn from(name: &PoolName) -> Self {
        Self(id_of(name.as_str()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_round_trip_as_text() {
        let revision = ConfigRevision(42);
        assert_eq!(revision.to_string().parse(), Ok(revision));
    }
}
