//! Harmless requests beside crashes and departures of endpoints: none may be refused as one that
//! crashes them.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::AttemptTicket;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::units::RequestFingerprint;

mod crashing;
mod engines;

use self::crashing::CRASHING;
use self::crashing::CrashSign;
use self::crashing::FleetEvent;
use self::crashing::ROUTERS;
use self::crashing::RouterFleet;
use self::engines::ms;

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
