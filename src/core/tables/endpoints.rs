//! Runtime state of endpoints, beyond what the publication says.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::PoolId;

/// A reason to poll an endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadWatcher {
    /// This router owns a pool of the endpoint.
    Owner,
    /// This router lost an attempt there and checks whether the endpoint crashed.
    CrashCheck,
    /// This router uses the endpoint and has not read its `life` yet.
    FirstLife,
}

/// Runtime state of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointState {
    /// The pool it serves according to its last load report; `None` before the first report.
    pub active: Option<PoolId>,
    /// True once the host list or a peer reported that this generation is leaving. Stays true for
    /// the generation.
    pub leaving: bool,
    /// True while the publication in force marks it as leaving.
    pub published_leaving: bool,
    /// Its generation, as given by the host list.
    pub generation: u64,
    /// Identifies the endpoint's process, from its last load report; 0 if unknown.
    pub life: u64,
    /// Highest fencing token that it has reported.
    pub fence: u64,
    /// Running requests of all routers, from its last load report.
    pub reported_running: u32,
    /// When it last reported.
    pub reported_at: Option<Moment>,
    /// Reasons for which this router polls its load.
    pub watchers: BTreeSet<LoadWatcher>,
    /// End of the backoff after a failed attempt; no new work is sent before.
    pub backoff_until: Moment,
    /// Number of consecutive failed attempts.
    pub failures: u32,
}

/// Runtime state of all known endpoints.
#[derive(Debug, Default)]
pub struct EndpointTable {
    rows: BTreeMap<EndpointId, EndpointState>,
}

impl EndpointTable {
    /// The row of an endpoint, created if missing.
    pub fn row(&mut self, endpoint: EndpointId) -> &mut EndpointState {
        self.rows.entry(endpoint).or_default()
    }

    /// The row of an endpoint, if any.
    #[must_use]
    pub fn get(&self, endpoint: EndpointId) -> Option<&EndpointState> {
        self.rows.get(&endpoint)
    }

    /// True if new work may be sent to the endpoint now.
    #[must_use]
    pub fn is_open(&self, endpoint: EndpointId, now: Moment) -> bool {
        self.rows
            .get(&endpoint)
            .is_none_or(|row| !row.leaving && !row.published_leaving && row.backoff_until <= now)
    }

    /// All endpoints in order of id.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, &EndpointState)> {
        self.rows.iter().map(|(endpoint, row)| (*endpoint, row))
    }
}
