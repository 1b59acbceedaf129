//! Parts of prompts that crash each engine that begins to write an answer on them, at several
//! routers without a network.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::AttemptTicket;
use verbenaturn::gateway::decide::answered::AnswerEnd;
use verbenaturn::gateway::decide::answered::AnswerEvidence;
use verbenaturn::gateway::decide::answered::RecentAnswers;
use verbenaturn::gateway::decide::crash_report::CrashReport;
use verbenaturn::gateway::protocol::PartId;
use verbenaturn::gateway::protocol::PartIds;
use verbenaturn::units::RequestFingerprint;
use verbenaturn::units::TimeSpan;

mod crashing;
mod engines;

use self::crashing::CRASHES_ALLOWED;
use self::crashing::CrashSign;
use self::crashing::ROUND_MS;
use self::crashing::ROUTERS;
use self::crashing::RouterFleet;
use self::engines::ms;
use self::engines::router_with;

/// The part that crashes engines.
const CRASHING_PART: u64 = 0xdead;
/// Another one.
const OTHER_CRASHING_PART: u64 = 0xbad;
/// The first part of most prompts.
const FIRST_PART: u64 = 0xf1;
/// A second part.
const SECOND_PART: u64 = 0xab;

/// Sends requests with these parts, no two alike, through each router in turn until one is refused,
/// and returns how many crashed an engine.
fn crash_in_turn(fleet: &mut RouterFleet, parts: &[u64], sign: CrashSign, pause_ms: u64) -> usize {
    for turn in 0..20 {
        let request = fleet.fresh_with(parts);
        let router = turn % ROUTERS;
        let Some(ticket) = fleet.send(router, request) else {
            return turn;
        };
        fleet.crash(router, ticket, sign, Vec::new());
        fleet.run_until(fleet.now + pause_ms);
    }
    20
}

/// Answers a sound request with these parts at each router.
fn answer_everywhere(fleet: &mut RouterFleet, parts: &[u64]) {
    for router in 0..ROUTERS {
        let request = fleet.fresh_with(parts);
        assert!(fleet.answer(router, request), "refused at {router}");
    }
}

fn is_refused_everywhere(fleet: &mut RouterFleet, parts: &[u64]) -> bool {
    (0..ROUTERS).all(|router| {
        let request = fleet.fresh_with(parts);
        fleet.send(router, request).is_none()
    })
}

/// Guards against one part that crashes engine after engine because requests with it are no two
/// alike, whatever the routers see of each crash.
#[test]
fn a_part_in_three_crashes_is_refused_by_every_router() {
    for sign in [
        CrashSign::RefusedElsewhere,
        CrashSign::RefusedHere,
        CrashSign::Lapses,
        CrashSign::StartsAgain,
        CrashSign::StartsAgainBeforeLoss,
        CrashSign::AddressReused,
    ] {
        let mut fleet = RouterFleet::new();
        fleet.run_until(1_000);
        answer_everywhere(&mut fleet, &[FIRST_PART, SECOND_PART]);
        let parts = [FIRST_PART, CRASHING_PART, SECOND_PART];
        let crashes = crash_in_turn(&mut fleet, &parts, sign, 5_000);
        assert_eq!(crashes, CRASHES_ALLOWED, "{sign:?}");
        assert!(is_refused_everywhere(&mut fleet, &parts), "{sign:?}");
        answer_everywhere(&mut fleet, &[FIRST_PART, SECOND_PART]);
    }
}

/// Guards against the same where the part comes first and no sound request was answered before: the
/// parts that it always comes with are refused as well, until requests without them show more.
#[test]
fn a_part_that_comes_with_different_others_is_told_apart_from_them() {
    let mut fleet = RouterFleet::new();
    fleet.run_until(1_000);
    let crash = |fleet: &mut RouterFleet, second| {
        crash_in_turn(fleet, &[CRASHING_PART, second], CrashSign::RefusedHere, 500)
    };
    assert_eq!(crash(&mut fleet, SECOND_PART), CRASHES_ALLOWED);
    let others = crash(&mut fleet, SECOND_PART + 1);
    assert!(others <= 1, "{others}");
    assert!(is_refused_everywhere(&mut fleet, &[CRASHING_PART]));
    answer_everywhere(&mut fleet, &[SECOND_PART]);
}

