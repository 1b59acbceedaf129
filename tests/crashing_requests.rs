//! Quarantine of a request that crashes every endpoint that runs it, and of its resends.

mod cores;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use verbenaturn::core::action::CoreAction;
use verbenaturn::core::action::RefusalReason;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::tables::endpoints::LoadWatcher;
use verbenaturn::units::EndpointId;
use verbenaturn::units::RequestFingerprint;
use verbenaturn::units::RequestId;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::ended;
use self::cores::endpoint;
use self::cores::facts;
use self::cores::idle_report;
use self::cores::pool;

/// The fingerprint of the request that crashes endpoints.
const POISON: RequestFingerprint = RequestFingerprint(666);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Running {
    router: usize,
    request: u64,
    attempt: u32,
    poison: bool,
    since: u64,
}

/// A fleet whose endpoints crash after running the poison request for `CRASH_US` and are down for
/// `DOWN_US`.
struct CrashRun {
    fleet: CoreFleet,
    next_request: u64,
    fingerprints: BTreeMap<(usize, u64), RequestFingerprint>,
    running: BTreeMap<EndpointId, Vec<Running>>,
    lives: BTreeMap<EndpointId, u64>,
    down_until: BTreeMap<EndpointId, u64>,
    crashes: Vec<EndpointId>,
    whole: BTreeSet<RequestFingerprint>,
    quarantined: BTreeSet<RequestFingerprint>,
    refusals: u32,
    copies: u32,
}

const ENDPOINTS: usize = 6;
const RUN_US: u64 = 400_000;
const CRASH_US: u64 = 100_000;
const DOWN_US: u64 = 1_000_000;

impl CrashRun {
    fn new(routers: usize) -> Self {
        let lives = (1..=ENDPOINTS)
            .map(|number| (endpoint(number), 1))
            .collect();
        Self {
            fleet: CoreFleet::new(routers, catalog(ENDPOINTS, 4)),
            next_request: 0,
            fingerprints: BTreeMap::new(),
            running: BTreeMap::new(),
            lives,
            down_until: BTreeMap::new(),
            crashes: Vec::new(),
            whole: BTreeSet::new(),
            quarantined: BTreeSet::new(),
            refusals: 0,
            copies: 0,
        }
    }

