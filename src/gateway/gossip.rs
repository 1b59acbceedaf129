//! Routers tell each other who they are, what they have outstanding and what they know.
//!
//! Each router sends small datagrams to the others: its requests and unread prompt tokens per
//! endpoint, what teams ask of it, and the versions that it knows. They are hints: a lost,
//! doubled or late one makes a placement worse and nothing else. Whole published states are
//! fetched over TCP ([`super::handover`]) by a router that has lost the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::time::interval;
use xxhash_rust::xxh3::xxh3_64;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::decide::endpoints::PeerLoad;
use super::handover;
use super::shared::SharedState;

/// Messages sent in one round. With more routers than this each hears of the others less often,
/// and a router's cost stays the same.
const MESSAGES_PER_ROUND: usize = 10;

/// Rounds between two messages to addresses that do not answer.
const SILENT_ROUNDS: u64 = 10;

/// Largest datagram, in bytes: one Ethernet frame would be 1,472; loads of a few hundred
/// endpoints take more, and links between hosts carry fragments.
const MAX_DATAGRAM_BYTES: usize = 16_384;

/// Addresses of other routers in one message.
const ADDRESSES_TOLD: usize = 8;

/// Time for which a router that fell silent still counts for the shared retry budget: the budget
/// must hold while routers can't see each other.
const BUDGET_MEMORY: TimeSpan = TimeSpan::from_millis(30_000);

/// Routers that read the store themselves; the others are told by them. The store's calls are
/// limited for all routers together, and each of its changes wakes each reader. Eight are enough
/// that some are left when a third of all routers is cut off, and few enough that the calls don't
/// grow with the fleet.
const READERS: usize = 8;

/// Time without any router in touch with the store after which twice as many try to read it.
const VOLUNTEER_PAUSE: TimeSpan = TimeSpan::from_millis(1_000);

/// Load of one router at one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct LoadEntry {
    /// Hash of the endpoint's key.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub active: u32,
    /// Prompt tokens that wait to be read.
    #[prost(uint32, tag = "3")]
    pub pending_tokens: u32,
}

/// What a team asks of one router.
#[derive(Clone, PartialEq, Message)]
pub struct DemandEntry {
    /// Hash of the team's name.
    #[prost(fixed64, tag = "1")]
    pub team: u64,
    /// Tokens a second.
    #[prost(uint32, tag = "2")]
    pub tokens_per_s: u32,
}

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct RouterDigest {
    /// One life of the sender; later lives have higher numbers.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Grows within a life.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Version of the routes that it knows; 0 for none.
    #[prost(uint64, tag = "4")]
    pub routes_version: u64,
    /// Store revision of the endpoints that it knows.
    #[prost(uint64, tag = "5")]
    pub endpoints_revision: u64,
    /// Its load.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<LoadEntry>,
    /// What teams ask of it.
    #[prost(message, repeated, tag = "7")]
    pub demands: Vec<DemandEntry>,
    /// IP numbers of other routers.
    #[prost(string, repeated, tag = "8")]
    pub routers: Vec<String>,
    /// Whether the sender hears of all changes from the store itself.
    #[prost(bool, tag = "9")]
    pub in_touch: bool,
}

#[derive(Debug)]
struct PeerRow {
    digest: RouterDigest,
    heard: Moment,
}

/// The other routers as this one knows them.
#[derive(Debug, Default)]
pub struct PeerTable {
    heard: BTreeMap<IpAddr, PeerRow>,
    /// Addresses that were only told of; they are asked now and then.
    told: BTreeSet<IpAddr>,
    /// Sums of the loads in `heard`, by endpoint. Kept up with each digest: adding up all loads of
    /// a hundred routers each round takes a tenth of a small host's processor.
    loads: BTreeMap<u64, PeerLoad>,
}

