//! The endpoints registered in the store, as followed by a reader, that is, a router that reads the
//! store itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::endpoint_list::RegisteredEndpoints;
use super::follow::StoreRevision;
use super::routes::EndpointEntry;
use super::routes::EndpointKey;
use super::routes::ProcessStartTime;

/// Time for which the start time of a removed endpoint is remembered. Writes of its former process
/// can arrive late by as long as a store delays calls, a few seconds.
const START_TIME_MEMORY: TimeSpan = TimeSpan::from_millis(30_000);

/// The registered endpoints as this router reads them from the store. Unlike
/// [`EndpointList`](super::endpoint_list::EndpointList), it has no kept endpoints, and it remembers
/// the start times of removed ones.
#[derive(Debug, Default)]
pub struct EndpointView {
    registered: BTreeMap<EndpointKey, EndpointEntry>,
    unusable: BTreeSet<EndpointKey>,
    /// The latest start time of each removed endpoint, and when it was removed.
    gone: BTreeMap<EndpointKey, (ProcessStartTime, Moment)>,
}

impl EndpointView {
    /// Records that an endpoint registered or changed its entry.
    ///
    /// Guards against late writes of a process that has ended: they would restore its entry in
    /// place of its successor's, or mark the successor as leaving. An entry without a start time is
    /// taken for one of the known process: it may say that the process leaves.
    pub fn put(&mut self, now: Moment, mut entry: EndpointEntry) {
        self.unusable.remove(&entry.key);
        let latest = self.latest_start_time(now, &entry.key);
        if entry.born == ProcessStartTime::default() {
            entry.born = latest;
        }
        if latest > entry.born {
            let (key, born) = (&entry.key, entry.born);
            spdlog::info!("store: key={key} born={born} ignored: a later process has started");
            return;
        }
        self.gone.remove(&entry.key);
        self.registered.insert(entry.key.clone(), entry);
    }

    fn latest_start_time(&self, now: Moment, key: &EndpointKey) -> ProcessStartTime {
        let known = self.registered.get(key);
        let gone = self.gone.get(key);
        let gone = gone.filter(|(_, at)| now.since(*at) < START_TIME_MEMORY);
        let known = known.map(|entry| entry.born);
        known.max(gone.map(|(born, _)| *born)).unwrap_or_default()
    }

    /// Records that an endpoint is no longer registered.
    pub fn remove(&mut self, now: Moment, key: &EndpointKey) {
        self.unusable.remove(key);
        let Some(entry) = self.registered.remove(key) else {
            return;
        };
        spdlog::info!("store: key={key} no longer registered");
        self.gone
            .retain(|_, (_, at)| now.since(*at) < START_TIME_MEMORY);
        self.gone.insert(key.clone(), (entry.born, now));
    }

    /// Records that an endpoint's entry no longer describes a usable endpoint.
    pub fn discard(&mut self, key: &EndpointKey) {
        self.registered.remove(key);
        self.unusable.insert(key.clone());
    }

    /// Replaces the known registrations by the registered endpoints of the list in force. While
    /// this router could not read the store, other routers may have sent it newer lists than what
    /// it last read itself.
    pub fn reset_to(&mut self, in_force: BTreeMap<EndpointKey, EndpointEntry>) {
        self.registered = in_force;
        self.unusable.clear();
    }

    /// Applies a complete list of registrations.
    pub fn replace(&mut self, now: Moment, registered: BTreeMap<EndpointKey, EndpointEntry>) {
        let missing: Vec<EndpointKey> = self
            .registered
            .keys()
            .filter(|key| !registered.contains_key(*key))
            .cloned()
            .collect();
        for key in missing {
            self.remove(now, &key);
        }
        for entry in registered.into_values() {
            self.put(now, entry);
        }
    }

    /// Returns the content of the store's endpoint section at revision `as_of`.
    #[must_use]
    pub fn at(&self, as_of: StoreRevision) -> RegisteredEndpoints {
        RegisteredEndpoints {
            entries: self.registered.clone(),
            unusable: self.unusable.clone(),
            as_of,
        }
    }
}
