//! The other routers, as known from their digests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::catch_up::StateVersions;
use super::decide::endpoints::PeerLoad;
use super::decide::shares::RECENT_WINDOW;
use super::decide::shares::TeamFlow;
use super::digest::LoadColumns;
use super::digest::RouterDigest;
use super::readers::ElectionInput;
use super::shared::StoreContact;
use super::sightings::RouterProcess;
use super::sightings::SightingTable;

/// Time for which a silent router still counts as a participant in the shared retry budget. While
/// routers can't reach each other, all of them still send retries, so each must go on using only
/// its part of the budget.
const BUDGET_MEMORY: TimeSpan = TimeSpan::from_millis(30_000);

/// Most addresses that are known from digests only: three fleets of the largest intended size. A
/// message from a stranger could name any number of them.
const MAX_UNHEARD_ADDRESSES: usize = 4_096;

/// The state of another router.
#[derive(Debug)]
pub struct PeerRow {
    /// Its last digest.
    pub digest: RouterDigest,
    /// When that digest was received.
    pub heard: Moment,
    /// Time between its last two messages; zero after the first one.
    interval: TimeSpan,
}

impl PeerRow {
    /// Returns the weight of this router in a sum over the routers that were recently heard; zero
    /// if it was not.
    ///
    /// In a large fleet the messages from one router are seconds apart, and so a sum over the last
    /// messages of all routers would be seconds old. The sum therefore covers only routers whose
    /// last message is younger than `RECENT_WINDOW`, each with the weight max(1, interval between
    /// its messages / `RECENT_WINDOW`). A router that sends every three windows is in one sum of
    /// three, with weight 3. The sum is right on average and no older than the window.
    #[allow(clippy::cast_precision_loss)]
    fn recency_weight(&self, now: Moment) -> f64 {
        if now.since(self.heard) >= RECENT_WINDOW {
            return 0.0;
        }
        (self.interval.0 as f64 / RECENT_WINDOW.0 as f64).max(1.0)
    }
}

/// The other routers, as known from their digests.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// Routers that sent a digest.
    pub heard: BTreeMap<IpAddr, PeerRow>,
    /// Addresses known from digests only, to which messages are sent at longer intervals.
    pub unheard_addresses: BTreeSet<IpAddr>,
    /// Those of them to which no message has been sent yet.
    uncontacted: BTreeSet<IpAddr>,
    /// Sums of the loads in `heard` by endpoint, updated with each digest: adding up all loads of a
    /// hundred routers in each round takes a tenth of a small host's processor time.
    loads: BTreeMap<u32, PeerLoad>,
    /// When routers were last known to be in contact with the store.
    pub sightings: SightingTable,
}

/// Time limits within which other routers count in an election of readers.
#[derive(Debug, Clone, Copy)]
pub struct ElectionLimits {
    /// Silence after which a router counts as gone; longer in larger fleets.
    pub peer_timeout: TimeSpan,
    /// Time without a sighting after which a reader counts as gone.
    pub reader_timeout: TimeSpan,
    /// Time without a sighting after which a reader counts as silent.
    pub reader_silence: TimeSpan,
}

impl PeerTable {
    /// Applies a digest. Returns false if it is outdated.
    ///
    /// Guards against reordered datagrams: the sequence orders digests within an incarnation, and
    /// the incarnation orders restarts.
    pub fn take(&mut self, now: Moment, from: IpAddr, digest: RouterDigest) -> bool {
        if let Some(row) = self.heard.get(&from) {
            let known = (row.digest.incarnation, row.digest.sequence);
            if known >= (digest.incarnation, digest.sequence) {
                return false;
            }
        }
        for router in &digest.routers {
            let Ok(address) = router.parse() else {
                continue;
            };
            let is_known = self.heard.contains_key(&address);
            if !is_known
                && self.unheard_addresses.len() < MAX_UNHEARD_ADDRESSES
                && self.unheard_addresses.insert(address)
            {
                self.uncontacted.insert(address);
            }
        }
        self.unheard_addresses.remove(&from);
        self.uncontacted.remove(&from);
        self.record_sightings(now, from, &digest);
        self.add_loads(&digest.loads);
        let known = self.heard.get(&from);
        let interval = known.map_or(TimeSpan(0), |row| now.since(row.heard));
        let row = PeerRow {
            digest,
            heard: now,
            interval,
        };
        if let Some(before) = self.heard.insert(from, row) {
            self.remove_loads(&before.digest.loads);
        }
        true
    }

