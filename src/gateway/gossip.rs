//! Gossip between routers: their addresses, their load, and the versions of the published state
//! that they have.
//!
//! Each router sends small datagrams to the others: its requests and pending prompt tokens per
//! endpoint, the teams' demand at it, the versions that it knows, and the endpoints that left. All
//! of it is advisory: a lost, duplicated or late datagram only makes placement less accurate. A
//! router that has lost the store fetches the published state itself over TCP
//! ([`super::handover`]).

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

use crate::units::Moment;
use crate::units::TimeSpan;

use super::catch_up::CatchUp;
use super::catch_up::StateVersions;
use super::decide::departures::FirstList;
use super::decide::endpoints::EndpointRow;
use super::decide::record_refill::FleetView;
use super::decide::record_refill::RecordRefill;
use super::decide::record_refill::ToldRouters;
use super::decide::stream_deposits::DepositorProcess;
use super::decide::stream_origins::ListStatus;
use super::decide::stream_origins::StreamNumber;
use super::decide::stream_origins::StreamStart;
use super::digest::DemandColumns;
use super::digest::LoadEntry;
use super::digest::RouterDigest;
use super::follow::StoreRevision;
use super::freshness;
use super::handover;
use super::link::LinkSpeed;
use super::origin_exchange;
use super::peer_table::ElectionLimits;
use super::peer_table::PeerTable;
use super::readers::ElectionInput;
use super::readers::ReaderElection;
use super::shared::SharedState;
use super::stream_messages::BegunStreams;
use super::stream_messages::RangeEntry;

/// Number of routers up to which all of them receive a message in each round. In a larger fleet
/// each router sends to a part of the others, so that its cost stays constant.
const SMALL_FLEET: usize = 10;

/// Messages per round of a router with few calls at endpoints, in a larger fleet. Callers spread
/// unevenly: six of ninety routers had four fifths of all calls. The load that the other routers
/// report changes little, so that they need to report it less often.
const MIN_MESSAGES: usize = 3;

/// Messages per round of a router with an average number of calls, in a larger fleet. Reading a
/// message costs the smallest hosts 0.15 ms; a hundred per second took a seventh of their processor
/// time.
const AVERAGE_MESSAGES: usize = 5;

/// Messages per round of the busiest routers, in a larger fleet.
const MAX_MESSAGES: usize = 20;

/// Rounds after a start in which a router sends to more of the others. The routers of a fleet that
/// starts at once don't know its load; until they have exchanged messages, all of them send calls
/// to the endpoints that seem idle.
const STARTUP_ROUNDS: u64 = 15;

/// Messages in each of the first `STARTUP_ROUNDS` rounds. Forty cost a host of 0.12 cores a tenth
/// of its time for a second and a half.
const STARTUP_MESSAGES: usize = 40;

/// Fraction of the host's link that gossip may use. Without a limit, twenty messages per round took
/// a quarter of a small host's link of 10 Mbit/s while a flood of calls filled the rest.
const GOSSIP_LINK_FRACTION: f64 = 0.03;

/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Rounds between two messages that list other routers' addresses, once routers have found each
/// other.
const ADDRESS_ROUNDS: u64 = 5;

/// Rounds between two messages to addresses that don't respond.
const SILENT_ROUNDS: u64 = 10;

/// Rounds without a message from any other router after which this one's endpoint list may lack
/// what the others use.
const LIST_SILENCE_ROUNDS: u64 = 5;

/// Rounds between two deposits of streams at this router's deputies. Each costs them a message.
const DEPOSIT_ROUNDS: u64 = 5;

/// Largest datagram, in bytes. One Ethernet frame would hold 1,472; the loads of a few hundred
/// endpoints need more, and the links between hosts carry fragmented datagrams.
const MAX_DATAGRAM_BYTES: usize = 16_384;

/// Most addresses of other routers in one message.
const MAX_ADDRESSES: usize = 8;

/// Longest random delay, in ms, of the first read of the store, which spreads the reads of a fleet
/// that starts at once. At the default interval it covers two whole gossip rounds, in which the
/// first readers report that they read.
const START_JITTER_MS: u64 = 250;

/// Time for which a router in contact with the store may have an older state than another router
/// before it fetches that one's state. Readers normally differ by less; a longer delay means that a
/// watch's connection is dead, which otherwise shows only by its timeout.
const READER_LAG: TimeSpan = TimeSpan::from_millis(600);

