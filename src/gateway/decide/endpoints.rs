//! The table of endpoints: what is published of them and what was learned from traffic.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio_util::sync::CancellationToken;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::protocol::SpokenWords;
use super::super::routes::EndpointEntry;
use super::super::routes::EndpointKey;
use super::super::routes::EndpointState;
use super::super::routes::ServiceKey;
use super::departures::DepartureTable;
use super::health::EndpointHealth;
use super::health::ToldHealth;
use super::notices::EndpointNotices;
use super::notices::NoticeTable;

/// First pause after a connection that was not made, and the longest, in ms. A restart of an
/// endpoint takes seconds; trying every 2 s finds it soon and costs few connections.
const FIRST_PAUSE_MS: u64 = 250;
const LONGEST_PAUSE_MS: u64 = 2_000;

/// Pause after an endpoint said that it is full, in ms: about as long as the counts that other
/// routers send take to tell it.
const FULL_PAUSE_MS: u64 = 150;

/// Processes in one message that said that they leave: 256 bytes of it. A fleet of which more leave
/// while the store is away tells the others when the store does.
const MOST_WORDS_TOLD: usize = 32;

/// Work of other routers at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests.
    pub active: u32,
    /// Prompt tokens that wait to be read. A sum of whole numbers, so that taking them away again
    /// leaves nothing.
    pub pending_tokens: f64,
    /// What they tell of its health.
    pub health: ToldHealth,
}

/// One endpoint.
#[derive(Debug)]
pub struct EndpointRow {
    /// What it registered.
    pub entry: EndpointEntry,
    /// Its number in the order of rendezvous hashing. A restart keeps it, so that the parts whose
    /// home it is stay where all routers look for them.
    pub hash: u64,
    /// The hash of its process's life.
    life_hash: u64,
    /// Its process's number between routers: the low half of that hash. Two processes with one
    /// number would be believed to have each other's load, once in hundreds of fleets.
    pub life: u32,
    /// Cancelled when another process has taken its place.
    pub replaced: CancellationToken,
    /// This router's requests there.
    pub active: u32,
    /// Prompt tokens of this router's requests that wait to be read there.
    pub pending_tokens: f64,
    /// The other routers' work there.
    pub peers: PeerLoad,
    /// How well it works.
    pub health: EndpointHealth,
    /// No new work before.
    pub paused_until: Moment,
    /// No new work from then on, if it is kept beyond its registration.
    used_until: Option<Moment>,
    /// Whether another router tells that it left, in a newer list than this router's.
    is_told_left: bool,
    /// What it said of itself.
    notices: EndpointNotices,
    /// Connections in a row that were not made.
    refused: u32,
    /// When this router last sent a shared part there.
    pub parts: BTreeMap<u64, Moment>,
}

impl EndpointRow {
    #[allow(clippy::cast_possible_truncation)]
    fn new(entry: EndpointEntry) -> Self {
        let life_hash = entry.life().hash();
        Self {
            hash: entry.key.hash(),
            life_hash,
            life: life_hash as u32,
            replaced: CancellationToken::new(),
            entry,
            active: 0,
            pending_tokens: 0.0,
            peers: PeerLoad::default(),
            health: EndpointHealth::default(),
            paused_until: Moment(0),
            used_until: None,
            is_told_left: false,
            notices: EndpointNotices::default(),
            refused: 0,
            parts: BTreeMap::new(),
        }
    }

    /// Whether it may get new work.
    ///
    /// Guards against an endpoint that is gone and still used: one that is kept beyond its
    /// registration ends here by itself, whatever becomes of the control thread or of reading.
    #[must_use]
    pub fn is_ready(&self, now: Moment) -> bool {
        self.is_listed_ready(now) && self.notices.takes_work(now)
    }

    /// Whether it may get new work by what is known from lists.
    fn is_listed_ready(&self, now: Moment) -> bool {
        let is_over = self.used_until.is_some_and(|until| now >= until);
        self.is_taking_work() && !is_over && !self.is_told_left
    }

    /// Whether it said that it leaves.
    #[must_use]
    pub fn said_leaving(&self) -> bool {
        self.notices.is_leaving
    }

    /// For how long it still wants nothing, if that is all that keeps work from it.
    fn pause_left(&self, now: Moment) -> Option<TimeSpan> {
        let is_paused = !self.notices.is_leaving && now < self.notices.paused_until;
        (is_paused && self.is_listed_ready(now)).then(|| self.notices.paused_until.since(now))
    }

