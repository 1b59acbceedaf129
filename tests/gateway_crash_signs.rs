//! Recognition of requests that crash endpoints, by what several routers see of each crash: some
//! lose the request, others see that the endpoint's process ended. Without a network.

use std::collections::BTreeMap;

use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use verbenaturn::gateway::decide::Admission;
use verbenaturn::gateway::decide::AdmissionRequest;
use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::AttemptTicket;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::RefusalCause;
use verbenaturn::gateway::decide::crash_report::CrashReport;
use verbenaturn::gateway::digest::RouterDigest;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::units::RequestFingerprint;

mod engines;

use self::engines::ask;
use self::engines::endpoints;
use self::engines::engine_service;
use self::engines::ms;
use self::engines::nadi;
use self::engines::prompt;
use self::engines::route;
use self::engines::router_with;
use self::engines::service;

const ROUTERS: usize = 8;
const ENGINES: usize = 18;

/// Pause between two messages of a router to the others, in ms.
const ROUND_MS: u64 = 100;

/// Time from the end of an engine to the end of its registration, in ms: three heartbeats of 1.2 s
/// and the delay of the list.
const LAPSE_MS: u64 = 3_900;

/// Engines that a request may crash before every router refuses it.
const CRASHES_ALLOWED: usize = 3;

/// Sends that may still reach engines later than `SETTLED_MS` after the last allowed crash.
const LATE_SENDS_ALLOWED: usize = 3;

/// Time after the last allowed crash from which sends are counted as late, in ms.
const SETTLED_MS: u64 = 3_000;

/// Requests that one router loses beside the crashing one.
const BESIDE: usize = 30;

/// Sorts behind all others, so that messages which list requests in order list it last.
const CRASHING: RequestFingerprint = RequestFingerprint(u64::MAX);

/// What the routers see of an engine that a request crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashSign {
    /// The connection of another router is refused, soon after the loss.
    RefusedElsewhere,
    /// The connection of the router that lost the request is refused, soon after the loss.
    RefusedHere,
    /// Its registration lapses, and nothing else is seen.
    Lapses,
    /// It registers with a later start under its key, after the loss.
    StartsAgain,
    /// The same, but its new start is read before the router hears of its own loss.
    StartsAgainBeforeLoss,
    /// Another engine registers at its address, and its own registration lapses.
    AddressReused,
}

const ALL_SIGNS: [CrashSign; 6] = [
    CrashSign::RefusedElsewhere,
    CrashSign::RefusedHere,
    CrashSign::Lapses,
    CrashSign::StartsAgain,
    CrashSign::StartsAgainBeforeLoss,
    CrashSign::AddressReused,
];

/// Something that happens to the fleet at a set time.
#[derive(Debug)]
enum FleetEvent {
    /// A router loses these requests at an engine.
    Lose(usize, Vec<AttemptTicket>),
    /// The caller of this attempt leaves.
    Abandon(usize, AttemptTicket),
    /// A router's connection for this attempt is refused.
    Refuse(usize, AttemptTicket),
    /// The list changes: an entry is removed and another one added.
    List(Option<EndpointKey>, Option<EndpointEntry>),
}

/// Routers that exchange messages each round, and the engines that they use.
struct RouterFleet {
    now: u64,
    routers: Vec<GatewayCore>,
    listed: BTreeMap<EndpointKey, EndpointEntry>,
    events: Vec<(u64, FleetEvent)>,
    /// When engines' processes ended, by their hashes.
    ends: BTreeMap<u64, u64>,
    /// Routers below this one receive nothing from the others, nor the others from them.
    cut_below: usize,
    next_key: usize,
    next_fingerprint: u64,
}

impl RouterFleet {
    fn new() -> Self {
        let mut listed = endpoints("engine", ENGINES);
        for (index, entry) in listed.values_mut().enumerate() {
            entry.address.set_port(u16::try_from(index + 1).unwrap());
        }
        Self {
            now: 0,
            routers: (0..ROUTERS).map(|_| router_with(&listed)).collect(),
            listed,
            events: Vec::new(),
            ends: BTreeMap::new(),
            cut_below: 0,
            next_key: 0,
            next_fingerprint: 1_000,
        }
    }

