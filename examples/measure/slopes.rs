//! Measures how cost, control traffic and state grow with teams, endpoints and routers: short
//! runs of the real cores at several sizes, and a linear fit of each series.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use verbenaturn::core::RouterCore;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::units::AttemptNumber;
use verbenaturn::units::KindName;
use verbenaturn::units::Moment;
use verbenaturn::units::PoolId;
use verbenaturn::units::PoolName;
use verbenaturn::units::RequestId;
use verbenaturn::units::ServiceUnits;
use verbenaturn::units::TeamId;

use super::fleet::CoreFleet;
use super::load::CallPace;
use super::load::CallStream;
use super::load::LoadPlan;
use super::scenarios;
use super::scenarios::FleetSize;
use super::slope_sizes::message_bytes;
use super::slope_sizes::publication_figures;
use super::state_bytes;

/// Length of one run in microseconds.
const END_US: u64 = 6_000_000;
/// Microseconds between two ticks of a core in the timed part.
const TICK_US: u64 = 5_000;
/// Slots of one engine in the measured catalogs.
const ENGINE_SLOTS: usize = 16;
/// Calls per second at one router: 70,000 calls per second over 1,300 routers.
const CALLS_PER_ROUTER: f64 = 54.0;
/// Teams in the published texts.
const PUBLISHED_TEAMS: [usize; 4] = [16, 250, 1_000, 4_000];
/// Ticks timed at each size. Kept small because a router that gets no replies from its peers
/// begins to suspect them.
const TIMED_TICKS: u64 = 10;

/// Dimension of the fleet that a sweep varies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SweepAxis {
    Teams,
    Endpoints,
    Routers,
}

impl SweepAxis {
    const ALL: [Self; 3] = [Self::Teams, Self::Endpoints, Self::Routers];

    fn name(self) -> &'static str {
        match self {
            Self::Teams => "teams",
            Self::Endpoints => "endpoints",
            Self::Routers => "routers",
        }
    }

    fn sizes(self) -> &'static [usize] {
        match self {
            Self::Teams => &[16, 64, 250, 1_000, 2_000],
            Self::Endpoints => &[12, 40, 120, 250, 500],
            Self::Routers => &[4, 8, 16, 32, 64],
        }
    }

    fn fleet(self, size: usize) -> FleetSize {
        let usual = FleetSize {
            name: "slopes",
            routers: 8,
            teams: 160,
            engines: 20,
            plain: 0,
        };
        let varied = match self {
            Self::Teams => FleetSize {
                teams: size,
                ..usual
            },
            Self::Endpoints => FleetSize {
                engines: size,
                ..usual
            },
            Self::Routers => FleetSize {
                routers: size,
                ..usual
            },
        };
        FleetSize {
            plain: varied.routers / 4 + 1,
            ..varied
        }
    }
}

/// One measured value of one run.
#[derive(Debug, Clone, Copy)]
pub struct SlopeFigure {
    /// Name of the measure.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Measured value.
    pub value: f64,
}

/// Least-squares line through a series of points.
#[derive(Debug, Clone, Copy)]
struct SlopeFit {
    slope: f64,
    intercept: f64,
    /// Fraction of the variance that the line explains.
    r2: f64,
}

#[allow(clippy::cast_precision_loss)]
fn fit(points: &[(f64, f64)]) -> SlopeFit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum = |read: &dyn Fn(f64, f64) -> f64| -> f64 {
        let offsets = points
            .iter()
            .map(|point| (point.0 - mean_x, point.1 - mean_y));
        offsets.map(|(x, y)| read(x, y)).sum()
    };
    let slope = sum(&|x, y| x * y) / sum(&|x, _| x * x).max(f64::MIN_POSITIVE);
    let total = sum(&|_, y| y * y);
    let left = sum(&|x, y| (y - slope * x).powi(2));
    SlopeFit {
        slope,
        intercept: mean_y - slope * mean_x,
        r2: 1.0 - left / total.max(f64::MIN_POSITIVE),
    }
}

