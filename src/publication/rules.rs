//! Validation rules of a publication that its JSON schema can't express.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;

use serde_json::Value;
use smol_str::SmolStr;

use crate::document::DocumentFault;
use crate::units::EndpointId;
use crate::units::EndpointName;
use crate::units::KindName;
use crate::units::PoolId;
use crate::units::TeamId;

use super::document::EndpointDocument;
use super::document::KindDocument;
use super::document::PoolDocument;
use super::document::ProtocolDocument;
use super::document::PublicationDocument;
use super::document::TeamDocument;
use super::render::merged_kinds;

/// Path prefix reserved for the completion API of engine pools.
const ENGINE_PREFIX: &str = "/v1";

/// Names of all templates and pools in the document, including entries that do not match the
/// schema, so that a faulty template is not reported as an unknown template as well.
#[derive(Debug, Default)]
pub struct DeclaredNames {
    templates: BTreeSet<String>,
    pools: BTreeSet<String>,
}

impl DeclaredNames {
    /// Collects the names from a tree.
    #[must_use]
    pub fn of(tree: &Value) -> Self {
        let names = |section: &str| {
            let entries = tree.get(section).and_then(Value::as_object);
            entries
                .into_iter()
                .flat_map(|map| map.keys().cloned())
                .collect()
        };
        Self {
            templates: names("templates"),
            pools: names("pools"),
        }
    }
}

/// Checks a document against all rules and returns the faults.
#[must_use]
pub fn check(document: &PublicationDocument, declared: &DeclaredNames) -> Vec<DocumentFault> {
    let mut checker = RuleChecker {
        document,
        declared,
        faults: Vec::new(),
    };
    checker.templates();
    checker.teams();
    checker.keys();
    checker.pools();
    checker.endpoints();
    checker.ids();
    checker.faults
}

struct RuleChecker<'a> {
    document: &'a PublicationDocument,
    declared: &'a DeclaredNames,
    faults: Vec<DocumentFault>,
}