    /// Lets time pass: events happen when they are due, and routers exchange messages each round.
    fn run_until(&mut self, until: u64) {
        while self.now < until {
            let next_round = (self.now / ROUND_MS + 1) * ROUND_MS;
            let next_event = self.events.iter().map(|(at, _)| *at).min();
            let due = next_event.unwrap_or(u64::MAX).max(self.now);
            if due <= next_round.min(until) {
                self.now = due;
                let index = self.events.iter().position(|(at, _)| *at <= due);
                let (_, event) = self.events.remove(index.unwrap());
                self.happen(event);
            } else {
                self.now = next_round.min(until);
                if self.now == next_round {
                    self.exchange();
                }
            }
        }
    }

    fn happen(&mut self, event: FleetEvent) {
        let now = ms(self.now);
        match event {
            FleetEvent::Lose(router, lost) => {
                for ticket in lost {
                    self.routers[router].ended(now, ticket, AttemptEnd::Lost);
                }
            }
            FleetEvent::Abandon(router, ticket) => {
                self.routers[router].ended(now, ticket, AttemptEnd::Abandoned);
            }
            FleetEvent::Refuse(router, ticket) => {
                self.routers[router].ended(now, ticket, AttemptEnd::Gone);
            }
            FleetEvent::List(removed, added) => {
                if let Some(key) = removed {
                    self.listed.remove(&key);
                }
                if let Some(entry) = added {
                    self.listed.insert(entry.key.clone(), entry);
                }
                for core in &mut self.routers {
                    core.set_endpoints(now, &self.listed);
                }
            }
        }
    }

    /// Each router sends its report to all others.
    fn exchange(&mut self) {
        let now = ms(self.now);
        let reports: Vec<_> = self
            .routers
            .iter_mut()
            .map(|core| core.quarantine.report(now))
            .collect();
        for (from, report) in reports.iter().enumerate() {
            for (to, core) in self.routers.iter_mut().enumerate() {
                let is_cut = (from < self.cut_below) != (to < self.cut_below);
                if from != to && !is_cut {
                    core.quarantine.apply_report(now, report.clone());
                }
            }
        }
    }

    /// A fingerprint that no other request has.
    fn fresh(&mut self) -> RequestFingerprint {
        self.next_fingerprint += 1;
        RequestFingerprint(self.next_fingerprint)
    }

    fn admit(
        &mut self,
        router: usize,
        fingerprint: RequestFingerprint,
        tried: &[EndpointKey],
    ) -> Admission {
        let (route, service, shape, team) = (route("r", 800), service(), engine_service(), nadi());
        let prompt = prompt(fingerprint.0, 100, 10);
        let call = AdmissionRequest {
            fingerprint,
            tried,
            ..ask(&route, &service, &shape, &team, &prompt)
        };
        let core = &mut self.routers[router];
        let standing = core.arrived(ms(self.now), &call);
        core.admit(ms(self.now), &call, standing)
    }

    /// Sends a request through a router; `None` if it is refused as one that crashes endpoints.
    /// Where a process has ended, the connection is refused and the next engine is tried.
    fn send(&mut self, router: usize, fingerprint: RequestFingerprint) -> Option<AttemptTicket> {
        let mut tried = Vec::new();
        loop {
            match self.admit(router, fingerprint, &tried) {
                Admission::Send(ticket) if self.has_ended(&ticket.entry) => {
                    tried.push(ticket.entry.key.clone());
                    self.routers[router].ended(ms(self.now), ticket, AttemptEnd::Gone);
                }
                Admission::Send(ticket) => return Some(ticket),
                Admission::Refuse {
                    cause: RefusalCause::Quarantined,
                    ..
                } => return None,
                refusal @ Admission::Refuse { .. } => panic!("{refusal:?}"),
            }
        }
    }

    fn has_ended(&self, engine: &EndpointEntry) -> bool {
        let ended_at = self.ends.get(&engine.life().hash());
        ended_at.is_some_and(|at| *at <= self.now)
    }

