//! Endpoints that are leaving get no new work, whichever router learns of it first and whatever a
//! stale list contains.

mod cores;

use verbenaturn::core::action::CoreAction;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::units::EndpointId;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::dispatched;
use self::cores::endpoint;
use self::cores::facts;

/// Milliseconds within which all routers must stop giving a leaving endpoint new work.
const BOUND_MS: u64 = 2_000;

fn fleet() -> CoreFleet {
    CoreFleet::new(8, catalog(2, 16))
}

fn list_leaving(fleet: &mut CoreFleet, router: usize, rows: &[(EndpointId, u64)]) {
    let leaving = rows.to_vec();
    let routers = Vec::new();
    fleet.handle_event(router, CoreEvent::HostsListed { routers, leaving });
}

fn list_live(fleet: &mut CoreFleet, router: usize, rows: &[(EndpointId, u64)]) {
    let live = rows.to_vec();
    fleet.handle_event(router, CoreEvent::EndpointsListed { live });
}

/// Sends a request to each router and returns the endpoints to which requests were dispatched.
fn used(fleet: &mut CoreFleet, first: u64) -> Vec<EndpointId> {
    for router in 0..8 {
        let request = first + router as u64;
        fleet.handle_event(router, CoreEvent::Arrived(facts(request)));
    }
    fleet.advance(1_000);
    let mut used = Vec::new();
    for router in 0..8 {
        let actions: Vec<CoreAction> = fleet.take(router);
        used.extend(dispatched(&actions).into_iter().map(|(_, id)| id));
    }
    used
}

// An endpoint's host is being removed. The host list of one router shows it at once, while those of
// the others are stale for minutes. No router may give the endpoint new work after the bound.
#[test]
fn one_router_that_knows_is_enough() {
    for informed_router in 0..8 {
        let mut fleet = fleet();
        list_leaving(&mut fleet, informed_router, &[(endpoint(1), 3)]);
        fleet.advance(BOUND_MS);
        let used = used(&mut fleet, 1);
        assert_eq!(used.len(), 8);
        assert!(!used.contains(&endpoint(1)));
    }
}

// The same while 8 of the 28 links are cut, so that part of the immediate pushes is lost and pings
// must spread the news.
#[test]
fn pings_spread_news_that_pushes_lost() {
    let mut fleet = fleet();
    for (left, right) in [
        (0, 1),
        (0, 2),
        (0, 3),
        (0, 4),
        (0, 5),
        (0, 6),
        (1, 2),
        (3, 4),
    ] {
        fleet.cut.insert((left, right));
    }
    list_leaving(&mut fleet, 0, &[(endpoint(1), 3)]);
    fleet.advance(BOUND_MS);
    for router in 0..8 {
        let endpoints = &fleet.core(router).state().endpoints;
        assert!(
            !endpoints.is_open(endpoint(1), fleet.now),
            "router {router}"
        );
    }
}

// The host list contradicts itself: one generation of an endpoint is leaving, then live, then
// leaving again. It must stay leaving; only a later generation is a new endpoint.
#[test]
fn a_contradicting_list_can_not_undo_leaving_but_a_later_generation_can() {
    let mut fleet = fleet();
    list_leaving(&mut fleet, 0, &[(endpoint(1), 3)]);
    for router in 0..8 {
        list_live(&mut fleet, router, &[(endpoint(1), 3), (endpoint(2), 1)]);
        list_leaving(&mut fleet, router, &[]);
    }
    fleet.advance(BOUND_MS);
    assert!(!used(&mut fleet, 1).contains(&endpoint(1)));
    for router in 0..8 {
        list_live(&mut fleet, router, &[(endpoint(1), 4)]);
        list_leaving(&mut fleet, router, &[(endpoint(1), 2)]);
    }
    fleet.advance(BOUND_MS);
    for router in 0..8 {
        let endpoints = &fleet.core(router).state().endpoints;
        assert!(endpoints.is_open(endpoint(1), fleet.now));
    }
    assert!(used(&mut fleet, 101).contains(&endpoint(1)));
}

// During a network partition the minority side can't read the host list, but one of its routers
// read it just before. All routers of that side must learn what it knows. The other side must learn
// of it within the bound after the partition heals.
#[test]
fn one_informed_router_suffices_for_its_side_of_a_partition() {
    let mut fleet = fleet();
    for left in 0..2 {
        for right in 2..8 {
            fleet.cut_link(left, right);
        }
    }
    fleet.advance(10_000);
    list_leaving(&mut fleet, 0, &[(endpoint(1), 3)]);
    list_leaving(&mut fleet, 5, &[(endpoint(2), 3)]);
    fleet.advance(BOUND_MS);
    let closed = |fleet: &CoreFleet, router: usize, number: usize| {
        let endpoints = &fleet.core(router).state().endpoints;
        !endpoints.is_open(endpoint(number), fleet.now)
    };
    assert!((0..2).all(|router| closed(&fleet, router, 1)));
    assert!((2..8).all(|router| closed(&fleet, router, 2)));
    assert!((0..2).all(|router| !closed(&fleet, router, 2)));
    for left in 0..2 {
        for right in 2..8 {
            fleet.restore_link(left, right);
        }
    }
    fleet.advance(BOUND_MS);
    assert!((0..8).all(|router| closed(&fleet, router, 1) && closed(&fleet, router, 2)));
}

// A router restarts without state while its host list is stale. Its peers must send it the leaving
// endpoints as soon as they connect.
#[test]
fn a_restarted_router_learns_of_leaving_endpoints_at_once() {
    let mut fleet = fleet();
    list_leaving(&mut fleet, 0, &[(endpoint(1), 3)]);
    fleet.advance(60_000);
    fleet.stop(6);
    fleet.advance(1_000);
    fleet.start(6);
    let endpoints = &fleet.core(6).state().endpoints;
    assert!(!endpoints.is_open(endpoint(1), fleet.now));
}
