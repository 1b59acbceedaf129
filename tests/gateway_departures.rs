//! Departures of endpoints that routers report to each other, without a network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::departures::FirstList;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::units::Moment;

mod engines;

use self::engines::endpoints;
use self::engines::ready;
use self::engines::router_with;

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn reported(core: &mut GatewayCore, now: Moment) -> BTreeSet<u32> {
    core.endpoints
        .departures
        .departures_to_report(now)
        .into_iter()
        .collect()
}

/// One endpoint is registered as leaving, one is no longer registered, and one has restarted. A
/// router with an older list must send nothing to these three and still use the others.
#[test]
fn departures_are_reported_however_the_endpoint_left() {
    let all = endpoints("engine", 5);
    let (mut reading, mut other) = (router_with(&all), router_with(&all));
    let mut newer = all.clone();
    newer.pop_first();
    let mut entries = newer.values_mut();
    entries.next().unwrap().state = EndpointState::Leaving;
    entries.next().unwrap().born = ProcessStartTime(7);
    reading.set_endpoints(ms(100), &newer);
    let left = reported(&mut reading, ms(200));
    assert_eq!(left.len(), 3);
    let left: Vec<u32> = left.into_iter().collect();
    let as_of = StoreRevision(20);
    other
        .endpoints
        .apply_reported_departures(ms(200), as_of, &left);
    assert_eq!(ready(&other, ms(200)), 2);
    // Once it has the newer list itself, that list decides and no reports are needed.
    other.set_endpoints(ms(300), &newer);
    other.endpoints.forget_reported_departures(ms(300), as_of);
    assert_eq!(ready(&other, ms(300)), 3);
}

/// An endpoint whose registration was missing for a moment must no longer be reported as departed.
#[test]
fn an_endpoint_that_returned_is_no_longer_reported() {
    let all = endpoints("engine", 2);
    let mut core = router_with(&all);
    core.set_endpoints(ms(100), &BTreeMap::new());
    assert_eq!(reported(&mut core, ms(100)).len(), 2);
    core.set_endpoints(ms(200), &all);
    assert!(reported(&mut core, ms(200)).is_empty());
}

/// A fleet replaces hundreds of endpoints at once. Messages must stay small, and after ten seconds
/// report no departures.
#[test]
fn departures_take_little_of_a_message() {
    let mut core = router_with(&endpoints("engine", 300));
    core.set_endpoints(ms(100), &BTreeMap::new());
    assert_eq!(reported(&mut core, ms(200)).len(), 32);
    assert!(reported(&mut core, ms(10_100)).is_empty());
}

/// Returns a router whose list has revision 19, and which has heard from one with revision 20 that
/// the first of these endpoints left.
fn told_of_a_departure(all: &BTreeMap<EndpointKey, EndpointEntry>) -> GatewayCore {
    let mut core = router_with(all);
    let left = core.endpoints.rows().next().unwrap().life;
    let (now, as_of) = (ms(0), StoreRevision(20));
    core.endpoints
        .apply_reported_departures(now, as_of, &[left]);
    core
}

/// Guards against work for an endpoint that left: the router that reported it is killed before the
/// others have its list. A report counts until the own list is as new, and for no longer than a
/// minute after it was last heard.
#[test]
fn a_reported_departure_counts_until_the_own_list_is_as_new() {
    let all = endpoints("engine", 3);
    let mut core = told_of_a_departure(&all);
    for second in 0..60 {
        let endpoints = &mut core.endpoints;
        endpoints.forget_reported_departures(ms(second * 1_000), StoreRevision(19));
        assert_eq!(ready(&core, ms(second * 1_000)), 2);
    }
    let endpoints = &mut core.endpoints;
    endpoints.forget_reported_departures(ms(60_000), StoreRevision(19));
    assert_eq!(ready(&core, ms(60_000)), 3);
}

/// Guards against an endpoint without work whose registration was missing for a moment: the router's
/// own list is as new as the report, and a router that lags reports it again.
#[test]
fn a_list_that_is_as_new_overrides_reported_departures() {
    let mut core = told_of_a_departure(&endpoints("engine", 3));
    let endpoints = &mut core.endpoints;
    endpoints.forget_reported_departures(ms(100), StoreRevision(20));
    assert_eq!(ready(&core, ms(100)), 3);
    let left = core.endpoints.rows().next().unwrap().life;
    for revision in [19, 20] {
        let endpoints = &mut core.endpoints;
        endpoints.apply_reported_departures(ms(200), StoreRevision(revision), &[left]);
        assert_eq!(ready(&core, ms(200)), 3);
    }
}