/// Addresses for gossip and the incarnation of this router, a number made at each start from the
/// time and a random part.
#[derive(Debug, Clone)]
pub struct GossipPlan {
    /// The address of this router's gossip socket; all routers use the same port.
    pub listen: SocketAddr,
    /// Hosts through which other routers are found.
    pub seeds: Vec<SmolStr>,
    /// The incarnation of this process.
    pub incarnation: u64,
}

struct Gossip {
    shared: Arc<SharedState>,
    plan: GossipPlan,
    socket: UdpSocket,
    peers: PeerTable,
    round: u64,
    /// Number of receivers chosen so far, from which the next round continues in the list of peers.
    next: usize,
    /// Addresses of routers with a new incarnation, to which the next round sends.
    new_peers: BTreeSet<IpAddr>,
    election: ReaderElection,
    /// Since when another router has had a newer state than this one.
    behind_since: Option<Moment>,
    catch_up: CatchUp,
    first_list: FirstList,
    /// The version of the routes and the revision of the endpoint list in the last digest.
    sent_versions: StateVersions,
    /// Whether the last digest reported contact with the store.
    sent_in_touch: bool,
    /// Records for routers' new processes.
    refill: RecordRefill,
}

/// Exchanges digests with other routers until the process ends.
pub async fn run_gossip(shared: Arc<SharedState>, plan: GossipPlan, socket: UdpSocket) {
    let jitter = TimeSpan::from_millis(rand::rng().random_range(0..START_JITTER_MS));
    let election = ReaderElection::new(shared.clock.now(), jitter);
    let mut gossip = Gossip {
        shared,
        plan,
        socket,
        peers: PeerTable::default(),
        round: 0,
        // Routers that start together would otherwise all send to the same few in each round.
        next: rand::rng().random_range(0..usize::from(u16::MAX)),
        new_peers: BTreeSet::new(),
        election,
        behind_since: None,
        catch_up: CatchUp::default(),
        first_list: FirstList::default(),
        sent_versions: StateVersions::default(),
        sent_in_touch: false,
        refill: RecordRefill::default(),
    };
    let pause = Duration::from_millis(gossip.shared.config.gossip_ms.max(1));
    let mut ticks = interval(pause);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            _ = ticks.tick() => gossip.tick().await,
            () = gossip.shared.lookups.wait_until_asked() => gossip.ask_for_streams().await,
            received = gossip.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    gossip.shared.link.received(length);
                    gossip.received(&buffer[..length], from).await;
                }
                Err(fault) => spdlog::debug!("peers: step=receive fault=\"{fault}\""),
            }
        }
    }
}

impl Gossip {
    /// Returns the silence after which another router counts as gone.
    ///
    /// In a larger fleet each router is heard less often, so the timeout grows with the number of
    /// peers. A router that sends the fewest messages, `MIN_MESSAGES`, reaches each peer once in a
    /// third as many rounds as there are peers; with the default settings the timeout covers at
    /// least four such intervals, unless the link limits the messages further. With 30 peers an
    /// interval has 10 rounds, that is 1 s, and the timeout is 4.5 s.
    fn timeout(&self) -> TimeSpan {
        let rounds = self.peers.heard.len().div_ceil(SMALL_FLEET).max(1) as u64;
        TimeSpan::from_millis(self.shared.config.peer_timeout_ms * rounds)
    }

    async fn received(&mut self, bytes: &[u8], from: SocketAddr) {
        let own = from.ip() == self.plan.listen.ip();
        // All routers send from the gossip port, so a datagram from another port is not from a
        // router.
        if own || from.port() != self.plan.listen.port() {
            return;
        }
        match RouterDigest::decode(bytes) {
            Ok(digest) => {
                let now = self.shared.clock.now();
                self.apply_stream_reports(now, from.ip(), &digest).await;
                if digest.is_stream_message() {
                    return;
                }
                let is_new = !self.peers.knows_incarnation(&from.ip(), digest.incarnation);
                self.apply_endpoint_reports(now, &digest);
                if self.peers.take(now, from.ip(), digest) && is_new {
                    spdlog::info!("peers: router={} found", from.ip());
                    self.new_peers.insert(from.ip());
                }
            }
            Err(fault) => spdlog::warn!("peers: router={from} step=decode fault=\"{fault}\""),
        }
    }

