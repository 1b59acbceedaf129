//! The table of endpoints: their published data and what was learned from traffic.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio_util::sync::CancellationToken;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::follow::StoreRevision;
use super::super::protocol::EndpointAnnouncement;
use super::super::protocol::PartId;
use super::super::routes::EndpointEntry;
use super::super::routes::EndpointKey;
use super::super::routes::EndpointState;
use super::super::routes::ServiceKey;
use super::super::routes::SoftwareVersion;
use super::departures::DepartureReports;
use super::departures::DepartureTable;
use super::departures::listed_to_report;
use super::health::EndpointHealth;
use super::health::PeerHealth;
use super::notices::EndpointNotices;
use super::notices::NoticeTable;
use super::process_ends::EndSign;

/// First and longest pause after a failed connection, in ms. An endpoint restarts within seconds; a
/// retry every 2 s notices it soon and costs few connections.
const FIRST_PAUSE_MS: u64 = 250;
const LONGEST_PAUSE_MS: u64 = 2_000;

/// Pause after an endpoint reported that it is full, in ms: about the time until the load counts
/// from the other routers show it.
const FULL_PAUSE_MS: u64 = 150;

/// Maximum number of leaving processes listed in one message: 256 bytes of it. If more of them
/// leave while the store is unavailable, the other routers learn of the rest once the store is
/// back.
const MAX_LEAVING_REPORTED: usize = 32;

/// Time for which a registration that says ready is doubted. An endpoint that lives says again what
/// it does within a heartbeat, about a second; a registration without heartbeats lapses after three
/// of them, and the list without it may take seconds to arrive.
const DOUBT_TIME: TimeSpan = TimeSpan::from_millis(8_000);

/// Time for which a removed process is remembered: the store comes back from a copy that is seconds
/// old.
const REMOVAL_MEMORY: TimeSpan = TimeSpan::from_millis(60_000);

/// Load of the other routers at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests in flight.
    pub active: u32,
    /// Prompt tokens that wait for prefill. All reports are whole numbers, so that adding and later
    /// subtracting them gets back to exactly zero.
    pub pending_tokens: f64,
    /// The endpoint's health as the other routers report it.
    pub health: PeerHealth,
}

/// The row of one endpoint.
#[derive(Debug)]
pub struct EndpointRow {
    /// The registered entry.
    pub entry: EndpointEntry,
    /// The endpoint's hash for rendezvous hashing. It stays the same over restarts, so that all
    /// routers keep expecting a prompt part in the caches of the same endpoints.
    pub hash: u64,
    /// Hash that identifies the endpoint process; a restart changes it.
    process_hash: u64,
    /// The number of the process in messages between routers: the low 32 bits of `process_hash`. If
    /// two processes had the same number, each would be credited with the other's load; that
    /// happens in one of hundreds of fleets.
    pub life: u32,
    /// Cancelled when another process replaces this one.
    pub replaced: CancellationToken,
    /// This router's requests in flight at the endpoint.
    pub active: u32,
    /// Prompt tokens of this router's requests that wait for prefill at the endpoint.
    pub pending_tokens: f64,
    /// The other routers' load at the endpoint.
    pub peers: PeerLoad,
    /// The endpoint's health.
    pub health: EndpointHealth,
    /// End of a pause set by this router itself after a failed connection or a full endpoint.
    /// Before it, the endpoint gets new work only if every other ready endpoint is paused or silent
    /// as well. A pause that the endpoint asked for is stored in `notices` and always applies.
    pub paused_until: Moment,
    /// For an endpoint that is still used although the list no longer has it: it gets no new work
    /// from this time on.
    used_until: Option<Moment>,
    /// True if another router with a newer endpoint list reports that the endpoint left.
    is_reported_departed: bool,
    /// End of the doubt about a registration that says ready.
    doubted_until: Moment,
    /// The notices that the endpoint process gave about itself in its answers.
    notices: EndpointNotices,
    /// Consecutive failed connections.
    failed_connections: u32,
    /// When this router last sent each shared prompt part to the endpoint.
    pub parts: BTreeMap<PartId, Moment>,
}