/// Runs all series with a seed, prints them, and returns whether all values are within bounds.
pub fn run(seed: u64) -> bool {
    let mut within_bounds = true;
    for axis in SweepAxis::ALL {
        let runs: Vec<(usize, Vec<SlopeFigure>)> = axis
            .sizes()
            .iter()
            .map(|size| (*size, figures(axis.fleet(*size), seed)))
            .collect();
        for place in 0..runs[0].1.len() {
            within_bounds &= report(axis.name(), seed, &series(&runs, place));
        }
    }
    for (row, bytes) in state_bytes::row_sizes() {
        println!("{}", line(row, seed, bytes, "B", None));
    }
    let runs: Vec<_> = PUBLISHED_TEAMS
        .iter()
        .map(|teams| (*teams, publication_figures(*teams)))
        .collect();
    for place in 0..runs[0].1.len() {
        within_bounds &= report("published_teams", seed, &series(&runs, place));
    }
    for message in ["allotment", "report", "gossip"] {
        let name = if message == "gossip" { "news" } else { "rows" };
        let sizes: &[usize] = if message == "gossip" {
            &[0, 2, 4, 6]
        } else {
            &[1, 16, 64, 200]
        };
        let runs: Vec<_> = sizes
            .iter()
            .map(|size| (*size, vec![message_bytes(message, *size)]))
            .collect();
        within_bounds &= report(name, seed, &series(&runs, 0));
    }
    within_bounds
}

fn series(runs: &[(usize, Vec<SlopeFigure>)], place: usize) -> Vec<(usize, SlopeFigure)> {
    runs.iter().map(|(size, row)| (*size, row[place])).collect()
}

/// Prints a series and its fit. The cost of a decision may grow no faster than the logarithm of
/// the size.
#[allow(clippy::cast_precision_loss)]
fn report(axis: &str, seed: u64, series: &[(usize, SlopeFigure)]) -> bool {
    let figure = series[0].1;
    let print = |suffix: &str, value: f64, unit: String, bound: Option<f64>| {
        let measure = format!("{}/{axis}{suffix}", figure.name);
        println!("{}", line(&measure, seed, value, &unit, bound));
    };
    for (size, point) in series {
        print(&format!("={size}"), point.value, point.unit.into(), None);
    }
    let points: Vec<_> = series
        .iter()
        .map(|(size, point)| (*size as f64, point.value))
        .collect();
    let line = fit(&points);
    let per_one = format!("{} per one of {axis}", figure.unit);
    print(".slope", line.slope, per_one, None);
    print(".intercept", line.intercept, figure.unit.into(), None);
    print(".r2", line.r2, "of variance".into(), None);
    if figure.name != "decision_cost" {
        return true;
    }
    let (first, last) = (points[0], points[points.len() - 1]);
    let growth = last.1 / first.1.max(f64::MIN_POSITIVE);
    let bound = last.0.ln() / first.0.ln();
    print(".growth", growth, "times".into(), Some(bound));
    growth <= bound
}

fn line(measure: &str, seed: u64, value: f64, unit: &str, bound: Option<f64>) -> Value {
    json!({
        "scenario": "slopes",
        "deployment": "slopes",
        "seed": seed,
        "measure": measure,
        "value": value,
        "unit": unit,
        "baseline": Value::Null,
        "bound": bound,
        "ok": bound.is_none_or(|bound| value <= bound),
    })
}

/// Load of a sweep. A tenth of the teams is backlogged, with about twice the engines' slots
/// outstanding in all; in addition all teams send the design load of `CALLS_PER_ROUTER` calls per
/// second at each router through the plain pool.
#[allow(clippy::cast_precision_loss)]
fn slope_load(size: FleetSize) -> Vec<CallStream> {
    let backlogged = (size.teams / 10).max(2);
    let depth = (2 * ENGINE_SLOTS * size.engines / backlogged).max(4);
    let calls = CALLS_PER_ROUTER * size.routers as f64 / size.teams as f64;
    let query: KindName = "query".parse().expect("a valid name");
    let stream = |team: usize| CallStream {
        team: TeamId::from(&scenarios::team_name(team)),
        kind: query.clone(),
        pool: PoolId::from(&scenarios::plain_pool()),
        costs: (10, 40),
        rate: 1_000,
        pace: CallPace::Open(calls),
        depth: 1,
        router: None,
        span: (0, u64::MAX),
        unrepeatable: false,
        poison: false,
    };
    let light = (0..size.teams).map(stream);
    let heavy = (0..backlogged).map(|team| CallStream {
        pool: PoolId::from(&scenarios::engine_pool()),
        costs: (40, 200),
        rate: 40,
        pace: CallPace::Closed,
        depth: u32::try_from(depth).unwrap_or(u32::MAX),
        ..stream(team)
    });
    light.chain(heavy).collect()
}