    /// Applies what a message tells of streams and answers its questions.
    async fn apply_stream_reports(&self, now: Moment, from: IpAddr, digest: &RouterDigest) {
        let answer = origin_exchange::apply(&self.shared, now, from, digest);
        if let Some(answer) = answer {
            self.send(from, &answer).await;
        }
    }

    /// Asks other routers for the streams that calls wait for.
    async fn ask_for_streams(&self) {
        let now = self.shared.clock.now();
        let live = self.live(now);
        let asks_all = live.len() <= SMALL_FLEET;
        let questions = origin_exchange::take_questions(&self.shared, &live, asks_all);
        for (address, question) in questions {
            self.send(address, &question).await;
        }
    }

    /// Tells some of the other routers of streams that began.
    async fn tell_holders(&self, live: &[IpAddr], begun: &[(StreamNumber, StreamStart)]) {
        for (address, message) in origin_exchange::tell_holders(live, begun) {
            self.send(address, &message).await;
        }
    }

    /// Deposits streams that the holders are not told yet at this router's deputies.
    async fn deposit_streams(&self, now: Moment, live: &[IpAddr]) {
        let own = DepositorProcess {
            host: self.plan.listen.ip(),
            incarnation: self.plan.incarnation,
        };
        for (address, message) in origin_exchange::deposit_streams(&self.shared, now, own, live) {
            self.send(address, &message).await;
        }
    }

    fn live(&self, now: Moment) -> Vec<IpAddr> {
        let live = self.peers.live(now, self.timeout());
        live.map(|(address, _)| *address).collect()
    }

    async fn send(&self, router: IpAddr, digest: &RouterDigest) {
        self.send_bytes(router, &digest.encode_to_vec()).await;
    }

    async fn send_bytes(&self, router: IpAddr, bytes: &[u8]) {
        let target = SocketAddr::new(router, self.plan.listen.port());
        self.shared.link.sent(bytes.len());
        if let Err(fault) = self.socket.send_to(bytes, target).await {
            spdlog::debug!("peers: router={target} step=send fault=\"{fault}\"");
        }
    }

    /// Determines whether another router may use a software version that this one's list lacks.
    fn update_list_status(&mut self, now: Moment) {
        let heard = self.peers.heard.values().map(|row| row.heard).max();
        if heard.is_some() {
            self.shared.record_met_others();
        }
        let silence = TimeSpan::from_millis(self.shared.config.gossip_ms * LIST_SILENCE_ROUNDS);
        let hears_others = heard.is_some_and(|at| now.since(at) < silence);
        let is_informed =
            self.shared.is_in_touch() || hears_others || !self.shared.has_met_others();
        let status = if is_informed && self.behind_since.is_none() {
            ListStatus::Latest
        } else {
            ListStatus::MaybeOutdated
        };
        self.shared.set_list_status(status);
    }

    /// Passes what a message says of endpoints and crashes to the decision core.
    fn apply_endpoint_reports(&self, now: Moment, digest: &RouterDigest) {
        let as_of = StoreRevision(digest.endpoints_revision);
        let mut core = self.shared.core();
        core.quarantine.apply_report(now, digest.crash_report());
        let endpoints = &mut core.endpoints;
        endpoints.apply_reported_leaving(now, &digest.announced_leaving);
        endpoints.apply_reported_departures(now, as_of, &digest.left);
        endpoints.apply_reported_list(now, as_of, &digest.listed);
    }

    async fn tick(&mut self) {
        self.round += 1;
        let now = self.shared.clock.now();
        self.update_view(now);
        let live = self.live(now);
        let tells_all = live.len() <= SMALL_FLEET;
        let told_routers = if tells_all {
            ToldRouters::All
        } else {
            ToldRouters::Holders
        };
        let begun = if live.is_empty() {
            Vec::new()
        } else {
            origin_exchange::take_untold(&self.shared, now, told_routers)
        };
        self.refill_new_peers(now, &live, told_routers).await;
        let told = if tells_all { &begun[..] } else { &[] };
        let digest = self.digest(now, told).encode_to_vec();
        for address in self.receivers(now, digest.len()) {
            self.send_bytes(address, &digest).await;
        }
        if !tells_all {
            self.tell_holders(&live, &begun).await;
            if self.round.is_multiple_of(DEPOSIT_ROUNDS) {
                self.deposit_streams(now, &live).await;
            }
        }
    }

