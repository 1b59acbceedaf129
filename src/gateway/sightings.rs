//! When each router was last known to be in contact with the store.
//!
//! Load pattern: all routers that read the store die or stand still at once, in a fleet of any
//! size, and an endpoint leaves just then. The others must notice within a fixed part of the
//! operator's bound. In a large fleet a router hears from each other one only every few seconds, so
//! messages also pass on which readers were seen elsewhere, and how long ago: with three messages
//! per router and round, a sighting reaches 1,300 routers in about six rounds.

use std::collections::BTreeMap;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::digest::SightingColumns;
use super::digest::SightingEntry;

/// Maximum number of sightings in one message: as many as there should be readers.
const MAX_SIGHTINGS_SENT: usize = 3;

/// Time for which a router that is no longer heard of is remembered.
const SIGHTING_MEMORY: TimeSpan = TimeSpan::from_millis(30_000);

/// One process of a router: the hash of the address of its host and its incarnation. Its
/// incarnation alone would do only as long as no two hosts draw the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouterProcess(pub u64);

impl RouterProcess {
    /// Returns the process with this incarnation on the host with this address.
    #[must_use]
    pub fn of(host: IpAddr, incarnation: u64) -> Self {
        Self(xxh3_64_with_seed(host.to_string().as_bytes(), incarnation))
    }
}

/// What a router last said of its contact with the store.
#[derive(Debug, Clone, Copy)]
struct ReaderSighting {
    /// Sequence number of the message in which it said so.
    sequence: u64,
    /// When it said so.
    at: Moment,
    in_touch: bool,
}

/// The last sightings by router process.
#[derive(Debug, Default)]
pub struct SightingTable {
    seen: BTreeMap<RouterProcess, ReaderSighting>,
}

impl SightingTable {
    /// Records a router's own message.
    pub fn record_message(
        &mut self,
        now: Moment,
        router: RouterProcess,
        sequence: u64,
        in_touch: bool,
    ) {
        let sighting = ReaderSighting {
            sequence,
            at: now,
            in_touch,
        };
        self.record(router, sighting);
    }

    /// Records the sightings that another router passed on.
    pub fn record_passed_on(&mut self, now: Moment, sightings: &SightingColumns) {
        for entry in sightings.entries() {
            let age = TimeSpan::from_millis(u64::from(entry.age_ms));
            let sighting = ReaderSighting {
                sequence: entry.sequence,
                at: Moment(now.0.saturating_sub(age.0)),
                in_touch: true,
            };
            self.record(RouterProcess(entry.router), sighting);
        }
    }

    /// Records a sighting if it is of a later message than the known one. The message's sequence
    /// number decides, not its time: an age leaves out the time on the way, so a sighting that goes
    /// round among routers would seem younger each time.
    fn record(&mut self, router: RouterProcess, sighting: ReaderSighting) {
        let known = self.seen.get(&router);
        if known.is_none_or(|known| known.sequence < sighting.sequence) {
            self.seen.insert(router, sighting);
        }
    }

    /// Returns the time since a router last said that it is in contact with the store; `None` if it
    /// said since that it is not, or was never heard of.
    #[must_use]
    pub fn silence(&self, now: Moment, router: RouterProcess) -> Option<TimeSpan> {
        let sighting = self.seen.get(&router)?;
        sighting.in_touch.then(|| now.since(sighting.at))
    }

    /// Returns the shortest time since any router said that it is in contact with the store.
    #[must_use]
    pub fn least_silence(&self, now: Moment) -> Option<TimeSpan> {
        let in_touch = self.seen.values().filter(|sighting| sighting.in_touch);
        in_touch.map(|sighting| now.since(sighting.at)).min()
    }

    /// Returns the latest sightings, to be passed on.
    #[must_use]
    pub fn to_pass_on(&self, now: Moment) -> SightingColumns {
        let mut latest: Vec<(RouterProcess, ReaderSighting)> = self
            .seen
            .iter()
            .filter(|(_, sighting)| sighting.in_touch)
            .map(|(router, sighting)| (*router, *sighting))
            .collect();
        latest.sort_unstable_by_key(|(_, sighting)| std::cmp::Reverse(sighting.at));
        latest.truncate(MAX_SIGHTINGS_SENT);
        latest
            .into_iter()
            .map(|(router, sighting)| SightingEntry {
                router: router.0,
                sequence: sighting.sequence,
                age_ms: u32::try_from(now.since(sighting.at).as_millis()).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Forgets routers that have not been heard of for `SIGHTING_MEMORY`.
    pub fn forget(&mut self, now: Moment) {
        self.seen
            .retain(|_, sighting| now.since(sighting.at) < SIGHTING_MEMORY);
    }
}
