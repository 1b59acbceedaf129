//! The published configuration of a gateway: routes, services, teams with their keys, limits, and
//! endpoints.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;
use xxhash_rust::xxh3::xxh3_128;

use crate::units::TimeSpan;

use super::link::LinkSpeed;

macro_rules! text_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub SmolStr);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl $name {
            /// Returns the hash that stands for this key in gossip.
            #[must_use]
            pub fn hash(&self) -> u64 {
                xxh3_64(self.0.as_bytes())
            }
        }
    };
}

text_key!(
    /// An endpoint's published name. Its process may restart under the same name, see
    /// [`ProcessStartTime`].
    EndpointKey
);
text_key!(
    /// The published name of a service, that is, of the endpoints that run the same requests.
    ServiceKey
);
text_key!(
    /// A team's published name.
    TeamKey
);
text_key!(
    /// The version of an endpoint's software, not of its model's weights. Versions have no order and
    /// are only compared for equality. Empty if it is not stated, as in entries from routers of an
    /// earlier program.
    SoftwareVersion
);
text_key!(
    /// A route's published name.
    RouteKey
);

/// How a route's calls may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// A call may run any number of times.
    Idempotent,
    /// A call's stream may be resumed at another endpoint after its last event.
    Resumable,
    /// A call runs at most once.
    AtMostOnce,
}

/// A published route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// The route's name.
    pub name: RouteKey,
    /// Path prefix, with a slash at both ends.
    pub prefix: SmolStr,
    /// How its calls may be retried.
    pub repeats: Repeatability,
    /// True if responses are event streams.
    pub streams: bool,
    /// Services with their weights.
    pub split: Vec<(ServiceKey, u32)>,
    /// Most endpoints that one call is sent to.
    pub max_attempts: u32,
    /// Longest deadline of a call, counted from its arrival, in ms.
    pub timeout_ms: u64,
    /// Latency objective for the response (for the first event of a stream), in ms.
    pub objective_ms: u64,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// True if calls need no API key.
    pub public: bool,
}

/// A published service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Most connections that one endpoint accepts in total, whoever opens them.
    pub max_connections: u32,
    /// Capacity of its model engines; nothing for a plain service, which has none.
    pub engine: Option<EngineShape>,
}

/// The published capacity of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineShape {
    /// Requests that an engine runs at the same time, in one batch.
    pub slots: u32,
    /// Tokens that fit in the engine's memory.
    pub memory_tokens: u64,
    /// Bytes of memory per token; 0 if not published.
    #[serde(default)]
    pub token_bytes: u64,
    /// The link over which engines fetch cached prompts from each other's memory, if they do.
    #[serde(default)]
    pub memory_link: Option<LinkSpeed>,
}

impl EngineShape {
    /// Returns the time to transfer one token's memory from one engine to another, in ms, or
    /// nothing if engines don't fetch from each other.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn fetch_ms_per_token(&self) -> Option<f64> {
        let per_ms = self.memory_link?.bytes_in(Duration::from_millis(1));
        let bytes = self.token_bytes as f64;
        (per_ms > 0.0 && bytes > 0.0).then_some(bytes / per_ms)
    }
}

/// Limits on callers, and the capacity of which the teams have shares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a head, in ms.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, and longest pause between two reads of a
    /// request's body, in ms.
    pub idle_timeout_ms: u64,
    /// Tokens per second that all engines together process; 0 if not published. Teams' shares are
    /// parts of it.
    pub tokens_per_s: f64,
}

impl Default for CallerLimits {
    /// The limits until something is published: the usual sizes of HTTP servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 4_194_304,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            tokens_per_s: 0.0,
        }
    }
}

/// Longest text of a published name that is kept as it is, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Returns a published name that is only compared with others, of limited length: a longer one is
/// replaced by its hash.
///
/// Guards against an entry of another writer with a name of a megabyte, which every router would keep,
/// log, and send to the others.
#[must_use]
pub fn short_name(name: &str) -> SmolStr {
    if name.len() <= MAX_NAME_BYTES {
        return SmolStr::new(name);
    }
    SmolStr::from(format!("xxh3-{:032x}", xxh3_128(name.as_bytes())))
}

/// One published version of the routes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// The publisher's version, which grows.
    pub version: u64,
    /// Routes by host name, longest prefix first.
    pub hosts: BTreeMap<SmolStr, Vec<RouteEntry>>,
    /// Services.
    pub services: BTreeMap<ServiceKey, ServiceEntry>,
    /// Teams by API key.
    #[serde(with = "grouped_keys")]
    pub keys: BTreeMap<SmolStr, TeamKey>,
    /// True if the publication defines teams, so that calls need a key unless their route is
    /// public.
    pub has_teams: bool,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Exchange of API keys between routers, grouped by team: a team has many, and its name may be long.