/// Guards against a harmless part that is refused for minutes since a request with it, and with
/// nothing else in common with others, crashes engines whenever it is sent again.
#[test]
fn a_request_that_crashes_engines_is_refused_and_its_parts_are_not() {
    let mut fleet = RouterFleet::new();
    let crashing = fleet.fresh_with(&[FIRST_PART, SECOND_PART]);
    for turn in 0..CRASHES_ALLOWED {
        fleet.run_until(1_000 + turn as u64 * 1_000);
        let ticket = fleet.send(turn, crashing).unwrap();
        fleet.crash(turn, ticket, CrashSign::RefusedElsewhere, Vec::new());
    }
    fleet.run_until(fleet.now + 2_000);
    assert!((0..ROUTERS).all(|router| fleet.send(router, crashing).is_none()));
    answer_everywhere(&mut fleet, &[FIRST_PART, SECOND_PART]);
}

/// Guards against a part that is taken for sound since a request with it is in three crashes of its
/// own and is blamed alone: the next request with the part decides.
#[test]
fn a_part_is_refused_after_a_request_with_it_was() {
    let mut fleet = RouterFleet::new();
    fleet.run_until(1_000);
    answer_everywhere(&mut fleet, &[FIRST_PART]);
    let parts = [FIRST_PART, CRASHING_PART];
    let resent = fleet.fresh_with(&parts);
    for turn in 0..CRASHES_ALLOWED {
        let ticket = fleet.send(turn, resent).unwrap();
        fleet.crash(turn, ticket, CrashSign::RefusedHere, Vec::new());
        fleet.run_until(fleet.now + 500);
    }
    let more = crash_in_turn(&mut fleet, &parts, CrashSign::RefusedHere, 500);
    assert!(more <= 1, "{more}");
    answer_everywhere(&mut fleet, &[FIRST_PART]);
}

/// Guards against two crashing parts of which one hides behind the crashes of the other.
#[test]
fn two_crashing_parts_are_both_refused() {
    let mut fleet = RouterFleet::new();
    fleet.run_until(1_000);
    answer_everywhere(&mut fleet, &[FIRST_PART]);
    let mut crashes = [0; 2];
    for turn in 0..20 {
        let which = turn % 2;
        let part = [CRASHING_PART, OTHER_CRASHING_PART][which];
        let request = fleet.fresh_with(&[FIRST_PART, part]);
        if let Some(ticket) = fleet.send(turn % ROUTERS, request) {
            crashes[which] += 1;
            fleet.crash(turn % ROUTERS, ticket, CrashSign::RefusedHere, Vec::new());
        }
        fleet.run_until(fleet.now + 400);
    }
    assert_eq!(crashes, [CRASHES_ALLOWED; 2]);
    answer_everywhere(&mut fleet, &[FIRST_PART]);
}

/// Guards against a crashing part that long answers, broken off by crashes, keep in doubt: an
/// answer that went on for a second speaks for its parts, one that has just begun does not.
#[test]
fn parts_of_an_answer_that_went_on_are_no_suspects() {
    let mut fleet = RouterFleet::new();
    for turn in 0..4 {
        fleet.run_until(1_000 + turn * 5_000);
        let (long, short) = (
            fleet.fresh_with(&[SECOND_PART]),
            fleet.fresh_with(&[CRASHING_PART]),
        );
        let mut running = fleet.send(0, long).unwrap();
        let engine = running.entry.key.clone();
        fleet.routers[0].first_output(ms(fleet.now), &mut running);
        fleet.run_until(fleet.now + 1_500);
        running.record_activity(ms(fleet.now));
        let Some(crashing) = fleet.send_to(0, &engine, short) else {
            break;
        };
        fleet.crash(0, crashing, CrashSign::RefusedHere, vec![(0, running)]);
    }
    fleet.run_until(25_000);
    assert!(is_refused_everywhere(&mut fleet, &[CRASHING_PART]));
    answer_everywhere(&mut fleet, &[SECOND_PART]);
}