    /// Whether it takes new work by its registration.
    fn is_taking_work(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Requests of all routers there, as far as known.
    #[must_use]
    pub fn total_active(&self) -> u32 {
        self.active + self.peers.active
    }

    /// Prompt tokens of all routers that wait to be read there, as far as known.
    #[must_use]
    pub fn total_pending(&self) -> f64 {
        self.pending_tokens + self.peers.pending_tokens
    }

    /// A connection was not made.
    pub fn not_reached(&mut self, now: Moment) {
        let pause = FIRST_PAUSE_MS << self.refused.min(8);
        self.refused += 1;
        self.paused_until = now + TimeSpan::from_millis(pause.min(LONGEST_PAUSE_MS));
    }

    /// A connection was not made while this router's own link was at fault: the endpoint is left
    /// alone for a moment, which says nothing of the next time.
    pub fn not_reached_by_fault(&mut self, now: Moment) {
        self.paused_until = now + TimeSpan::from_millis(FIRST_PAUSE_MS);
    }

    /// The endpoint answered something.
    pub fn reached(&mut self) {
        self.refused = 0;
    }

    /// The endpoint said that it is full.
    pub fn was_full(&mut self, now: Moment) {
        self.paused_until = now + TimeSpan::from_millis(FULL_PAUSE_MS);
    }
}

/// All endpoints, in the order of their keys.
#[derive(Debug, Default)]
pub struct EndpointTable {
    rows: Vec<EndpointRow>,
    /// Places of a service's rows. A decision looks at each of them: a look-up by key for each
    /// would take half of its time at 140 endpoints.
    services: BTreeMap<ServiceKey, Vec<usize>>,
    /// Those that left of late.
    pub departures: DepartureTable,
    /// What processes said of themselves, also such as no list names at the moment.
    notices: NoticeTable,
}

impl EndpointTable {
    /// Takes over what is registered now. Rows of known endpoints keep what was learned.
    ///
    /// Guards against an endpoint that starts again under its key: its queue, its cache and its
    /// failures ended with the process, and calls that wait for the former process wait in vain.
    /// The later process gets a row of its own, and attempts at the former one are told.
    /// Returns the former processes that others have replaced.
    pub fn replace(
        &mut self,
        now: Moment,
        entries: &BTreeMap<EndpointKey, EndpointEntry>,
    ) -> Vec<EndpointEntry> {
        let mut replaced = Vec::new();
        let before = std::mem::take(&mut self.rows).into_iter();
        let mut known: BTreeMap<EndpointKey, EndpointRow> =
            before.map(|row| (row.entry.key.clone(), row)).collect();
        self.services.clear();
        for (key, entry) in entries {
            let was_ready = known.get(key).is_some_and(EndpointRow::is_taking_work);
            let row = match known.remove(key) {
                Some(row) if row.entry.born == entry.born => EndpointRow {
                    entry: entry.clone(),
                    used_until: None,
                    ..row
                },
                Some(former) => {
                    spdlog::info!("endpoint: key={key} born={} started again", entry.born);
                    former.replaced.cancel();
                    self.departures.left(now, former.life);
                    replaced.push(former.entry);
                    EndpointRow::new(entry.clone())
                }
                None => EndpointRow::new(entry.clone()),
            };
            if row.is_taking_work() {
                self.departures.is_here(row.life);
            } else if was_ready {
                self.departures.left(now, row.life);
            }
            let places = self.services.entry(entry.service.clone()).or_default();
            places.push(self.rows.len());
            let notices = self.notices.of(row.life_hash);
            self.rows.push(EndpointRow { notices, ..row });
        }
        for row in known.into_values() {
            self.departures.left(now, row.life);
        }
        let known: BTreeSet<u64> = self.rows.iter().map(|row| row.life_hash).collect();
        self.notices.forget(now, |life| known.contains(&life));
        replaced
    }

    /// Takes over what a process says of itself in an answer; whether it leaves and that is news.
    pub fn said(&mut self, now: Moment, entry: &EndpointEntry, notices: SpokenWords) -> bool {
        let SpokenWords { is_leaving, pause } = notices;
        let life = entry.life().hash();
        if let Some(pause) = pause {
            self.notices.record_pause(now, life, pause);
        }
        let is_news = is_leaving && self.notices.record_leaving(now, life);
        let notices = self.notices.of(life);
        if let Some(row) = self.of_attempt(entry) {
            row.notices = notices;
        }
        is_news
    }

