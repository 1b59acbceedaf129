//! A rendered publication in readable form, with names instead of ids and with templates and
//! defaults applied, and the differences between two publications.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;

use crate::catalog::EndpointEntry;
use crate::catalog::FenceCheck;
use crate::catalog::FleetCatalog;
use crate::catalog::KindEntry;
use crate::catalog::PoolEntry;
use crate::catalog::PoolProtocol;
use crate::catalog::TeamEntry;
use crate::catalog::UrgencyClass;
use crate::document::fault::join;
use crate::units::DomainName;
use crate::units::EndpointName;
use crate::units::KindName;
use crate::units::PoolName;
use crate::units::TeamName;

use super::document::LimitsDocument;

/// A rendered publication, with names instead of ids.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RenderedPublication {
    /// Limits on callers at every router.
    pub limits: LimitsDocument,
    /// Teams, by name.
    pub teams: BTreeMap<TeamName, RenderedTeam>,
    /// Pools, by name.
    pub pools: BTreeMap<PoolName, RenderedPool>,
    /// Endpoints, by name.
    pub endpoints: BTreeMap<EndpointName, RenderedEndpoint>,
}

/// A rendered team.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RenderedTeam {
    /// Its share of every pool.
    pub share: u32,
    /// Maximum number of its waiting requests at one router.
    pub queue_limit: u32,
    /// The first eight hexadecimal digits of its API keys' hashes.
    pub keys: Vec<String>,
    /// The kind of a request that names no kind and matches none.
    pub default_kind: KindName,
    /// Its kinds of requests, by name.
    pub kinds: BTreeMap<KindName, RenderedKind>,
}

/// A rendered kind of request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RenderedKind {
    /// `interactive` or `batch`.
    pub urgency: &'static str,
    /// True if a request must be executed at most once because a second execution does harm.
    pub unrepeatable: bool,
    /// Maximum total time of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Latency goal in milliseconds: an answer within this time counts as good.
    pub goal_ms: u64,
    /// Service-level objective: target share of good answers per thousand.
    pub objective_per_mille: u16,
    /// If set, only requests with this method are of this kind.
    pub method: Option<SmolStr>,
    /// If set, only requests whose path starts with this prefix are of this kind.
    pub path_prefix: Option<SmolStr>,
}

/// A rendered pool.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RenderedPool {
    /// `engine` or `plain`.
    pub protocol: &'static str,
    /// Path prefix of a plain service.
    pub prefix: Option<SmolStr>,
    /// Total slots of its endpoints that are not leaving.
    pub slots: u64,
}

/// A rendered endpoint.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RenderedEndpoint {
    /// IP number and port.
    pub address: SocketAddr,
    /// The pools that it can serve.
    pub pools: Vec<PoolName>,
    /// Its failure domain.
    pub domain: DomainName,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// `checked` or `ignored`.
    pub fencing: &'static str,
    /// True if it gets no new work.
    pub leaving: bool,
}

impl RenderedPublication {
    /// Converts a catalog, replacing ids by names.
    #[must_use]
    pub fn of(catalog: &FleetCatalog) -> Self {
        let limits = &catalog.caller_limits;
        Self {
            limits: LimitsDocument {
                header_bytes: limits.header_bytes,
                body_bytes: limits.body_bytes,
                body_idle_ms: limits.body_idle.as_millis(),
                answer_idle_ms: limits.answer_idle.as_millis(),
            },
            teams: catalog
                .teams
                .values()
                .map(|entry| (entry.name.clone(), team(entry)))
                .collect(),
            pools: catalog
                .pools
                .values()
                .map(|entry| (entry.name.clone(), pool(catalog, entry)))
                .collect(),
            endpoints: catalog
                .endpoints
                .values()
                .map(|entry| (entry.name.clone(), endpoint(catalog, entry)))
                .collect(),
        }
    }
}