    /// Sends a request through a router to this engine; `None` if the router does not use it.
    fn send_to(
        &mut self,
        router: usize,
        engine: &EndpointKey,
        fingerprint: RequestFingerprint,
    ) -> Option<AttemptTicket> {
        let others = self.listed.keys().filter(|key| *key != engine);
        let others: Vec<_> = others.cloned().collect();
        match self.admit(router, fingerprint, &others) {
            Admission::Send(ticket) if ticket.entry.key == *engine => Some(ticket),
            Admission::Send(_) | Admission::Refuse { .. } => None,
        }
    }

    /// Runs a request that is answered whole.
    fn answer(&mut self, router: usize, fingerprint: RequestFingerprint) -> bool {
        let Some(ticket) = self.send(router, fingerprint) else {
            return false;
        };
        self.answered(router, ticket, fingerprint);
        true
    }

    fn answered(&mut self, router: usize, ticket: AttemptTicket, fingerprint: RequestFingerprint) {
        let now = ms(self.now);
        let core = &mut self.routers[router];
        core.ended(now, ticket, AttemptEnd::Answered);
        core.quarantine.record_answer(now, fingerprint);
    }

    /// An engine to take the place of one that ended, under a new key.
    fn successor(&mut self, of: &EndpointEntry) -> EndpointEntry {
        self.next_key += 1;
        EndpointEntry {
            key: EndpointKey(format!("engine-next-{}", self.next_key).into()),
            ..of.clone()
        }
    }

    /// The engine of an attempt crashes 50 ms from now. The requests in `beside` run there as well
    /// and are lost with it, by the routers that sent them.
    fn crash(
        &mut self,
        router: usize,
        ticket: AttemptTicket,
        sign: CrashSign,
        beside: Vec<(usize, AttemptTicket)>,
    ) {
        let engine = ticket.entry.clone();
        let (ended, key) = (self.now + 50, engine.key.clone());
        self.ends.insert(engine.life().hash(), ended);
        let heard = match sign {
            CrashSign::StartsAgainBeforeLoss => ended + 1_010,
            _ => ended,
        };
        let mut lost: BTreeMap<usize, Vec<_>> = BTreeMap::new();
        lost.entry(router).or_default().push(ticket);
        for (other, ticket) in beside {
            lost.entry(other).or_default().push(ticket);
        }
        for (other, lost) in lost {
            self.events.push((heard, FleetEvent::Lose(other, lost)));
        }
        let next = self.successor(&engine);
        let reborn = EndpointEntry {
            born: ProcessStartTime(engine.born.0 + ended),
            ..engine.clone()
        };
        let connecting = match sign {
            CrashSign::RefusedElsewhere => (router + 3) % ROUTERS,
            _ => router,
        };
        let fingerprint = self.fresh();
        let connection = self.send_to(connecting, &key, fingerprint);
        let events = match sign {
            CrashSign::RefusedElsewhere | CrashSign::RefusedHere => vec![
                (
                    ended + 50,
                    FleetEvent::Refuse(connecting, connection.unwrap()),
                ),
                (ended + LAPSE_MS, FleetEvent::List(Some(key), Some(next))),
            ],
            CrashSign::Lapses => vec![(ended + LAPSE_MS, FleetEvent::List(Some(key), Some(next)))],
            CrashSign::StartsAgain | CrashSign::StartsAgainBeforeLoss => {
                vec![(ended + 1_000, FleetEvent::List(None, Some(reborn)))]
            }
            CrashSign::AddressReused => vec![
                (ended + 1_000, FleetEvent::List(None, Some(next))),
                (ended + LAPSE_MS, FleetEvent::List(Some(key), None)),
            ],
        };
        self.events.extend(events);
    }

    /// Sends the crashing request through each router in turn, `pause_ms` apart, and returns when
    /// engines ended.
    fn crash_one_by_one(&mut self, sign: CrashSign, sends: usize, pause_ms: u64) -> Vec<u64> {
        let mut ends = Vec::new();
        for turn in 0..sends {
            let at = 1_000 + turn as u64 * pause_ms;
            self.run_until(at);
            let router = turn % ROUTERS;
            if let Some(ticket) = self.send(router, CRASHING) {
                ends.push(at + 50);
                self.crash(router, ticket, sign, Vec::new());
            }
        }
        ends
    }
}

/// Sends later than the settled time after the last allowed crash, given when engines ended.
fn late_sends(ends: &[u64]) -> usize {
    let Some(last) = ends.get(CRASHES_ALLOWED - 1) else {
        return 0;
    };
    let late = ends.iter().filter(|end| **end > last + SETTLED_MS);
    late.count()
}