fn figures(size: FleetSize, seed: u64) -> Vec<SlopeFigure> {
    let catalog = scenarios::catalog(size);
    let load = LoadPlan {
        streams: slope_load(size),
        seed,
    };
    let mut fleet = CoreFleet::new(size.routers, catalog, load, seed);
    fleet.begin_load();
    fleet.run(END_US);
    let owner = owner_of(&fleet, &scenarios::engine_pool());
    let other = owner_of(&fleet, &scenarios::plain_pool());
    let entry =
        (0..size.routers).find(|router_index| *router_index != owner && *router_index != other);
    let entry = entry.expect("more routers than pools");
    let sizes = state_bytes::count(fleet.simulated_routers[owner].core.state());
    let figure = |name, unit, value| SlopeFigure { name, unit, value };
    vec![
        figure("event_cost", "us", fleet.tally.event_micros()),
        figure(
            "progress_cost",
            "us",
            attempt_cost(&mut fleet, entry, progressed),
        ),
        figure(
            "decision_cost",
            "us",
            attempt_cost(&mut fleet, entry, ended),
        ),
        figure("entry_tick_cost", "us", tick_cost(&mut fleet, entry, 1)),
        figure("share_out_cost", "us", tick_cost(&mut fleet, owner, 20)),
        figure("owner_tick_cost", "us", tick_cost(&mut fleet, owner, 1)),
        figure("fleet_cpu", "us/s", fleet_cpu(&fleet)),
        figure("owner_bytes", "B/s", fleet.tally.control_bytes_per_s()),
        figure("entry_bytes", "B/s", least_control(&fleet)),
        figure("entry_state", "B", sizes.entry),
        figure("owner_state", "B", sizes.owned),
        figure("request_state", "B", sizes.requests),
        figure("member_state", "B", sizes.members),
        figure("catalog_state", "B", sizes.catalog),
    ]
}

fn owner_of(fleet: &CoreFleet, pool: &PoolName) -> usize {
    let members = &fleet.simulated_routers[0].core.state().members;
    let host = members.owner_of(PoolId::from(pool));
    let router_index = fleet
        .simulated_routers
        .iter()
        .position(|router| Some(&router.core.state().identity.host) == host);
    router_index.expect("a live router owns the pool")
}

/// CPU time of all cores together per second of simulated time, in microseconds.
#[allow(clippy::cast_precision_loss)]
fn fleet_cpu(fleet: &CoreFleet) -> f64 {
    fleet.tally.cost.as_secs_f64() * 1e12 / END_US as f64
}

/// Control bytes per second of the router that sent the fewest.
#[allow(clippy::cast_precision_loss)]
fn least_control(fleet: &CoreFleet) -> f64 {
    let least = fleet.tally.control.iter().min().copied().unwrap_or(0);
    least as f64 * 1e6 / END_US as f64
}

/// Returns the median in microseconds, or 0 without values.
pub fn median(mut costs: Vec<Duration>) -> f64 {
    costs.sort_unstable();
    let middle = costs.get(costs.len() / 2).copied().unwrap_or_default();
    middle.as_secs_f64() * 1e6
}

fn timed(core: &mut RouterCore, now: u64, event: CoreEvent) -> Duration {
    let started = Instant::now();
    black_box(core.handle(Moment(now), event));
    started.elapsed()
}

/// Median cost in microseconds of handling one event for each running attempt of one router.
fn attempt_cost(
    fleet: &mut CoreFleet,
    router_index: usize,
    event: impl Fn(RequestId, AttemptNumber) -> CoreEvent,
) -> f64 {
    let life = fleet.simulated_routers[router_index].life;
    let runs: Vec<RequestId> = fleet
        .running
        .keys()
        .filter(|key| (key.0, key.1) == (router_index, life))
        .map(|key| key.2)
        .collect();
    let core = &mut fleet.simulated_routers[router_index].core;
    let mut costs = Vec::new();
    for request in runs {
        let row = core.state().requests.get(request);
        let attempt = AttemptNumber(row.map_or(0, |row| row.attempts));
        costs.push(timed(core, END_US, event(request, attempt)));
    }
    median(costs)
}

/// The end of an attempt; handling it includes choosing the next request to run.
fn ended(request: RequestId, attempt: AttemptNumber) -> CoreEvent {
    CoreEvent::AttemptEnded {
        request,
        attempt,
        outcome: AttemptOutcome::Whole,
        service: ServiceUnits(200),
    }
}

/// Progress of an attempt that continues.
fn progressed(request: RequestId, attempt: AttemptNumber) -> CoreEvent {
    CoreEvent::Progress {
        request,
        attempt,
        service: ServiceUnits(200),
    }
}

/// Median cost in microseconds of a tick at one router, with `stride` tick periods between ticks.
fn tick_cost(fleet: &mut CoreFleet, router_index: usize, stride: u64) -> f64 {
    let core = &mut fleet.simulated_routers[router_index].core;
    let from = core.state().now.0;
    let costs = (1..=TIMED_TICKS)
        .map(|step| timed(core, from + step * stride * TICK_US, CoreEvent::Tick))
        .collect();
    median(costs)
}
