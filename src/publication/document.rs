//! What operators write and the sources publishes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::document::shape::ADDRESS_FORMAT;
use crate::document::shape::HASH_PATTERN;
use crate::units::DomainName;
use crate::units::EndpointName;
use crate::units::KindName;
use crate::units::PoolName;
use crate::units::TeamName;
use crate::units::TemplateName;

/// The published document: everything that all routers share.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PublicationDocument {
    /// Number of this edition. Needed in a file, where it must grow with each change; the
    /// configuration service counts its own revisions, and there it is ignored.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Limits that every router sets its callers.
    pub limits: LimitsDocument,
    /// Team templates, by name.
    pub templates: BTreeMap<TemplateName, TemplateDocument>,
    /// Teams, by name.
    pub teams: BTreeMap<TeamName, TeamDocument>,
    /// Pools, by name. The name of an engine pool is its model's.
    pub pools: BTreeMap<PoolName, PoolDocument>,
    /// Endpoints, by name.
    pub endpoints: BTreeMap<EndpointName, EndpointDocument>,
}

/// Limits that every router sets its callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsDocument {
    /// Largest request header, in bytes; a larger one is answered with 431.
    #[schemars(range(min = 1_024, max = 1_048_576))]
    pub header_bytes: u64,
    /// Largest request body, in bytes; a larger one is answered with 413.
    #[schemars(range(min = 1, max = 1_073_741_824))]
    pub body_bytes: u64,
    /// Longest pause within a request's header or body, in milliseconds; then 408.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub body_idle_ms: u64,
    /// Longest pause of a caller that reads its answer, in milliseconds; then its connection
    /// is closed.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub answer_idle_ms: u64,
}

impl Default for LimitsDocument {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 8_388_608,
            body_idle_ms: 10_000,
            answer_idle_ms: 60_000,
        }
    }
}

/// A template: what the teams that name it have in common.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TemplateDocument {
    /// Share of every pool, relative to the other teams' shares.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub share: u32,
    /// Requests that a team may have waiting at one router.
    #[serde(default = "default_queue_limit")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub queue_limit: u32,
    /// Kinds of requests, by name.
    pub kinds: BTreeMap<KindName, KindDocument>,
    /// The kind of a request that names none and matches none.
    pub default_kind: KindName,
}

/// Requests that a team may have waiting at one router, unless its template says otherwise.
const fn default_queue_limit() -> u32 {
    256
}

/// A team: a template and what differs from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamDocument {
    /// The template.
    pub template: TemplateName,
    /// SHA-256 hashes of the team's keys; two while a key rotates.
    #[schemars(length(min = 1, max = 4), inner(regex(pattern = HASH_PATTERN)))]
    pub keys: Vec<SmolStr>,
    /// Share in place of the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub share: Option<u32>,
    /// Queue limit in place of the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub queue_limit: Option<u32>,
    /// Default kind in place of the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_kind: Option<KindName>,
    /// Kinds besides the template's, or parts in place of the template's.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub kinds: BTreeMap<KindName, KindDocument>,
}

/// A kind of request. What a template leaves out has the default; what a team leaves out is the
/// template's.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct KindDocument {
    /// How quickly callers need the answer. Default: `batch`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub urgency: Option<UrgencyDocument>,
    /// True if a second execution does harm: at most one execution ever. Default: false.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unrepeatable: Option<bool>,
    /// How long a request may take in all, in milliseconds. Default: 600000.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 86_400_000))]
    pub deadline_ms: Option<u64>,
    /// An answer within this time counts as good, in milliseconds. Default: the deadline.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 86_400_000))]
    pub goal_ms: Option<u64>,
    /// Answers in a thousand that shall be good. Default: 990.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 999))]
    pub objective_per_mille: Option<u16>,
    /// Only requests with this method are of this kind. Default: any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<SmolStr>,
    /// Only requests whose path starts with this are of this kind. Default: any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<SmolStr>,
}

/// How quickly callers need an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum UrgencyDocument {
    /// Somebody waits at a screen.
    Interactive,
    /// A long job.
    Batch,
}

/// A pool: endpoints that can all run the same requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PoolDocument {
    /// What its endpoints speak.
    pub protocol: ProtocolDocument,
    /// Path prefix of a plain service, with leading and without trailing slash.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<SmolStr>,
}

/// What a pool's endpoints speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum ProtocolDocument {
    /// Model engines with the published completion API.
    Engine,
    /// Any method and path under a prefix.
    Plain,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EndpointDocument {
    /// IP number and port.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub address: SocketAddr,
    /// The pools it can serve; the first is the one it serves until an order changes that.
    #[schemars(length(min = 1))]
    pub pools: Vec<PoolName>,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once within its latency goals.
    #[schemars(range(min = 1, max = 100_000))]
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: FencingDocument,
    /// True once it shall get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Whether an endpoint refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum FencingDocument {
    /// It refuses them.
    Checked,
    /// It ignores the number.
    #[default]
    Ignored,
}