/// Guards against a crash that counts nowhere: one router loses the request, and only another one
/// has its connection refused by the engine that ended.
#[test]
fn a_loss_and_a_refused_connection_at_two_routers_make_a_crash() {
    let ends = RouterFleet::new().crash_one_by_one(CrashSign::RefusedElsewhere, 14, 6_000);
    assert_eq!(ends.len(), CRASHES_ALLOWED, "{ends:?}");
}

/// Guards against a crash that counts nowhere: no router connects to the engine that ended, and only
/// its registration lapses, seconds later.
#[test]
fn a_loss_and_a_lapsed_registration_make_a_crash() {
    let ends = RouterFleet::new().crash_one_by_one(CrashSign::Lapses, 14, 6_000);
    assert_eq!(ends.len(), CRASHES_ALLOWED, "{ends:?}");
}

/// Guards against a crash that counts nowhere: the engine comes back at its address under a new key,
/// while its former registration lapses only seconds later.
#[test]
fn a_loss_and_a_reused_address_make_a_crash() {
    let ends = RouterFleet::new().crash_one_by_one(CrashSign::AddressReused, 14, 6_000);
    assert_eq!(ends.len(), CRASHES_ALLOWED, "{ends:?}");
}

/// Guards against a loss that is dropped: the list already has the engine's new start when the
/// router hears that the connection to the former process broke.
#[test]
fn a_loss_heard_after_the_new_start_makes_a_crash() {
    let ends = RouterFleet::new().crash_one_by_one(CrashSign::StartsAgainBeforeLoss, 14, 6_000);
    assert_eq!(ends.len(), CRASHES_ALLOWED, "{ends:?}");
}

/// Guards against a request that ends engine after engine while each crash is seen in another way,
/// with sends a second or less apart, from any router.
#[test]
fn crashes_seen_in_different_ways_add_up() {
    for seed in 0..200 {
        let mut draw = StdRng::seed_from_u64(seed);
        let mut fleet = RouterFleet::new();
        let (mut at, mut ends) = (1_000, Vec::new());
        for _ in 0..30 {
            at += draw.random_range(300..1_300);
            fleet.run_until(at);
            let router = draw.random_range(0..ROUTERS);
            if let Some(ticket) = fleet.send(router, CRASHING) {
                ends.push(at + 50);
                let sign = ALL_SIGNS[draw.random_range(0..ALL_SIGNS.len())];
                fleet.crash(router, ticket, sign, Vec::new());
            }
        }
        assert!(
            late_sends(&ends) <= LATE_SENDS_ALLOWED,
            "seed {seed}: {ends:?}"
        );
    }
}

/// Guards against a router that starts after the refusal, knows nothing of it and sends the request
/// to one more engine.
#[test]
fn a_router_that_starts_after_the_refusal_refuses_as_well() {
    let mut fleet = RouterFleet::new();
    let ends = fleet.crash_one_by_one(CrashSign::RefusedHere, 3, 2_000);
    assert_eq!(ends.len(), CRASHES_ALLOWED);
    fleet.run_until(20_000);
    fleet.routers[5] = router_with(&fleet.listed);
    fleet.run_until(21_000);
    assert!(fleet.send(5, CRASHING).is_none());
}

/// Guards against a refusal that stays at one router for seconds: the requests that were lost beside
/// the crashing one fill the messages.
#[test]
fn a_refusal_is_in_the_next_message_however_many_requests_were_lost_beside_it() {
    let mut fleet = RouterFleet::new();
    for turn in 0..CRASHES_ALLOWED {
        fleet.run_until(2_000 + turn as u64 * 6_000);
        let ticket = fleet.send(turn, CRASHING).unwrap();
        let engine = ticket.entry.key.clone();
        let beside = (0..BESIDE).map(|_| {
            let fingerprint = fleet.fresh();
            let ticket = fleet.send_to(turn, &engine, fingerprint).unwrap();
            (turn, ticket)
        });
        let beside = beside.collect();
        fleet.crash(turn, ticket, CrashSign::RefusedHere, beside);
    }
    let seen = fleet.now + 100;
    fleet.run_until(seen + 2 * ROUND_MS);
    let refusing = (0..ROUTERS).filter(|router| fleet.send(*router, CRASHING).is_none());
    let refusing: Vec<_> = refusing.collect();
    assert_eq!(refusing.len(), ROUTERS, "{refusing:?}");
}

