//! What is published for a gateway: routes, services, teams and their keys, limits, endpoints.

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
            /// A number by which routers speak of it to each other.
            #[must_use]
            pub fn hash(&self) -> u64 {
                xxh3_64(self.0.as_bytes())
            }
        }
    };
}

text_key!(
    /// An endpoint's published name. It may start again under it, see [`EndpointBirth`].
    EndpointKey
);
text_key!(
    /// A service: the endpoints that run the same requests.
    ServiceKey
);
text_key!(
    /// A team's published name.
    TeamKey
);
text_key!(
    /// A route's published name.
    RouteKey
);

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// May run any number of times.
    Idempotent,
    /// A stream that may go on at another endpoint after its last event.
    Resumable,
    /// Runs at most once for each call.
    AtMostOnce,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// Its name.
    pub name: RouteKey,
    /// Path prefix, with a slash at both ends.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub repeats: Repeatability,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Services with their weights.
    pub split: Vec<(ServiceKey, u32)>,
    /// Most endpoints that one call is sent to.
    pub max_attempts: u32,
    /// Longest time that a call is kept waiting, in ms.
    pub timeout_ms: u64,
    /// Time within which an answer (a stream's first event) is worth most, in ms.
    pub objective_ms: u64,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Whether calls need no key.
    pub public: bool,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Most connections that one endpoint takes from all callers.
    pub max_connections: u32,
    /// What its model engines are; nothing for a plain service.
    pub engine: Option<EngineShape>,
}

/// The published figures of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineShape {
    /// Requests that run in one batch.
    pub slots: u32,
    /// Tokens that fit in memory.
    pub memory_tokens: u64,
    /// Bytes of memory that a token takes; 0 if not published.
    #[serde(default)]
    pub token_bytes: u64,
    /// The link over which engines fetch each other's memory, if they do.
    #[serde(default)]
    pub memory_link: Option<LinkSpeed>,
}

impl EngineShape {
    /// Time that the memory of a token takes from one engine to another, in ms; nothing if engines
    /// fetch nothing.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn fetch_ms_per_token(&self) -> Option<f64> {
        let per_ms = self.memory_link?.bytes_in(Duration::from_millis(1));
        let bytes = self.token_bytes as f64;
        (per_ms > 0.0 && bytes > 0.0).then_some(bytes / per_ms)
    }
}

/// Limits towards callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of a head.
    pub max_head_bytes: usize,
    /// Most bytes of a body.
    pub max_body_bytes: usize,
    /// Time that a head may take, in ms.
    pub head_timeout_ms: u64,
    /// Time that a connection may be idle, in ms.
    pub idle_timeout_ms: u64,
    /// Tokens that all engines together handle a second; 0 if not published.
    pub tokens_per_s: f64,
}

impl Default for CallerLimits {
    /// What holds until something is published: the usual sizes of HTTP servers.
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

/// All that one published version says.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// The publisher's version; grows.
    pub version: u64,
    /// Routes by host name, longest prefix first.
    pub hosts: BTreeMap<SmolStr, Vec<RouteEntry>>,
    /// Services.
    pub services: BTreeMap<ServiceKey, ServiceEntry>,
    /// Teams by key.
    pub keys: BTreeMap<SmolStr, TeamKey>,
    /// Whether calls need a key at all.
    pub has_teams: bool,
    /// Limits towards callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Adds a route; [`Self::finish`] orders them.
    pub fn add_route(&mut self, host: &str, route: RouteEntry) {
        let host = SmolStr::new(host.to_ascii_lowercase());
        self.hosts.entry(host).or_default().push(route);
    }

    /// Orders the routes of each host so that the first match is the longest.
    pub fn finish(&mut self) {
        for routes in self.hosts.values_mut() {
            routes.sort_by(|left, right| {
                let lengths = right.prefix.len().cmp(&left.prefix.len());
                lengths.then_with(|| left.prefix.cmp(&right.prefix))
            });
        }
    }

    /// The route of a call.
    #[must_use]
    pub fn route(&self, host: &str, path: &[u8]) -> Option<&RouteEntry> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_bytes()))
    }

    /// The team of a key.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&TeamKey> {
        self.keys.get(key)
    }
}

impl RouteEntry {
    /// The service that a call goes to; `draw` is uniform over all numbers.
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

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Leaving,
}

/// When a process of an endpoint started, in ms since the Unix epoch; 0 where it does not say.
///
/// An endpoint may start again under its key. It then holds nothing of before, so whatever was
/// learned of the earlier process must not be believed of the later one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EndpointBirth(pub u64);

impl fmt::Display for EndpointBirth {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for EndpointBirth {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One process of an endpoint, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointLife {
    /// The endpoint.
    pub key: EndpointKey,
    /// When the process started.
    pub born: EndpointBirth,
}

impl EndpointLife {
    /// A number by which routers speak of it to each other.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.key.0.as_bytes(), self.born.0)
    }
}

/// One endpoint as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its name.
    pub key: EndpointKey,
    /// When it started.
    #[serde(default)]
    pub born: EndpointBirth,
    /// Its service.
    pub service: ServiceKey,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
}

impl EndpointEntry {
    /// The process that registered.
    #[must_use]
    pub fn life(&self) -> EndpointLife {
        EndpointLife {
            key: self.key.clone(),
            born: self.born,
        }
    }
}