impl PeerTable {
    /// Takes a digest; whether it is news.
    ///
    /// Guards against datagrams that were overtaken: within a life the sequence decides, between
    /// lives the incarnation.
    pub fn take(&mut self, now: Moment, from: IpAddr, digest: RouterDigest) -> bool {
        if let Some(row) = self.heard.get(&from) {
            let known = (row.digest.incarnation, row.digest.sequence);
            if known >= (digest.incarnation, digest.sequence) {
                return false;
            }
        }
        for router in &digest.routers {
            if let Ok(address) = router.parse() {
                self.told.insert(address);
            }
        }
        self.told.remove(&from);
        self.add_loads(&digest);
        if let Some(before) = self.heard.insert(from, PeerRow { digest, heard: now }) {
            self.remove_loads(&before.digest);
        }
        true
    }

    fn add_loads(&mut self, digest: &RouterDigest) {
        for load in &digest.loads {
            let sum = self.loads.entry(load.endpoint).or_default();
            sum.active += load.active;
            sum.pending_tokens += f64::from(load.pending_tokens);
        }
    }

    fn remove_loads(&mut self, digest: &RouterDigest) {
        for load in &digest.loads {
            let Some(sum) = self.loads.get_mut(&load.endpoint) else {
                continue;
            };
            sum.active = sum.active.saturating_sub(load.active);
            sum.pending_tokens -= f64::from(load.pending_tokens);
            if sum.active == 0 {
                self.loads.remove(&load.endpoint);
            }
        }
    }

    /// Drops the loads of routers that fell silent: what they had at endpoints has ended, or
    /// nobody can say.
    pub fn end_silent(&mut self, now: Moment, timeout: TimeSpan) {
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
            self.remove_loads(&RouterDigest {
                loads,
                ..RouterDigest::default()
            });
        }
    }

    fn live(&self, now: Moment, timeout: TimeSpan) -> impl Iterator<Item = (&IpAddr, &PeerRow)> {
        self.heard
            .iter()
            .filter(move |(_, row)| !row.digest.leaving && now.since(row.heard) < timeout)
    }

    /// Sums of the live routers' loads by endpoint.
    #[must_use]
    pub fn loads(&self) -> &BTreeMap<u64, PeerLoad> {
        &self.loads
    }

    /// Sums of what teams ask of the live routers, in tokens a second.
    #[must_use]
    pub fn demands(&self, now: Moment, timeout: TimeSpan) -> BTreeMap<u64, f64> {
        let mut sums: BTreeMap<u64, f64> = BTreeMap::new();
        for (_, row) in self.live(now, timeout) {
            for demand in &row.digest.demands {
                *sums.entry(demand.team).or_default() += f64::from(demand.tokens_per_s);
            }
        }
        sums
    }

    /// Routers that share the retry budget, this one included.
    #[must_use]
    pub fn budget_routers(&self, now: Moment) -> usize {
        let known = self.heard.values();
        1 + known
            .filter(|row| now.since(row.heard) < BUDGET_MEMORY)
            .count()
    }

    /// A live router that knows newer routes or endpoints; any of them, so that not all ask the
    /// same one.
    fn ahead(&self, now: Moment, timeout: TimeSpan, known: (u64, u64)) -> Option<IpAddr> {
        let newer = self.live(now, timeout).filter(|(_, row)| {
            row.digest.routes_version > known.0 || row.digest.endpoints_revision > known.1
        });
        let newer: Vec<&IpAddr> = newer.map(|(address, _)| address).collect();
        if newer.is_empty() {
            return None;
        }
        Some(*newer[rand::rng().random_range(0..newer.len())])
    }

    /// Whether this router is one of the readers of the store: the first ones in an order that all
    /// routers compute alike, and more of them the longer none is in touch.
    #[must_use]
    pub fn is_reader(&self, now: Moment, timeout: TimeSpan, own: IpAddr, doublings: u32) -> bool {
        let rank = |address: &IpAddr| xxh3_64(address.to_string().as_bytes());
        let own = rank(&own);
        let before = self
            .live(now, timeout)
            .filter(|(address, _)| rank(address) < own);
        before.count() < READERS << doublings.min(16)
    }

    /// Whether a live router hears of all changes from the store itself.
    #[must_use]
    pub fn has_touch(&self, now: Moment, timeout: TimeSpan) -> bool {
        self.live(now, timeout).any(|(_, row)| row.digest.in_touch)
    }

    fn forget(&mut self, now: Moment) {
        self.heard
            .retain(|_, row| now.since(row.heard) < BUDGET_MEMORY);
    }
}