/// Guards against a router that starts after the refusal, knows nothing of it and sends the part to
/// one more engine.
#[test]
fn a_router_that_starts_later_refuses_the_part() {
    let mut fleet = RouterFleet::new();
    fleet.run_until(1_000);
    let crashes = crash_in_turn(&mut fleet, &[CRASHING_PART], CrashSign::RefusedHere, 500);
    assert_eq!(crashes, CRASHES_ALLOWED);
    fleet.run_until(40_000);
    fleet.routers[5] = router_with(&fleet.listed);
    fleet.run_until(41_000);
    let request = fleet.fresh_with(&[CRASHING_PART]);
    assert!(fleet.send(5, request).is_none());
}

/// Guards against a refusal that never ends, and against one after which the part has to crash
/// three engines again.
#[test]
fn a_refused_part_is_tried_again_after_ten_minutes_and_one_crash_refuses_it() {
    let mut fleet = RouterFleet::new();
    fleet.run_until(1_000);
    let parts = [CRASHING_PART];
    let crashes = crash_in_turn(&mut fleet, &parts, CrashSign::RefusedHere, 500);
    assert_eq!(crashes, CRASHES_ALLOWED);
    fleet.run_until(605_000);
    let crashes = crash_in_turn(&mut fleet, &parts, CrashSign::RefusedHere, 500);
    assert_eq!(crashes, 1);
    fleet.run_until(fleet.now + 2_000_000);
    answer_everywhere(&mut fleet, &parts);
}

/// Guards against reports that never end.
#[test]
fn nothing_is_reported_of_parts_a_while_after_the_refusal() {
    let mut fleet = RouterFleet::new();
    fleet.run_until(1_000);
    crash_in_turn(&mut fleet, &[CRASHING_PART], CrashSign::RefusedHere, 500);
    fleet.run_until(2_000_000);
    for core in &mut fleet.routers {
        assert_eq!(
            core.quarantine.report(ms(2_000_000)),
            CrashReport::default()
        );
    }
}

/// A request that runs at an engine.
struct RunningRequest {
    router: usize,
    ticket: AttemptTicket,
    fingerprint: RequestFingerprint,
    ends_at: u64,
}

/// Sound requests with shared parts, rare and popular ones, on engines that crash.
struct PartDay {
    fleet: RouterFleet,
    draw: StdRng,
    running: Vec<RunningRequest>,
    sent: usize,
    refused: usize,
    crashing_ends: Vec<u64>,
}

impl PartDay {
    fn new(seed: u64) -> Self {
        Self {
            fleet: RouterFleet::new(),
            draw: StdRng::seed_from_u64(seed),
            running: Vec::new(),
            sent: 0,
            refused: 0,
            crashing_ends: Vec::new(),
        }
    }

    fn run(&mut self, fingerprint: RequestFingerprint) -> bool {
        let router = self.draw.random_range(0..ROUTERS);
        let Some(mut ticket) = self.fleet.send(router, fingerprint) else {
            return false;
        };
        let now = self.fleet.now;
        self.fleet.routers[router].first_output(ms(now), &mut ticket);
        self.running.push(RunningRequest {
            router,
            ticket,
            fingerprint,
            ends_at: now + self.draw.random_range(100..4_000),
        });
        true
    }

    /// Sends a sound request. Few share its third part, and a tenth comes with a rare first one.
    fn send_sound(&mut self) {
        let first = if self.draw.random_bool(0.1) {
            0x100 + self.draw.random_range(0..5)
        } else {
            FIRST_PART
        };
        let second = 0x200 + self.draw.random_range(0..20);
        let third = 0x300 + self.draw.random_range(0..2_000);
        let request = self.fleet.fresh_with(&[first, second, third]);
        self.sent += 1;
        self.refused += usize::from(!self.run(request));
    }

