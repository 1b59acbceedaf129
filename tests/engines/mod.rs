//! A small simulation of batching engines with prefix caches, to compare placement policies on the
//! same arrivals, and helpers for tests of the gateway's decisions.
// Each test file that includes this module uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::decide::Admission;
use verbenaturn::gateway::decide::AdmissionLimit;
use verbenaturn::gateway::decide::AdmissionRequest;
use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::AttemptTicket;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::endpoints::PeerLoad;
use verbenaturn::gateway::decide::shares::TeamFlow;
use verbenaturn::gateway::protocol::PartId;
use verbenaturn::gateway::protocol::PromptPart;
use verbenaturn::gateway::protocol::PromptShape;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::gateway::routes::EngineShape;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::gateway::routes::Repeatability;
use verbenaturn::gateway::routes::RouteEntry;
use verbenaturn::gateway::routes::RouteKey;
use verbenaturn::gateway::routes::ServiceEntry;
use verbenaturn::gateway::routes::ServiceKey;
use verbenaturn::gateway::routes::SoftwareVersion;
use verbenaturn::gateway::routes::TeamKey;
use verbenaturn::units::Moment;
use verbenaturn::units::RequestFingerprint;
use verbenaturn::units::TimeSpan;

/// Prompt tokens that an engine reads per ms.
pub const READ_TOKENS_PER_MS: f64 = 50.0;
/// Number of engines.
const ENGINES: usize = 18;
/// Number of routers.
const ROUTERS: usize = 8;
/// Requests that an engine runs at once.
const SLOTS: u32 = 32;
/// Time for which an engine caches an unused part, in us.
const CACHE_US: u64 = 10_000_000;
/// Interval between two digests of a router, in us.
const DIGEST_US: u64 = 100_000;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct LoadKind {
    /// Requests a second.
    pub per_s: f64,
    /// Mean size of a prompt's own part, in tokens.
    pub own_tokens: f64,
    /// Size of the shared part, in tokens.
    pub shared_tokens: u32,
    /// Number of different shared parts.
    pub parts: u64,
    /// Objective for the time to the first token, in ms.
    pub objective_ms: u64,
}

/// How requests are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Endpoints in turn, without refusals.
    RoundRobin,
    /// Decisions of the gateway's core.
    Gateway,
}

/// Result of a simulation.
#[derive(Debug, Clone, Default)]
pub struct LoadResult {
    /// Requests received, by kind.
    pub asked: Vec<u32>,
    /// Requests whose first token came within the objective, by kind.
    pub in_time: Vec<u32>,
    /// Requests refused, by kind.
    pub refused: Vec<u32>,
    /// Requests received and sent of the longest tenth of the first kind.
    pub longest: (u32, u32),
    /// Tokens of shared parts that were read although another engine had them cached.
    pub read_again: f64,
}

impl LoadResult {
    /// Fraction of all requests whose first token came within the objective.
    pub fn in_time_part(&self) -> f64 {
        let in_time: u32 = self.in_time.iter().sum();
        let asked: u32 = self.asked.iter().sum();
        f64::from(in_time) / f64::from(asked)
    }
}

/// A route with this name and objective.
pub fn route(name: &str, objective_ms: u64) -> RouteEntry {
    RouteEntry {
        name: RouteKey(SmolStr::new(name)),
        prefix: SmolStr::new("/"),
        repeats: Repeatability::Resumable,
        streams: true,
        split: Vec::new(),
        max_attempts: 2,
        timeout_ms: 15_000,
        objective_ms,
        priority: 1,
        public: false,
    }
}

/// Endpoints of one service.
pub fn endpoints(service: &str, count: usize) -> BTreeMap<EndpointKey, EndpointEntry> {
    (0..count)
        .map(|index| {
            let key = EndpointKey(SmolStr::new(format!("{service}-{index}")));
            let entry = EndpointEntry {
                key: key.clone(),
                born: ProcessStartTime(1),
                software: SoftwareVersion(SmolStr::new("v1")),
                service: ServiceKey(SmolStr::new(service)),
                address: "127.0.0.1:1".parse().unwrap(),
                domain: SmolStr::new("suva-a"),
                slots: SLOTS,
                state: EndpointState::Ready,
            };
            (key, entry)
        })
        .collect()
}

/// The published entry of the engines' service.
pub fn engine_service() -> ServiceEntry {
    ServiceEntry {
        max_connections: 240,
        engine: Some(EngineShape {
            slots: SLOTS,
            memory_tokens: 500_000,
            token_bytes: 0,
            memory_link: None,
        }),
    }
}

/// A call with this prompt.
pub fn ask<'a>(
    route: &'a RouteEntry,
    service: &'a ServiceKey,
    shape: &'a ServiceEntry,
    team: &'a TeamKey,
    prompt: &'a PromptShape,
) -> AdmissionRequest<'a> {
    AdmissionRequest {
        route,
        service,
        shape: Some(shape),
        team: Some(team),
        prompt: Some(prompt),
        software: None,
        tried: &[],
        fingerprint: RequestFingerprint(0),
        waited: TimeSpan(0),
        left: TimeSpan::from_millis(route.timeout_ms),
        limit: AdmissionLimit::Objective,
    }
}

