//! Runs one scenario on the fleet and on the naive version and reports each measure with its
//! bound and the naive version's value.

use serde_json::Value;
use serde_json::json;

use super::fleet::CoreFleet;
use super::load::LoadPlan;
use super::naive::NaiveFleet;
use super::scenarios;
use super::scenarios::FleetScenario;
use super::scenarios::FleetSize;
use super::tally::FleetTally;

/// Control bytes per second that a router may send.
const CONTROL_BOUND: f64 = 4_000.0;
/// Fraction of capacity that may be free while a request that could use it waits.
const LOSS_BOUND: f64 = 0.01;
/// Seconds after an endpoint starts to leave during which it may still get new work.
const LEAVING_BOUND: f64 = 5.0;
/// Endpoints that one request and its resends may crash.
const CRASH_BOUND: f64 = 2.0;
/// Models that one endpoint may load in a scenario. A scenario is shorter than the minimum time
/// for which a loaded model stays.
const LOADS_BOUND: f64 = 1.0;
/// Attempts allowed per started request.
const RETRY_BOUND: f64 = 1.1;

/// Result of one measure in one run.
#[derive(Debug, Clone)]
pub struct FleetCheck {
    /// Name of the measure.
    pub measure: &'static str,
    /// Value measured on the fleet.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Value of the naive version, if the measure applies to it.
    pub baseline: Option<f64>,
    /// Greatest value allowed, if the measure has a bound.
    pub bound: Option<f64>,
}

impl FleetCheck {
    /// Returns true unless the value exceeds the bound.
    pub fn holds(&self) -> bool {
        self.bound.is_none_or(|bound| self.value <= bound)
    }

    /// Formats the result as one line of output.
    pub fn to_json(&self, scenario: FleetScenario, size: FleetSize, seed: u64) -> Value {
        json!({
            "scenario": scenario.name,
            "deployment": size.name,
            "seed": seed,
            "measure": self.measure,
            "value": self.value,
            "unit": self.unit,
            "baseline": self.baseline,
            "bound": self.bound,
            "ok": self.holds(),
        })
    }
}

/// Runs a scenario with a seed and returns all its measures.
pub fn run(scenario: FleetScenario, size: FleetSize, seed: u64) -> Vec<FleetCheck> {
    let catalog = scenarios::catalog_for(scenario, size);
    let load = LoadPlan {
        streams: scenarios::load(scenario, size),
        seed,
    };
    let gap_bound = scenarios::gap_bound(size, &load.streams);
    let mut naive = NaiveFleet::new(&catalog, load.clone());
    naive.run(scenario.end_us);
    let mut fleet = CoreFleet::new(size.routers, catalog, load, seed);
    fleet.begin_load();
    let draw = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(17);
    for (at, fault) in scenarios::faults(scenario, draw) {
        fleet.plan(at, fault);
    }
    fleet.run(scenario.end_us);
    let mut checks = invariants(&fleet);
    checks.extend(policies(gap_bound, &fleet.tally, &naive.tally));
    checks.extend(costs(scenario, &fleet.tally));
    checks
}

/// Returns the measures that must be 0 in every run, whatever faults occur.
#[allow(clippy::cast_precision_loss)]
pub fn invariants(fleet: &CoreFleet) -> Vec<FleetCheck> {
    let tally = &fleet.tally;
    let newest = fleet.revisions().into_iter().max().unwrap_or(0);
    let revisions = fleet.revisions().into_iter();
    let behind = revisions.filter(|revision| *revision < newest).count();
    let lost = tally.unended().saturating_sub(fleet.open_calls());
    let counts = [
        ("doubled", tally.doubled(), "requests"),
        ("false_not_run", tally.false_not_run(), "requests"),
        ("cut", tally.ended_twice(), "requests"),
        ("lost", lost, "requests"),
        ("config_reverts", behind, "routers"),
    ];
    counts
        .into_iter()
        .map(|(measure, count, unit)| FleetCheck {
            measure,
            value: count as f64,
            unit,
            baseline: Some(0.0),
            bound: Some(0.0),
        })
        .collect()
}

fn policies(gap_bound: f64, ours: &FleetTally, naive: &FleetTally) -> Vec<FleetCheck> {
    let check = |measure, unit, read: &dyn Fn(&FleetTally) -> f64, bound| FleetCheck {
        measure,
        value: read(ours),
        unit,
        baseline: Some(read(naive)),
        bound,
    };
    vec![
        check(
            "fairness_gap",
            "units/share",
            &FleetTally::fairness_gap,
            Some(gap_bound),
        ),
        check(
            "utilisation_loss",
            "of capacity",
            &FleetTally::utilisation_loss,
            Some(LOSS_BOUND),
        ),
        check("utilisation", "of capacity", &FleetTally::utilisation, None),
        check("max_wait", "s", &FleetTally::max_wait, None),
        check(
            "query_wait_p99",
            "s",
            &|tally| tally.wait_p99("query"),
            None,
        ),
        check("tag_wait_p99", "s", &|tally| tally.wait_p99("tag"), None),
    ]
}

#[allow(clippy::cast_precision_loss)]
fn costs(scenario: FleetScenario, ours: &FleetTally) -> Vec<FleetCheck> {
    let rows = [
        (
            "control_bytes_per_s",
            ours.control_bytes_per_s(),
            "B/s",
            Some(CONTROL_BOUND),
        ),
        ("unknown_share", ours.unknown_share(), "of requests", None),
        (
            "retry_amplification",
            ours.amplification(),
            "attempts/request",
            Some(RETRY_BOUND),
        ),
        (
            "late_dispatch_to_leaving",
            ours.late_dispatch(),
            "s",
            Some(LEAVING_BOUND),
        ),
        (
            "loads_per_endpoint",
            f64::from(ours.most_loads()),
            "models",
            Some(LOADS_BOUND),
        ),
        ("loads", f64::from(ours.all_loads()), "models", None),
        (
            "endpoints_crashed",
            f64::from(ours.endpoints_crashed()),
            "endpoints",
            (scenario.name == "poison").then_some(CRASH_BOUND),
        ),
        ("whole", ours.whole() as f64, "requests", None),
        ("refused", ours.refused() as f64, "requests", None),
        ("event_cost", ours.event_micros(), "us", None),
    ];
    rows.into_iter()
        .map(|(measure, value, unit, bound)| FleetCheck {
            measure,
            value,
            unit,
            baseline: None,
            bound,
        })
        .collect()
}
