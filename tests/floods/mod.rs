//! Simulation of a fleet that shares out the capacity of its engines, without a network: routers
//! with share tables, gossip that reaches a few peers per round, and teams that flood some of the
//! routers.
//!
//! Load pattern: a few teams ask many times their shares, each through its own routers, and begin
//! at different moments. Prompt sizes have a heavy tail.
// Each test file that includes this module uses a part of it.
#![allow(dead_code)]

use std::net::IpAddr;
use std::net::Ipv4Addr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;

use verbenaturn::gateway::decide::shares::ShareStanding;
use verbenaturn::gateway::decide::shares::ShareTable;
use verbenaturn::gateway::digest::DemandColumns;
use verbenaturn::gateway::digest::RouterDigest;
use verbenaturn::gateway::gossip::messages_per_round;
use verbenaturn::gateway::peer_table::PeerTable;
use verbenaturn::gateway::routes::TeamKey;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

/// Gossip interval of a router, in ms.
const ROUND_MS: u64 = 100;
/// Silence after which a router counts as gone, in ms; longer than any silence in the simulation.
const PEER_TIMEOUT_MS: u64 = 10_000;
/// Share window, in ms.
const SHARE_WINDOW_MS: u64 = 4_000;
/// Mean and largest size of a request, in tokens.
const MEAN_TOKENS: f64 = 4_000.0;
const MOST_TOKENS: f64 = 70_000.0;

/// A team's load.
#[derive(Debug, Clone)]
pub struct TeamLoad {
    /// Routers that its callers use: index of the first, and their number.
    pub routers: (usize, usize),
    /// Phases of its demand: start in ms, and tokens a second.
    pub phases: Vec<(u64, f64)>,
    /// When its callers move to other routers, in ms, and those routers.
    pub moves: Option<(u64, (usize, usize))>,
}

impl TeamLoad {
    /// A team with constant demand.
    pub fn steady(routers: (usize, usize), tokens_per_s: f64) -> Self {
        Self {
            routers,
            phases: vec![(0, tokens_per_s)],
            moves: None,
        }
    }

    /// A team that begins a flood at a moment, in ms.
    pub fn flood(routers: (usize, usize), before: f64, from_ms: u64, tokens_per_s: f64) -> Self {
        Self {
            routers,
            phases: vec![(0, before), (from_ms, tokens_per_s)],
            moves: None,
        }
    }

    fn routers_at(&self, ms: u64) -> (usize, usize) {
        let moved = self.moves.filter(|(from, _)| *from <= ms);
        moved.map_or(self.routers, |(_, routers)| routers)
    }

    fn rate(&self, ms: u64) -> f64 {
        let begun = self.phases.iter().rev().find(|(from, _)| *from <= ms);
        begun.map_or(0.0, |(_, rate)| *rate)
    }
}

/// Size and capacity of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetShape {
    /// Number of routers.
    pub routers: usize,
    /// Published rate that is shared out, in tokens a second.
    pub published: f64,
    /// Rate at which the engines can start requests, in tokens a second.
    pub engines: f64,
}

/// Demand and service of one team, in buckets of [`BUCKET_MS`].
#[derive(Debug, Clone, Default)]
pub struct TeamTrace {
    /// Tokens asked.
    pub asked: Vec<f64>,
    /// Tokens served.
    pub served: Vec<f64>,
    /// Requests refused.
    pub refused: Vec<u32>,
}

/// Length of a bucket of a trace, in ms.
pub const BUCKET_MS: u64 = 500;

struct ModelRouter {
    shares: ShareTable,
    peers: PeerTable,
    address: IpAddr,
    next: usize,
    /// Recent demand in tokens, which decides how many messages it sends per round.
    recent_tokens: f64,
}

/// Draws a log-normal prompt size, in tokens, whose standard deviation exceeds its mean.
fn tokens(rng: &mut StdRng) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (MEAN_TOKENS * (1.2 * normal - 0.72).exp()).clamp(100.0, MOST_TOKENS)
}

fn team_key(index: usize) -> TeamKey {
    TeamKey(SmolStr::new(format!("team-{index}")))
}

fn routers(count: usize) -> Vec<ModelRouter> {
    (0..count)
        .map(|index| ModelRouter {
            shares: ShareTable::new(TimeSpan::from_millis(SHARE_WINDOW_MS)),
            peers: PeerTable::default(),
            address: IpAddr::V4(Ipv4Addr::from(0x0a00_0001 + u32::try_from(index).unwrap())),
            next: index,
            recent_tokens: 0.0,
        })
        .collect()
}