    /// Sends a request with the crashing part; it takes all that runs at its engine with it.
    fn send_crashing(&mut self) {
        let second = 0x200 + self.draw.random_range(0..20);
        let request = self.fleet.fresh_with(&[FIRST_PART, second, CRASHING_PART]);
        let router = self.draw.random_range(0..ROUTERS);
        let Some(ticket) = self.fleet.send(router, request) else {
            return;
        };
        self.crashing_ends.push(self.fleet.now + 50);
        self.crash(router, ticket);
    }

    fn crash(&mut self, router: usize, ticket: AttemptTicket) {
        let engine = ticket.entry.key.clone();
        let beside: Vec<_> = self
            .running
            .extract_if(.., |request| request.ticket.entry.key == engine)
            .collect();
        let lost: Vec<_> = beside.iter().map(|request| request.fingerprint).collect();
        let beside = beside.into_iter();
        let beside = beside.map(|request| (request.router, request.ticket));
        let sign =
            [CrashSign::RefusedHere, CrashSign::RefusedElsewhere][self.draw.random_range(0..2)];
        self.fleet.crash(router, ticket, sign, beside.collect());
        for fingerprint in lost {
            self.run(fingerprint);
        }
    }

    fn step(&mut self, at: u64) {
        self.fleet.run_until(at);
        let now = self.fleet.now;
        for request in &mut self.running {
            request.ticket.record_activity(ms(now));
        }
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
        for _ in 0..2 {
            self.send_sound();
        }
    }
}

/// Guards against sound parts that are refused for minutes on a day of crashes that have other
/// causes, the first of them within the first second.
#[test]
fn sound_parts_are_not_refused_on_days_of_ordinary_crashes() {
    let (mut sent, mut refused) = (0, 0);
    for seed in 0..8 {
        let mut day = PartDay::new(seed);
        for step in 1..=800_u64 {
            day.step(step * 50);
            if step.is_multiple_of(16) && !day.running.is_empty() {
                let one = day.draw.random_range(0..day.running.len());
                let one = day.running.swap_remove(one);
                day.crash(one.router, one.ticket);
            }
        }
        sent += day.sent;
        refused += day.refused;
    }
    assert_eq!(refused, 0, "of {sent}");
}

/// Guards against both faults in one run: the crashing part goes on to reach engines, or sound
/// requests beside it are refused.
#[test]
fn a_crashing_part_is_refused_beside_sound_requests_and_they_are_not() {
    let (mut sent, mut refused, mut most) = (0, 0, 0);
    for seed in 0..8 {
        let mut day = PartDay::new(seed);
        let per_second = day.draw.random_range(1..8);
        for step in 1..=600_u64 {
            day.step(step * 50);
            if step > 20 && day.draw.random_bool(f64::from(per_second) / 20.0) {
                day.send_crashing();
            }
        }
        sent += day.sent;
        refused += day.refused;
        let fifth = day.crashing_ends.get(4).copied().unwrap_or(u64::MAX);
        let late = day
            .crashing_ends
            .iter()
            .filter(|end| **end > fifth.saturating_add(3_000));
        assert_eq!(late.count(), 0, "seed {seed}: {:?}", day.crashing_ends);
        most = most.max(day.crashing_ends.len());
    }
    assert_eq!(refused, 0, "of {sent}; most engines ended: {most}");
}

/// Guards against an attempt that was abandoned as its engine wrote for long: it speaks for its
/// parts.
#[test]
fn a_caller_that_leaves_a_long_answer_clears_its_parts() {
    let mut fleet = RouterFleet::new();
    fleet.run_until(1_000);
    for _ in 0..2 {
        let request = fleet.fresh_with(&[SECOND_PART]);
        let ticket = fleet.send(0, request).unwrap();
        fleet.crash(0, ticket, CrashSign::RefusedHere, Vec::new());
        fleet.run_until(fleet.now + 1_000);
    }
    let request = fleet.fresh_with(&[SECOND_PART]);
    let mut ticket = fleet.send(3, request).unwrap();
    fleet.routers[3].first_output(ms(fleet.now), &mut ticket);
    fleet.run_until(fleet.now + 2_000);
    ticket.record_activity(ms(fleet.now));
    fleet.routers[3].ended(ms(fleet.now), ticket, AttemptEnd::Abandoned);
    fleet.run_until(fleet.now + 5 * ROUND_MS);
    let crashes = crash_in_turn(&mut fleet, &[SECOND_PART], CrashSign::RefusedHere, 300);
    assert!(crashes >= 2, "{crashes}");
}