impl EndpointRow {
    #[allow(clippy::cast_possible_truncation)]
    fn new(entry: EndpointEntry) -> Self {
        let process_hash = entry.life().hash();
        Self {
            hash: entry.key.hash(),
            process_hash,
            life: process_hash as u32,
            replaced: CancellationToken::new(),
            entry,
            active: 0,
            pending_tokens: 0.0,
            peers: PeerLoad::default(),
            health: EndpointHealth::default(),
            paused_until: Moment(0),
            used_until: None,
            is_reported_departed: false,
            doubted_until: Moment(0),
            notices: EndpointNotices::default(),
            failed_connections: 0,
            parts: BTreeMap::new(),
        }
    }

    /// Returns true if the endpoint may get new work.
    ///
    /// Guards against an endpoint that is gone but still used: an endpoint without registration is
    /// used until a fixed time, which is checked on each call. The use ends even if the tasks that
    /// read the list and remove endpoints are stuck.
    #[must_use]
    pub fn is_ready(&self, now: Moment) -> bool {
        self.is_listed_ready(now) && self.notices.takes_work(now)
    }

    /// Returns true if the endpoint may get new work according to the endpoint lists.
    fn is_listed_ready(&self, now: Moment) -> bool {
        let is_doubted = now < self.doubted_until;
        self.is_registered_ready() && !self.has_departed(now) && !is_doubted
    }

    /// Returns true if its use is over, or it has left by another router's list.
    fn has_departed(&self, now: Moment) -> bool {
        let is_over = self.used_until.is_some_and(|until| now >= until);
        is_over || self.is_reported_departed
    }

    /// Returns true if the endpoint takes work or may do so again: it has not left and neither its
    /// entry nor itself says that it leaves.
    #[must_use]
    pub fn is_staying(&self, now: Moment) -> bool {
        self.is_in_service() && !self.has_departed(now)
    }

    /// Applies the entry of the same process in a newer list.
    ///
    /// Guards against a late write: the store does a heartbeat from before the process said that it
    /// leaves. A process without a start time may also be a new one, whose registration goes on
    /// saying ready; otherwise see [`NoticeTable`].
    fn update(self, now: Moment, entry: &EndpointEntry) -> Self {
        let left_before = !self.is_registered_ready() && entry.state == EndpointState::Ready;
        if left_before {
            let (key, born) = (&entry.key, entry.born);
            spdlog::info!("endpoint: key={key} born={born} registered as ready after it left");
        }
        let doubted_until = if left_before && !entry.has_start_time() {
            now + DOUBT_TIME
        } else {
            self.doubted_until
        };
        Self {
            entry: entry.clone(),
            used_until: None,
            doubted_until,
            ..self
        }
    }

    /// Returns true if the endpoint gave notice that it is leaving.
    #[must_use]
    pub fn announced_leaving(&self) -> bool {
        self.notices.is_leaving
    }

    /// Returns the rest of the pause that the endpoint asked for, if nothing else keeps work from
    /// it.
    fn pause_left(&self, now: Moment) -> Option<TimeSpan> {
        let is_paused = !self.notices.is_leaving && now < self.notices.paused_until;
        (is_paused && self.is_listed_ready(now)).then(|| self.notices.paused_until.since(now))
    }

    /// Returns true if the endpoint's last known registration has the state `Ready`. Unlike
    /// [`Self::is_listed_ready`], it ignores expired use and reported departures, and unlike
    /// [`Self::is_ready`] also the endpoint's own notices.
    fn is_registered_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Returns true if neither its last registration nor the endpoint itself says that it leaves.
    fn is_in_service(&self) -> bool {
        self.is_registered_ready() && !self.notices.is_leaving
    }

    /// Requests of all routers at the endpoint, as far as known.
    #[must_use]
    pub fn total_active(&self) -> u32 {
        self.active + self.peers.active
    }

    /// Prompt tokens of all routers that wait for prefill at the endpoint, as far as known.
    #[must_use]
    pub fn total_pending(&self) -> f64 {
        self.pending_tokens + self.peers.pending_tokens
    }

    /// Records a failed connection: pauses the endpoint with exponential backoff.
    pub fn record_failed_connection(&mut self, now: Moment) {
        let pause = FIRST_PAUSE_MS << self.failed_connections.min(8);
        self.failed_connections += 1;
        self.paused_until = now + TimeSpan::from_millis(pause.min(LONGEST_PAUSE_MS));
    }

    /// Records a connection that failed while this router's own link was at fault: pauses the
    /// endpoint briefly and leaves the backoff as it is.
    pub fn record_link_failure(&mut self, now: Moment) {
        self.paused_until = now + TimeSpan::from_millis(FIRST_PAUSE_MS);
    }

