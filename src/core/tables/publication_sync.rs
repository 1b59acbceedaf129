//! Which revisions peers have, and how fresh the fleet's knowledge is.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::ConfigRevision;
use crate::units::HostName;
use crate::units::Moment;

/// Refused revisions that are remembered at most.
const REFUSED_MOST: usize = 32;

/// The question for a publication that is under way.
#[derive(Debug)]
pub struct PublicationFetch {
    /// The peer that was asked.
    pub host: HostName,
    /// The revision that it told.
    pub revision: ConfigRevision,
    /// When it was asked.
    pub asked_at: Moment,
}

/// What this router knows of the newest publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigKnowledge {
    /// No publication is known.
    Nothing,
    /// A peer has a newer one that is not here yet.
    Behind,
    /// The service has not answered anyone lately: there may be a newer one.
    Uncertain,
    /// The service answered lately and nobody has a newer one.
    Current,
}

/// Revisions of peers, the fetch under way, and when the service last answered.
#[derive(Debug, Default)]
pub struct PublicationSync {
    /// The revision that each connected peer told last.
    pub told: BTreeMap<HostName, ConfigRevision>,
    /// The question under way; never more than one.
    pub fetch: Option<PublicationFetch>,
    /// Revisions that were refused for their faults.
    pub refused: BTreeSet<ConfigRevision>,
    /// When the service last answered any router that this one knows of.
    pub service_seen: Option<Moment>,
    /// Whether this router watches the service, once decided.
    pub watching: Option<bool>,
    /// The member version for which that was decided.
    pub watch_version: u64,
    /// When this router started.
    pub started: Option<Moment>,
    /// True once a host list was read.
    pub listed: bool,
    /// True once it may serve. Stays so.
    pub ready: bool,
}

impl PublicationSync {
    /// Remembers that a revision was refused, so that it is not asked for again.
    pub fn refuse(&mut self, revision: ConfigRevision) {
        self.refused.insert(revision);
        while self.refused.len() > REFUSED_MOST {
            self.refused.pop_first();
        }
    }

    /// The peer with the highest revision above `current` that was not refused.
    #[must_use]
    pub fn best_source(&self, current: ConfigRevision) -> Option<(HostName, ConfigRevision)> {
        self.told
            .iter()
            .filter(|(_, told)| **told > current && !self.refused.contains(told))
            .max_by_key(|(_, told)| **told)
            .map(|(host, told)| (host.clone(), *told))
    }
}