/// Guards against an answer that clears a crashing part although the engine didn't outlive it, or
/// failed before it wrote anything.
#[test]
fn answers_that_end_with_their_connection_or_fail_clear_no_part() {
    for (status, end) in [
        (200, AnswerEnd::Closed),
        (500, AnswerEnd::Framed),
        (504, AnswerEnd::Framed),
    ] {
        let mut fleet = RouterFleet::new();
        fleet.run_until(1_000);
        let parts = PartIds(vec![PartId(CRASHING_PART)]);
        for turn in 0..CRASHES_ALLOWED {
            let request = fleet.fresh_with(&[CRASHING_PART]);
            let ticket = fleet.send(turn, request).unwrap();
            fleet.crash(turn, ticket, CrashSign::RefusedHere, Vec::new());
            fleet.run_until(fleet.now + 500);
            let (now, evidence) = (ms(fleet.now), AnswerEvidence { status, end });
            let quarantine = &mut fleet.routers[turn].quarantine;
            quarantine.record_answer(now, request, &parts, evidence);
        }
        assert!(
            is_refused_everywhere(&mut fleet, &[CRASHING_PART]),
            "{status} {end:?}"
        );
    }
}

/// Guards against messages that tell of a popular part for ever after one crash: it is answered all
/// the time, and was accused once.
#[test]
fn a_popular_part_is_told_of_for_a_while_after_its_last_accusation() {
    let mut fleet = RouterFleet::new();
    for second in 1..60 {
        fleet.run_until(second * 1_000);
        answer_everywhere(&mut fleet, &[FIRST_PART]);
        if second == 5 {
            let request = fleet.fresh_with(&[FIRST_PART]);
            let ticket = fleet.send(0, request).unwrap();
            fleet.crash(0, ticket, CrashSign::RefusedHere, Vec::new());
        }
    }
    for core in &mut fleet.routers {
        assert_eq!(core.quarantine.report(ms(60_000)), CrashReport::default());
    }
}

/// Guards against answers that are forgotten by their identifiers: a part with a low one would be a
/// suspect in each crash, however often it is answered.
#[test]
fn the_oldest_answers_are_forgotten_first() {
    let mut answers = RecentAnswers::new(TimeSpan::from_millis(10_000), 3);
    for (at, item) in [(1, 5), (2, 4), (3, 3), (4, 2), (5, 1)] {
        answers.record_here(ms(at), item, false);
    }
    answers.shrink(ms(6));
    let known: Vec<u64> = (1..=5)
        .filter(|item| answers.clears(ms(6), *item))
        .collect();
    assert_eq!(known, [1, 2, 3]);
}

/// Guards against a team whose other requests are refused as beyond its share since its callers go
/// on sending a part that is refused.
#[test]
fn requests_with_a_refused_part_are_no_demand_of_their_team() {
    const RATE: f64 = 60_000.0;
    let mut fleet = RouterFleet::new();
    fleet.run_until(1_000);
    answer_everywhere(&mut fleet, &[FIRST_PART]);
    crash_in_turn(
        &mut fleet,
        &[FIRST_PART, CRASHING_PART],
        CrashSign::RefusedHere,
        500,
    );
    let mut beyond = 0;
    for _ in 0..400 {
        fleet.run_until(fleet.now + 10);
        let now = ms(fleet.now);
        let core = &mut fleet.routers[0];
        core.share_out(now, RATE, &BTreeMap::new(), 0.0);
        for _ in 0..10 {
            let request = fleet.fresh_with(&[FIRST_PART, CRASHING_PART]);
            assert!(fleet.send(0, request).is_none());
        }
        let request = fleet.fresh_with(&[FIRST_PART]);
        beyond += usize::from(!fleet.answer_within_share(0, request));
    }
    assert_eq!(beyond, 0);
}
