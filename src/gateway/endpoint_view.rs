//! What the store registers of endpoints, as one reader follows it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::endpoint_list::RegisteredEndpoints;
use super::follow::StoreRevision;
use super::routes::EndpointBirth;
use super::routes::EndpointEntry;
use super::routes::EndpointKey;

/// Time for which the start of an endpoint that is gone is remembered. What its former process
/// wrote can come late by as much as a store holds calls back, a few seconds.
const BIRTH_MEMORY: TimeSpan = TimeSpan::from_millis(30_000);

/// Endpoints as the store registers them.
#[derive(Debug, Default)]
pub struct EndpointView {
    registered: BTreeMap<EndpointKey, EndpointEntry>,
    unusable: BTreeSet<EndpointKey>,
    /// The latest start of each endpoint that is gone, and when it went.
    gone: BTreeMap<EndpointKey, (EndpointBirth, Moment)>,
}

impl EndpointView {
    /// An endpoint registered, or changed.
    ///
    /// Guards against the last words of a process that has ended: written late, they would bring
    /// it back in the place of the one that started after it, or mark that one as leaving.
    pub fn put(&mut self, now: Moment, entry: EndpointEntry) {
        self.unusable.remove(&entry.key);
        if self.latest_birth(now, &entry.key) > entry.born {
            let (key, born) = (&entry.key, entry.born);
            spdlog::info!("store: key={key} born={born} ignored, it has started again since");
            return;
        }
        self.gone.remove(&entry.key);
        self.registered.insert(entry.key.clone(), entry);
    }

    fn latest_birth(&self, now: Moment, key: &EndpointKey) -> EndpointBirth {
        let known = self.registered.get(key);
        let gone = self.gone.get(key);
        let gone = gone.filter(|(_, at)| now.since(*at) < BIRTH_MEMORY);
        let known = known.map(|entry| entry.born);
        known.max(gone.map(|(born, _)| *born)).unwrap_or_default()
    }

    /// An endpoint is no longer registered.
    pub fn remove(&mut self, now: Moment, key: &EndpointKey) {
        self.unusable.remove(key);
        let Some(entry) = self.registered.remove(key) else {
            return;
        };
        spdlog::info!("store: key={key} no longer registered");
        self.gone.retain(|_, (_, at)| now.since(*at) < BIRTH_MEMORY);
        self.gone.insert(key.clone(), (entry.born, now));
    }

    /// An endpoint's entry names nothing to use any more.
    pub fn discard(&mut self, key: &EndpointKey) {
        self.registered.remove(key);
        self.unusable.insert(key.clone());
    }

    /// Starts from the endpoints in force. A router that could not read the store was told by
    /// others; what it read itself before that is old.
    pub fn rebase(&mut self, in_force: BTreeMap<EndpointKey, EndpointEntry>) {
        self.registered = in_force;
        self.unusable.clear();
    }

    /// Takes over all that is registered.
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

    /// All that the store says at a revision.
    #[must_use]
    pub fn at(&self, as_of: StoreRevision) -> RegisteredEndpoints {
        RegisteredEndpoints {
            entries: self.registered.clone(),
            unusable: self.unusable.clone(),
            as_of,
        }
    }
}