    /// Records that the endpoint answered: resets the backoff.
    pub fn record_reached(&mut self) {
        self.failed_connections = 0;
    }

    /// Records that the endpoint reported that it is full: pauses it briefly.
    pub fn pause_when_full(&mut self, now: Moment) {
        self.paused_until = now + TimeSpan::from_millis(FULL_PAUSE_MS);
    }
}

/// All endpoints, sorted by key.
#[derive(Debug, Default)]
pub struct EndpointTable {
    rows: Vec<EndpointRow>,
    /// Indices of each service's rows. A decision looks at all of them: with a look-up by key for
    /// each, the look-ups would take half of its time at 140 endpoints.
    services: BTreeMap<ServiceKey, Vec<usize>>,
    /// Endpoints that left recently.
    pub departures: DepartureTable,
    /// Departures according to other routers with a newer endpoint list.
    reported: DepartureReports,
    /// Notices that endpoint processes gave about themselves, including processes that no list has
    /// at the moment.
    notices: NoticeTable,
    /// When processes were last removed from the list, by their hashes.
    removed: BTreeMap<u64, Moment>,
    /// True if the next list is the first one of a restored store.
    is_restored: bool,
}

impl EndpointTable {
    /// Records that the next list comes from a store that was restored from an older copy.
    pub fn store_restored(&mut self) {
        self.is_restored = true;
    }

    /// Replaces the registered endpoints. Rows of known endpoints keep what was learned.
    ///
    /// Guards against an endpoint that restarts under its key: the queue, cache and failures of the
    /// former process are gone, and calls waiting for that process would wait in vain. The new
    /// process gets a fresh row, and attempts at the former one are notified.
    ///
    /// Returns the processes that are no longer listed although they were in service, with the sign
    /// of an end that this is.
    pub fn replace(
        &mut self,
        now: Moment,
        entries: &BTreeMap<EndpointKey, EndpointEntry>,
    ) -> Vec<(EndpointEntry, EndSign)> {
        let mut ended = Vec::new();
        let before = std::mem::take(&mut self.rows).into_iter();
        let mut known: BTreeMap<EndpointKey, EndpointRow> =
            before.map(|row| (row.entry.key.clone(), row)).collect();
        self.services.clear();
        for (key, entry) in entries {
            let was_ready = known.get(key).is_some_and(EndpointRow::is_registered_ready);
            let row = match known.remove(key) {
                Some(row) if row.entry.is_same_process(entry) => row.update(now, entry),
                Some(former) => {
                    spdlog::info!("endpoint: key={key} born={} started again", entry.born);
                    former.replaced.cancel();
                    self.departures.mark_departed(now, former.life);
                    if former.is_in_service() {
                        ended.push((former.entry, EndSign::Replaced));
                    }
                    EndpointRow::new(entry.clone())
                }
                None => EndpointRow::new(entry.clone()),
            };
            let row = self.doubt_restored(now, row);
            self.record_registered_leaving(now, &row);
            let notices = self.notices.of(row.process_hash);
            let row = EndpointRow { notices, ..row };
            if row.is_in_service() && now >= row.doubted_until {
                self.departures.mark_present(row.life);
            } else if was_ready {
                self.departures.mark_departed(now, row.life);
            }
            let indices = self.services.entry(entry.service.clone()).or_default();
            indices.push(self.rows.len());
            self.rows.push(row);
        }
        self.is_restored = false;
        self.removed.retain(|_, at| now.since(*at) < REMOVAL_MEMORY);
        for row in known.into_values() {
            self.removed.insert(row.process_hash, now);
            self.departures.mark_departed(now, row.life);
            if row.is_in_service() {
                ended.push((row.entry, EndSign::Unregistered));
            }
        }
        let known: BTreeSet<u64> = self.rows.iter().map(|row| row.process_hash).collect();
        self.notices.forget(now, |life| known.contains(&life));
        ended
    }

