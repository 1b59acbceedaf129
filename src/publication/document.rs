//! Types of the published document, as operators write it.

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

/// The published document: configuration that all routers share.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PublicationDocument {
    /// Revision number. Required in a file, where it must increase with each change. Ignored with
    /// the configuration service, which numbers revisions itself.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Limits on callers at every router.
    pub limits: LimitsDocument,
    /// Team templates, by name.
    pub templates: BTreeMap<TemplateName, TemplateDocument>,
    /// Teams, by name.
    pub teams: BTreeMap<TeamName, TeamDocument>,
    /// Pools, by name. The name of an engine pool is the name of its model.
    pub pools: BTreeMap<PoolName, PoolDocument>,
    /// Endpoints, by name.
    pub endpoints: BTreeMap<EndpointName, EndpointDocument>,
}

/// Limits on callers at every router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsDocument {
    /// Maximum request header size, in bytes; a larger one is answered with 431.
    #[schemars(range(min = 1_024, max = 1_048_576))]
    pub header_bytes: u64,
    /// Maximum request body size, in bytes; a larger one is answered with 413.
    #[schemars(range(min = 1, max = 1_073_741_824))]
    pub body_bytes: u64,
    /// Maximum pause within a request's header or body, in milliseconds; a longer one is answered
    /// with 408.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub body_idle_ms: u64,
    /// Maximum pause of a caller while it reads its answer, in milliseconds; after a longer one
    /// its connection is closed.
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

/// A template: settings shared by the teams that refer to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TemplateDocument {
    /// Share of every pool, relative to the other teams' shares.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub share: u32,
    /// Maximum number of a team's waiting requests at one router.
    #[serde(default = "default_queue_limit")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub queue_limit: u32,
    /// Kinds of requests, by name.
    pub kinds: BTreeMap<KindName, KindDocument>,
    /// The kind of a request that names no kind and matches none.
    pub default_kind: KindName,
}

/// Default of `queue_limit` in a template, in requests.
const fn default_queue_limit() -> u32 {
    256
}

/// A team: a template and overrides of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamDocument {
    /// Name of its template.
    pub template: TemplateName,
    /// SHA-256 hashes of the team's API keys; two during a key rotation.
    #[schemars(length(min = 1, max = 4), inner(regex(pattern = HASH_PATTERN)))]
    pub keys: Vec<SmolStr>,
    /// Overrides the template's share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub share: Option<u32>,
    /// Overrides the template's queue limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub queue_limit: Option<u32>,
    /// Overrides the template's default kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_kind: Option<KindName>,
    /// Additional kinds, and overrides of single fields of the template's kinds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub kinds: BTreeMap<KindName, KindDocument>,
}

/// A kind of request. A field that a template omits has its default; a field that a team omits is
/// inherited from the template.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct KindDocument {
    /// Urgency of the requests. Default: `batch`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub urgency: Option<UrgencyDocument>,
    /// True if a request must be executed at most once because a second execution does harm.
    /// Default: false.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unrepeatable: Option<bool>,
    /// Maximum total time of a request, in milliseconds. Default: 600000.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 86_400_000))]
    pub deadline_ms: Option<u64>,
    /// Latency goal in milliseconds: an answer within this time counts as good. Default: the
    /// deadline.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 86_400_000))]
    pub goal_ms: Option<u64>,
    /// Service-level objective: target share of good answers per thousand. Default: 990.
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

/// Urgency of a kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum UrgencyDocument {
    /// A person waits for the answer.
    Interactive,
    /// A long job.
    Batch,
}

/// A pool: endpoints that can all run the same requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PoolDocument {
    /// Protocol of its endpoints.
    pub protocol: ProtocolDocument,
    /// Path prefix of a plain service, with a leading slash and without a trailing one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<SmolStr>,
}

/// Protocol of a pool's endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum ProtocolDocument {
    /// Model engines with the public completion API.
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
    /// The pools that it can serve; it serves the first until an order changes that.
    #[schemars(length(min = 1))]
    pub pools: Vec<PoolName>,
    /// Its failure domain.
    pub domain: DomainName,
    /// Maximum number of requests that it runs concurrently within its latency goals.
    #[schemars(range(min = 1, max = 100_000))]
    pub slots: u32,
    /// `checked` if it rejects orders with an old fencing number, else `ignored`.
    #[serde(default)]
    pub fencing: FencingDocument,
    /// True if it must get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Defines whether an endpoint rejects orders with an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum FencingDocument {
    /// It rejects them.
    Checked,
    /// It ignores the number.
    #[default]
    Ignored,
}