/// Guards against a harmless request that is refused for minutes: callers of all routers send it all
/// the time, so that it runs in crash after crash, and it is answered whole in between.
#[test]
fn a_request_that_is_answered_between_crashes_is_never_refused() {
    let popular = RequestFingerprint(99);
    let mut fleet = RouterFleet::new();
    let mut refused = 0;
    for turn in 0..10 {
        for step in 0..27 {
            fleet.run_until(1_000 + turn * 2_000 + step * 70);
            let answers = (0..ROUTERS).map(|router| fleet.answer(router, popular));
            refused += answers.filter(|answered| !answered).count();
        }
        let (router, fingerprint) = (usize::try_from(turn).unwrap() % ROUTERS, fleet.fresh());
        let ticket = fleet.send(router, fingerprint).unwrap();
        let engine = ticket.entry.key.clone();
        let beside = (0..ROUTERS).filter_map(|other| {
            let ticket = fleet.send_to(other, &engine, popular)?;
            Some((other, ticket))
        });
        let beside = beside.collect();
        fleet.crash(router, ticket, CrashSign::RefusedHere, beside);
    }
    assert_eq!(refused, 0);
}

/// Guards against harmless requests that count as the cause of a crash: an engine leaves as planned,
/// cuts what still runs when its process ends, and its address refuses connections.
#[test]
fn requests_cut_by_an_engine_that_leaves_as_planned_are_no_suspects() {
    let mut fleet = RouterFleet::new();
    for turn in 0..5 {
        fleet.run_until(1_000 + turn * 8_000);
        let ticket = fleet.send(0, CRASHING).unwrap();
        let engine = ticket.entry.clone();
        let leaving = EndpointEntry {
            state: EndpointState::Leaving,
            ..engine.clone()
        };
        let next = fleet.successor(&engine);
        let (now, key) = (fleet.now, engine.key.clone());
        let fingerprint = fleet.fresh();
        let connection = fleet.send_to(2, &engine.key, fingerprint).unwrap();
        fleet.events.extend([
            (now + 500, FleetEvent::List(None, Some(leaving))),
            (now + 4_000, FleetEvent::Lose(0, vec![ticket])),
            (now + 4_050, FleetEvent::Refuse(2, connection)),
            (now + 4_500, FleetEvent::List(Some(key), Some(next))),
        ]);
    }
    fleet.run_until(60_000);
    assert!(fleet.send(1, CRASHING).is_some());
}

/// Guards against harmless requests that count as the cause of a crash: an engine's registration is
/// removed, as on some planned departures, and seconds later its process ends under what still runs.
#[test]
fn requests_cut_by_an_engine_that_was_unregistered_before_are_no_suspects() {
    let mut fleet = RouterFleet::new();
    for turn in 0..5 {
        fleet.run_until(1_000 + turn * 8_000);
        let ticket = fleet.send(0, CRASHING).unwrap();
        let engine = ticket.entry.clone();
        let next = fleet.successor(&engine);
        let now = fleet.now;
        fleet.events.extend([
            (now + 500, FleetEvent::List(Some(engine.key), Some(next))),
            (now + 4_000, FleetEvent::Lose(0, vec![ticket])),
        ]);
    }
    fleet.run_until(60_000);
    assert!(fleet.send(1, CRASHING).is_some());
}

/// Guards against a crash that counts nowhere: another router, whose endpoint list is newer, reports
/// that the endpoint left before this router's own list shows that its registration lapsed.
#[test]
fn a_lapse_that_another_router_reports_first_makes_a_crash() {
    let mut fleet = RouterFleet::new();
    for turn in 0..CRASHES_ALLOWED as u64 {
        fleet.run_until(1_000 + turn * 6_000);
        let ticket = fleet.send(0, CRASHING).unwrap();
        let process = fleet.routers[0].endpoints.get(&ticket.entry.key).unwrap();
        let reported = [process.life].into();
        fleet.crash(0, ticket, CrashSign::Lapses, Vec::new());
        fleet.run_until(fleet.now + LAPSE_MS);
        fleet.routers[0]
            .endpoints
            .set_reported_departures(&reported);
    }
    fleet.run_until(30_000);
    assert!(fleet.send(0, CRASHING).is_none());
}