mod grouped_keys {
    use std::collections::BTreeMap;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use smol_str::SmolStr;

    use super::TeamKey;

    /// The value of an entry.
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum KeyGroup {
        /// The entry's name is a team, with these keys.
        Keys(Vec<SmolStr>),
        /// The entry's name is a key of this team, as routers of an earlier program write it.
        Team(TeamKey),
    }

    pub fn serialize<S: Serializer>(
        keys: &BTreeMap<SmolStr, TeamKey>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut groups: BTreeMap<&TeamKey, Vec<&SmolStr>> = BTreeMap::new();
        for (key, team) in keys {
            groups.entry(team).or_default().push(key);
        }
        serializer.collect_map(groups)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<SmolStr, TeamKey>, D::Error> {
        let groups: BTreeMap<SmolStr, KeyGroup> = BTreeMap::deserialize(deserializer)?;
        let mut keys = BTreeMap::new();
        for (name, group) in groups {
            match group {
                KeyGroup::Team(team) => {
                    keys.insert(name, team);
                }
                KeyGroup::Keys(listed) => {
                    let team = TeamKey(name);
                    keys.extend(listed.into_iter().map(|key| (key, team.clone())));
                }
            }
        }
        Ok(keys)
    }
}

impl RouteTable {
    /// Adds a route; call [`Self::finish`] after the last one.
    pub fn add_route(&mut self, host: &str, route: RouteEntry) {
        let host = SmolStr::new(host.to_ascii_lowercase());
        self.hosts.entry(host).or_default().push(route);
    }

    /// Sorts the routes of each host so that the first match has the longest prefix.
    pub fn finish(&mut self) {
        for routes in self.hosts.values_mut() {
            routes.sort_by(|left, right| {
                let lengths = right.prefix.len().cmp(&left.prefix.len());
                lengths.then_with(|| left.prefix.cmp(&right.prefix))
            });
        }
    }

    /// Returns the longest time that a stream lasts which may be resumed.
    #[must_use]
    pub fn longest_stream(&self) -> TimeSpan {
        let routes = self.hosts.values().flatten();
        let streams =
            routes.filter(|route| route.streams && route.repeats == Repeatability::Resumable);
        let longest = streams.map(|route| route.timeout_ms).max();
        TimeSpan::from_millis(longest.unwrap_or(0))
    }

    /// Returns the route for a host and path.
    #[must_use]
    pub fn route(&self, host: &str, path: &[u8]) -> Option<&RouteEntry> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_bytes()))
    }

    /// Returns the team of a caller's API key.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&TeamKey> {
        self.keys.get(key)
    }
}

impl RouteEntry {
    /// Returns the service for a call, chosen by weight; `draw` is uniform over all `u64` values.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&ServiceKey> {
        let total: u64 = self
            .split
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return self.split.first().map(|(service, _)| service);
        }
        let mut left = draw % total;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}

/// Whether an endpoint takes new work, as registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It is draining: it only finishes its current work.
    Leaving,
}

/// Start time of an endpoint's process, in ms since the Unix epoch; 0 if not stated.
///
/// An endpoint may restart under its key. The new process holds nothing from the former one, so
/// what was learned about the former process must not be applied to it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ProcessStartTime(pub u64);

impl fmt::Display for ProcessStartTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for ProcessStartTime {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Identifies one process of an endpoint, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointProcess {
    /// The endpoint.
    pub key: EndpointKey,
    /// The start time of the process.
    pub born: ProcessStartTime,
}

impl EndpointProcess {
    /// Returns the hash that stands for this process in gossip.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.key.0.as_bytes(), self.born.0)
    }
}

/// An endpoint's registration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its key.
    pub key: EndpointKey,
    /// The start time of its process.
    #[serde(default)]
    pub born: ProcessStartTime,
    /// The version of its software.
    #[serde(default)]
    pub software: SoftwareVersion,
    /// Its service.
    pub service: ServiceKey,
    /// The address at which it takes calls.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
}

impl EndpointEntry {
    /// Returns true if `other` is an entry of the same process. A process that starts again may have
    /// another software version; an entry without one says nothing about it.
    #[must_use]
    pub fn is_same_process(&self, other: &Self) -> bool {
        let is_stated = !self.software.0.is_empty() && !other.software.0.is_empty();
        let is_other_version = is_stated && self.software != other.software;
        self.born == other.born && !is_other_version
    }

    /// Returns true if the entry says when its process started.
    #[must_use]
    pub fn has_start_time(&self) -> bool {
        self.born != ProcessStartTime::default()
    }

    /// Returns the identity of the process that registered.
    #[must_use]
    pub fn life(&self) -> EndpointProcess {
        EndpointProcess {
            key: self.key.clone(),
            born: self.born,
        }
    }
}
