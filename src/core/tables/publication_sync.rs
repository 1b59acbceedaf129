//! Publication revisions of peers, and how recently the configuration service was read.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::ConfigRevision;
use crate::units::HostName;
use crate::units::Moment;

/// Maximum number of refused revisions, those with an invalid publication, that are remembered.
const MAX_REFUSED_REVISIONS: usize = 32;

/// A fetch of a publication from a peer that is in progress.
#[derive(Debug)]
pub struct PublicationFetch {
    /// The peer it is fetched from.
    pub host: HostName,
    /// The revision that the peer announced or sent.
    pub revision: ConfigRevision,
    /// When the request was sent.
    pub requested_at: Moment,
}

/// How up to date this router's publication is known to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigKnowledge {
    /// The router has no publication.
    Nothing,
    /// A peer has a newer publication that this router has not adopted yet.
    Behind,
    /// No known router got an answer from the configuration service recently, so a newer
    /// publication may exist.
    Uncertain,
    /// The service answered recently and no peer has a newer publication.
    Current,
}

/// Revisions of peers, the fetch in progress, and when the configuration service last answered.
#[derive(Debug, Default)]
pub struct PublicationSync {
    /// The revision that each connected peer last announced.
    pub peer_revisions: BTreeMap<HostName, ConfigRevision>,
    /// The fetch in progress; at most one at a time.
    pub fetch: Option<PublicationFetch>,
    /// Revisions that were rejected as invalid.
    pub refused: BTreeSet<ConfigRevision>,
    /// When the configuration service last answered this router or, as known from gossip, another.
    pub service_seen: Option<Moment>,
    /// Whether this router watches the configuration service; `None` before the first decision.
    pub watching: Option<bool>,
    /// Version of the member table for which `watching` was decided.
    pub watch_version: u64,
    /// When this router started.
    pub started: Option<Moment>,
    /// True once a host list was received.
    pub listed: bool,
    /// True once this router may serve requests; never reset.
    pub ready: bool,
}

impl PublicationSync {
    /// Records a rejected revision so that it is not fetched again.
    pub fn refuse(&mut self, revision: ConfigRevision) {
        self.refused.insert(revision);
        while self.refused.len() > MAX_REFUSED_REVISIONS {
            self.refused.pop_first();
        }
    }

    /// The peer with the highest revision above `current` that was not rejected.
    #[must_use]
    pub fn newest_peer_revision(
        &self,
        current: ConfigRevision,
    ) -> Option<(HostName, ConfigRevision)> {
        self.peer_revisions
            .iter()
            .filter(|(_, revision)| **revision > current && !self.refused.contains(revision))
            .max_by_key(|(_, revision)| **revision)
            .map(|(host, revision)| (host.clone(), *revision))
    }
}