    /// Drops what is outdated and applies what was heard since the last round.
    fn update_view(&mut self, now: Moment) {
        self.peers.forget(now);
        self.peers.drop_silent_loads(now, self.timeout());
        self.shared.expire_kept_endpoints(now);
        self.apply_reports(now);
        self.update_reader_role(now);
        self.fetch_if_behind(now);
        self.update_list_status(now);
        self.first_list
            .record(now, self.shared.endpoints_revision());
    }

    /// Sends new processes, a part each round, the records of where streams began that they would hold.
    async fn refill_new_peers(&mut self, now: Moment, live: &[IpAddr], told: ToldRouters) {
        if !self.new_peers.is_empty() {
            let fleet = FleetView {
                own: self.plan.listen.ip(),
                others: live,
                told,
            };
            origin_exchange::refill(&self.shared, now, fleet, &self.new_peers, &mut self.refill);
        }
        for (address, message) in origin_exchange::refill_round(&mut self.refill) {
            self.send(address, &message).await;
        }
    }

    /// Passes the other routers' reports to the decision core.
    fn apply_reports(&self, now: Moment) {
        let timeout = self.timeout();
        let flows = self.peers.flows(now, timeout);
        let turned_away = self.peers.turned_away(now, timeout);
        let own_revision = self.shared.endpoints_revision();
        let rate = self
            .shared
            .routes()
            .map_or(0.0, |table| table.limits.tokens_per_s);
        let mut core = self.shared.core();
        core.set_peer_loads(self.peers.loads());
        core.endpoints.forget_reported_departures(now, own_revision);
        core.set_routers(now, self.peers.budget_routers(now));
        core.share_out(now, rate, &flows, turned_away);
        core.forget_parts(now);
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn digest(&self, now: Moment, begun: &[(StreamNumber, StreamStart)]) -> RouterDigest {
        let endpoints_revision = self.shared.endpoints_revision().0;
        let routes_version = self.shared.routes().map_or(0, |table| table.version);
        let lists_routers = self.round < STARTUP_ROUNDS
            || !self.new_peers.is_empty()
            || self.round.is_multiple_of(ADDRESS_ROUNDS);
        let passes_on = self.peers.heard.len() > SMALL_FLEET;
        let reports_list = self.reports_list(now);
        let mut core = self.shared.core();
        let crashes = core.quarantine.report(now);
        let turned_away = core.shares.turned_away_per_s(now);
        let flows = core.shares.flows(now);
        let left = core.endpoints.departures.departures_to_report(now);
        let listed = reports_list.then(|| core.endpoints.listed_to_report());
        let announced_leaving = core.endpoints.leaving_to_report(now);
        let mixed = core.versions.to_report(now);
        let services = mixed.iter().map(|service| service.service);
        let ranges = core.ranges.to_report(now, services);
        let measures_reliably = core.endpoints.is_health_reportable(now) && !core.is_disturbed();
        let loads = core.endpoints.rows();
        let loads = loads.filter_map(|row| load_entry(row, now, measures_reliably));
        RouterDigest {
            incarnation: self.plan.incarnation,
            sequence: self.round,
            leaving: self.shared.shutdown_stages.draining.is_cancelled(),
            routes_version,
            endpoints_revision,
            loads: loads.collect(),
            demands: DemandColumns::of(&flows),
            routers: if lists_routers {
                self.addresses_to_send(now)
            } else {
                Vec::new()
            },
            in_touch: self.shared.is_in_touch(),
            store_failing: self.shared.store_contact().is_failing,
            turned_away_per_s: turned_away as u32,
            left,
            announced_leaving,
            sightings: passes_on.then(|| self.peers.sightings.to_pass_on(now)),
            listed: listed.unwrap_or_default(),
            begun: BegunStreams::group(begun),
            mixed: origin_exchange::mixed_entries(&mixed),
            ranges: RangeEntry::encode_all(&ranges),
            past_unknown_ms: core.versions.past_unknown_for(now).map(whole_ms),
            ..RouterDigest::default()
        }
        .with_crash_report(&crashes)
    }

    fn reports_list(&self, now: Moment) -> bool {
        let live = self.peers.live(now, self.timeout());
        let revisions = live.map(|(_, row)| StoreRevision(row.digest.endpoints_revision));
        self.first_list.is_to_report(now, revisions)
    }

    /// Returns the addresses of some live routers, different ones in each round.
    fn addresses_to_send(&self, now: Moment) -> Vec<String> {
        let live: Vec<_> = self.peers.live(now, self.timeout()).collect();
        let start = rand::rng().random_range(0..live.len().max(1));
        let turned = live.iter().cycle().skip(start);
        turned
            .take(live.len().min(MAX_ADDRESSES))
            .map(|(address, _)| address.to_string())
            .collect()
    }

    fn receivers(&mut self, now: Moment, digest_bytes: usize) -> Vec<IpAddr> {
        let timeout = self.timeout();
        let live: Vec<IpAddr> = self.peers.live(now, timeout).map(|(ip, _)| *ip).collect();
        let count = if self.take_urgent_update() {
            live.len()
        } else if self.round < STARTUP_ROUNDS {
            live.len().min(STARTUP_MESSAGES)
        } else {
            let wanted = messages_per_round(live.len(), self.own_active(), self.peers.all_active());
            wanted.min(self.messages_for_link(digest_bytes))
        };
        let turned = live.iter().cycle().skip(self.next % live.len().max(1));
        let mut receivers: Vec<IpAddr> = turned.take(count).copied().collect();
        self.next = self.next.wrapping_add(count);
        // A router that has just started takes calls only after it has received a message from
        // another one.
        receivers.extend(std::mem::take(&mut self.new_peers));
        let own = self.plan.listen.ip();
        let uncontacted = self.peers.take_uncontacted(STARTUP_MESSAGES).into_iter();
        receivers.extend(uncontacted.filter(|address| *address != own));
        if self.round % SILENT_ROUNDS == 1 {
            receivers.extend(self.silent(&live));
        }
        receivers
    }

    /// Returns the number of messages per round that the host's link has room for.
    fn messages_for_link(&self, digest_bytes: usize) -> usize {
        let config = &self.shared.config;
        let round = Duration::from_millis(config.gossip_ms);
        messages_on_link(config.link_mbps, round, digest_bytes)
    }

    /// Returns this router's calls at endpoints.
    fn own_active(&self) -> u64 {
        let core = self.shared.core();
        core.endpoints.rows().map(|row| u64::from(row.active)).sum()
    }

    /// Returns true if this router has read a change from the store that the others don't know yet,
    /// or has lost the store, since the last call. Records the state as sent. Both are sent to all
    /// routers in the same round: a change must be in force everywhere within seconds, and the
    /// others don't try to read the store while they assume that this router does.
    fn take_urgent_update(&mut self) -> bool {
        let in_touch = self.shared.is_in_touch();
        let versions = self.versions();
        let is_new = versions != self.sent_versions && in_touch;
        let is_lost = self.sent_in_touch && !in_touch;
        self.sent_versions = versions;
        self.sent_in_touch = in_touch;
        is_new || is_lost
    }

    fn versions(&self) -> StateVersions {
        StateVersions {
            routes: self.shared.routes().map_or(0, |table| table.version),
            endpoints: self.shared.endpoints_revision().0,
        }
    }

    fn election_limits(&self) -> ElectionLimits {
        let config = &self.shared.config;
        ElectionLimits {
            peer_timeout: self.timeout(),
            reader_timeout: TimeSpan::from_millis(config.peer_timeout_ms),
            reader_silence: freshness::reader_silence(config),
        }
    }

    fn update_reader_role(&mut self, now: Moment) {
        let contact = self.shared.store_contact();
        let own = self.plan.listen.ip();
        let limits = self.election_limits();
        let election_input = ElectionInput {
            is_stuck: self.is_stuck(now),
            ..self.peers.election_input(now, limits, own, contact)
        };
        self.shared
            .record_peer_contact(now, election_input.contact_count > 0);
        let reads = self.election.should_read(now, election_input);
        if reads != self.shared.is_reader() {
            let shortage = self.election.shortage(now).as_millis();
            let contact_count = election_input.contact_count;
            let silence = self.peers.sightings.least_silence(now);
            let silence = silence.map_or(-1, |silence| i128::from(silence.as_millis()));
            spdlog::info!(
                "peers: reads_store={reads} in_touch={} failing={} others_in_touch={contact_count} \
                 shortage_ms={shortage} reader_silence_ms={silence} stuck={}",
                contact.in_touch,
                contact.is_failing,
                election_input.is_stuck,
            );
            self.shared.set_reader(reads);
        }
    }

    /// Returns true if this router can't get a newer state that others have.
    fn is_stuck(&mut self, now: Moment) -> bool {
        let newest = self.peers.newest(now, self.timeout());
        let limit = freshness::stuck_limit(&self.shared.config);
        let own = self.versions();
        self.catch_up.is_stuck(now, own, newest, limit)
    }

    /// Returns addresses that may belong to routers but don't respond: seeds, addresses from
    /// digests, and routers that fell silent. Their number is limited.
    fn silent(&self, live: &[IpAddr]) -> Vec<IpAddr> {
        let seeds = self.plan.seeds.iter().filter_map(|seed| seed_ip(seed));
        let unheard_addresses = self.peers.unheard_addresses.iter().copied();
        let lost = self.peers.heard.keys().copied();
        let mut silent: Vec<IpAddr> = seeds.chain(unheard_addresses).chain(lost).collect();
        silent.sort_unstable();
        silent.dedup();
        silent.retain(|address| !live.contains(address) && *address != self.plan.listen.ip());
        silent.truncate(2 * SMALL_FLEET);
        silent
    }

    /// Fetches the state of a peer that has a newer one. A router in contact with the store first
    /// waits for `READER_LAG`, since the change should reach it from the store.
    fn fetch_if_behind(&mut self, now: Moment) {
        if self.shared.is_fetching() {
            return;
        }
        let ahead = self.peers.ahead(now, self.timeout(), self.versions());
        let Some(address) = ahead else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        if self.shared.is_in_touch() && now.since(since) < READER_LAG {
            return;
        }
        let target = SocketAddr::new(address, self.plan.listen.port());
        tokio::spawn(handover::fetch_state(Arc::clone(&self.shared), target));
    }
}

/// Returns the messages per round that a router sends to `live` others. It grows with the router's
/// fraction of all calls at endpoints.
#[must_use]
pub fn messages_per_round(live: usize, own_active: u64, others_active: u64) -> usize {
    if live <= SMALL_FLEET {
        return live;
    }
    let routers = live as u64 + 1;
    let all = (own_active + others_active).max(1);
    let usual = AVERAGE_MESSAGES as u64 * routers * own_active / all;
    usize::try_from(usual)
        .unwrap_or(MAX_MESSAGES)
        .clamp(MIN_MESSAGES, MAX_MESSAGES)
}

/// Returns how many messages of `digest_bytes` fit into one round's gossip fraction of the link, at
/// least one.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn messages_on_link(speed: LinkSpeed, round: Duration, digest_bytes: usize) -> usize {
    let bytes = (speed.bytes_in(round) * GOSSIP_LINK_FRACTION) as usize;
    (bytes / (digest_bytes + DATAGRAM_HEADER_BYTES)).max(1)
}