/// Guards against a refusal that never ends: routers repeat it to each other, each time a little
/// later than the others, and each message prolongs it.
#[test]
fn a_refusal_ends_although_routers_repeat_it() {
    let mut fleet = RouterFleet::new();
    let ends = fleet.crash_one_by_one(CrashSign::RefusedHere, CRASHES_ALLOWED, 2_000);
    let last = ends[CRASHES_ALLOWED - 1];
    fleet.run_until(last + 590_000);
    assert!(fleet.send(4, CRASHING).is_none());
    fleet.run_until(last + 603_000);
    let refusing = (0..ROUTERS).filter(|router| fleet.send(*router, CRASHING).is_none());
    assert_eq!(refusing.count(), 0);
}

/// A request that runs at an engine until it is answered.
struct RunningRequest {
    router: usize,
    ticket: AttemptTicket,
    fingerprint: RequestFingerprint,
    ends_at: u64,
    resends: u32,
}

/// Harmless requests on engines that crash again and again for reasons of their own.
struct HarmlessDay {
    fleet: RouterFleet,
    draw: StdRng,
    running: Vec<RunningRequest>,
    sent: usize,
    refused: usize,
}

impl HarmlessDay {
    fn new(seed: u64) -> Self {
        Self {
            fleet: RouterFleet::new(),
            draw: StdRng::seed_from_u64(seed),
            running: Vec::new(),
            sent: 0,
            refused: 0,
        }
    }

    fn send(&mut self, fingerprint: RequestFingerprint, resends: u32) {
        let router = self.draw.random_range(0..ROUTERS);
        self.sent += 1;
        let Some(ticket) = self.fleet.send(router, fingerprint) else {
            self.refused += 1;
            return;
        };
        let ends_at = self.fleet.now + self.draw.random_range(50..800);
        self.running.push(RunningRequest {
            router,
            ticket,
            fingerprint,
            ends_at,
            resends,
        });
    }

    /// Answers what has run to its end.
    fn finish(&mut self) {
        let now = self.fleet.now;
        let done: Vec<_> = self
            .running
            .extract_if(.., |request| request.ends_at <= now)
            .collect();
        for request in done {
            let RunningRequest {
                router,
                ticket,
                fingerprint,
                ..
            } = request;
            self.fleet.answered(router, ticket, fingerprint);
        }
    }

    /// Crashes the engines of some running requests. All requests there are lost and sent again.
    fn crash(&mut self, count: usize) {
        for _ in 0..count {
            if self.running.is_empty() {
                return;
            }
            let first = self.draw.random_range(0..self.running.len());
            let engine = self.running[first].ticket.entry.key.clone();
            let mut lost: Vec<_> = self
                .running
                .extract_if(.., |request| request.ticket.entry.key == engine)
                .collect();
            let resent: Vec<_> = lost
                .iter()
                .map(|request| (request.fingerprint, request.resends))
                .collect();
            let one = lost.pop().unwrap();
            let beside = lost.into_iter();
            let beside = beside.map(|one| (one.router, one.ticket));
            let sign = [CrashSign::RefusedHere, CrashSign::Lapses][self.draw.random_range(0..2)];
            self.fleet
                .crash(one.router, one.ticket, sign, beside.collect());
            for (fingerprint, resends) in resent {
                if resends > 0 {
                    self.send(fingerprint, resends - 1);
                }
            }
        }
    }

    /// Plays 60 s with a wave of crashes every 1.5 s.
    fn play(&mut self) {
        for step in 1..=1_200_u64 {
            self.fleet.run_until(step * 50);
            self.finish();
            for _ in 0..4 {
                let popular = self.draw.random_range(0..10);
                let unique = self.fleet.fresh();
                self.send(RequestFingerprint(popular), 1);
                self.send(unique, 1);
            }
            if step.is_multiple_of(30) {
                let count = self.draw.random_range(1..4);
                self.crash(count);
            }
        }
    }
}