    /// Takes over which processes said to other routers that they leave.
    ///
    /// Guards against a leaving endpoint that each router has to be told of by an answer of its own:
    /// every one of them would send it a call that it may cut.
    pub fn take_told_leaving(&mut self, now: Moment, lives: &[u64]) {
        for life in lives {
            if self.notices.record_leaving(now, *life) {
                self.apply_words(*life);
            }
        }
    }

    fn apply_words(&mut self, life: u64) {
        let notices = self.notices.of(life);
        for row in self.rows.iter_mut().filter(|row| row.life_hash == life) {
            let (key, born) = (&row.entry.key, row.entry.born);
            spdlog::info!("endpoint: key={key} born={born} leaves, as it told another router");
            row.notices = notices;
        }
    }

    /// Processes that said that they leave and are still listed as ready, to tell the others.
    #[must_use]
    pub fn telling_leaving(&self, now: Moment) -> Vec<u64> {
        let leaving = self.rows.iter().filter(|row| row.said_leaving());
        let unknown = leaving.filter(|row| row.is_listed_ready(now));
        let lives = unknown.map(|row| row.life_hash);
        lives.take(MOST_WORDS_TOLD).collect()
    }

    /// How long until one of a service's endpoints ends the pause that it asked for; nothing if
    /// none of them is only paused.
    #[must_use]
    pub fn pause_left(&self, now: Moment, service: &ServiceKey) -> Option<TimeSpan> {
        let rows = self.of_service(service);
        rows.filter_map(|row| row.pause_left(now)).min()
    }

    /// Takes over which endpoints have left by the word of routers with a newer list.
    ///
    /// Guards against a list that can't be fetched in time, see [`super::departures`]: an endpoint
    /// that left long ago would go on getting work. It holds until this router's own list is as new.
    pub fn set_told_left(&mut self, told: &BTreeSet<u32>) {
        for row in &mut self.rows {
            row.is_told_left = told.contains(&row.life);
        }
    }

    /// Ends an endpoint's use at a moment, unless it is registered again before.
    pub fn end_at(&mut self, key: &EndpointKey, until: Moment) {
        if let Some(row) = self.get_mut(key) {
            row.used_until = Some(until);
        }
    }

    fn place(&self, key: &EndpointKey) -> Option<usize> {
        let found = self.rows.binary_search_by(|row| row.entry.key.cmp(key));
        found.ok()
    }

    /// One endpoint.
    #[must_use]
    pub fn get(&self, key: &EndpointKey) -> Option<&EndpointRow> {
        self.place(key).map(|place| &self.rows[place])
    }

    /// The row of the process that an attempt was placed at; nothing if that has ended.
    pub fn of_attempt(&mut self, entry: &EndpointEntry) -> Option<&mut EndpointRow> {
        let row = self.get_mut(&entry.key)?;
        (row.entry.born == entry.born).then_some(row)
    }

    /// Whether the process that an attempt was placed at still may get the request.
    ///
    /// Guards against a request that reaches an endpoint long after it left: a connection takes up
    /// to its timeout, and the news came meanwhile.
    #[must_use]
    pub fn takes_work(&self, now: Moment, entry: &EndpointEntry) -> bool {
        let row = self.get(&entry.key);
        row.is_some_and(|row| row.entry.born == entry.born && row.is_ready(now))
    }

    /// One endpoint, to change.
    pub fn get_mut(&mut self, key: &EndpointKey) -> Option<&mut EndpointRow> {
        self.place(key).map(|place| &mut self.rows[place])
    }

    /// The endpoints of a service.
    pub fn of_service(&self, service: &ServiceKey) -> impl Iterator<Item = &EndpointRow> {
        let places = self.services.get(service).map(Vec::as_slice);
        places
            .unwrap_or_default()
            .iter()
            .map(|place| &self.rows[*place])
    }

    /// All endpoints.
    pub fn rows(&self) -> impl Iterator<Item = &EndpointRow> {
        self.rows.iter()
    }

    /// All endpoints, to change.
    pub fn rows_mut(&mut self) -> impl Iterator<Item = &mut EndpointRow> {
        self.rows.iter_mut()
    }

    /// Whether this router's word on endpoints' health is worth telling: not while most of those
    /// that it uses are silent to it, since then its own links are at fault.
    #[must_use]
    pub fn is_trustworthy(&self, now: Moment) -> bool {
        let used = self.rows.iter().filter(|row| row.active > 0);
        let (mut count, mut silent) = (0, 0);
        for row in used {
            count += 1;
            silent += usize::from(row.health.is_silent_here(now));
        }
        silent * 2 <= count
    }
}