/// Returns a time in ms, rounded up: rounded down, it would shrink each time that it is passed on.
fn whole_ms(span: TimeSpan) -> u32 {
    let ms = span.0.div_ceil(TimeSpan::from_millis(1).0);
    u32::try_from(ms).unwrap_or(u32::MAX)
}

/// Returns this router's entry for one endpoint, or nothing if there is nothing to report. A router
/// whose own lag or links distort its health observations reports its load only.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn load_entry(row: &EndpointRow, now: Moment, measures_reliably: bool) -> Option<LoadEntry> {
    let load = LoadEntry {
        endpoint: row.life,
        active: row.active,
        pending_tokens: row.pending_tokens as u32,
        ..LoadEntry::default()
    };
    if !measures_reliably {
        return (row.active > 0).then_some(load);
    }
    let (attempts, failures) = row.health.counts_to_report(now);
    let silent = row.health.is_silent_here(now);
    let heard = row.health.is_recently_active(now);
    let has_updates = row.active > 0 || failures > 0 || silent;
    has_updates.then_some(LoadEntry {
        attempts,
        failures,
        silent,
        heard,
        ..load
    })
}

/// Parses the IP address of a seed, given with or without a port.
fn seed_ip(seed: &str) -> Option<IpAddr> {
    let address = seed.parse::<SocketAddr>().map(|address| address.ip());
    address.or_else(|_| seed.parse()).ok()
}