/// Guards against harmless requests that are refused for minutes on a day on which engines crash
/// again and again: a few popular ones are sent all the time, others once, and each that is lost is
/// sent once more.
#[test]
fn harmless_requests_are_not_refused_on_a_day_of_many_crashes() {
    for seed in 0..20 {
        let mut day = HarmlessDay::new(seed);
        day.play();
        assert_eq!(day.refused, 0, "seed {seed}: of {}", day.sent);
    }
}

/// Sends the crashing request through each router in turn. Its engine's host goes dark, so that the
/// connection stays open and silent until the caller leaves, `left_after_ms` later.
fn go_dark(left_after_ms: u64) -> usize {
    let mut fleet = RouterFleet::new();
    let mut ends = 0;
    for turn in 0..12 {
        fleet.run_until(1_000 + turn as u64 * 9_000);
        let router = turn % ROUTERS;
        let Some(ticket) = fleet.send(router, CRASHING) else {
            continue;
        };
        ends += 1;
        let engine = ticket.entry.clone();
        let next = fleet.successor(&engine);
        let ended = fleet.now + 50;
        fleet.ends.insert(engine.life().hash(), ended);
        fleet.events.extend([
            (ended + left_after_ms, FleetEvent::Abandon(router, ticket)),
            (
                ended + LAPSE_MS,
                FleetEvent::List(Some(engine.key), Some(next)),
            ),
        ]);
    }
    ends
}

/// Guards against a crash that counts nowhere: the connection does not break, since the endpoint's
/// host goes dark with it, and the caller leaves before the registration lapses.
#[test]
fn a_request_whose_endpoints_go_silent_is_refused() {
    assert_eq!(go_dark(2_500), CRASHES_ALLOWED);
}

/// Guards against a crash that counts nowhere: as above, but the caller waits until the registration
/// has lapsed.
#[test]
fn a_request_whose_endpoints_go_silent_is_refused_though_its_caller_waits_long() {
    assert_eq!(go_dark(6_000), CRASHES_ALLOWED);
}

/// Guards against harmless requests that count as the cause of a crash: their callers leave while
/// the engine works on others, and it leaves as planned, without notice, soon after.
#[test]
fn requests_whose_callers_left_a_working_engine_are_no_suspects() {
    let mut fleet = RouterFleet::new();
    for turn in 0..6 {
        let start = 1_000 + turn * 8_000;
        fleet.run_until(start);
        let ticket = fleet.send(0, CRASHING).unwrap();
        let engine = ticket.entry.clone();
        let fingerprint = fleet.fresh();
        let mut other = fleet.send_to(0, &engine.key, fingerprint).unwrap();
        fleet.routers[0].first_output(ms(start), &mut other);
        for step in 1..=30 {
            fleet.run_until(start + step * 100);
            other.record_activity(ms(fleet.now));
        }
        fleet.routers[0].ended(ms(fleet.now), ticket, AttemptEnd::Abandoned);
        fleet.answered(0, other, fingerprint);
        let next = fleet.successor(&engine);
        let list = FleetEvent::List(Some(engine.key), Some(next));
        fleet.events.push((fleet.now + 500, list));
    }
    fleet.run_until(60_000);
    assert!(fleet.send(1, CRASHING).is_some());
}

/// Guards against copies that go on ending engines: callers send the request through all routers at
/// once, each to another engine, before the first crash is known, and then again.
#[test]
fn copies_sent_at_once_end_their_engines_and_no_more() {
    let mut fleet = RouterFleet::new();
    fleet.run_until(1_000);
    let engines: Vec<EndpointKey> = fleet.listed.keys().take(ROUTERS).cloned().collect();
    for (router, engine) in engines.iter().enumerate() {
        let ticket = fleet.send_to(router, engine, CRASHING).unwrap();
        fleet.crash(router, ticket, CrashSign::RefusedHere, Vec::new());
    }
    fleet.run_until(1_000 + 50 + 50 + 2 * ROUND_MS);
    let refusing = (0..ROUTERS).filter(|router| fleet.send(*router, CRASHING).is_none());
    assert_eq!(refusing.count(), ROUTERS);
}

