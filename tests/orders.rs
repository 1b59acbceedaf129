//! Orders to endpoints: demand is met without thrashing, endpoints never follow stale fenced
//! orders, the harm of unfenced ones is bounded, and the weight store's rate limit holds.

mod cores;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use verbenaturn::catalog::FenceCheck;
use verbenaturn::catalog::FleetCatalog;
use verbenaturn::configs::orders::OrdersConfig;
use verbenaturn::core::action::CoreAction;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::tables::orders::next_fence;
use verbenaturn::units::ConfigRevision;
use verbenaturn::units::EndpointId;
use verbenaturn::units::PoolId;
use verbenaturn::units::RouterIncarnation;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::endpoint;
use self::cores::endpoint_entry;
use self::cores::facts;
use self::cores::pool_entry;
use self::cores::pool_named;

const TICK_US: u64 = 100_000;
const ENDPOINTS: usize = 4;

fn plans() -> PoolId {
    pool_named("plans")
}

fn answers() -> PoolId {
    pool_named("answers")
}

/// A catalog of endpoints that can serve both pools and begin with `plans`.
fn two_pools(check: FenceCheck) -> FleetCatalog {
    let ids: Vec<EndpointId> = (1..=ENDPOINTS).map(endpoint).collect();
    let mut catalog = catalog(0, 0);
    catalog.pools = BTreeMap::from([
        (plans(), pool_entry("plans", ids.clone())),
        (answers(), pool_entry("answers", ids)),
    ]);
    catalog.endpoints = (1..=ENDPOINTS)
        .map(|number| {
            let mut entry = endpoint_entry(number, 4, vec![plans(), answers()]);
            entry.fence_check = check;
            (endpoint(number), entry)
        })
        .collect();
    catalog
}

/// One load of a model.
#[derive(Debug, Clone, Copy)]
struct ModelLoad {
    endpoint: EndpointId,
    router: usize,
    fence: u64,
    at_ms: u64,
}

struct Engine {
    active: PoolId,
    fence: u64,
}

struct OrderRun {
    fleet: CoreFleet,
    check: FenceCheck,
    engines: BTreeMap<EndpointId, Engine>,
    loads: Vec<ModelLoad>,
    refused: u32,
    next_request: u64,
}

impl OrderRun {
    fn new(routers: usize, check: FenceCheck) -> Self {
        let engine = || Engine {
            active: plans(),
            fence: 0,
        };
        Self {
            fleet: CoreFleet::with_tick(routers, two_pools(check), TICK_US),
            check,
            engines: (1..=ENDPOINTS)
                .map(|number| (endpoint(number), engine()))
                .collect(),
            loads: Vec::new(),
            refused: 0,
            next_request: 0,
        }
    }