/// Simulates a load for this many ms.
///
/// Engines refuse what they can't start, whichever team asks. Requests beyond a team's share are
/// refused, as if the engines had no spare capacity.
pub fn simulate(
    fleet: FleetShape,
    loads: &[TeamLoad],
    length_ms: u64,
    seed: u64,
) -> Vec<TeamTrace> {
    simulate_with(fleet, SpareRoom::None, loads, length_ms, seed)
}

/// How requests beyond their teams' shares are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpareRoom {
    /// They are refused.
    None,
    /// They are sent if the predicted time to the first output is below a fraction of the objective
    /// that shrinks as the team's service grows, as in the routers.
    ByQueue,
}

/// Objective for the time to a first output, in ms, and the fraction of it up to which a request
/// beyond its team's share is sent if the team is served exactly its share.
const OBJECTIVE_MS: f64 = 700.0;
const BEYOND_PART: f64 = 0.3;

/// Tokens that an engine reads per ms, and the time to a first output in addition to reading, in
/// ms.
const TOKENS_PER_MS: f64 = 61.0;
const IDLE_MS: f64 = 12.0;

/// Queue at which an engine starts nothing new, in ms.
const FULL_QUEUE_MS: f64 = 300.0;

impl SpareRoom {
    /// Returns true if a request is sent when this fraction of the engines' room is left, from 0 to
    /// 1.
    fn takes(self, standing: ShareStanding, room: f64, size: f64) -> bool {
        let part = match (standing, self) {
            (ShareStanding::Within, _) => return room > 0.0,
            (ShareStanding::Beyond(_), Self::None) => return false,
            (ShareStanding::Beyond(served), Self::ByQueue) => BEYOND_PART / (served * served),
        };
        let first_ms = IDLE_MS + size / TOKENS_PER_MS + (1.0 - room) * FULL_QUEUE_MS;
        room > 0.0 && first_ms < part * OBJECTIVE_MS
    }
}

/// A router that lags by turns and then refuses all requests without looking at them.
#[derive(Debug, Clone, Copy)]
pub struct LateRouter {
    /// Index of the router.
    pub router: usize,
    /// It lags at the start of each period, in ms.
    pub period_ms: u64,
    /// Time for which it lags in each period, in ms.
    pub late_ms: u64,
    /// Offset of its periods, in ms.
    pub phase_ms: u64,
}

impl LateRouter {
    fn is_late(&self, ms: u64) -> bool {
        (ms + self.phase_ms) % self.period_ms < self.late_ms
    }
}

/// Faults of a simulation.
#[derive(Debug, Clone, Default)]
pub struct FleetFaults {
    /// Routers that lag.
    pub late: Vec<LateRouter>,
    /// From which ms on the engines can start how many tokens a second.
    pub engines: Vec<(u64, f64)>,
}

impl FleetFaults {
    fn is_late(&self, router: usize, ms: u64) -> bool {
        let mut late = self.late.iter();
        late.any(|late| late.router == router && late.is_late(ms))
    }

    fn engines(&self, fleet: FleetShape, ms: u64) -> f64 {
        let begun = self.engines.iter().rev().find(|(from, _)| *from <= ms);
        begun.map_or(fleet.engines, |(_, rate)| *rate)
    }
}

/// Simulates a load as [`simulate`] does, with engines that may have capacity beyond the published
/// rate.
pub fn simulate_with(
    fleet: FleetShape,
    spare: SpareRoom,
    loads: &[TeamLoad],
    length_ms: u64,
    seed: u64,
) -> Vec<TeamTrace> {
    simulate_faults(
        fleet,
        spare,
        &FleetFaults::default(),
        loads,
        length_ms,
        seed,
    )
}

/// Simulates a load as [`simulate_with`] does, with faults.
pub fn simulate_faults(
    fleet: FleetShape,
    spare: SpareRoom,
    faults: &FleetFaults,
    loads: &[TeamLoad],
    length_ms: u64,
    seed: u64,
) -> Vec<TeamTrace> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet_routers = routers(fleet.routers);
    let buckets = usize::try_from(length_ms / BUCKET_MS).unwrap();
    let trace = TeamTrace {
        asked: vec![0.0; buckets],
        served: vec![0.0; buckets],
        refused: vec![0; buckets],
    };
    let mut traces = vec![trace; loads.len()];
    let mut room = 0.0_f64;
    for ms in 0..length_ms {
        let now = Moment(ms * 1_000);
        let bucket = usize::try_from(ms / BUCKET_MS).unwrap();
        let engines = faults.engines(fleet, ms);
        let most_room = engines * FULL_QUEUE_MS / 1e3;
        room = (room + engines / 1e3).min(most_room);
        gossip_round(&mut fleet_routers, ms, fleet.published);
        for (index, load) in loads.iter().enumerate() {
            let expected = load.rate(ms) / MEAN_TOKENS / 1e3;
            let mut left = expected;
            while left > 0.0 && rng.random::<f64>() < left.min(1.0) {
                left -= 1.0;
                let size = tokens(&mut rng);
                let (first, count) = load.routers_at(ms);
                let receiver = (first + rng.random_range(0..count)) % fleet.routers;
                let router = &mut fleet_routers[receiver];
                let team = team_key(index);
                let trace = &mut traces[index];
                trace.asked[bucket] += size;
                if faults.is_late(receiver, ms) {
                    router.shares.count_unseen(now, &team, size);
                    trace.refused[bucket] += 1;
                    continue;
                }
                router.recent_tokens += size;
                let standing = router.shares.ask(now, &team, size);
                if spare.takes(standing, room / most_room, size) {
                    room -= size;
                    router.shares.serve(now, &team, size);
                    trace.served[bucket] += size;
                } else {
                    trace.refused[bucket] += 1;
                }
            }
        }
    }
    traces
}

