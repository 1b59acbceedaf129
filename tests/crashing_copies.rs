//! Copies of a request that crashes endpoints, sent to several routers at once.

mod cores;

use verbenaturn::core::action::CoreAction;
use verbenaturn::core::action::RefusalReason;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::units::EndpointId;
use verbenaturn::units::RequestFingerprint;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::ended;
use self::cores::endpoint;
use self::cores::facts;
use self::cores::host;
use self::cores::idle_report;

const ENDPOINTS: usize = 6;
/// Milliseconds for which a lost copy waits for a sign of a crash: the default of `check_ms`.
const CHECK_MS: u64 = 600;

#[derive(Debug, Clone, Copy)]
struct Dispatched {
    request: u64,
    attempt: u32,
    endpoint: EndpointId,
}

/// Returns a fleet whose routers have read the first incarnation of all endpoints.
fn fleet_with_known_incarnations(routers: usize) -> CoreFleet {
    let mut fleet = CoreFleet::new(routers, catalog(ENDPOINTS, 4));
    for router in 0..routers {
        (1..=ENDPOINTS)
            .for_each(|number| fleet.handle_event(router, idle_report(endpoint(number), 1)));
    }
    fleet
}

fn send(fleet: &mut CoreFleet, router: usize, request: u64) {
    fleet.handle_event(router, CoreEvent::Arrived(facts(request)));
}

fn lose(fleet: &mut CoreFleet, router: usize, run: Dispatched) {
    let lost = ended(run.request, run.attempt, AttemptOutcome::LostBeforeAnswer);
    fleet.handle_event(router, lost);
}

fn end_whole(fleet: &mut CoreFleet, router: usize, run: Dispatched) {
    fleet.handle_event(
        router,
        ended(run.request, run.attempt, AttemptOutcome::Whole),
    );
}

/// Returns what a router dispatches within `millis`.
fn dispatches(fleet: &mut CoreFleet, router: usize, millis: u64) -> Vec<Dispatched> {
    let mut runs = Vec::new();
    for _ in 0..=millis / 5 {
        runs.extend(fleet.take(router).iter().filter_map(|action| match action {
            CoreAction::Dispatch {
                request,
                attempt,
                endpoint,
                ..
            } => Some(Dispatched {
                request: request.0,
                attempt: attempt.0,
                endpoint: *endpoint,
            }),
            _ => None,
        }));
        fleet.advance(5);
    }
    runs
}

fn first_dispatch(fleet: &mut CoreFleet, router: usize) -> Dispatched {
    for _ in 0..400 {
        if let Some(run) = dispatches(fleet, router, 0).first() {
            return *run;
        }
    }
    panic!("nothing is dispatched");
}

fn suspects(fleet: &CoreFleet, router: usize) -> usize {
    fleet.core(router).state().crashes.suspect_count()
}

fn is_refused(fleet: &mut CoreFleet, router: usize, number: u64) -> bool {
    fleet.take(router).iter().any(|action| {
        matches!(action, CoreAction::Refuse { request, reason, .. }
            if request.0 == number && *reason == RefusalReason::Quarantined)
    })
}

/// Guards against a resend through another router that crashes the next endpoint before the router
/// that lost the first copy has learned whether the first endpoint crashed.
#[test]
fn a_copy_lost_at_one_router_holds_back_those_at_others() {
    let mut fleet = fleet_with_known_incarnations(2);
    send(&mut fleet, 0, 1);
    let first = first_dispatch(&mut fleet, 0);
    lose(&mut fleet, 0, first);
    fleet.advance(10);
    send(&mut fleet, 1, 2);
    let early = dispatches(&mut fleet, 1, CHECK_MS / 2);
    assert!(early.is_empty(), "{early:?}");
    let late = dispatches(&mut fleet, 1, 2 * CHECK_MS);
    assert_eq!(late.len(), 1, "held back for ever");
}

/// Guards against running a copy that is already queued when another one is lost: it would get the
/// slot that the lost one frees at once.
#[test]
fn a_copy_that_waits_for_a_slot_is_held_back_as_well() {
    let mut fleet = CoreFleet::new(1, catalog(1, 1));
    fleet.handle_event(0, idle_report(endpoint(1), 1));
    send(&mut fleet, 0, 1);
    let first = first_dispatch(&mut fleet, 0);
    send(&mut fleet, 0, 2);
    lose(&mut fleet, 0, first);
    let early = dispatches(&mut fleet, 0, CHECK_MS / 2);
    assert!(early.is_empty(), "{early:?}");
}

/// Guards against one crash per router: all routers choose the same endpoint for a suspect's
/// copies, and each would start its own there.
#[test]
fn copies_of_a_suspect_run_one_at_a_time_in_the_fleet() {
    const ROUTERS: usize = 4;
    let mut fleet = fleet_with_known_incarnations(ROUTERS);
    send(&mut fleet, 0, 1);
    let first = first_dispatch(&mut fleet, 0);
    lose(&mut fleet, 0, first);
    fleet.handle_event(0, idle_report(first.endpoint, 2));
    fleet.advance(10);
    for router in 0..ROUTERS {
        send(&mut fleet, router, 10 + router as u64);
    }
    let mut runs = Vec::new();
    for _ in 0..100 {
        for router in 0..ROUTERS {
            let started = dispatches(&mut fleet, router, 0);
            runs.extend(started.into_iter().map(|run| (router, run)));
        }
    }
    assert_eq!(runs.len(), 1, "{runs:?}");
    let (router, run) = runs[0];
    end_whole(&mut fleet, router, run);
    for router in 0..ROUTERS {
        let others = dispatches(&mut fleet, router, 2 * CHECK_MS);
        assert!(others.len() <= 2, "{others:?}");
        for run in others {
            end_whole(&mut fleet, router, run);
        }
    }
}