    fn record_sightings(&mut self, now: Moment, from: IpAddr, digest: &RouterDigest) {
        let RouterDigest {
            incarnation,
            sequence,
            in_touch,
            ..
        } = *digest;
        self.sightings.record_message(
            now,
            RouterProcess::of(from, incarnation),
            sequence,
            in_touch,
        );
        if let Some(sightings) = &digest.sightings {
            self.sightings.record_passed_on(now, sightings);
        }
    }

    fn add_loads(&mut self, loads: &LoadColumns) {
        for load in loads.entries() {
            let sum = self.loads.entry(load.endpoint).or_default();
            sum.active = sum.active.saturating_add(load.active);
            sum.pending_tokens += f64::from(load.pending_tokens);
            let health = &mut sum.health;
            health.attempts = health.attempts.saturating_add(load.attempts);
            health.failures = health.failures.saturating_add(load.failures);
            health.receiving += u32::from(load.heard);
            health.silent += u32::from(load.silent);
        }
    }

    fn remove_loads(&mut self, loads: &LoadColumns) {
        for load in loads.entries() {
            let Some(sum) = self.loads.get_mut(&load.endpoint) else {
                continue;
            };
            sum.active = sum.active.saturating_sub(load.active);
            sum.pending_tokens -= f64::from(load.pending_tokens);
            let health = &mut sum.health;
            health.attempts = health.attempts.saturating_sub(load.attempts);
            health.failures = health.failures.saturating_sub(load.failures);
            health.receiving = health.receiving.saturating_sub(u32::from(load.heard));
            health.silent = health.silent.saturating_sub(u32::from(load.silent));
            if *sum == PeerLoad::default() {
                self.loads.remove(&load.endpoint);
            }
        }
    }

    /// Drops the loads of silent routers: their calls at endpoints have ended or are unknown.
    pub fn drop_silent_loads(&mut self, now: Moment, timeout: TimeSpan) {
        let silent: Vec<IpAddr> = self
            .heard
            .iter()
            .filter(|(_, row)| now.since(row.heard) >= timeout && !row.digest.loads.is_empty())
            .map(|(address, _)| *address)
            .collect();
        for address in silent {
            let Some(row) = self.heard.get_mut(&address) else {
                continue;
            };
            let loads = std::mem::take(&mut row.digest.loads);
            self.remove_loads(&loads);
        }
    }

    /// Returns the routers that were heard within `timeout` and are not shutting down.
    pub fn live(
        &self,
        now: Moment,
        timeout: TimeSpan,
    ) -> impl Iterator<Item = (&IpAddr, &PeerRow)> {
        self.heard
            .iter()
            .filter(move |(_, row)| !row.digest.leaving && now.since(row.heard) < timeout)
    }

    /// Returns the sums of the other routers' loads by the process number of the endpoint. They
    /// cover the routers heard within the timeout, also those that are shutting down.
    #[must_use]
    pub fn loads(&self) -> &BTreeMap<u32, PeerLoad> {
        &self.loads
    }

    /// Returns the number of calls at endpoints of all other routers, without this one's.
    #[must_use]
    pub fn all_active(&self) -> u64 {
        self.loads.values().map(|load| u64::from(load.active)).sum()
    }

    /// Returns the teams' demand and served rates, summed over the live routers.
    #[must_use]
    pub fn flows(&self, now: Moment, timeout: TimeSpan) -> BTreeMap<u64, TeamFlow> {
        let mut sums: BTreeMap<u64, TeamFlow> = BTreeMap::new();
        for (_, row) in self.live(now, timeout) {
            let weight = row.recency_weight(now);
            for demand in row.digest.demands.entries() {
                *sums.entry(demand.team).or_default() += TeamFlow {
                    asked: f64::from(demand.tokens_per_s),
                    asked_recently: f64::from(demand.recent_per_s) * weight,
                    unseen: f64::from(demand.unseen_per_s) * weight,
                    served: f64::from(demand.served_per_s),
                    within: f64::from(demand.within_per_s),
                };
            }
        }
        sums
    }