fn team(entry: &TeamEntry) -> RenderedTeam {
    RenderedTeam {
        share: entry.share.0,
        queue_limit: entry.queue_limit,
        keys: entry.key_hashes.iter().map(hash_prefix).collect(),
        default_kind: entry.default_kind.clone(),
        kinds: entry
            .kinds
            .iter()
            .map(|(name, entry)| (name.clone(), kind(entry)))
            .collect(),
    }
}

fn hash_prefix(hash: &[u8; 32]) -> String {
    let mut text = String::new();
    for byte in &hash[..4] {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn kind(entry: &KindEntry) -> RenderedKind {
    RenderedKind {
        urgency: match entry.urgency {
            UrgencyClass::Interactive => "interactive",
            UrgencyClass::Batch => "batch",
        },
        unrepeatable: entry.unrepeatable,
        deadline_ms: entry.deadline.as_millis(),
        goal_ms: entry.goal.as_millis(),
        objective_per_mille: entry.objective_per_mille,
        method: entry.method.clone(),
        path_prefix: entry.path_prefix.clone(),
    }
}

fn pool(catalog: &FleetCatalog, entry: &PoolEntry) -> RenderedPool {
    let endpoints = entry.endpoints.iter();
    let staying = endpoints
        .filter_map(|id| catalog.endpoints.get(id))
        .filter(|endpoint| !endpoint.leaving);
    let slots = staying.map(|endpoint| u64::from(endpoint.slots.0)).sum();
    match &entry.protocol {
        PoolProtocol::Engine => RenderedPool {
            protocol: "engine",
            prefix: None,
            slots,
        },
        PoolProtocol::Plain { prefix } => RenderedPool {
            protocol: "plain",
            prefix: Some(prefix.clone()),
            slots,
        },
    }
}

fn endpoint(catalog: &FleetCatalog, entry: &EndpointEntry) -> RenderedEndpoint {
    let pools = entry.pools.iter();
    RenderedEndpoint {
        address: entry.address,
        pools: pools
            .filter_map(|id| Some(catalog.pools.get(id)?.name.clone()))
            .collect(),
        domain: entry.domain.clone(),
        slots: entry.slots.0,
        fencing: match entry.fence_check {
            FenceCheck::Checked => "checked",
            FenceCheck::Ignored => "ignored",
        },
        leaving: entry.leaving,
    }
}

/// A difference between two rendered publications.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PublicationChange {
    /// Path of the changed value, such as `teams.nadi-clinic.share`.
    pub path: String,
    /// Value before the change; `None` if it is added.
    pub before: Option<Value>,
    /// Value after the change; `None` if it is removed.
    pub after: Option<Value>,
}

/// Returns the differences between two publications, sorted by path.
#[must_use]
pub fn changes(
    before: &RenderedPublication,
    after: &RenderedPublication,
) -> Vec<PublicationChange> {
    let mut changes = Vec::new();
    compare(
        String::new(),
        serde_json::to_value(before).ok(),
        serde_json::to_value(after).ok(),
        &mut changes,
    );
    changes
}

fn compare_parts(
    path: &str,
    mut before: Map<String, Value>,
    mut after: Map<String, Value>,
    changes: &mut Vec<PublicationChange>,
) {
    let keys: BTreeSet<String> = before.keys().chain(after.keys()).cloned().collect();
    for key in keys {
        let parts = (before.remove(&key), after.remove(&key));
        compare(join(path, &key), parts.0, parts.1, changes);
    }
}

fn compare(
    path: String,
    before: Option<Value>,
    after: Option<Value>,
    changes: &mut Vec<PublicationChange>,
) {
    match (before, after) {
        (before, after) if before == after => {}
        (Some(Value::Object(before)), Some(Value::Object(after))) => {
            compare_parts(&path, before, after, changes);
        }
        (Some(Value::Object(before)), None) => {
            compare_parts(&path, before, Map::new(), changes);
        }
        (None, Some(Value::Object(after))) => {
            compare_parts(&path, Map::new(), after, changes);
        }
        (None, Some(Value::Null)) | (Some(Value::Null), None) => {}
        (before, after) => changes.push(PublicationChange {
            path,
            before,
            after,
        }),
    }
}