/// Sends one team's prompt to an engine. Panics if it is refused.
pub fn sent(
    core: &mut GatewayCore,
    now: Moment,
    route: &RouteEntry,
    prompt: &PromptShape,
) -> AttemptTicket {
    let shape = engine_service();
    let (service, team) = ("engine".parse().unwrap(), TeamKey(SmolStr::new("nadi")));
    let call = ask(route, &service, &shape, &team, prompt);
    let standing = core.arrived(now, &call);
    match core.admit(now, &call, standing) {
        Admission::Send(ticket) => ticket,
        refusal @ Admission::Refuse { .. } => panic!("{refusal:?}"),
    }
}

#[derive(Debug, Default)]
struct ModelEngine {
    reads_until: f64,
    kept: BTreeMap<u64, u64>,
}

struct Running {
    router: usize,
    ticket: AttemptTicket,
    first_at: u64,
    ends_at: u64,
    is_reading: bool,
}

/// Simulates a load for this many seconds.
pub fn simulate(
    kinds: &[LoadKind],
    seconds: u64,
    seed: u64,
    policy: PlacementPolicy,
) -> LoadResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let service = ServiceKey(SmolStr::new("engine"));
    let shape = engine_service();
    let team = TeamKey(SmolStr::new("nadi"));
    let routes: Vec<_> = kinds
        .iter()
        .enumerate()
        .map(|(index, kind)| route(&format!("kind-{index}"), kind.objective_ms))
        .collect();
    let all = endpoints("engine", ENGINES);
    let keys: Vec<EndpointKey> = all.keys().cloned().collect();
    let mut cores: Vec<GatewayCore> = (0..ROUTERS)
        .map(|_| GatewayCore::new(GatewayConfig::default(), SmolStr::new("suva-a")))
        .collect();
    for core in &mut cores {
        core.set_endpoints(Moment(0), &all);
    }
    let mut engines: BTreeMap<EndpointKey, ModelEngine> = BTreeMap::new();
    let mut running: Vec<Running> = Vec::new();
    let mut anywhere: BTreeMap<u64, u64> = BTreeMap::new();
    let mut result = LoadResult {
        asked: vec![0; kinds.len()],
        in_time: vec![0; kinds.len()],
        refused: vec![0; kinds.len()],
        ..LoadResult::default()
    };
    let total: f64 = kinds.iter().map(|kind| kind.per_s).sum();
    let (mut now, mut next_digest, mut turn) = (0_u64, 0_u64, 0_usize);
    while now < seconds * 1_000_000 {
        now += micros(-rng.random::<f64>().max(1e-9).ln() / total * 1e6);
        advance(&mut cores, &mut running, now);
        if now >= next_digest {
            next_digest = now + DIGEST_US;
            exchange_loads(&mut cores);
        }
        let mut draw = rng.random::<f64>() * total;
        let index = kinds.iter().position(|kind| {
            draw -= kind.per_s;
            draw < 0.0
        });
        let index = index.unwrap_or(kinds.len() - 1);
        let kind = kinds[index];
        let (prompt, part) = prompt_of(&kind, index, &mut rng);
        let own = f64::from(prompt.prompt_tokens) - f64::from(kind.shared_tokens);
        let is_long = index == 0 && own > 2.3 * kind.own_tokens;
        let receiver = rng.random_range(0..ROUTERS);
        result.asked[index] += 1;
        result.longest.0 += u32::from(is_long);
        let call = ask(&routes[index], &service, &shape, &team, &prompt);
        let standing = cores[receiver].arrived(Moment(now), &call);
        let ticket = match policy {
            PlacementPolicy::Gateway => match cores[receiver].admit(Moment(now), &call, standing) {
                Admission::Send(ticket) => Some(ticket),
                Admission::Refuse { .. } => {
                    result.refused[index] += 1;
                    continue;
                }
            },
            PlacementPolicy::RoundRobin => None,
        };
        result.longest.1 += u32::from(is_long);
        turn += 1;
        let key = ticket
            .as_ref()
            .map_or(&keys[turn % keys.len()], |ticket| &ticket.entry.key);
        let engine = engines.entry(key.clone()).or_default();
        let is_cached = engine.kept.get(&part).is_some_and(|at| now - at < CACHE_US);
        let is_cached_elsewhere = anywhere.get(&part).is_some_and(|at| now - at < CACHE_US);
        let shared = f64::from(kind.shared_tokens);
        let reads = if is_cached { own } else { own + shared };
        if !is_cached && is_cached_elsewhere {
            result.read_again += shared;
        }
        engine.kept.insert(part, now);
        anywhere.insert(part, now);
        engine.reads_until =
            engine.reads_until.max(as_float(now)) + reads / READ_TOKENS_PER_MS * 1e3;
        let first_at = micros(engine.reads_until) + 10_000;
        if first_at - now <= kind.objective_ms * 1_000 {
            result.in_time[index] += 1;
        }
        if let Some(ticket) = ticket {
            running.push(Running {
                router: receiver,
                ticket,
                first_at,
                ends_at: first_at + 1_000_000,
                is_reading: true,
            });
        }
    }
    result
}

