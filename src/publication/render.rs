//! Rendering of a validated document into the catalog that the fleet uses.

use std::collections::BTreeMap;

use crate::catalog::CallerLimits;
use crate::catalog::EndpointEntry;
use crate::catalog::FenceCheck;
use crate::catalog::FleetCatalog;
use crate::catalog::KindEntry;
use crate::catalog::PoolEntry;
use crate::catalog::PoolProtocol;
use crate::catalog::TeamEntry;
use crate::catalog::UrgencyClass;
use crate::units::ConfigRevision;
use crate::units::EndpointId;
use crate::units::EndpointName;
use crate::units::KindName;
use crate::units::PoolId;
use crate::units::ShareWeight;
use crate::units::SlotCount;
use crate::units::TeamId;
use crate::units::TeamName;
use crate::units::TimeSpan;

use super::document::EndpointDocument;
use super::document::FencingDocument;
use super::document::KindDocument;
use super::document::LimitsDocument;
use super::document::PoolDocument;
use super::document::ProtocolDocument;
use super::document::PublicationDocument;
use super::document::TeamDocument;
use super::document::TemplateDocument;
use super::document::UrgencyDocument;

/// Default total time of a request, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 600_000;
/// Default service-level objective: good answers per thousand.
const DEFAULT_OBJECTIVE_PER_MILLE: u16 = 990;

/// Renders a validated document. A team whose template does not exist is omitted; validation
/// refuses such a document before.
#[must_use]
pub fn render(revision: ConfigRevision, document: &PublicationDocument) -> FleetCatalog {
    let mut pools: BTreeMap<PoolId, PoolEntry> = document
        .pools
        .iter()
        .map(|(name, pool)| {
            let entry = PoolEntry {
                name: name.clone(),
                protocol: protocol(pool),
                endpoints: Vec::new(),
            };
            (PoolId::from(name), entry)
        })
        .collect();
    let endpoints: BTreeMap<EndpointId, EndpointEntry> = document
        .endpoints
        .iter()
        .map(|(name, source)| (EndpointId::from(name), endpoint(name, source)))
        .collect();
    for (id, entry) in &endpoints {
        for pool in &entry.pools {
            if let Some(pool) = pools.get_mut(pool) {
                pool.endpoints.push(*id);
            }
        }
    }
    let teams = document
        .teams
        .iter()
        .filter_map(|(name, source)| {
            let template = document.templates.get(&source.template)?;
            Some((TeamId::from(name), team(name, source, template)))
        })
        .collect();
    FleetCatalog {
        revision,
        teams,
        pools,
        endpoints,
        caller_limits: limits(&document.limits),
    }
}

/// Returns the kinds of a team: those of its template with the team's overrides applied.
#[must_use]
pub fn merged_kinds(
    team: &TeamDocument,
    template: &TemplateDocument,
) -> BTreeMap<KindName, KindDocument> {
    let mut kinds = template.kinds.clone();
    for (name, over) in &team.kinds {
        let kind = kinds.entry(name.clone()).or_default();
        *kind = overlay(kind, over);
    }
    kinds
}

fn overlay(base: &KindDocument, over: &KindDocument) -> KindDocument {
    KindDocument {
        urgency: over.urgency.or(base.urgency),
        unrepeatable: over.unrepeatable.or(base.unrepeatable),
        deadline_ms: over.deadline_ms.or(base.deadline_ms),
        goal_ms: over.goal_ms.or(base.goal_ms),
        objective_per_mille: over.objective_per_mille.or(base.objective_per_mille),
        method: over.method.clone().or_else(|| base.method.clone()),
        path_prefix: over
            .path_prefix
            .clone()
            .or_else(|| base.path_prefix.clone()),
    }
}

fn team(name: &TeamName, source: &TeamDocument, template: &TemplateDocument) -> TeamEntry {
    let default_kind = source.default_kind.as_ref();
    TeamEntry {
        name: name.clone(),
        share: ShareWeight(source.share.unwrap_or(template.share)),
        key_hashes: source
            .keys
            .iter()
            .filter_map(|key| parse_hash(key))
            .collect(),
        queue_limit: source.queue_limit.unwrap_or(template.queue_limit),
        kinds: merged_kinds(source, template)
            .iter()
            .map(|(name, kind)| (name.clone(), kind_entry(kind)))
            .collect(),
        default_kind: default_kind.unwrap_or(&template.default_kind).clone(),
    }
}

fn kind_entry(kind: &KindDocument) -> KindEntry {
    let deadline_ms = kind.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    KindEntry {
        urgency: match kind.urgency.unwrap_or(UrgencyDocument::Batch) {
            UrgencyDocument::Interactive => UrgencyClass::Interactive,
            UrgencyDocument::Batch => UrgencyClass::Batch,
        },
        unrepeatable: kind.unrepeatable.unwrap_or(false),
        deadline: TimeSpan::from_millis(deadline_ms),
        goal: TimeSpan::from_millis(kind.goal_ms.unwrap_or(deadline_ms)),
        objective_per_mille: kind
            .objective_per_mille
            .unwrap_or(DEFAULT_OBJECTIVE_PER_MILLE),
        method: kind.method.clone(),
        path_prefix: kind.path_prefix.clone(),
    }
}

/// Parses a hash of 64 hexadecimal digits; returns `None` for any other text.
#[must_use]
pub fn parse_hash(text: &str) -> Option<[u8; 32]> {
    let mut bytes = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    Some(bytes)
}

fn protocol(pool: &PoolDocument) -> PoolProtocol {
    match pool.protocol {
        ProtocolDocument::Engine => PoolProtocol::Engine,
        ProtocolDocument::Plain => PoolProtocol::Plain {
            prefix: pool.prefix.clone().unwrap_or_default(),
        },
    }
}

fn endpoint(name: &EndpointName, source: &EndpointDocument) -> EndpointEntry {
    EndpointEntry {
        name: name.clone(),
        address: source.address,
        pools: source.pools.iter().map(PoolId::from).collect(),
        domain: source.domain.clone(),
        slots: SlotCount(source.slots),
        fence_check: match source.fencing {
            FencingDocument::Checked => FenceCheck::Checked,
            FencingDocument::Ignored => FenceCheck::Ignored,
        },
        leaving: source.leaving,
    }
}

fn limits(source: &LimitsDocument) -> CallerLimits {
    CallerLimits {
        header_bytes: source.header_bytes,
        body_bytes: source.body_bytes,
        body_idle: TimeSpan::from_millis(source.body_idle_ms),
        answer_idle: TimeSpan::from_millis(source.answer_idle_ms),
    }
}
