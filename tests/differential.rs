//! The real decision cores beside the naive version: every scenario of `measure` on both
//! deployments, and small load plans and faults drawn at random from a fixed seed.

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

/// The seed of all runs of the table.
const SEED: u64 = 1;
/// What must be 0 in every run.
const INVARIANTS: [&str; 5] = ["doubled", "false_not_run", "cut", "lost", "config_reverts"];
/// Scenarios in which the fleet must be about as fair as the naive version.
const FAIR: [&str; 3] = ["steady", "skew", "flood"];
/// The fleet's fairness gap over the naive version's at most.
const GAP_RATIO: f64 = 1.5;
/// Part of capacity that may be free while a request waits for it.
const LOSS_LIMIT: f64 = 0.01;
/// Control bytes a second of one router at most.
const CONTROL_LIMIT: f64 = 4_000.0;

fn find<'a>(checks: &'a [FleetCheck], measure: &str) -> &'a FleetCheck {
    let found = checks.iter().find(|check| check.measure == measure);
    found.expect("every run states this measure")
}

fn assert_invariants(checks: &[FleetCheck], run: &str) {
    for measure in INVARIANTS {
        let count = find(checks, measure).value;
        assert!(count == 0.0, "{run}: {measure} is {count}");
    }
}

/// Every breach of one run's policy limits, as text.
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
    let scenario = scenario.expect("the test is named after a scenario");
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

/// Guards against slots that an owner counts at a restarted router for good, as that one believes its
/// earlier life's acknowledgements.
#[test]
fn slots_of_a_restarted_router_do_not_lie_idle() {
    for seed in [26, 51] {
        run_seed("restart", REGISTRY, seed);
    }
}

/// Guards against a pool of short calls that is shared out a few times a second only, as its owner's
/// other pool uses up the budget of messages.
#[test]
fn short_calls_do_not_wait_beside_another_pool_s_long_queues() {
    for seed in [38, 114] {
        run_seed("leaving", REGISTRY, seed);
    }
}

/// Guards against a request that crashes one endpoint after the other, sent again through any router.
#[test]
fn a_crashing_request_takes_down_two_endpoints_at_most() {
    for seed in [2, 3, 4] {
        run_seed("poison", REGISTRY, seed);
    }
}

/// One test for each scenario and deployment, so that they run side by side.
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

/// Small enough to run many of them.
const SMALL: FleetSize = FleetSize {
    name: "small",
    routers: 3,
    teams: 4,
    engines: 2,
    plain: 1,
};
/// Length of a small run in microseconds, and until when its callers send new calls and faults
/// may happen.
const SMALL_END: u64 = 25_000_000;
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
    let seat = 0..SMALL.routers;
    let fault = prop_oneof![
        (1..SMALL.routers).prop_map(FleetFault::Part),
        Just(FleetFault::Heal),
        seat.clone().prop_map(FleetFault::Restart),
        (seat, 100_u64..9_000).prop_map(|(seat, millis)| FleetFault::Pause(seat, millis)),
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

    // A caller's tag is doubled, or "not run" is said of one that ran, or an answer never comes,
    // after routers were parted, restarted or paused, endpoints crashed and messages were lost
    // and doubled, in any order and one on top of the other.
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

    // Without faults the fleet gets nearly as much done as the naive version, which knows all
    // queues and slots at once.
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

/// Part of the capacity by which the fleet may use less than the naive version in a small run.
const SERVICE_SLACK: f64 = 0.02;
