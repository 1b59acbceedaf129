//! Slot limits of endpoints, early refusal, retry budgets, and recovery from overload.

mod cores;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use verbenaturn::core::action::CoreAction;
use verbenaturn::core::action::RefusalReason;
use verbenaturn::core::action::RunOutcome;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::tables::owned_pool::OwnedPool;
use verbenaturn::units::EndpointId;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::dispatched;
use self::cores::ended;
use self::cores::endpoint;
use self::cores::facts;
use self::cores::pool;

fn load(endpoint: EndpointId, running: u32, waiting: u32) -> CoreEvent {
    CoreEvent::EndpointLoad {
        endpoint,
        running,
        waiting,
        active: pool(),
        life: 1,
        fence: 0,
    }
}

fn limit(fleet: &CoreFleet, router: usize) -> u32 {
    let owned = &fleet.core(router).state().owned;
    owned.get(&pool()).map_or(0, OwnedPool::total)
}

#[test]
fn pressure_lowers_a_limit_that_then_recovers() {
    // An endpoint queues requests internally, as with long prompts, so that first tokens are late.
    // The owner must lower its limit, then restore all published slots once the pressure is gone.
    let mut fleet = CoreFleet::new(1, catalog(1, 16));
    for _ in 0..8 {
        fleet.handle_event(0, load(endpoint(1), 11, 5));
        fleet.advance(1_000);
    }
    let lowered = limit(&fleet, 0);
    assert!((2..=4).contains(&lowered), "{lowered}");
    fleet.advance(17_000);
    assert_eq!(limit(&fleet, 0), 16);
}

#[test]
fn two_sides_of_a_partition_share_an_endpoint() {
    // A partition splits the fleet and both sides reach the same endpoint. If the owner on each
    // side allotted all slots, the endpoint would get twice its limit and every answer be late.
    let mut fleet = CoreFleet::new(2, catalog(1, 12));
    fleet.cut_link(0, 1);
    let mut sides = [BTreeSet::new(), BTreeSet::new()];
    for request in 0..900 {
        fleet.handle_event(request % 2, CoreEvent::Arrived(facts(request as u64)));
    }
    for _ in 0..20 {
        run_round(&mut fleet, &mut sides, 2);
    }
    // Half of the slots each, plus the one slot that a router may keep above its target.
    assert!(sides.iter().all(|running| (6..=7).contains(&running.len())));
    for _ in 0..8 {
        run_round(&mut fleet, &mut sides, 1);
    }
    assert_eq!(sides[0].len(), 12);
}

/// Completes the running requests of each side, records what is dispatched next on the first
/// `active` sides, and reports the total load to both sides.
fn run_round(fleet: &mut CoreFleet, sides: &mut [BTreeSet<u64>; 2], active: usize) {
    for (router, running) in sides.iter_mut().enumerate() {
        for request in std::mem::take(running) {
            fleet.handle_event(router, ended(request, 1, AttemptOutcome::Whole));
        }
    }
    fleet.advance(250);
    for (router, running) in sides.iter_mut().enumerate() {
        let started = dispatched(&fleet.take(router));
        if router < active {
            running.extend(started.into_iter().map(|(request, _)| request));
        }
    }
    let running = u32::try_from(sides[0].len() + sides[1].len()).unwrap();
    for router in 0..2 {
        fleet.handle_event(router, load(endpoint(1), running, 0));
    }
}

/// Counts of an overload run.
#[derive(Debug, Default)]
struct OverloadTally {
    first_attempts: u32,
    attempts: u32,
    whole_in_time: u32,
    refused: u32,
    false_refusals: u32,
    longest_wait_at_end: u64,
}

const SLOTS: u32 = 4;
const RUN_MS: u64 = 100;
const CALLER_TIMEOUT_MS: u64 = 2_000;
/// Requests per second that the endpoint can run.
const CAPACITY: u64 = SLOTS as u64 * 1_000 / RUN_MS;

/// Simulates an endpoint that runs up to `max_running` requests at once and refuses more, under a
/// load that is given in percent of its capacity.
struct OverloadRun {
    fleet: CoreFleet,
    max_running: usize,
    next_request: u64,
    due: u64,
    running: BTreeMap<u64, (Moment, u32)>,
    arrived: BTreeMap<u64, Moment>,
    sent: BTreeSet<u64>,
    tally: OverloadTally,
}

impl OverloadRun {
    fn new(max_running: usize) -> Self {
        Self {
            fleet: CoreFleet::new(1, catalog(1, SLOTS)),
            max_running,
            next_request: 0,
            due: 0,
            running: BTreeMap::new(),
            arrived: BTreeMap::new(),
            sent: BTreeSet::new(),
            tally: OverloadTally::default(),
        }
    }

    fn run(&mut self, millis: u64, percent: u64) {
        for _ in 0..millis / 5 {
            self.due += CAPACITY * percent * 5 / 100;
            while self.due >= 1_000 {
                self.due -= 1_000;
                self.arrive();
            }
            self.fleet.advance(5);
            self.finish();
            self.start();
        }
    }

