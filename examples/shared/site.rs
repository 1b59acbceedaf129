//! Builds publications for the stand-ins.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

use verbenaturn::entry::catalog::key_hash_text;

use super::endpoint::EndpointRole;
use super::endpoint::StandinEndpoint;

/// Returns the API key of a team.
pub fn key_of(team: &str) -> String {
    format!("key-of-{team}")
}

/// Builder of a publication with stand-in endpoints and teams.
#[derive(Debug, Clone, Default)]
pub struct Site {
    teams: BTreeMap<String, u32>,
    endpoints: BTreeMap<String, Value>,
    pools: BTreeMap<String, Value>,
}

impl Site {
    /// Adds a team with its share.
    pub fn team(mut self, name: &str, share: u32) -> Self {
        self.teams.insert(name.to_owned(), share);
        self
    }

    /// Adds a stand-in endpoint under a name, published with `slots` slots.
    pub fn endpoint(mut self, name: &str, endpoint: &StandinEndpoint, slots: u32) -> Self {
        let (pool, entry) = match &endpoint.shared.role {
            EndpointRole::Engine { model, .. } => (model, json!({"protocol": "engine"})),
            EndpointRole::Plain { pool, .. } => (
                pool,
                json!({"protocol": "plain", "prefix": format!("/{pool}")}),
            ),
        };
        self.pools.insert(pool.clone(), entry);
        let entry = json!({
            "address": endpoint.address.to_string(),
            "pools": [pool],
            "domain": "suva-1",
            "slots": slots,
        });
        self.endpoints.insert(name.to_owned(), entry);
        self
    }

    /// Builds the publication. Every team has the kinds `review` (batch), `query` (interactive),
    /// `tag` (unrepeatable) and `log` (unrepeatable: `POST /portal/log`).
    pub fn publication(&self, revision: u64) -> Value {
        let teams: BTreeMap<_, _> = self
            .teams
            .iter()
            .map(|(name, share)| {
                let hash = key_hash_text(&key_of(name));
                let team = json!({"template": "clinic", "share": share, "keys": [hash]});
                (name, team)
            })
            .collect();
        json!({
            "revision": revision,
            "templates": {"clinic": {
                "share": 1,
                "queue_limit": 4096,
                "default_kind": "query",
                "kinds": {
                    "review": {"urgency": "batch"},
                    "query": {"urgency": "interactive", "deadline_ms": 60000},
                    "tag": {"urgency": "interactive", "unrepeatable": true, "deadline_ms": 60000},
                    "log": {
                        "urgency": "interactive", "unrepeatable": true, "deadline_ms": 60000,
                        "method": "POST", "path_prefix": "/portal/log",
                    },
                },
            }},
            "teams": teams,
            "pools": self.pools,
            "endpoints": self.endpoints,
        })
    }
}