impl RuleChecker<'_> {
    fn fault(&mut self, path: impl Into<SmolStr>, message: impl Into<String>) {
        self.faults.push(DocumentFault::new(path, message));
    }

    fn templates(&mut self) {
        for (name, template) in &self.document.templates {
            let path = format!("templates.{name}");
            self.default_kind(&path, &template.default_kind, &template.kinds);
            for (kind, source) in &template.kinds {
                self.kind(&format!("{path}.kinds.{kind}"), source, source);
            }
        }
    }

    fn teams(&mut self) {
        for (name, team) in &self.document.teams {
            let path = format!("teams.{name}");
            match self.document.templates.get(&team.template) {
                Some(template) => {
                    let kinds = merged_kinds(team, template);
                    let default_kind = team.default_kind.as_ref();
                    let default_kind = default_kind.unwrap_or(&template.default_kind);
                    if team.default_kind.is_some() {
                        self.default_kind(&path, default_kind, &kinds);
                    }
                    self.team_kinds(&path, team, &kinds);
                }
                None if self.declared.templates.contains(team.template.as_str()) => {}
                None => {
                    let message = format!("names no template: \"{}\"", team.template);
                    self.fault(format!("{path}.template"), message);
                }
            }
        }
    }

    fn team_kinds(
        &mut self,
        path: &str,
        team: &TeamDocument,
        merged: &BTreeMap<KindName, KindDocument>,
    ) {
        for (kind, source) in &team.kinds {
            let merged_kind = merged.get(kind).unwrap_or(source);
            self.kind(&format!("{path}.kinds.{kind}"), source, merged_kind);
        }
    }

    fn default_kind(
        &mut self,
        path: &str,
        default_kind: &KindName,
        kinds: &BTreeMap<KindName, KindDocument>,
    ) {
        if !kinds.contains_key(default_kind) {
            let message = format!("names no kind: \"{default_kind}\"");
            self.fault(format!("{path}.default_kind"), message);
        }
    }

    /// Checks a kind. `source` is the kind as written at `path`; `merged_kind` also has the fields
    /// inherited from the template.
    fn kind(&mut self, path: &str, source: &KindDocument, merged_kind: &KindDocument) {
        if let (Some(goal), Some(deadline)) = (merged_kind.goal_ms, merged_kind.deadline_ms)
            && goal > deadline
        {
            let message = format!("is {goal}, after the deadline of {deadline}");
            self.fault(format!("{path}.goal_ms"), message);
        }
        if let Some(method) = &source.method
            && (method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()))
        {
            let message = format!("is \"{method}\"; use a method such as \"POST\"");
            self.fault(format!("{path}.method"), message);
        }
        if let Some(prefix) = &source.path_prefix
            && !prefix.starts_with('/')
        {
            let message = format!("is \"{prefix}\"; start it with a slash");
            self.fault(format!("{path}.path_prefix"), message);
        }
    }

    /// Checks that no two teams have the same key: they could not be distinguished, so one would be
    /// charged for the other.
    fn keys(&mut self) {
        let mut owners: BTreeMap<&str, String> = BTreeMap::new();
        for (name, team) in &self.document.teams {
            for (index, key) in team.keys.iter().enumerate() {
                let path = format!("teams.{name}.keys.{index}");
                if let Some(first) = owners.insert(key, path.clone()) {
                    self.fault(path, format!("is the same key as {first}"));
                }
            }
        }
    }

    fn pools(&mut self) {
        let mut prefixes: Vec<(SmolStr, String)> = vec![(ENGINE_PREFIX.into(), String::new())];
        for (name, pool) in &self.document.pools {
            let path = format!("pools.{name}.prefix");
            if let Some(prefix) = self.pool_prefix(&path, pool) {
                let clash = prefixes
                    .iter()
                    .find(|(other, _)| is_within(&prefix, other) || is_within(other, &prefix));
                if let Some((other, owner)) = clash {
                    let message = if owner.is_empty() {
                        format!("is \"{prefix}\"; {other} is for engine pools")
                    } else {
                        format!("is \"{prefix}\", which overlaps {owner}")
                    };
                    self.fault(path.clone(), message);
                }
                prefixes.push((prefix, path));
            }
        }
    }

    fn pool_prefix(&mut self, path: &str, pool: &PoolDocument) -> Option<SmolStr> {
        match (pool.protocol, &pool.prefix) {
            (ProtocolDocument::Engine, None) => None,
            (ProtocolDocument::Engine, Some(_)) => {
                self.fault(path, "is only for plain pools");
                None
            }
            (ProtocolDocument::Plain, None) => {
                self.fault(path, "is missing; a plain pool needs one");
                None
            }
            (ProtocolDocument::Plain, Some(prefix)) => {
                let fits = prefix.starts_with('/') && !prefix.ends_with('/');
                if !fits || prefix.contains(['?', '#', ' ']) || !prefix.is_ascii() {
                    let message = format!("is \"{prefix}\"; use a path such as \"/portal\"");
                    self.fault(path, message);
                    return None;
                }
                Some(prefix.clone())
            }
        }
    }

    fn endpoints(&mut self) {
        let mut addresses: BTreeMap<SocketAddr, &EndpointName> = BTreeMap::new();
        for (name, endpoint) in &self.document.endpoints {
            let path = format!("endpoints.{name}");
            // Two endpoints with one address would run twice the published slots there.
            if let Some(first) = addresses.insert(endpoint.address, name) {
                let message = format!("is {}, as for {first}", endpoint.address);
                self.fault(format!("{path}.address"), message);
            }
            if endpoint.address.port() == 0 || endpoint.address.ip().is_unspecified() {
                let message = format!("is {}, to which no router can connect", endpoint.address);
                self.fault(format!("{path}.address"), message);
            }
            self.endpoint_pools(&path, endpoint);
        }
    }

    fn endpoint_pools(&mut self, path: &str, endpoint: &EndpointDocument) {
        let mut seen = BTreeSet::new();
        for (index, pool) in endpoint.pools.iter().enumerate() {
            let path = format!("{path}.pools.{index}");
            if !seen.insert(pool) {
                self.fault(path.as_str(), format!("names \"{pool}\" twice"));
            }
            if !self.declared.pools.contains(pool.as_str()) {
                self.fault(path.as_str(), format!("names no pool: \"{pool}\""));
            }
            let source = self.document.pools.get(pool);
            let plain = source.is_some_and(|pool| pool.protocol == ProtocolDocument::Plain);
            if plain && endpoint.pools.len() > 1 {
                let message =
                    format!("\"{pool}\" is a plain pool; its endpoints can serve no other pool");
                self.fault(path, message);
            }
        }
    }

    /// Checks that ids are unique. On the wire, teams, pools and endpoints are identified by a hash
    /// of their names, so two names with the same hash would share an account or a lease.
    fn ids(&mut self) {
        let document = self.document;
        let teams = document
            .teams
            .keys()
            .map(|name| (TeamId::from(name).0, name));
        self.check_unique_ids("teams", teams);
        let pools = document
            .pools
            .keys()
            .map(|name| (PoolId::from(name).0, name));
        self.check_unique_ids("pools", pools);
        let endpoints = document.endpoints.keys();
        let endpoints = endpoints.map(|name| (EndpointId::from(name).0, name));
        self.check_unique_ids("endpoints", endpoints);
    }

    fn check_unique_ids<'a, Name: Display + 'a>(
        &mut self,
        section: &str,
        ids: impl Iterator<Item = (u32, &'a Name)>,
    ) {
        let mut first: BTreeMap<u32, &Name> = BTreeMap::new();
        for (id, name) in ids {
            if let Some(other) = first.insert(id, name) {
                let message = format!("has the same hash as \"{other}\"; choose another name");
                self.fault(format!("{section}.{name}"), message);
            }
        }
    }
}

/// Returns true if `path` is `prefix` or below it.
fn is_within(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