/// Where other routers are and how this one is reached.
#[derive(Debug, Clone)]
pub struct GossipPlan {
    /// This router's address; its port is everybody's.
    pub listen: SocketAddr,
    /// Hosts through which others are found.
    pub seeds: Vec<SmolStr>,
    /// This life.
    pub incarnation: u64,
}

struct Gossip {
    shared: Arc<SharedState>,
    plan: GossipPlan,
    socket: UdpSocket,
    peers: PeerTable,
    round: u64,
    next: usize,
    /// When a router in touch with the store was last known.
    touched: Moment,
    /// What was last told of the versions known.
    told_versions: (u64, u64),
}

/// Exchanges digests until the process ends.
pub async fn run_gossip(shared: Arc<SharedState>, plan: GossipPlan, socket: UdpSocket) {
    let mut gossip = Gossip {
        shared,
        plan,
        socket,
        peers: PeerTable::default(),
        round: 0,
        next: 0,
        touched: Moment(0),
        told_versions: (0, 0),
    };
    let pause = Duration::from_millis(gossip.shared.config.gossip_ms.max(1));
    let mut ticks = interval(pause);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            _ = ticks.tick() => gossip.tick().await,
            received = gossip.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => gossip.received(&buffer[..length], from),
                Err(fault) => spdlog::debug!("peers: step=receive fault=\"{fault}\""),
            }
        }
    }
}

impl Gossip {
    fn timeout(&self) -> TimeSpan {
        // Each of many routers is heard less often, so silence must last longer.
        let rounds = self.peers.heard.len().div_ceil(MESSAGES_PER_ROUND).max(1) as u64;
        TimeSpan::from_millis(self.shared.config.peer_timeout_ms * rounds)
    }

    fn received(&mut self, bytes: &[u8], from: SocketAddr) {
        let own = from.ip() == self.plan.listen.ip();
        // A datagram from another port is not a router's: all of them send from the peer port.
        if own || from.port() != self.plan.listen.port() {
            return;
        }
        match RouterDigest::decode(bytes) {
            Ok(digest) => {
                let now = self.shared.clock.now();
                let is_new = !self.peers.heard.contains_key(&from.ip());
                if self.peers.take(now, from.ip(), digest) && is_new {
                    spdlog::info!("peers: router={} found", from.ip());
                }
            }
            Err(fault) => spdlog::warn!("peers: router={from} step=decode fault=\"{fault}\""),
        }
    }

    async fn tick(&mut self) {
        self.round += 1;
        let now = self.shared.clock.now();
        self.peers.forget(now);
        self.peers.end_silent(now, self.timeout());
        self.take_over(now);
        self.choose_reader(now);
        self.fetch_if_behind(now);
        let digest = self.digest(now).encode_to_vec();
        for address in self.receivers(now) {
            let target = SocketAddr::new(address, self.plan.listen.port());
            if let Err(fault) = self.socket.send_to(&digest, target).await {
                spdlog::debug!("peers: router={target} step=send fault=\"{fault}\"");
            }
        }
    }