    /// Doubts an entry of a restored store whose process was known as removed.
    ///
    /// Guards against an endpoint that left without saying so, and whose entry is still in the copy.
    /// It gets no further heartbeats and lapses; the entry of an endpoint that lives stays.
    fn doubt_restored(&mut self, now: Moment, row: EndpointRow) -> EndpointRow {
        let was_removed = self.removed.remove(&row.process_hash).is_some();
        if !self.is_restored || !(was_removed || row.is_reported_departed) {
            return row;
        }
        let (key, born) = (&row.entry.key, row.entry.born);
        spdlog::info!("endpoint: key={key} born={born} doubted: removed before the restore");
        EndpointRow {
            doubted_until: now + DOUBT_TIME,
            ..row
        }
    }

    /// Records what a registration says about its process's leaving as a notice of the process: it
    /// holds until the next start, whatever a late write of the store says. Without a start time, the
    /// next process would be taken for the one that left.
    fn record_registered_leaving(&mut self, now: Moment, row: &EndpointRow) {
        let entry = &row.entry;
        if entry.state == EndpointState::Leaving && entry.has_start_time() {
            self.notices.record_leaving(now, row.process_hash);
        }
    }

    /// Applies the notices that a process gave in an answer. Returns true if it is the first notice
    /// that the process is leaving.
    pub fn apply_notices(
        &mut self,
        now: Moment,
        entry: &EndpointEntry,
        notices: EndpointAnnouncement,
    ) -> bool {
        let EndpointAnnouncement { is_leaving, pause } = notices;
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

    /// Applies other routers' reports of processes that gave notice that they are leaving; `lives`
    /// holds the hashes of these processes.
    ///
    /// Guards against calls to an endpoint that is leaving: it gives notice only in its answers, so
    /// without the reports every router would have to send it a call, which it may cut, to find
    /// out.
    pub fn apply_reported_leaving(&mut self, now: Moment, lives: &[u64]) {
        for life in lives {
            if self.notices.record_leaving(now, *life) {
                self.refresh_notices(*life);
            }
        }
    }

    fn refresh_notices(&mut self, life: u64) {
        let notices = self.notices.of(life);
        for row in self.rows.iter_mut().filter(|row| row.process_hash == life) {
            let (key, born) = (&row.entry.key, row.entry.born);
            spdlog::info!("endpoint: key={key} born={born} is leaving, reported by another router");
            row.notices = notices;
        }
    }

    /// Returns the hashes of the processes that gave notice that they are leaving but are still
    /// listed as ready, for the messages to the other routers.
    #[must_use]
    pub fn leaving_to_report(&self, now: Moment) -> Vec<u64> {
        let leaving = self.rows.iter().filter(|row| row.announced_leaving());
        let unknown = leaving.filter(|row| row.is_listed_ready(now));
        let lives = unknown.map(|row| row.process_hash);
        lives.take(MAX_LEAVING_REPORTED).collect()
    }

    /// Returns the time until the first of a service's endpoints, or of those of one software version
    /// if it is given, ends the pause that it asked for; `None` if no endpoint is kept from work by
    /// such a pause alone.
    #[must_use]
    pub fn pause_left(
        &self,
        now: Moment,
        service: &ServiceKey,
        software: Option<&SoftwareVersion>,
    ) -> Option<TimeSpan> {
        let rows = self.of_version(service, software);
        rows.filter_map(|row| row.pause_left(now)).min()
    }

    /// Applies another router's report of endpoint processes that left according to its list of
    /// revision `as_of`. Reports of lists that are no newer than this router's own are ignored.
    ///
    /// Guards against a list that can't be fetched in time, see [`super::departures`]: an endpoint
    /// that left long ago would still get work.
    pub fn apply_reported_departures(
        &mut self,
        now: Moment,
        as_of: StoreRevision,
        process_numbers: &[u32],
    ) {
        if self.reported.record(now, as_of, process_numbers) {
            self.refresh_reported();
        }
    }

    /// Applies the content of another router's list of revision `as_of`: the numbers of all processes
    /// that take work according to it; empty if it does not report them. The other processes have
    /// left.
    pub fn apply_reported_list(&mut self, now: Moment, as_of: StoreRevision, listed: &[u32]) {
        if listed.is_empty() {
            return;
        }
        let listed: BTreeSet<u32> = listed.iter().copied().collect();
        let numbers = self.rows.iter().map(|row| row.life);
        let departed: Vec<u32> = numbers.filter(|number| !listed.contains(number)).collect();
        self.apply_reported_departures(now, as_of, &departed);
    }

    /// Returns the numbers of all processes that take work according to this router's list, for a
    /// message to the other routers; none if they are too many.
    #[must_use]
    pub fn listed_to_report(&self) -> Vec<u32> {
        let ready = self.rows.iter().filter(|row| row.is_registered_ready());
        listed_to_report(ready.map(|row| row.life))
    }

    /// Drops reported departures that this router's own list, of revision `own`, decides.
    pub fn forget_reported_departures(&mut self, now: Moment, own: StoreRevision) {
        self.reported.forget(now, own);
        self.refresh_reported();
    }

    fn refresh_reported(&mut self) {
        for row in &mut self.rows {
            row.is_reported_departed = self.reported.has_departed(row.life);
        }
    }

    /// Ends the use of an endpoint at `until`, unless it is registered again before.
    pub fn end_at(&mut self, key: &EndpointKey, until: Moment) {
        if let Some(row) = self.get_mut(key) {
            row.used_until = Some(until);
        }
    }

    fn index(&self, key: &EndpointKey) -> Option<usize> {
        let found = self.rows.binary_search_by(|row| row.entry.key.cmp(key));
        found.ok()
    }

    /// Returns the row of an endpoint.
    #[must_use]
    pub fn get(&self, key: &EndpointKey) -> Option<&EndpointRow> {
        self.index(key).map(|index| &self.rows[index])
    }

    /// Returns the row of the process that an attempt was placed at; `None` if that process has
    /// ended.
    pub fn of_attempt(&mut self, entry: &EndpointEntry) -> Option<&mut EndpointRow> {
        let row = self.get_mut(&entry.key)?;
        row.entry.is_same_process(entry).then_some(row)
    }

    /// Returns true if the process that an attempt was placed at may still get the request.
    ///
    /// Guards against a request that reaches an endpoint long after it left: connecting takes up to
    /// the connection timeout, and the report that it left may arrive meanwhile.
    #[must_use]
    pub fn takes_work(&self, now: Moment, entry: &EndpointEntry) -> bool {
        let row = self.get(&entry.key);
        row.is_some_and(|row| row.entry.is_same_process(entry) && row.is_ready(now))
    }

    /// Returns true if a process is listed and no router knows that it left. If such a process ends
    /// under its requests, it crashed; one that leaves may cut what it did not finish in time.
    #[must_use]
    pub fn is_in_service(&self, entry: &EndpointEntry) -> bool {
        let row = self.get(&entry.key);
        row.is_some_and(|row| {
            row.entry.is_same_process(entry) && row.is_in_service() && !row.is_reported_departed
        })
    }

    /// Returns the row of an endpoint for modification.
    pub fn get_mut(&mut self, key: &EndpointKey) -> Option<&mut EndpointRow> {
        self.index(key).map(|index| &mut self.rows[index])
    }

    /// Returns the endpoints of a service.
    pub fn of_service(&self, service: &ServiceKey) -> impl Iterator<Item = &EndpointRow> {
        let indices = self.services.get(service).map(Vec::as_slice);
        indices
            .unwrap_or_default()
            .iter()
            .map(|index| &self.rows[*index])
    }

    /// Returns the endpoints of a service that have a software version; all of them if none is given.
    ///
    /// Guards against a stream whose events come from two versions: what they write doesn't fit
    /// together, and endpoints don't check it.
    pub fn of_version(
        &self,
        service: &ServiceKey,
        software: Option<&SoftwareVersion>,
    ) -> impl Iterator<Item = &EndpointRow> {
        let rows = self.of_service(service);
        rows.filter(move |row| software.is_none_or(|version| row.entry.software == *version))
    }

    /// Returns all endpoints.
    pub fn rows(&self) -> impl Iterator<Item = &EndpointRow> {
        self.rows.iter()
    }

    /// Returns all endpoints for modification.
    pub fn rows_mut(&mut self) -> impl Iterator<Item = &mut EndpointRow> {
        self.rows.iter_mut()
    }

    /// Returns true if this router's health observations should be reported to the others: not
    /// while most of the endpoints that it uses are silent to it, since its own links are then
    /// probably at fault.
    #[must_use]
    pub fn is_health_reportable(&self, now: Moment) -> bool {
        let used = self.rows.iter().filter(|row| row.active > 0);
        let (mut count, mut silent) = (0, 0);
        for row in used {
            count += 1;
            silent += usize::from(row.health.is_silent_here(now));
        }
        silent * 2 <= count
    }
}