/// Guards against a report of a later list that an earlier one ends: the later one still has to
/// arrive.
#[test]
fn a_reported_departure_counts_until_the_newest_reported_list() {
    let mut core = told_of_a_departure(&endpoints("engine", 3));
    let left = core.endpoints.rows().next().unwrap().life;
    let endpoints = &mut core.endpoints;
    for revision in [25, 22] {
        endpoints.apply_reported_departures(ms(100), StoreRevision(revision), &[left]);
    }
    endpoints.forget_reported_departures(ms(200), StoreRevision(24));
    assert_eq!(ready(&core, ms(200)), 2);
}

/// The content of a first list tells others which of their endpoints left, in whatever way, and
/// nothing about lists that are as new.
#[test]
fn a_first_list_tells_which_endpoints_left() {
    let all = endpoints("engine", 5);
    let mut newer = all.clone();
    newer.pop_first();
    let mut entries = newer.values_mut();
    entries.next().unwrap().state = EndpointState::Leaving;
    entries.next().unwrap().born = ProcessStartTime(7);
    let listed = router_with(&newer).endpoints.listed_to_report();
    assert_eq!(listed.len(), 3);
    let mut other = router_with(&all);
    let as_of = StoreRevision(20);
    other.endpoints.apply_reported_list(ms(0), as_of, &listed);
    assert_eq!(ready(&other, ms(0)), 2);
    other.set_endpoints(ms(100), &newer);
    other.endpoints.forget_reported_departures(ms(100), as_of);
    other.endpoints.apply_reported_list(ms(200), as_of, &listed);
    assert_eq!(ready(&other, ms(200)), 3);
}

/// Guards against a list that seems to lack most endpoints, since a message holds only part of it,
/// and against one that a router does not report being taken for empty.
#[test]
fn a_list_that_is_not_reported_whole_says_nothing() {
    let all = endpoints("engine", 300);
    let listed = router_with(&all).endpoints.listed_to_report();
    assert!(listed.is_empty());
    let mut other = router_with(&all);
    let as_of = StoreRevision(20);
    other.endpoints.apply_reported_list(ms(0), as_of, &listed);
    assert_eq!(ready(&other, ms(0)), 300);
}

/// A first list is reported only while it can help another router, and for ten seconds: messages
/// with it are up to a kilobyte longer.
#[test]
fn a_first_list_is_reported_while_others_have_an_older_one() {
    let mut first = FirstList::default();
    let revisions = |numbers: &[u64]| -> Vec<StoreRevision> {
        numbers.iter().copied().map(StoreRevision).collect()
    };
    let (older, as_new) = (revisions(&[0, 19]), revisions(&[0, 20, 25]));
    let is_to_report = |first: &FirstList, second: u64, others: &[StoreRevision]| {
        first.is_to_report(ms(second * 1_000), others.iter().copied())
    };
    first.record(ms(0), StoreRevision(0));
    assert!(!is_to_report(&first, 0, &older));
    first.record(ms(1_000), StoreRevision(20));
    first.record(ms(2_000), StoreRevision(30));
    assert!(is_to_report(&first, 2, &older));
    assert!(!is_to_report(&first, 2, &as_new));
    assert!(!is_to_report(&first, 11, &older));
}

/// A call is placed, and the report that its endpoint left arrives while it connects. The check
/// just before the request is sent must notice it, whether the list or a message brought the
/// report.
#[test]
fn a_placement_is_void_once_its_endpoint_left() {
    let all = endpoints("engine", 3);
    let mut core = router_with(&all);
    let mut entries = all.values();
    let (leaving, gone, reported_gone) = (
        entries.next().unwrap(),
        entries.next().unwrap(),
        entries.next().unwrap(),
    );
    assert!(
        all.values()
            .all(|entry| core.endpoints.takes_work(ms(0), entry))
    );
    let mut newer = all.clone();
    newer.get_mut(&leaving.key).unwrap().state = EndpointState::Leaving;
    newer.remove(&gone.key);
    core.set_endpoints(ms(100), &newer);
    let life = core.endpoints.get(&reported_gone.key).unwrap().life;
    core.endpoints
        .apply_reported_departures(ms(100), StoreRevision(20), &[life]);
    assert!(
        !all.values()
            .any(|entry| core.endpoints.takes_work(ms(100), entry))
    );
}