/// Guards against a side of a partition that waits for the other one's evidence.
#[test]
fn each_side_of_a_partition_refuses_after_its_own_crashes() {
    let mut fleet = RouterFleet::new();
    fleet.cut_below = ROUTERS / 2;
    let ends = fleet.crash_one_by_one(CrashSign::RefusedHere, 24, 2_000);
    assert_eq!(ends.len(), 2 * CRASHES_ALLOWED, "{ends:?}");
}

/// Guards against crashes that count only while the endpoint list changes: the store is away all the
/// while, and the engines that ended stay listed.
#[test]
fn crashes_count_while_the_store_is_away() {
    let mut fleet = RouterFleet::new();
    let mut ends = 0;
    for turn in 0..14 {
        fleet.run_until(1_000 + turn as u64 * 4_000);
        let router = turn % ROUTERS;
        if let Some(ticket) = fleet.send(router, CRASHING) {
            ends += 1;
            fleet.crash(router, ticket, CrashSign::RefusedElsewhere, Vec::new());
            let events = &mut fleet.events;
            events.retain(|(_, event)| !matches!(event, FleetEvent::List(..)));
        }
    }
    assert_eq!(ends, CRASHES_ALLOWED);
}

/// Guards against messages that outgrow an Ethernet frame after a crash, when all lists of a report
/// are full: half of a frame is left to the loads.
#[test]
fn a_full_report_takes_at_most_half_of_a_frame() {
    const HALF_FRAME_BYTES: usize = 1_472 / 2;
    let mut fleet = RouterFleet::new();
    for turn in 0..16 {
        fleet.run_until(1_000 + turn as u64 * 300);
        let router = turn % ROUTERS;
        let mut lost = Vec::new();
        for number in 0..12 {
            // Some are in enough crashes to be refused, others only suspects.
            let fingerprint = RequestFingerprint(u64::MAX - number);
            let place = if number < 9 {
                fingerprint
            } else {
                fleet.fresh()
            };
            lost.extend(fleet.send(router, place).map(|ticket| (router, ticket)));
        }
        let Some((router, ticket)) = lost.pop() else {
            continue;
        };
        fleet.crash(router, ticket, CrashSign::RefusedHere, lost);
    }
    fleet.run_until(7_000);
    let largest = (0..50).map(|step| {
        fleet.run_until(7_000 + step * ROUND_MS);
        let reports = fleet.routers.iter_mut().map(|core| {
            let report = core.quarantine.report(ms(7_000 + step * ROUND_MS));
            RouterDigest::default()
                .with_crash_report(&report)
                .encoded_len()
        });
        reports.max().unwrap()
    });
    let largest = largest.max().unwrap();
    assert!(largest <= HALF_FRAME_BYTES, "{largest}");
}

/// Guards against harmless requests that count as the cause of a crash although no endpoint got
/// them: their callers left while the router still connected to an endpoint that was dark.
#[test]
fn requests_that_were_not_sent_are_no_suspects() {
    let mut fleet = RouterFleet::new();
    for turn in 0..5 {
        fleet.run_until(1_000 + turn * 9_000);
        let ticket = fleet.send(0, CRASHING).unwrap();
        let engine = ticket.entry.clone();
        fleet.run_until(fleet.now + 2_500);
        fleet.routers[0].ended(ms(fleet.now), ticket, AttemptEnd::NotSent);
        let next = fleet.successor(&engine);
        let list = FleetEvent::List(Some(engine.key), Some(next));
        fleet.events.push((fleet.now + 1_500, list));
    }
    fleet.run_until(60_000);
    assert!(fleet.send(1, CRASHING).is_some());
}

/// Guards against reports that never end: routers hear of an end at different times and pass it on, so
/// that one which has forgotten it hears of it again.
#[test]
fn nothing_is_reported_a_while_after_the_last_crash() {
    let mut fleet = RouterFleet::new();
    let popular = RequestFingerprint(99);
    fleet.run_until(1_000);
    let ticket = fleet.send(0, popular).unwrap();
    fleet.crash(0, ticket, CrashSign::RefusedElsewhere, Vec::new());
    fleet.run_until(2_000);
    assert!(fleet.answer(3, popular));
    fleet.run_until(40_000);
    let now = ms(fleet.now);
    for core in &mut fleet.routers {
        assert_eq!(core.quarantine.report(now), CrashReport::default());
    }
}
