//! What this router knows of endpoints beyond the publication.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::PoolId;

/// A system that needs an endpoint's load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadWatcher {
    /// The owner of a pool of the endpoint.
    Owner,
    /// A router that lost an attempt there and wants to know whether the endpoint crashed.
    CrashCheck,
    /// A router that uses the endpoint and does not know yet which life of it.
    FirstLife,
}

/// One endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointState {
    /// The pool it serves now, once it has said so.
    pub active: Option<PoolId>,
    /// True once anybody said that this generation leaves. Never goes back to false for it.
    pub leaving: bool,
    /// True while the publication in force says that it leaves.
    pub published_leaving: bool,
    /// The generation that the host list gave.
    pub generation: u64,
    /// Its life, from its last load report.
    pub life: u64,
    /// Highest fencing number that it said it obeyed.
    pub fence: u64,
    /// Requests of all routers that it said it runs.
    pub reported_running: u32,
    /// When it last reported.
    pub reported_at: Option<Moment>,
    /// Who reads its load.
    pub watchers: BTreeSet<LoadWatcher>,
    /// No new work before this moment, after a failure to connect.
    pub rest_until: Moment,
    /// Failures to connect in a row.
    pub failures: u32,
}

/// All endpoints that were heard of.
#[derive(Debug, Default)]
pub struct EndpointTable {
    rows: BTreeMap<EndpointId, EndpointState>,
}

impl EndpointTable {
    /// The row of an endpoint, made if new.
    pub fn row(&mut self, endpoint: EndpointId) -> &mut EndpointState {
        self.rows.entry(endpoint).or_default()
    }

    /// The row of an endpoint, if any.
    #[must_use]
    pub fn get(&self, endpoint: EndpointId) -> Option<&EndpointState> {
        self.rows.get(&endpoint)
    }

    /// True if the endpoint may be given new work now.
    #[must_use]
    pub fn is_open(&self, endpoint: EndpointId, now: Moment) -> bool {
        self.rows
            .get(&endpoint)
            .is_none_or(|row| !row.leaving && !row.published_leaving && row.rest_until <= now)
    }

    /// All rows in id order.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, &EndpointState)> {
        self.rows.iter().map(|(endpoint, row)| (*endpoint, row))
    }
}
