//! Compares the real decision cores with the naive version: every scenario of `measure` on both
//! deployments, and small random load plans and faults from a fixed seed.

#[path = "../examples/measure/checks.rs"]
mod checks;
#[path = "../examples/measure/faults.rs"]
mod faults;
#[path = "../examples/measure/fleet.rs"]
mod fleet;
#[path = "../examples/measure/load.rs"]
mod load;
#[path = "../examples/measure/naive.rs"]
mod naive;
#[path = "../examples/measure/scenarios.rs"]
mod scenarios;
#[path = "../examples/measure/tally.rs"]
mod tally;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use verbenaturn::units::PoolId;
use verbenaturn::units::TeamId;

use self::checks::FleetCheck;
use self::faults::FleetFault;
use self::fleet::CoreFleet;
use self::load::CallPace;
use self::load::CallStream;
use self::load::LoadPlan;
use self::naive::NaiveFleet;
use self::scenarios::FleetSize;
use self::scenarios::REGISTRY;
use self::scenarios::SCENARIOS;
use self::scenarios::WICKRAMASINGHE;

/// Seed of the scenario runs.
const SEED: u64 = 1;
/// Measures that must be 0 in every run.
const INVARIANTS: [&str; 5] = ["doubled", "false_not_run", "cut", "lost", "config_reverts"];
/// Scenarios in which the fleet must be about as fair as the naive version.
const FAIR: [&str; 3] = ["steady", "skew", "flood"];
/// Maximum ratio of the fleet's fairness gap to the naive version's.
const GAP_RATIO: f64 = 1.5;
/// Maximum part of the capacity that is idle while requests wait for it.
const LOSS_LIMIT: f64 = 0.01;
/// Maximum control traffic of one router, in bytes per second.
const CONTROL_LIMIT: f64 = 4_000.0;

fn find<'a>(checks: &'a [FleetCheck], measure: &str) -> &'a FleetCheck {
    let found = checks.iter().find(|check| check.measure == measure);
    found.expect("every run has this measure")
}

fn assert_invariants(checks: &[FleetCheck], run: &str) {
    for measure in INVARIANTS {
        let count = find(checks, measure).value;
        assert!(count == 0.0, "{run}: {measure} is {count}");
    }
}

/// Describes each policy limit that a run exceeds.
fn breaches(checks: &[FleetCheck]) -> Vec<String> {
    let gap = find(checks, "fairness_gap");
    let naive = gap.baseline.expect("the naive version has a gap");
    let limits = [
        (gap, GAP_RATIO * naive),
        (find(checks, "utilisation_loss"), LOSS_LIMIT),
        (find(checks, "control_bytes_per_s"), CONTROL_LIMIT),
    ];
    limits
        .into_iter()
        .filter(|(check, limit)| check.value > *limit)
        .map(|(check, limit)| format!("{} is {} over {limit}", check.measure, check.value))
        .collect()
}

fn run_scenario(name: &str, size: FleetSize) {
    run_seed(name, size, SEED);
}

fn run_seed(name: &str, size: FleetSize, seed: u64) {
    let scenario = SCENARIOS.into_iter().find(|entry| entry.name == name);
    let scenario = scenario.expect("a scenario has the name of the test");
    let checks = checks::run(scenario, size, seed);
    let run = format!("{name} on {} with seed {seed}", size.name);
    for check in &checks {
        println!("{}", check.to_json(scenario, size, seed));
    }
    assert_invariants(&checks, &run);
    let broken: Vec<&FleetCheck> = checks.iter().filter(|check| !check.holds()).collect();
    assert!(broken.is_empty(), "{run}: {broken:?}");
    if FAIR.contains(&name) {
        let breaches = breaches(&checks);
        assert!(breaches.is_empty(), "{run}: {breaches:?}");
    }
}

/// Guards against slots that a pool's owner never gets back from a restarted router, because the
/// router accepts acknowledgements that belong to its previous run.
#[test]
fn slots_of_a_restarted_router_do_not_lie_idle() {
    for seed in [26, 51] {
        run_seed("restart", REGISTRY, seed);
    }
}

/// Guards against a pool of short calls whose slots are granted only a few times per second,
/// because its owner's other pool uses up the message budget.
#[test]
fn short_calls_do_not_wait_beside_another_pool_s_long_queues() {
    for seed in [38, 105, 114] {
        run_seed("leaving", REGISTRY, seed);
    }
}

/// Guards against a request that is retried through any router and crashes one endpoint after the
/// other.
#[test]
fn a_crashing_request_takes_down_two_endpoints_at_most() {
    for seed in [2, 3, 4] {
        run_seed("poison", REGISTRY, seed);
    }
}

/// Defines one test for each scenario and deployment, so that they run in parallel.
macro_rules! scenario_tests {
    ($($name:ident),* $(,)?) => {
        const TESTED: &[&str] = &[$(stringify!($name)),*];

        $(mod $name {
            use super::REGISTRY;
            use super::WICKRAMASINGHE;
            use super::run_scenario;

            #[test]
            fn on_registry() {
                run_scenario(stringify!($name), REGISTRY);
            }

            #[test]
            fn on_wickramasinghe() {
                run_scenario(stringify!($name), WICKRAMASINGHE);
            }
        })*
    };
}

