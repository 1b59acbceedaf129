//! The scenarios, each with its load and faults.

use std::collections::BTreeMap;

use verbenaturn::catalog::EndpointEntry;
use verbenaturn::catalog::FenceCheck;
use verbenaturn::catalog::FleetCatalog;
use verbenaturn::catalog::KindEntry;
use verbenaturn::catalog::PoolEntry;
use verbenaturn::catalog::PoolProtocol;
use verbenaturn::catalog::TeamEntry;
use verbenaturn::catalog::UrgencyClass;
use verbenaturn::units::ConfigRevision;
use verbenaturn::units::EndpointId;
use verbenaturn::units::EndpointName;
use verbenaturn::units::KindName;
use verbenaturn::units::PoolId;
use verbenaturn::units::PoolName;
use verbenaturn::units::ShareWeight;
use verbenaturn::units::SlotCount;
use verbenaturn::units::TeamId;
use verbenaturn::units::TeamName;
use verbenaturn::units::TimeSpan;

use super::faults::FleetFault;
use super::load::CallPace;
use super::load::CallStream;

/// Sizes of one deployment.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of routers.
    pub routers: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of portal or tablet endpoints.
    pub plain: usize,
}

/// The Registry's deployment.
pub const REGISTRY: FleetSize = FleetSize {
    name: "registry",
    routers: 8,
    teams: 16,
    engines: 20,
    plain: 3,
};
/// Wickramasinghe's deployment.
pub const WICKRAMASINGHE: FleetSize = FleetSize {
    name: "wickramasinghe",
    routers: 8,
    teams: 16,
    engines: 12,
    plain: 4,
};

/// Concurrent requests of one engine.
const ENGINE_SLOTS: u32 = 16;
/// Concurrent requests of one portal or tablet endpoint.
const PLAIN_SLOTS: u32 = 8;
/// Tokens per second of one call.
const TOKEN_RATE: u64 = 40;

/// One scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetScenario {
    /// Name of the scenario.
    pub name: &'static str,
    /// Length in microseconds.
    pub end_us: u64,
}

const fn scenario(name: &'static str, seconds: u64) -> FleetScenario {
    FleetScenario {
        name,
        end_us: seconds * 1_000_000,
    }
}

/// All scenarios except `slopes`.
pub const SCENARIOS: [FleetScenario; 16] = [
    scenario("steady", 60),
    scenario("skew", 60),
    scenario("flood", 60),
    scenario("head_of_line", 60),
    scenario("lying_hints", 60),
    scenario("churn", 60),
    scenario("leaving", 40),
    scenario("partition", 60),
    scenario("restart", 60),
    scenario("stale_config", 40),
    scenario("pause", 40),
    scenario("poison", 40),
    scenario("overload", 60),
    scenario("orders", 240),
    scenario("noise", 60),
    scenario("mixed", 60),
];

/// Returns the name of team `index`.
pub fn team_name(index: usize) -> TeamName {
    format!("team-{index:05}").parse().expect("a valid name")
}

/// Returns the name of the model engines' pool.
pub fn engine_pool() -> PoolName {
    "model".parse().expect("a valid name")
}

/// Returns the pool of a second model that every engine can load in the scenario `orders`.
pub fn other_pool() -> PoolName {
    "other-model".parse().expect("a valid name")
}

/// Builds the catalog of a scenario.
pub fn catalog_for(scenario: FleetScenario, size: FleetSize) -> FleetCatalog {
    let mut catalog = catalog(size);
    if scenario.name != "orders" {
        return catalog;
    }
    let engine = PoolId::from(&engine_pool());
    let other = PoolId::from(&other_pool());
    let mut entry = catalog.pools[&engine].clone();
    for endpoint in &entry.endpoints {
        if let Some(row) = catalog.endpoints.get_mut(endpoint) {
            row.pools.push(other);
        }
    }
    entry.name = other_pool();
    catalog.pools.insert(other, entry);
    catalog
}

/// Returns the name of the portal or tablet endpoints' pool.
pub fn plain_pool() -> PoolName {
    "portal".parse().expect("a valid name")
}

fn kind(urgency: UrgencyClass, unrepeatable: bool) -> KindEntry {
    KindEntry {
        urgency,
        unrepeatable,
        deadline: TimeSpan::from_millis(600_000),
        goal: TimeSpan::from_millis(10_000),
        objective_per_mille: 990,
        method: None,
        path_prefix: None,
    }
}

fn kind_name(text: &str) -> KindName {
    text.parse().expect("a valid name")
}