    fn send(&mut self, router: usize, fingerprint: RequestFingerprint) {
        self.next_request += 1;
        let mut facts = facts(self.next_request);
        facts.fingerprint = fingerprint;
        let key = (router, self.next_request);
        self.fingerprints.insert(key, fingerprint);
        self.fleet.handle_event(router, CoreEvent::Arrived(facts));
        self.carry_out();
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 5 {
            self.fleet.advance(5);
            self.carry_out();
            self.end_what_is_due();
            self.report_loads();
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        for router in 0..self.fleet.cores.len() {
            for action in self.fleet.take(router) {
                self.act(router, &action);
            }
        }
    }

    fn act(&mut self, router: usize, action: &CoreAction) {
        match action {
            CoreAction::Dispatch {
                request,
                attempt,
                endpoint,
                ..
            } => self.dispatch(router, request.0, attempt.0, *endpoint),
            CoreAction::Refuse {
                request, reason, ..
            } if *reason == RefusalReason::Quarantined => {
                let fingerprint = self.fingerprints[&(router, request.0)];
                self.quarantined.insert(fingerprint);
                self.refusals += 1;
            }
            CoreAction::Complete { request } => {
                let fingerprint = self.fingerprints[&(router, request.0)];
                self.whole.insert(fingerprint);
            }
            _ => {}
        }
    }

    fn dispatch(&mut self, router: usize, request: u64, attempt: u32, endpoint: EndpointId) {
        if self.down_until.contains_key(&endpoint) {
            self.fleet
                .handle_event(router, CoreEvent::EndpointRefused { endpoint });
            let not_sent = ended(request, attempt, AttemptOutcome::NotSent);
            self.fleet.handle_event(router, not_sent);
            return;
        }
        let poison = self.fingerprints[&(router, request)] == POISON;
        self.copies += u32::from(poison);
        self.running.entry(endpoint).or_default().push(Running {
            router,
            request,
            attempt,
            poison,
            since: self.fleet.now.0,
        });
    }

    fn end_what_is_due(&mut self) {
        let now = self.fleet.now.0;
        self.down_until.retain(|_, until| *until > now);
        let poisoned: Vec<EndpointId> = self
            .running
            .iter()
            .filter(|(_, all)| {
                all.iter()
                    .any(|one| one.poison && one.since + CRASH_US <= now)
            })
            .map(|(endpoint, _)| *endpoint)
            .collect();
        for endpoint in poisoned {
            self.crash(endpoint);
        }
        let mut done = Vec::new();
        for all in self.running.values_mut() {
            done.extend(all.iter().copied().filter(|one| one.since + RUN_US <= now));
            all.retain(|one| one.since + RUN_US > now);
        }
        for one in done {
            let whole = ended(one.request, one.attempt, AttemptOutcome::Whole);
            self.fleet.handle_event(one.router, whole);
        }
    }

    fn crash(&mut self, endpoint: EndpointId) {
        self.crashes.push(endpoint);
        *self.lives.get_mut(&endpoint).unwrap() += 1;
        self.down_until.insert(endpoint, self.fleet.now.0 + DOWN_US);
        for one in self.running.remove(&endpoint).unwrap_or_default() {
            let lost = ended(one.request, one.attempt, AttemptOutcome::LostBeforeAnswer);
            self.fleet.handle_event(one.router, lost);
        }
    }

    /// Reports what drivers see when they read loads: a refused connection or a load report.
    fn report_loads(&mut self) {
        if !self.fleet.now.0.is_multiple_of(200_000) {
            return;
        }
        for (endpoint, life) in self.lives.clone() {
            let running = self.running.get(&endpoint).map_or(0, Vec::len);
            let event = if self.down_until.contains_key(&endpoint) {
                CoreEvent::EndpointRefused { endpoint }
            } else {
                CoreEvent::EndpointLoad {
                    endpoint,
                    running: u32::try_from(running).unwrap(),
                    waiting: 0,
                    active: pool(),
                    life,
                    fence: 0,
                }
            };
            for router in 0..self.fleet.cores.len() {
                self.fleet.handle_event(router, event.clone());
            }
        }
    }
}

fn innocent(number: u64) -> RequestFingerprint {
    RequestFingerprint(1_000 + number)
}

#[test]
fn one_request_crashes_only_two_endpoints_and_others_are_answered() {
    // A request with a broken prompt crashes the engine that runs it. The router retries it
    // elsewhere, and its caller resends it through every other router. Without a quarantine it
    // crashes one engine after the other, together with all requests that run there.
    let mut run = CrashRun::new(3);
    for number in 0..18 {
        run.send(usize::try_from(number % 3).unwrap(), innocent(number));
    }
    run.send(0, POISON);
    for turn in 0..12 {
        run.run(500);
        run.send(turn % 3, POISON);
    }
    run.run(3_000);
    assert_eq!(run.crashes.len(), 2, "{:?}", run.crashes);
    assert_eq!(run.quarantined, BTreeSet::from([POISON]));
    let answered = (0..18).filter(|number| run.whole.contains(&innocent(*number)));
    assert_eq!(answered.count(), 18);
}

#[test]
fn copies_sent_at_once_after_a_first_crash_end_on_one_endpoint() {
    // After the first crash the client library resends the same request through all routers at
    // once. Without coordination each router would let it crash one more engine.
    let mut run = CrashRun::new(4);
    run.send(0, POISON);
    run.run(250);
    assert_eq!(run.crashes.len(), 1);
    for router in 0..4 {
        run.send(router, POISON);
    }
    run.run(5_000);
    assert_eq!(run.crashes.len(), 2, "{:?}", run.crashes);
    assert_eq!(run.copies, 2, "a copy ran beside another one");
    assert_eq!(run.refusals, 5);
}

#[test]
fn a_router_that_restarts_learns_of_the_refusal_from_the_first_crash_it_reports() {
    // A host is replaced while a request is refused fleet-wide. The new router does not know the
    // refusal and runs the request. That may crash one more engine, not two.
    let mut run = CrashRun::new(3);
    run.send(0, POISON);
    run.run(3_000);
    assert_eq!(run.crashes.len(), 2);
    run.fleet.stop(1);
    run.fleet.start(1);
    run.run(1_000);
    for _ in 0..6 {
        run.send(1, POISON);
        run.run(2_500);
    }
    assert_eq!(run.crashes.len(), 3, "{:?}", run.crashes);
}

#[test]
fn a_lost_link_without_a_crash_makes_no_request_suspect() {
    // A switch drops connections of a busy router twice. Its requests are harmless and must not be
    // refused for ten minutes.
    let mut fleet = CoreFleet::new(1, catalog(3, 4));
    let report = |number| idle_report(endpoint(number), 1);
    (1..=3).for_each(|number| fleet.handle_event(0, report(number)));
    fleet.handle_event(0, CoreEvent::Arrived(facts(1)));
    for attempt in 1..=2 {
        fleet.handle_event(0, ended(1, attempt, AttemptOutcome::LostBeforeAnswer));
        fleet.advance(100);
        (1..=3).for_each(|number| fleet.handle_event(0, report(number)));
        fleet.advance(100);
    }
    assert_eq!(fleet.core(0).state().crashes.suspect_count(), 0);
    let end = fleet.ask(0, ended(1, 3, AttemptOutcome::Whole));
    assert!(end.contains(&CoreAction::Complete {
        request: RequestId(1)
    }));
}

/// Guards against a crash that is mistaken for a network failure: a router that first reads an
/// endpoint's incarnation after a loss there gets the next one, and the request goes on to crash
/// other endpoints.
#[test]
fn a_router_reads_the_incarnation_of_an_endpoint_that_it_begins_to_use() {
    let mut fleet = CoreFleet::new(1, catalog(1, 4));
    let reads_life = |fleet: &CoreFleet| {
        let row = fleet.core(0).state().endpoints.get(endpoint(1));
        row.is_some_and(|row| row.watchers.contains(&LoadWatcher::FirstLife))
    };
    assert!(!reads_life(&fleet));
    fleet.handle_event(0, CoreEvent::Arrived(facts(1)));
    assert!(next_dispatch(&mut fleet).is_some());
    assert!(reads_life(&fleet));
    let report = |life| CoreEvent::EndpointLoad {
        endpoint: endpoint(1),
        running: 1,
        waiting: 0,
        active: pool(),
        life,
        fence: 0,
    };
    fleet.handle_event(0, report(1));
    assert!(!reads_life(&fleet));
    fleet.handle_event(0, ended(1, 1, AttemptOutcome::LostBeforeAnswer));
    fleet.handle_event(0, report(2));
    assert_eq!(fleet.core(0).state().crashes.suspect_count(), 1);
}

#[test]
fn memory_of_suspects_is_bounded() {
    let mut config = verbenaturn::configs::CoreConfig::default();
    config.quarantine.max_suspects = 8;
    config.quarantine.max_crashes = 4;
    let mut fleet = CoreFleet::with_config(1, catalog(2, 4), config);
    for life in 1..40 {
        let mut facts = facts(life);
        facts.fingerprint = innocent(life);
        fleet.handle_event(0, CoreEvent::Arrived(facts));
        fleet.handle_event(0, ended(life, 1, AttemptOutcome::LostBeforeAnswer));
        for number in 1..=2 {
            let endpoint = endpoint(number);
            fleet.handle_event(0, idle_report(endpoint, life));
        }
        fleet.advance(5);
        assert!(fleet.core(0).state().crashes.suspect_count() <= 8);
    }
}

/// Runs until the router dispatches a request, for two seconds at most.
fn next_dispatch(fleet: &mut CoreFleet) -> Option<(u64, u32, EndpointId)> {
    for _ in 0..400 {
        for action in fleet.take(0) {
            if let CoreAction::Dispatch {
                request,
                attempt,
                endpoint,
                ..
            } = action
            {
                return Some((request.0, attempt.0, endpoint));
            }
        }
        fleet.advance(5);
    }
    None
}

#[test]
fn a_copy_that_ran_while_its_request_was_refused_does_not_run_again() {
    // A caller sends the same broken request twice. One copy crashes two engines and the request is
    // refused fleet-wide; the other copy is still running at that moment and then crashes its own
    // engine. It must be refused, not retried on a fourth and fifth engine.
    let mut fleet = CoreFleet::new(1, catalog(ENDPOINTS, 4));
    fleet.advance(500);
    let crash = |fleet: &mut CoreFleet, request: u64, attempt: u32, endpoint: EndpointId| {
        fleet.handle_event(0, ended(request, attempt, AttemptOutcome::LostBeforeAnswer));
        fleet.handle_event(0, CoreEvent::EndpointRefused { endpoint });
    };
    fleet.handle_event(0, CoreEvent::Arrived(facts(1)));
    let (_, _, first) = next_dispatch(&mut fleet).unwrap();
    fleet.handle_event(0, CoreEvent::Arrived(facts(2)));
    let (_, _, slow) = next_dispatch(&mut fleet).unwrap();
    crash(&mut fleet, 1, 1, first);
    let (again, attempt, second) = next_dispatch(&mut fleet).unwrap();
    assert_eq!(again, 1);
    crash(&mut fleet, 1, attempt, second);
    fleet.advance(1_000);
    crash(&mut fleet, 2, 1, slow);
    let mut refused = false;
    for _ in 0..4_000 {
        for action in fleet.take(0) {
            match action {
                CoreAction::Dispatch { request, .. } => panic!("{request} runs again"),
                CoreAction::Refuse {
                    request, reason, ..
                } => refused |= (request.0, reason) == (2, RefusalReason::Quarantined),
                _ => {}
            }
        }
        fleet.advance(5);
    }
    assert!(refused);
}