fn prompt_of(kind: &LoadKind, index: usize, rng: &mut StdRng) -> (PromptShape, u64) {
    // A log-normal size with a standard deviation about as large as its mean.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let own = (kind.own_tokens * (0.9 * normal - 0.4).exp()).clamp(16.0, kind.own_tokens * 8.0);
    let part = index as u64 * 1_000 + rng.random_range(0..kind.parts);
    let own = u32::try_from(micros(own)).unwrap();
    let parts = vec![
        PromptPart {
            id: PartId(part),
            tokens: kind.shared_tokens,
        },
        PromptPart {
            id: PartId(rng.random()),
            tokens: own,
        },
    ];
    let shape = PromptShape {
        prompt_tokens: kind.shared_tokens + own,
        output_limit: 300,
        output_hint: None,
        parts,
    };
    (shape, part)
}

/// Reports to the cores the first tokens and ends of requests up to now, in us.
fn advance(cores: &mut [GatewayCore], running: &mut Vec<Running>, now: u64) {
    for run in running.iter_mut() {
        if run.is_reading && run.first_at <= now {
            run.is_reading = false;
            cores[run.router].first_output(Moment(run.first_at), &mut run.ticket);
        }
    }
    let (ended, still): (Vec<_>, Vec<_>) = std::mem::take(running)
        .into_iter()
        .partition(|run| run.ends_at <= now);
    *running = still;
    for run in ended {
        cores[run.router].ended(Moment(run.ends_at), run.ticket, AttemptEnd::Answered);
    }
}

/// Delivers every router's load to all others.
fn exchange_loads(cores: &mut [GatewayCore]) {
    let digests: Vec<BTreeMap<u32, PeerLoad>> = cores
        .iter()
        .map(|core| {
            let rows = core.endpoints.rows();
            rows.map(|row| {
                let load = PeerLoad {
                    active: row.active,
                    pending_tokens: row.pending_tokens,
                    ..PeerLoad::default()
                };
                (row.life, load)
            })
            .collect()
        })
        .collect();
    for (index, core) in cores.iter_mut().enumerate() {
        let mut sums: BTreeMap<u32, PeerLoad> = BTreeMap::new();
        for loads in digests
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
        {
            for (endpoint, load) in loads.1 {
                let sum = sums.entry(*endpoint).or_default();
                sum.active += load.active;
                sum.pending_tokens += load.pending_tokens;
            }
        }
        core.set_peer_loads(&sums);
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn micros(value: f64) -> u64 {
    value as u64
}

#[allow(clippy::cast_precision_loss)]
fn as_float(value: u64) -> f64 {
    value as f64
}

/// A router that has this list of endpoints and no other state.
pub fn router_with(entries: &BTreeMap<EndpointKey, EndpointEntry>) -> GatewayCore {
    let mut core = GatewayCore::new(GatewayConfig::default(), "suva-a".into());
    core.set_endpoints(Moment(0), entries);
    core
}

/// Number of endpoints to which a router may send work.
pub fn ready(core: &GatewayCore, now: Moment) -> usize {
    let rows = core.endpoints.rows();
    rows.filter(|row| row.is_ready(now)).count()
}

/// The moment this many ms after the start.
pub fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

/// A core with three engines.
pub fn three_engines() -> GatewayCore {
    let mut core = GatewayCore::new(GatewayConfig::default(), SmolStr::new("suva-a"));
    core.set_endpoints(Moment(0), &endpoints("engine", 3));
    core
}

/// A prompt of one shared part and one of its own, with their sizes in tokens.
pub fn prompt(part: u64, shared: u32, own: u32) -> PromptShape {
    PromptShape {
        prompt_tokens: shared + own,
        output_limit: 100,
        output_hint: None,
        parts: vec![
            PromptPart {
                id: PartId(part),
                tokens: shared,
            },
            PromptPart {
                id: PartId(0),
                tokens: own,
            },
        ],
    }
}

/// Flow reported by other routers for a team with this demand.
pub fn asked(tokens_per_s: f64) -> TeamFlow {
    TeamFlow {
        asked: tokens_per_s,
        served: 0.0,
        ..TeamFlow::default()
    }
}

/// The engines' service.
pub fn service() -> ServiceKey {
    ServiceKey(SmolStr::new("engine"))
}

/// The team of most tests.
pub fn nadi() -> TeamKey {
    TeamKey(SmolStr::new("nadi"))
}

/// The endpoint to which a core sends a prompt; `None` if it refuses it.
pub fn place_of(core: &mut GatewayCore, now: Moment, prompt: &PromptShape) -> Option<EndpointKey> {
    let (route, service, shape, team) = (route("r", 800), service(), engine_service(), nadi());
    let call = ask(&route, &service, &shape, &team, prompt);
    let standing = core.arrived(now, &call);
    match core.admit(now, &call, standing) {
        Admission::Send(ticket) => Some(ticket.entry.key),
        Admission::Refuse { .. } => None,
    }
}