/// Builds a catalog for a fleet size. Each group of four teams has the same share, and the shares
/// of successive groups are 1, 2, 3, 4, repeating. The first team of each group has a large load.
pub fn catalog(size: FleetSize) -> FleetCatalog {
    let mut catalog = FleetCatalog {
        revision: ConfigRevision(1),
        ..FleetCatalog::default()
    };
    for index in 0..size.teams {
        let kinds = BTreeMap::from([
            (kind_name("review"), kind(UrgencyClass::Batch, false)),
            (kind_name("query"), kind(UrgencyClass::Interactive, false)),
            (kind_name("tag"), kind(UrgencyClass::Interactive, true)),
        ]);
        let name = team_name(index);
        let entry = TeamEntry {
            share: ShareWeight(1 + u32::try_from(index / 4 % 4).unwrap_or(0)),
            key_hashes: Vec::new(),
            queue_limit: 256,
            kinds,
            default_kind: kind_name("query"),
            name: name.clone(),
        };
        catalog.teams.insert(TeamId::from(&name), entry);
    }
    add_pool(
        &mut catalog,
        &engine_pool(),
        PoolProtocol::Engine,
        size.engines,
        ENGINE_SLOTS,
    );
    let plain = PoolProtocol::Plain {
        prefix: "/portal".into(),
    };
    add_pool(&mut catalog, &plain_pool(), plain, size.plain, PLAIN_SLOTS);
    catalog
}

fn add_pool(
    catalog: &mut FleetCatalog,
    name: &PoolName,
    protocol: PoolProtocol,
    count: usize,
    slots: u32,
) {
    let mut endpoints = Vec::new();
    for index in 0..count {
        let endpoint: EndpointName = format!("{name}-{index}").parse().expect("a valid name");
        let id = EndpointId::from(&endpoint);
        let port = 9_000 + u16::try_from(catalog.endpoints.len()).unwrap_or(0);
        let entry = EndpointEntry {
            name: endpoint,
            address: ([127, 0, 0, 1], port).into(),
            pools: vec![PoolId::from(name)],
            domain: format!("domain-{}", index % 3)
                .parse()
                .expect("a valid name"),
            slots: SlotCount(slots),
            fence_check: FenceCheck::Checked,
            leaving: false,
        };
        catalog.endpoints.insert(id, entry);
        endpoints.push(id);
    }
    endpoints.sort_unstable();
    let entry = PoolEntry {
        name: name.clone(),
        protocol,
        endpoints,
    };
    catalog.pools.insert(PoolId::from(name), entry);
}

fn stream(team: usize, kind: &str, costs: (u64, u64), pace: CallPace, depth: u32) -> CallStream {
    CallStream {
        team: TeamId::from(&team_name(team)),
        kind: kind_name(kind),
        pool: PoolId::from(&engine_pool()),
        costs,
        rate: TOKEN_RATE,
        pace,
        depth,
        router: None,
        span: (0, u64::MAX),
        unrepeatable: kind == "tag",
        poison: false,
    }
}

fn portal(team: usize, per_s: f64) -> CallStream {
    let portal = stream(team, "query", (10, 40), CallPace::Open(per_s), 1);
    CallStream {
        pool: PoolId::from(&plain_pool()),
        rate: 1_000,
        ..portal
    }
}

fn slots_of(size: FleetSize) -> u32 {
    u32::try_from(size.engines).unwrap_or(1) * ENGINE_SLOTS
}

/// Load that most scenarios share: every fourth team is backlogged with reviews and queries, the
/// others send a few queries and tags, and all use the portal.
fn base_load(size: FleetSize) -> Vec<CallStream> {
    let mut streams = Vec::new();
    let deep = slots_of(size) / 2;
    for team in 0..size.teams {
        if team % 4 == 0 {
            streams.push(stream(team, "review", (200, 1_200), CallPace::Closed, deep));
            streams.push(stream(team, "query", (40, 200), CallPace::Closed, deep / 4));
        } else {
            streams.push(stream(team, "query", (40, 200), CallPace::Open(1.0), 1));
            streams.push(stream(team, "tag", (10, 30), CallPace::Open(0.5), 1));
        }
        streams.push(portal(team, 5.0));
    }
    streams
}

/// Greatest fairness gap allowed, in service units per share: one team's most expensive requests
/// take every engine slot just before another team begins to wait. See
/// docs/design/fairness.md.
pub fn gap_bound(size: FleetSize, streams: &[CallStream]) -> f64 {
    let engine = PoolId::from(&engine_pool());
    let costs = streams.iter().filter(|stream| stream.pool == engine);
    let max_cost = costs.map(|stream| stream.costs.1).max().unwrap_or(0);
    let units = u64::from(slots_of(size)) * max_cost;
    f64::from(u32::try_from(units).unwrap_or(u32::MAX))
}