    fn arrive(&mut self) {
        self.next_request += 1;
        let mut facts = facts(self.next_request);
        facts.deadline = self.fleet.now + TimeSpan::from_millis(CALLER_TIMEOUT_MS);
        self.arrived.insert(self.next_request, self.fleet.now);
        self.fleet.handle_event(0, CoreEvent::Arrived(facts));
        self.start();
    }

    fn start(&mut self) {
        loop {
            let actions = self.fleet.take(0);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.act(&action);
            }
        }
    }

    fn act(&mut self, action: &CoreAction) {
        match action {
            CoreAction::Dispatch {
                request, attempt, ..
            } => {
                self.tally.attempts += 1;
                if self.sent.insert(request.0) {
                    self.tally.first_attempts += 1;
                    let wait = self.fleet.now.since(self.arrived[&request.0]);
                    self.tally.longest_wait_at_end = wait.as_millis();
                }
                if self.running.len() >= self.max_running {
                    let refused = ended(request.0, attempt.0, AttemptOutcome::Refused);
                    self.fleet.handle_event(0, refused);
                } else {
                    let end = self.fleet.now + TimeSpan::from_millis(RUN_MS);
                    self.running.insert(request.0, (end, attempt.0));
                }
            }
            CoreAction::Refuse {
                request, outcome, ..
            } => {
                self.tally.refused += 1;
                let ran = self.running.contains_key(&request.0);
                if ran || *outcome != RunOutcome::NotRun {
                    self.tally.false_refusals += 1;
                }
            }
            _ => {}
        }
    }

    fn finish(&mut self) {
        let now = self.fleet.now;
        let done: Vec<(u64, u32)> = self
            .running
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(request, (_, attempt))| (*request, *attempt))
            .collect();
        for (request, attempt) in done {
            self.running.remove(&request);
            let spent = now.since(self.arrived[&request]).as_millis();
            self.tally.whole_in_time += u32::from(spent <= CALLER_TIMEOUT_MS);
            self.fleet
                .handle_event(0, ended(request, attempt, AttemptOutcome::Whole));
        }
    }
}

#[test]
fn overload_is_refused_early_as_not_run_and_the_rest_is_in_time() {
    // The load exceeds the capacity. Without early refusal, requests wait until their callers have
    // timed out and run nevertheless, so that no answer is in time.
    for percent in [200, 1_000] {
        let mut run = OverloadRun::new(SLOTS as usize);
        run.run(20_000, percent);
        let capacity = u32::try_from(CAPACITY * 20).unwrap();
        let tally = &run.tally;
        assert!(tally.whole_in_time * 10 >= capacity * 9, "{tally:?}");
        assert_eq!(tally.false_refusals, 0);
        assert!(tally.refused > capacity / 2, "{tally:?}");
    }
}

#[test]
fn retries_add_at_most_a_tenth_and_the_saved_burst() {
    // An endpoint accepts only half of its published slots. Each refusal is retried, and without a
    // retry budget most of its load would be retries.
    let config = verbenaturn::configs::attempts::AttemptsConfig::default();
    for percent in [200, 1_000] {
        let mut run = OverloadRun::new(SLOTS as usize / 2);
        run.run(20_000, percent);
        let tally = &run.tally;
        let admitted = u32::try_from(run.next_request).unwrap();
        let retries = tally.attempts - tally.first_attempts;
        let earned = admitted * config.retry_percent / 100 + config.retry_burst;
        assert!(retries <= earned, "{tally:?}");
        let most = tally.first_attempts + tally.first_attempts / 10 + config.retry_burst;
        assert!(tally.attempts <= most, "{tally:?}");
    }
}

#[test]
fn recovery_takes_no_longer_than_draining_the_queue() {
    // The overload is over, but queues are full of requests that are close to their deadlines. If
    // the router kept serving those first, every new request would be late too, indefinitely.
    let mut run = OverloadRun::new(SLOTS as usize);
    run.run(20_000, 1_000);
    // At half load, a queue of at most CALLER_TIMEOUT_MS of work is empty after twice that time.
    run.run(2 * CALLER_TIMEOUT_MS, 50);
    run.tally = OverloadTally::default();
    run.run(5_000, 50);
    let tally = &run.tally;
    assert_eq!(tally.refused, 0, "{tally:?}");
    assert!(tally.longest_wait_at_end <= RUN_MS, "{tally:?}");
}

#[test]
fn a_request_that_can_not_meet_its_deadline_is_refused_at_once() {
    let mut run = OverloadRun::new(SLOTS as usize);
    run.run(5_000, 300);
    let mut too_late = facts(90_000);
    too_late.deadline = run.fleet.now + TimeSpan::from_millis(50);
    let actions = run.fleet.ask(0, CoreEvent::Arrived(too_late));
    let refused = actions.iter().any(|action| {
        matches!(
            action,
            CoreAction::Refuse {
                reason: RefusalReason::Overloaded,
                outcome: RunOutcome::NotRun,
                retry_after,
                ..
            } if retry_after.0 > 0
        )
    });
    assert!(refused && dispatched(&actions).is_empty());
}
