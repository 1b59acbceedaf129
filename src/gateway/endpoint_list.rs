//! The endpoints that a router uses: those that are registered at a revision of the store, and
//! those that it keeps for a grace period after their registration lapsed.
//!
//! Load pattern: a fleet in which a few routers read the store and the others fetch the result from
//! them. The set of registered endpoints is a function of the revision alone, so routers only need
//! to compare revisions. The set of kept endpoints depends on when a router lost and regained the
//! store, so it is not part of what a revision identifies: each kept endpoint carries its own
//! expiry, which is passed from router to router and applied where endpoints are chosen.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::follow::StoreRevision;
use super::routes::EndpointEntry;
use super::routes::EndpointKey;
use super::routes::EndpointState;

/// The content of the store's endpoint section at a revision, as
/// [`EndpointView`](super::endpoint_view::EndpointView) passes it to an [`EndpointList`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RegisteredEndpoints {
    /// The registered endpoints.
    pub entries: BTreeMap<EndpointKey, EndpointEntry>,
    /// Keys whose entries don't describe a usable endpoint.
    pub unusable: BTreeSet<EndpointKey>,
    /// The store's revision.
    pub as_of: StoreRevision,
}

/// An endpoint that is used although it is no longer registered.
#[derive(Debug, Clone, PartialEq)]
pub struct KeptEndpoint {
    /// Its last registered entry.
    pub entry: EndpointEntry,
    /// When its use ends.
    pub until: Moment,
}

/// A kept endpoint as one router sends it to another, whose clock differs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeptEndpointMessage {
    /// Its last registered entry.
    pub entry: EndpointEntry,
    /// Remaining time of its use, in ms.
    pub left_ms: u64,
}

/// The endpoint list as one router sends it to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointListMessage {
    /// The registered endpoints.
    pub entries: BTreeMap<EndpointKey, EndpointEntry>,
    /// The kept endpoints.
    #[serde(default)]
    pub kept: BTreeMap<EndpointKey, KeptEndpointMessage>,
    /// The store's revision of the registered endpoints.
    pub revision: u64,
}

/// The endpoints that a router uses: the registered ones, read from the store or received from
/// another router, and the kept ones.
///
/// Guards against a store that loses registrations during its own outage: all entries lapse at once
/// although the endpoints work, and are registered again within about two seconds of the store's
/// return. Until then the endpoints are used as before; one that is still missing afterwards is
/// gone.
#[derive(Debug, Clone, Default)]
pub struct EndpointList {
    registered: BTreeMap<EndpointKey, EndpointEntry>,
    kept: BTreeMap<EndpointKey, KeptEndpoint>,
    as_of: StoreRevision,
    /// Until when a removal counts as a registration that lapsed during an outage of the store.
    lapse_window_end: Moment,
}

impl EndpointList {
    /// Returns the store's revision of the registered endpoints.
    #[must_use]
    pub fn as_of(&self) -> StoreRevision {
        self.as_of
    }

    /// Returns the registered endpoints.
    #[must_use]
    pub fn registered(&self) -> &BTreeMap<EndpointKey, EndpointEntry> {
        &self.registered
    }

    /// Returns the kept endpoints.
    #[must_use]
    pub fn kept(&self) -> &BTreeMap<EndpointKey, KeptEndpoint> {
        &self.kept
    }

    /// Returns all endpoints in use, registered and kept.
    #[must_use]
    pub fn used(&self) -> BTreeMap<EndpointKey, EndpointEntry> {
        let kept = self.kept.iter();
        let mut used: BTreeMap<EndpointKey, EndpointEntry> = kept
            .map(|(key, kept)| (key.clone(), kept.entry.clone()))
            .collect();
        used.extend(self.registered.clone());
        used
    }

    /// Records that the store came back at `returned` after an outage for all routers. Endpoints
    /// that are missing from it are kept until `grace` has passed since then.
    pub fn store_returned(&mut self, returned: Moment, grace: TimeSpan) {
        self.lapse_window_end = self.lapse_window_end.max(returned + grace);
    }