/// Returns the load of a scenario.
pub fn load(scenario: FleetScenario, size: FleetSize) -> Vec<CallStream> {
    let mut streams = base_load(size);
    let slots = slots_of(size);
    let closed = CallPace::Closed;
    match scenario.name {
        "skew" => {
            for (place, stream) in streams.iter_mut().enumerate() {
                stream.router = (place % 3 != 0).then_some(place % 5);
            }
        }
        "flood" => streams.push(stream(1, "query", (40, 200), closed, slots * 5)),
        "head_of_line" => streams.push(stream(2, "review", (800, 1_200), closed, slots * 2)),
        "lying_hints" => {
            streams.push(stream(1, "query", (4, 20), closed, slots / 4));
            streams.push(stream(1, "query", (400, 2_000), closed, slots / 4));
        }
        "churn" => {
            for (place, stream) in streams
                .iter_mut()
                .enumerate()
                .filter(|(place, _)| place % 2 == 0)
            {
                let from = (place as u64 % 7) * 4_000_000;
                stream.span = (from, from + 20_000_000);
            }
        }
        "orders" => {
            let other = stream(2, "query", (40, 200), closed, slots);
            let pool = PoolId::from(&other_pool());
            let span = (5_000_000, u64::MAX);
            streams.push(CallStream {
                pool,
                span,
                ..other
            });
        }
        "poison" => {
            let poison = stream(3, "query", (100, 100), CallPace::Open(0.2), 1);
            streams.push(CallStream {
                poison: true,
                ..poison
            });
        }
        "overload" => {
            for team in 0..size.teams {
                let rate = f64::from(slots) * 40.0 * 2.0 / 120.0 / 16.0;
                let open = stream(team, "query", (40, 200), CallPace::Open(rate), 1);
                streams.push(CallStream {
                    span: (5_000_000, 25_000_000),
                    ..open
                });
            }
        }
        _ => {}
    }
    streams
}

/// Returns the faults of a scenario with their times in microseconds from its start. `draw` is a
/// pseudo-random number derived from the seed.
pub fn faults(scenario: FleetScenario, draw: u64) -> Vec<(u64, FleetFault)> {
    let second = 1_000_000;
    let one = usize::try_from(draw % 8).unwrap_or(0);
    let other = (one + 1 + usize::try_from(draw / 8 % 6).unwrap_or(0)) % 8;
    match scenario.name {
        "leaving" => vec![
            (10 * second, FleetFault::Leave(one, other)),
            (15 * second, FleetFault::Partition(other.max(1))),
            (16 * second, FleetFault::Leave(one + 1, other)),
            (25 * second, FleetFault::Heal),
        ],
        "partition" => vec![
            (15 * second, FleetFault::Partition(one.max(1))),
            (30 * second, FleetFault::Heal),
            (40 * second, FleetFault::Partition(other.max(1))),
            (45 * second, FleetFault::Heal),
        ],
        "restart" => vec![
            (15 * second, FleetFault::Restart(one)),
            (25 * second, FleetFault::Restart(other)),
            (25 * second, FleetFault::Restart(one)),
        ],
        "orders" => vec![
            (130 * second, FleetFault::Partition(one.max(1))),
            (145 * second, FleetFault::Heal),
        ],
        "stale_config" => vec![
            (10 * second, FleetFault::Publish(3, 2)),
            (15 * second, FleetFault::Publish(2, 5)),
            (20 * second, FleetFault::Restart(one)),
        ],
        "pause" => vec![
            (10 * second, FleetFault::Pause(one, 3_000)),
            (20 * second, FleetFault::Pause(other, 12_000)),
        ],
        "noise" => vec![(3 * second, FleetFault::Noise(50))],
        "mixed" => mixed(draw),
        _ => Vec::new(),
    }
}

fn mixed(draw: u64) -> Vec<(u64, FleetFault)> {
    let mut faults = vec![(3_000_000, FleetFault::Noise(10))];
    for step in 0..8 {
        let bits = draw.rotate_right(step * 7) ^ (draw >> step);
        let at = 5_000_000 + u64::from(step) * 5_000_000 + bits % 4_000_000;
        let index = usize::try_from(bits % 8).unwrap_or(0);
        faults.push((
            at,
            match bits / 8 % 5 {
                0 => FleetFault::Partition(index.max(1)),
                1 => FleetFault::Heal,
                2 => FleetFault::Restart(index),
                3 => FleetFault::Pause(index, 200 + bits % 4_000),
                _ => FleetFault::Crash(index),
            },
        ));
    }
    faults.push((48_000_000, FleetFault::Heal));
    faults
}