    fn demand(&mut self, router: usize, pool: PoolId, count: u32) {
        for _ in 0..count {
            self.next_request += 1;
            let mut facts = facts(self.next_request);
            facts.pool = pool;
            self.fleet.handle_event(router, CoreEvent::Arrived(facts));
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..2 * seconds {
            self.fleet.advance(500);
            for router in 0..self.fleet.cores.len() {
                for action in self.fleet.take(router) {
                    self.act(router, &action);
                }
            }
            self.report();
        }
    }

    fn report(&mut self) {
        for (endpoint, engine) in &self.engines {
            let event = CoreEvent::EndpointLoad {
                endpoint: *endpoint,
                running: 0,
                waiting: 0,
                active: engine.active,
                life: 1,
                fence: engine.fence,
            };
            for router in 0..self.fleet.cores.len() {
                self.fleet.handle_event(router, event.clone());
            }
        }
    }

    fn act(&mut self, router: usize, action: &CoreAction) {
        let CoreAction::OrderModel {
            endpoint,
            pool,
            fence,
        } = action
        else {
            return;
        };
        let at_ms = self.fleet.now.0 / 1_000;
        let engine = self.engines.get_mut(endpoint).unwrap();
        if self.check == FenceCheck::Checked {
            if fence.0 < engine.fence {
                self.refused += 1;
                return;
            }
            engine.fence = fence.0;
        }
        if engine.active != *pool {
            engine.active = *pool;
            self.loads.push(ModelLoad {
                endpoint: *endpoint,
                router,
                fence: fence.0,
                at_ms,
            });
        }
    }

    fn serving(&self, pool: PoolId) -> usize {
        let all = self.engines.values();
        all.filter(|engine| engine.active == pool).count()
    }

    /// Shortest time between two loads of one endpoint.
    fn shortest_residence_ms(&self) -> Option<u64> {
        let gaps = self.engines.keys().flat_map(|endpoint| {
            let times: Vec<u64> = self
                .loads
                .iter()
                .filter(|load| load.endpoint == *endpoint)
                .map(|load| load.at_ms)
                .collect();
            times
                .windows(2)
                .map(|pair| pair[1] - pair[0])
                .collect::<Vec<u64>>()
        });
        gaps.min()
    }
}

#[test]
fn endpoints_move_to_the_pool_that_lacks_them_and_stay() {
    // Demand moves to a pool while all engines hold the model of the other one. Engines must
    // switch, but not back and forth, since each model load uses capacity of the weight store.
    let mut run = OrderRun::new(2, FenceCheck::Checked);
    run.demand(0, answers(), 60);
    run.demand(1, plans(), 8);
    run.run(1_200);
    let moved = run.serving(answers());
    assert!((1..ENDPOINTS).contains(&moved), "{moved} moved");
    assert_eq!(run.loads.len(), moved, "{:?}", run.loads);
    let settled = run.loads.len();
    run.run(1_200);
    assert_eq!(run.loads.len(), settled);
}

#[test]
fn with_fences_a_stale_owner_is_not_obeyed() {
    // A partition splits the fleet, both halves reach all engines, and each orders a different
    // model. An engine must never follow an order that was decided before the last one it followed,
    // and no model may be replaced soon after it was loaded.
    let mut run = OrderRun::new(2, FenceCheck::Checked);
    run.fleet.cut_link(0, 1);
    run.demand(0, answers(), 200);
    run.demand(1, plans(), 200);
    run.run(2_400);
    assert!(!run.loads.is_empty());
    for endpoint in run.engines.keys() {
        let fences: Vec<(u64, usize)> = run
            .loads
            .iter()
            .filter(|load| load.endpoint == *endpoint)
            .map(|load| (load.fence, load.router))
            .collect();
        for pair in fences.windows(2) {
            let [(before, one), (after, other)] = [pair[0], pair[1]];
            assert!(before < after || (before == after && one == other));
        }
    }
    let least = OrdersConfig::default().residence_ms;
    assert!(run.shortest_residence_ms().is_none_or(|gap| gap >= least));
}

#[test]
fn without_fences_two_owners_cause_one_load_per_residence() {
    // The same partition with engines that ignore fencing numbers. Nothing stops the stale owner's
    // orders, so the harm is bounded in time: both owners see in an engine's reports how long it
    // has had its model, and leave it there for the minimum residence time.
    let mut run = OrderRun::new(2, FenceCheck::Ignored);
    run.fleet.cut_link(0, 1);
    run.demand(0, answers(), 200);
    run.demand(1, plans(), 200);
    run.run(2_400);
    assert!(!run.loads.is_empty());
    let least = OrdersConfig::default().residence_ms;
    assert!(run.shortest_residence_ms().is_none_or(|gap| gap >= least));
}

#[test]
fn the_weight_store_rate_holds_when_all_routers_are_disconnected() {
    // All routers are disconnected from each other, and each considers itself the owner of every
    // pool. If each used the weight store's whole rate, the store would get four times its limit.
    let mut run = OrderRun::new(4, FenceCheck::Ignored);
    for one in 0..4 {
        for other in one + 1..4 {
            run.fleet.cut_link(one, other);
        }
    }
    for router in 0..4 {
        let pool = if router % 2 == 0 { answers() } else { plans() };
        run.demand(router, pool, 200);
    }
    let minutes = 40;
    run.run(minutes * 60);
    let config = OrdersConfig::default();
    let most = minutes * u64::from(config.loads_per_minute) + 4;
    assert!(run.loads.len() as u64 <= most);
    assert!(!run.loads.is_empty());
}

#[test]
fn a_suspended_owner_gives_no_order_when_it_resumes() {
    // A router is suspended for minutes while it owns a pool, and another one takes over. When it
    // resumes it still considers itself the owner; it must not send orders before it has owned the
    // pool long enough again.
    let mut run = OrderRun::new(1, FenceCheck::Ignored);
    run.demand(0, answers(), 60);
    run.run(100);
    assert!(run.loads.is_empty());
    run.fleet.now = run.fleet.now + verbenaturn::units::TimeSpan::from_millis(300_000);
    run.run(14);
    assert!(run.loads.is_empty());
    run.run(60);
    assert!(!run.loads.is_empty());
}

#[test]
fn fencing_numbers_of_two_incarnations_never_collide() {
    let config = ProptestConfig::with_cases(1_024);
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec((0_usize..3, 0_u64..40, 0_usize..4), 1..60);
    let outcome = runner.run(&steps, |steps| {
        // Three incarnations give orders, each based on a report that may be several orders old.
        let lives = [11, 22, 33].map(RouterIncarnation);
        let mut history = vec![0_u64];
        let mut owners: BTreeMap<u64, usize> = BTreeMap::new();
        for (who, revision, lag) in steps {
            let known = history[history.len().saturating_sub(1 + lag)];
            let fence = next_fence(ConfigRevision(revision), known, lives[who]).0;
            prop_assert!(fence >= known);
            prop_assert_eq!(*owners.entry(fence).or_insert(who), who);
            let highest = history[history.len() - 1];
            if fence >= highest {
                history.push(fence);
            }
        }
        Ok(())
    });
    outcome.unwrap();
}