/// Runs the gossip round of each router whose round begins in this ms: sets shares from the digests
/// received, and sends its own digest.
fn gossip_round(fleet: &mut [ModelRouter], ms: u64, published: f64) {
    let now = Moment(ms * 1_000);
    let timeout = TimeSpan::from_millis(PEER_TIMEOUT_MS);
    let all: f64 = fleet.iter().map(|router| router.recent_tokens).sum();
    let count = fleet.len();
    for index in 0..count {
        let phase = index as u64 * ROUND_MS / count as u64;
        if !(ms + phase).is_multiple_of(ROUND_MS) {
            continue;
        }
        let router = &mut fleet[index];
        let elsewhere = router.peers.flows(now, timeout);
        router.shares.share_out(now, published, &elsewhere);
        let digest = RouterDigest {
            incarnation: 1,
            sequence: ms / ROUND_MS + 1,
            demands: DemandColumns::of(&router.shares.flows(now)),
            ..RouterDigest::default()
        };
        let others = whole(all - router.recent_tokens);
        let wanted = messages_per_round(count - 1, whole(router.recent_tokens), others);
        router.recent_tokens *= 0.9;
        let (address, start) = (router.address, router.next);
        router.next = (start + wanted) % count;
        for step in 1..=wanted {
            let receiver = (start + step) % count;
            if receiver != index {
                fleet[receiver].peers.take(now, address, digest.clone());
            }
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(value: f64) -> u64 {
    value.max(0.0) as u64
}

/// Span over which service is compared, in ms.
const SPAN_MS: u64 = 6_000;

/// Tolerance of a comparison, in requests of the largest size.
const SLACK_REQUESTS: f64 = 3.0;

/// A team that had requests refused throughout a span and got less than its due.
#[derive(Debug, PartialEq)]
pub struct ShortTeam {
    /// The team.
    pub team: usize,
    /// When the span began, in ms.
    pub from_ms: u64,
    /// Its demand, its service, and the service of the best served team, in tokens.
    pub figures: (f64, f64, f64),
}

/// Teams that had requests refused in each of six seconds and got less than half of their demand or
/// of the best served team's service, whichever is less.
pub fn short_teams(traces: &[TeamTrace], warm_ms: u64) -> Vec<ShortTeam> {
    spans(traces, warm_ms)
        .filter(|span| span.figures.1 < span.owed())
        .collect()
}

impl ShortTeam {
    /// The tokens that the team is owed in the span.
    fn owed(&self) -> f64 {
        let (asked, _, best) = self.figures;
        asked.min(best) / 2.0 - SLACK_REQUESTS * MOST_TOKENS
    }
}

/// All spans of [`SPAN_MS`] in which a team had requests refused in each second.
fn spans(traces: &[TeamTrace], warm_ms: u64) -> impl Iterator<Item = ShortTeam> + '_ {
    let span = usize::try_from(SPAN_MS / BUCKET_MS).unwrap();
    let second = usize::try_from(1_000 / BUCKET_MS).unwrap();
    let first = usize::try_from(warm_ms / BUCKET_MS).unwrap();
    let length = traces.first().map_or(0, |trace| trace.asked.len());
    (first..=length.saturating_sub(span)).flat_map(move |from| {
        let sum = move |values: &[f64]| values[from..from + span].iter().sum::<f64>();
        let best = traces.iter().map(|trace| sum(&trace.served));
        let best = best.fold(0.0, f64::max);
        let waiting = traces.iter().enumerate().filter(move |(_, trace)| {
            let mut seconds = trace.refused[from..from + span].chunks(second);
            seconds.all(|second| second.iter().sum::<u32>() > 0)
        });
        waiting.map(move |(team, trace)| ShortTeam {
            team,
            from_ms: from as u64 * BUCKET_MS,
            figures: (sum(&trace.asked), sum(&trace.served), best),
        })
    })
}
