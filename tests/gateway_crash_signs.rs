//! Recognition of requests that crash endpoints, by what several routers see of each crash: some
//! lose the request, others see that the endpoint's process ended.

use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use verbenaturn::gateway::decide::crash_report::CrashReport;
use verbenaturn::gateway::digest::RouterDigest;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::units::RequestFingerprint;

mod crashing;
mod engines;

use self::crashing::CRASHES_ALLOWED;
use self::crashing::CRASHING;
use self::crashing::CrashSign;
use self::crashing::FleetEvent;
use self::crashing::LAPSE_MS;
use self::crashing::ROUND_MS;
use self::crashing::ROUTERS;
use self::crashing::RouterFleet;
use self::engines::ms;
use self::engines::router_with;

/// Sends that may still reach engines later than `SETTLED_MS` after the last allowed crash.
const LATE_SENDS_ALLOWED: usize = 3;

/// Time after the last allowed crash from which sends are counted as late, in ms.
const SETTLED_MS: u64 = 3_000;

/// Requests that one router loses beside the crashing one.
const BESIDE: usize = 30;

/// All of them.
const ALL_SIGNS: [CrashSign; 6] = [
    CrashSign::RefusedElsewhere,
    CrashSign::RefusedHere,
    CrashSign::Lapses,
    CrashSign::StartsAgain,
    CrashSign::StartsAgainBeforeLoss,
    CrashSign::AddressReused,
];

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

/// Guards against a crash that counts nowhere: another router, whose endpoint list is newer, reports
/// that the endpoint left before this router's own list shows that its registration lapsed.
#[test]
fn a_lapse_that_another_router_reports_first_makes_a_crash() {
    let mut fleet = RouterFleet::new();
    for turn in 0..CRASHES_ALLOWED as u64 {
        fleet.run_until(1_000 + turn * 6_000);
        let ticket = fleet.send(0, CRASHING).unwrap();
        let process = fleet.routers[0].endpoints.get(&ticket.entry.key).unwrap();
        let reported = [process.life];
        fleet.crash(0, ticket, CrashSign::Lapses, Vec::new());
        fleet.run_until(fleet.now + LAPSE_MS);
        let now = ms(fleet.now);
        let endpoints = &mut fleet.routers[0].endpoints;
        endpoints.apply_reported_departures(now, StoreRevision(20), &reported);
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

/// Guards against messages that outgrow an Ethernet frame after many crashes: half of a frame is left
/// to the loads.
#[test]
fn a_report_after_many_crashes_takes_at_most_half_of_a_frame() {
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