    /// Returns the tokens per second that the live routers turn away although they are within
    /// shares, since endpoints are full.
    #[must_use]
    pub fn turned_away(&self, now: Moment, timeout: TimeSpan) -> f64 {
        let live = self.live(now, timeout);
        live.map(|(_, row)| f64::from(row.digest.turned_away_per_s))
            .sum()
    }

    /// Returns the number of routers that share the retry budget, including this one.
    #[must_use]
    pub fn budget_routers(&self, now: Moment) -> usize {
        let known = self.heard.values();
        1 + known
            .filter(|row| now.since(row.heard) < BUDGET_MEMORY)
            .count()
    }

    /// Returns the newest versions that a live router has.
    #[must_use]
    pub fn newest(&self, now: Moment, timeout: TimeSpan) -> StateVersions {
        let live = self.live(now, timeout).map(|(_, row)| &row.digest);
        live.fold(StateVersions::default(), |newest, digest| StateVersions {
            routes: newest.routes.max(digest.routes_version),
            endpoints: newest.endpoints.max(digest.endpoints_revision),
        })
    }

    /// Returns a live router with newer routes or endpoints than `known`. It is drawn at random, so
    /// that requests spread over all such routers.
    #[must_use]
    pub fn ahead(&self, now: Moment, timeout: TimeSpan, known: StateVersions) -> Option<IpAddr> {
        let newer = self.live(now, timeout).filter(|(_, row)| {
            row.digest.routes_version > known.routes
                || row.digest.endpoints_revision > known.endpoints
        });
        let newer: Vec<&IpAddr> = newer.map(|(address, _)| address).collect();
        if newer.is_empty() {
            return None;
        }
        Some(*newer[rand::rng().random_range(0..newer.len())])
    }

    /// Takes up to `most` addresses to which no message has been sent yet.
    pub fn take_uncontacted(&mut self, most: usize) -> Vec<IpAddr> {
        let mut taken = Vec::new();
        while taken.len() < most {
            let Some(address) = self.uncontacted.pop_first() else {
                break;
            };
            taken.push(address);
        }
        taken
    }

    /// Returns this router's input to the election of the store's readers: its own contact with the
    /// store, that of the live routers, and how many of them come before it. All routers share the
    /// same order, that of the hashes of their IP addresses.
    #[must_use]
    pub fn election_input(
        &self,
        now: Moment,
        limits: ElectionLimits,
        own: IpAddr,
        contact: StoreContact,
    ) -> ElectionInput {
        let rank = |address: &IpAddr| xxh3_64(address.to_string().as_bytes());
        let own = rank(&own);
        let mut election_input = ElectionInput {
            in_touch: contact.in_touch,
            is_failing: contact.is_failing,
            ..ElectionInput::default()
        };
        for (address, row) in self.live(now, limits.peer_timeout) {
            let is_before = rank(address) < own;
            let process = RouterProcess::of(*address, row.digest.incarnation);
            let silence = self.sightings.silence(now, process);
            if let Some(silence) = silence.filter(|silence| *silence < limits.reader_timeout) {
                let is_silent = silence >= limits.reader_silence;
                election_input.contact_count += 1;
                election_input.contact_before += usize::from(is_before);
                election_input.silent_count += usize::from(is_silent);
                election_input.silent_before += usize::from(is_silent && is_before);
            }
            if silence.is_some() {
                continue;
            }
            let is_failing = row.digest.store_failing;
            election_input.failing += usize::from(is_failing);
            election_input.failing_before += usize::from(is_failing && is_before);
            let is_untried = !is_failing;
            election_input.untried_before += usize::from(is_untried && is_before);
        }
        election_input
    }

    /// Returns true if a digest of this incarnation of the router was received before.
    #[must_use]
    pub fn knows_incarnation(&self, address: &IpAddr, incarnation: u64) -> bool {
        let row = self.heard.get(address);
        row.is_some_and(|row| row.digest.incarnation == incarnation)
    }

    /// Drops routers that have been silent for `BUDGET_MEMORY`.
    pub fn forget(&mut self, now: Moment) {
        self.heard
            .retain(|_, row| now.since(row.heard) < BUDGET_MEMORY);
        self.sightings.forget(now);
    }
}