    /// Applies the store's content. Returns false if it is older than the list.
    pub fn apply_store_content(&mut self, now: Moment, content: RegisteredEndpoints) -> bool {
        let RegisteredEndpoints {
            entries,
            unusable,
            as_of,
        } = content;
        if as_of < self.as_of {
            return false;
        }
        let before = self.replace(entries, as_of);
        if now < self.lapse_window_end {
            for (key, entry) in before {
                let until = self.lapse_window_end;
                self.kept
                    .entry(key)
                    .or_insert(KeptEndpoint { entry, until });
            }
        }
        // An unusable entry is still in the store, so the endpoint's registration did not lapse.
        self.kept.retain(|key, _| !unusable.contains(key));
        self.prune_kept(now);
        true
    }

    /// Applies the list of another router, requested at `asked`. Returns false if it is older than
    /// this list.
    pub fn apply_peer_list(
        &mut self,
        now: Moment,
        asked: Moment,
        content: EndpointListMessage,
    ) -> bool {
        let as_of = StoreRevision(content.revision);
        if as_of < self.as_of {
            return false;
        }
        let is_first = self.as_of == StoreRevision::default();
        let before = self.replace(content.entries, as_of);
        for (key, KeptEndpointMessage { entry, left_ms }) in content.kept {
            // This router knows that the endpoint left if it used it no more before this list.
            if !is_first && !before.contains_key(&key) && !self.kept.contains_key(&key) {
                continue;
            }
            // Counting from the request makes the expiry early by at most the duration of the
            // exchange, and never late.
            let until = asked + TimeSpan::from_millis(left_ms);
            self.kept
                .entry(key)
                .or_insert(KeptEndpoint { entry, until });
        }
        self.prune_kept(now);
        true
    }

    /// Returns the list to send to another router.
    #[must_use]
    pub fn to_message(&self, now: Moment) -> EndpointListMessage {
        let kept = self.kept.iter().map(|(key, kept)| {
            let content = KeptEndpointMessage {
                entry: kept.entry.clone(),
                left_ms: kept.until.since(now).as_millis(),
            };
            (key.clone(), content)
        });
        EndpointListMessage {
            entries: self.registered.clone(),
            kept: kept.collect(),
            revision: self.as_of.0,
        }
    }

    /// Drops kept endpoints that have expired and returns their keys.
    pub fn expire_kept(&mut self, now: Moment) -> Vec<EndpointKey> {
        let over = self.kept.extract_if(.., |_, kept| kept.until <= now);
        over.map(|(key, _)| key).collect()
    }

    /// Replaces the registered endpoints and returns those that are no longer registered.
    ///
    /// Guards against an outdated entry from a peer. A late write of an endpoint's former process
    /// may replace the current entry in the store; a peer that did not know the current process
    /// accepts it. An entry is therefore never replaced by one with an earlier start.
    fn replace(
        &mut self,
        entries: BTreeMap<EndpointKey, EndpointEntry>,
        as_of: StoreRevision,
    ) -> BTreeMap<EndpointKey, EndpointEntry> {
        let was_restored = as_of.era() > self.as_of.era();
        let mut before = std::mem::replace(&mut self.registered, entries);
        for (key, entry) in &mut self.registered {
            let Some(known) = before.remove(key) else {
                continue;
            };
            let is_same = entry.born == known.born;
            if entry.born < known.born {
                *entry = known;
            } else if was_restored && is_same && known.state == EndpointState::Leaving {
                // The restored copy may be older than the endpoint's word; a process that leaves
                // never takes work again.
                entry.state = EndpointState::Leaving;
            }
        }
        self.as_of = as_of;
        before
    }

    /// Drops kept endpoints that are registered again or have expired.
    fn prune_kept(&mut self, now: Moment) {
        let registered = &self.registered;
        self.kept
            .retain(|key, kept| kept.until > now && !registered.contains_key(key));
    }

    /// Returns the summary of the list for a log line.
    #[must_use]
    pub fn summary(&self, now: Moment) -> ListSummary {
        let ends = self.kept.values().map(|kept| kept.until);
        ListSummary {
            endpoints: self.registered.len() + self.kept.len(),
            kept: self.kept.len(),
            kept_for: ends.max().map_or(TimeSpan(0), |until| until.since(now)),
            as_of: self.as_of,
        }
    }
}

/// Summary of an endpoint list for a log line.
#[derive(Debug)]
pub struct ListSummary {
    endpoints: usize,
    kept: usize,
    kept_for: TimeSpan,
    as_of: StoreRevision,
}

impl fmt::Display for ListSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "endpoints={} revision={} kept={} kept_ms={}",
            self.endpoints,
            self.as_of,
            self.kept,
            self.kept_for.as_millis()
        )
    }
}