    /// Gives the core what the others told.
    fn take_over(&self, now: Moment) {
        let timeout = self.timeout();
        let demands = self.peers.demands(now, timeout);
        let rate = self
            .shared
            .routes()
            .map_or(0.0, |table| table.limits.tokens_per_s);
        let mut core = self.shared.core();
        core.set_peer_loads(self.peers.loads());
        core.set_routers(self.peers.budget_routers(now));
        core.shares.share_out(now, rate, &demands);
        core.forget_parts(now);
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn digest(&self, now: Moment) -> RouterDigest {
        let endpoints_revision = self.shared.endpoints_revision().0;
        let routes_version = self.shared.routes().map_or(0, |table| table.version);
        let mut core = self.shared.core();
        let asked = core.shares.asked(now);
        let busy = core.endpoints.rows().filter(|row| row.active > 0);
        RouterDigest {
            incarnation: self.plan.incarnation,
            sequence: self.round,
            leaving: self.shared.life.draining.is_cancelled(),
            routes_version,
            endpoints_revision,
            loads: busy
                .map(|row| LoadEntry {
                    endpoint: row.hash,
                    active: row.active,
                    pending_tokens: row.pending_tokens as u32,
                })
                .collect(),
            demands: asked
                .iter()
                .filter(|(_, tokens)| **tokens >= 1.0)
                .map(|(team, tokens)| DemandEntry {
                    team: team.hash(),
                    tokens_per_s: *tokens as u32,
                })
                .collect(),
            routers: self.told_addresses(now),
            in_touch: self.shared.is_in_touch(),
        }
    }

    /// Some live routers, others from round to round.
    fn told_addresses(&self, now: Moment) -> Vec<String> {
        let live: Vec<_> = self.peers.live(now, self.timeout()).collect();
        let start = rand::rng().random_range(0..live.len().max(1));
        let turned = live.iter().cycle().skip(start);
        turned
            .take(live.len().min(ADDRESSES_TOLD))
            .map(|(address, _)| address.to_string())
            .collect()
    }

    fn receivers(&mut self, now: Moment) -> Vec<IpAddr> {
        let timeout = self.timeout();
        let live: Vec<IpAddr> = self.peers.live(now, timeout).map(|(ip, _)| *ip).collect();
        let count = if self.has_news() {
            live.len()
        } else {
            live.len().min(MESSAGES_PER_ROUND)
        };
        let turned = live.iter().cycle().skip(self.next % live.len().max(1));
        let mut receivers: Vec<IpAddr> = turned.take(count).copied().collect();
        self.next = self.next.wrapping_add(count);
        if self.round % SILENT_ROUNDS == 1 {
            receivers.extend(self.silent(&live));
        }
        receivers
    }

    /// Whether the store itself told this router something that the others don't know yet. All of
    /// them are told in the same round: a change has to be in force everywhere within seconds.
    fn has_news(&mut self) -> bool {
        let versions = self.versions();
        let is_new = versions != self.told_versions;
        self.told_versions = versions;
        is_new && self.shared.is_in_touch()
    }

    fn versions(&self) -> (u64, u64) {
        let version = self.shared.routes().map_or(0, |table| table.version);
        (version, self.shared.endpoints_revision().0)
    }

    fn choose_reader(&mut self, now: Moment) {
        let timeout = self.timeout();
        if self.peers.has_touch(now, timeout) {
            self.shared.peers_in_touch(now);
            self.touched = now;
        }
        if self.shared.is_in_touch() {
            self.touched = now;
        }
        let silence = now.since(self.touched).0 / VOLUNTEER_PAUSE.0;
        let doublings = u32::try_from(silence).unwrap_or(u32::MAX);
        let own = self.plan.listen.ip();
        let reads = self.peers.is_reader(now, timeout, own, doublings);
        if reads != self.shared.is_reader() {
            spdlog::info!("peers: reads_store={reads} silence_s={silence}");
            self.shared.set_reader(reads);
        }
    }

    /// Addresses that may have a router and do not answer: seeds, and those told of.
    fn silent(&self, live: &[IpAddr]) -> Vec<IpAddr> {
        let seeds = self.plan.seeds.iter().filter_map(|seed| seed_ip(seed));
        let told = self.peers.told.iter().copied();
        let lost = self.peers.heard.keys().copied();
        let mut silent: Vec<IpAddr> = seeds.chain(told).chain(lost).collect();
        silent.sort_unstable();
        silent.dedup();
        silent.retain(|address| !live.contains(address) && *address != self.plan.listen.ip());
        silent.truncate(2 * MESSAGES_PER_ROUND);
        silent
    }

    /// Fetches what a peer knows newer, unless the store itself tells this router.
    fn fetch_if_behind(&self, now: Moment) {
        if self.shared.is_in_touch() || self.shared.is_fetching() {
            return;
        }
        if let Some(address) = self.peers.ahead(now, self.timeout(), self.versions()) {
            let target = SocketAddr::new(address, self.plan.listen.port());
            tokio::spawn(handover::fetch_state(Arc::clone(&self.shared), target));
        }
    }
}

/// The IP number of a seed, with or without a port.
fn seed_ip(seed: &str) -> Option<IpAddr> {
    let address = seed.parse::<SocketAddr>().map(|address| address.ip());
    address.or_else(|_| seed.parse()).ok()
}