scenario_tests!(
    steady,
    skew,
    flood,
    head_of_line,
    lying_hints,
    churn,
    leaving,
    partition,
    restart,
    stale_config,
    pause,
    poison,
    overload,
    orders,
    noise,
    mixed,
);

#[test]
fn every_scenario_of_the_table_is_tested() {
    let table: Vec<&str> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
    assert_eq!(table, TESTED);
}

/// A fleet small enough for many random cases.
const SMALL: FleetSize = FleetSize {
    name: "small",
    routers: 3,
    teams: 4,
    engines: 2,
    plain: 1,
};
/// Length of a small run, in microseconds.
const SMALL_END: u64 = 25_000_000;
/// Time in a small run until which callers send new calls and faults happen, in microseconds.
const SMALL_CALLS: u64 = 20_000_000;

fn any_stream() -> impl Strategy<Value = CallStream> {
    let costs = (1_u64..60).prop_flat_map(|least| (Just(least), least..400));
    let pace = prop_oneof![
        3 => Just(CallPace::Closed),
        1 => (0.2_f64..4.0).prop_map(CallPace::Open),
    ];
    let router = prop::option::of(0..SMALL.routers);
    (
        0..SMALL.teams,
        costs,
        pace,
        1_u32..12,
        any::<bool>(),
        router,
    )
        .prop_map(
            |(team, costs, pace, depth, unrepeatable, router)| CallStream {
                team: TeamId::from(&scenarios::team_name(team)),
                kind: (if unrepeatable { "tag" } else { "query" })
                    .parse()
                    .expect("a plain name"),
                pool: PoolId::from(&scenarios::engine_pool()),
                costs,
                rate: 40,
                pace,
                depth,
                router,
                span: (0, SMALL_CALLS),
                unrepeatable,
                poison: false,
            },
        )
}

fn any_fault() -> impl Strategy<Value = (u64, FleetFault)> {
    let router_index = 0..SMALL.routers;
    let fault = prop_oneof![
        (1..SMALL.routers).prop_map(FleetFault::Partition),
        Just(FleetFault::Heal),
        router_index.clone().prop_map(FleetFault::Restart),
        (router_index, 100_u64..9_000)
            .prop_map(|(router_index, millis)| FleetFault::Pause(router_index, millis)),
        (0..SMALL.engines).prop_map(FleetFault::Crash),
        (0_u32..80).prop_map(FleetFault::Noise),
    ];
    (1_000_000..SMALL_CALLS, fault)
}

fn small_fleet(streams: &[CallStream], seed: u64) -> CoreFleet {
    let load = LoadPlan {
        streams: streams.to_vec(),
        seed,
    };
    let mut fleet = CoreFleet::new(SMALL.routers, scenarios::catalog(SMALL), load, seed);
    fleet.begin_load();
    fleet
}

fn small_naive(streams: &[CallStream], seed: u64) -> NaiveFleet {
    let load = LoadPlan {
        streams: streams.to_vec(),
        seed,
    };
    let mut naive = NaiveFleet::new(&scenarios::catalog(SMALL), load);
    naive.run(SMALL_CALLS);
    naive
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(32))]

    // Guards against a call that runs twice, is reported as not run although it ran, or never gets
    // an answer, after any combination of router partitions, restarts and pauses, endpoint crashes,
    // and lost or duplicated messages.
    #[test]
    fn invariants_hold_under_random_loads_and_faults(
        streams in vec(any_stream(), 1..6),
        faults in vec(any_fault(), 0..6),
        seed in 0_u64..1_000,
    ) {
        let mut fleet = small_fleet(&streams, seed);
        for (at, fault) in faults {
            fleet.plan(at, fault);
        }
        fleet.plan(SMALL_CALLS, FleetFault::Heal);
        fleet.plan(SMALL_CALLS, FleetFault::Noise(0));
        fleet.run(SMALL_END);
        assert_invariants(&checks::invariants(&fleet), "random load and faults");
    }

    // Without faults the fleet must use nearly as much capacity as the naive version, which always
    // knows all queues and slots.
    #[test]
    fn random_loads_get_as_much_service_as_from_the_naive_version(
        streams in vec(any_stream(), 1..6),
        seed in 0_u64..1_000,
    ) {
        let naive = small_naive(&streams, seed);
        let mut fleet = small_fleet(&streams, seed);
        fleet.run(SMALL_CALLS);
        let (ours, best) = (fleet.tally.utilisation(), naive.tally.utilisation());
        prop_assert!(ours >= best - SERVICE_SLACK, "used {ours}, naive {best}");
    }
}

/// Maximum difference between the parts of capacity that the naive version and the fleet use in a
/// small run.
const SERVICE_SLACK: f64 = 0.02;