/// Guards against a missed crash: a router that first read an endpoint's incarnation after a loss
/// there mistook the crash for a network failure, and the request went on to crash other endpoints.
#[test]
fn a_loss_before_the_first_incarnation_is_known_and_a_crash_refuse_a_request() {
    let mut fleet = CoreFleet::new(1, catalog(ENDPOINTS, 4));
    send(&mut fleet, 0, 1);
    let first = first_dispatch(&mut fleet, 0);
    lose(&mut fleet, 0, first);
    fleet.handle_event(0, idle_report(first.endpoint, 2));
    assert_eq!(suspects(&fleet, 0), 1);
    (1..=ENDPOINTS).for_each(|number| fleet.handle_event(0, idle_report(endpoint(number), 2)));
    let second = first_dispatch(&mut fleet, 0);
    assert_ne!(second.endpoint, first.endpoint);
    lose(&mut fleet, 0, second);
    fleet.handle_event(0, idle_report(second.endpoint, 3));
    fleet.advance(50);
    assert!(is_refused(&mut fleet, 0, 1));
}

/// Guards against refusing a harmless request for ten minutes because a switch dropped its
/// connections twice before the router had read any endpoint's incarnation.
#[test]
fn two_losses_before_first_incarnations_are_known_refuse_nothing() {
    let mut fleet = CoreFleet::new(1, catalog(ENDPOINTS, 4));
    send(&mut fleet, 0, 1);
    for _ in 0..2 {
        let run = first_dispatch(&mut fleet, 0);
        lose(&mut fleet, 0, run);
        fleet.handle_event(0, idle_report(run.endpoint, 1));
        assert!(!is_refused(&mut fleet, 0, 1));
    }
    let last = first_dispatch(&mut fleet, 0);
    end_whole(&mut fleet, 0, last);
    assert_eq!(suspects(&fleet, 0), 0);
}

/// Guards against a crash that one router can prove and another can't, and that stayed unproven for
/// the routers that got the notice of the latter.
#[test]
fn a_crash_that_one_router_can_prove_is_proven_for_all() {
    let mut fleet = CoreFleet::new(3, catalog(ENDPOINTS, 4));
    send(&mut fleet, 0, 1);
    let first = first_dispatch(&mut fleet, 0);
    fleet.handle_event(1, idle_report(first.endpoint, 1));
    lose(&mut fleet, 0, first);
    fleet.handle_event(0, idle_report(first.endpoint, 2));
    fleet.advance(10);
    let mut other = facts(9);
    other.fingerprint = RequestFingerprint(9);
    fleet.handle_event(1, CoreEvent::Arrived(other));
    let run = first_dispatch(&mut fleet, 1);
    let seen = CoreEvent::EndpointRefused {
        endpoint: first.endpoint,
    };
    lose(&mut fleet, 1, run);
    fleet.handle_event(1, seen);
    fleet.advance(10);
    let second = first_dispatch(&mut fleet, 0);
    lose(&mut fleet, 0, second);
    fleet.handle_event(0, idle_report(second.endpoint, 5));
    fleet.advance(10);
    fleet.handle_event(0, idle_report(second.endpoint, 6));
    fleet.advance(50);
    let refused = fleet.core(2).state();
    let until = refused
        .crashes
        .quarantined_until(RequestFingerprint(7), fleet.now);
    assert!(until.is_some());
}

/// Guards against a harmless request that stays a suspect at other routers after it was answered,
/// and is refused when another request crashes a second endpoint that runs it.
#[test]
fn a_suspect_that_is_answered_whole_is_cleared_at_all_routers() {
    let mut fleet = fleet_with_known_incarnations(2);
    send(&mut fleet, 0, 1);
    let first = first_dispatch(&mut fleet, 0);
    lose(&mut fleet, 0, first);
    fleet.handle_event(0, idle_report(first.endpoint, 2));
    fleet.advance(10);
    assert_eq!((suspects(&fleet, 0), suspects(&fleet, 1)), (1, 1));
    let second = first_dispatch(&mut fleet, 0);
    end_whole(&mut fleet, 0, second);
    fleet.advance(10);
    assert_eq!((suspects(&fleet, 0), suspects(&fleet, 1)), (0, 0));
}

/// Guards against a request that waits forever because the router that grants the leases for its
/// copies is gone and no router has noticed yet.
#[test]
fn a_silent_home_delays_no_copy_for_longer_than_a_check() {
    let mut fleet = fleet_with_known_incarnations(2);
    let home = fleet.core(0).state().members.home_of(RequestFingerprint(7));
    let asker = usize::from(home == Some(&host(0)));
    send(&mut fleet, asker, 1);
    let first = first_dispatch(&mut fleet, asker);
    fleet.cut.insert((0, 1));
    lose(&mut fleet, asker, first);
    fleet.handle_event(asker, idle_report(first.endpoint, 2));
    let runs = dispatches(&mut fleet, asker, 2 * CHECK_MS);
    assert_eq!(runs.len(), 1, "{runs:?}");
}
