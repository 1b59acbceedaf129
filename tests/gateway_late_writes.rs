//! Registrations that are older than what a router knows: late writes of the store, and entries of
//! a copy from which it was restored.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use verbenaturn::gateway::endpoint_list::RegisteredEndpoints;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::gateway::routes::SoftwareVersion;
use verbenaturn::gateway::shared::SharedState;
use verbenaturn::units::Moment;

mod engines;
mod stores;

use self::engines::endpoints;
use self::engines::ready;
use self::engines::router_with;
use self::stores::router;

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

/// Returns three endpoints whose processes started at `born`.
fn three(born: u64) -> BTreeMap<EndpointKey, EndpointEntry> {
    let mut all = endpoints("engine", 3);
    for entry in all.values_mut() {
        entry.born = ProcessStartTime(born);
    }
    all
}

/// Returns the entries with the first one leaving.
fn with_leaving(
    all: &BTreeMap<EndpointKey, EndpointEntry>,
) -> BTreeMap<EndpointKey, EndpointEntry> {
    let mut changed = all.clone();
    changed.values_mut().next().unwrap().state = EndpointState::Leaving;
    changed
}

/// Returns the entries without the first one.
fn without_first(
    all: &BTreeMap<EndpointKey, EndpointEntry>,
) -> BTreeMap<EndpointKey, EndpointEntry> {
    let mut rest = all.clone();
    rest.pop_first();
    rest
}

/// Guards against work for an endpoint that leaves: the store does one of its earlier heartbeats
/// late, and its entry says ready again.
#[test]
fn a_late_write_does_not_bring_a_leaving_endpoint_back() {
    let all = three(5);
    let mut core = router_with(&all);
    core.set_endpoints(ms(100), &with_leaving(&all));
    core.set_endpoints(ms(2_600), &all);
    assert_eq!(ready(&core, ms(2_600)), 2);
    assert_eq!(ready(&core, ms(60_000)), 2);
}

/// Guards against the same after the entry was removed: the endpoint has left, and the late write
/// registers it anew.
#[test]
fn a_late_write_does_not_bring_an_endpoint_back_that_left() {
    let all = three(5);
    let mut core = router_with(&all);
    core.set_endpoints(ms(100), &with_leaving(&all));
    core.set_endpoints(ms(2_000), &without_first(&all));
    core.set_endpoints(ms(2_600), &all);
    assert_eq!(ready(&core, ms(2_600)), 2);
}

/// Guards against routers of two beliefs: one that has just started reads only the late write.
#[test]
fn a_router_that_knows_only_the_late_write_is_told() {
    let all = three(5);
    let mut core = router_with(&all);
    core.set_endpoints(ms(100), &with_leaving(&all));
    core.set_endpoints(ms(2_600), &all);
    let mut other = router_with(&all);
    let lives = core.endpoints.leaving_to_report(ms(2_700));
    other.endpoints.apply_reported_leaving(ms(2_700), &lives);
    assert_eq!(ready(&other, ms(2_700)), 2);
}

/// Guards against a list that reports a leaving endpoint as present after a late write.
#[test]
fn an_endpoint_that_a_late_write_names_as_ready_is_still_reported_as_departed() {
    let all = three(5);
    let mut core = router_with(&all);
    core.set_endpoints(ms(100), &with_leaving(&all));
    core.set_endpoints(ms(2_600), &all);
    let reported = core.endpoints.departures.departures_to_report(ms(2_700));
    assert_eq!(reported.len(), 1);
}

/// Guards against an endpoint that is never used again: it left and started anew under its key.
#[test]
fn a_later_start_of_an_endpoint_that_left_takes_work() {
    let all = three(5);
    let mut core = router_with(&all);
    core.set_endpoints(ms(100), &with_leaving(&all));
    core.set_endpoints(ms(2_600), &three(6));
    assert_eq!(ready(&core, ms(2_600)), 3);
}

/// Guards against work for an endpoint that leaves and whose entries don't say when its process
/// started. Its next heartbeats say again that it leaves; an entry that goes on saying ready is that
/// of a new process.
#[test]
fn an_entry_without_a_start_time_is_believed_once_it_lasts() {
    let all = three(0);
    let mut core = router_with(&all);
    core.set_endpoints(ms(100), &with_leaving(&all));
    core.set_endpoints(ms(2_600), &all);
    core.set_endpoints(ms(3_000), &all);
    assert_eq!(ready(&core, ms(10_500)), 2);
    assert_eq!(ready(&core, ms(10_600)), 3);
}

/// Guards against a new process that gets no work: another software version under the key shows
/// that it is one, though its entries don't say when it started.
#[test]
fn an_entry_of_another_version_without_a_start_time_is_believed_at_once() {
    let mut all = three(0);
    let mut core = router_with(&all);
    core.set_endpoints(ms(100), &with_leaving(&all));
    let first = all.values_mut().next().unwrap();
    first.software = SoftwareVersion("v2".into());
    core.set_endpoints(ms(2_600), &all);
    assert_eq!(ready(&core, ms(2_600)), 3);
}

/// Guards against a new process that gets no work: its entry has no start time and comes after the
/// one of the former process, which left, was removed.
#[test]
fn an_entry_without_a_start_time_after_a_removal_is_believed_at_once() {
    let all = three(0);
    let mut core = router_with(&all);
    core.set_endpoints(ms(100), &with_leaving(&all));
    core.set_endpoints(ms(2_000), &without_first(&all));
    core.set_endpoints(ms(2_600), &all);
    assert_eq!(ready(&core, ms(2_600)), 3);
}

/// Puts a list of this revision in force at a router.
fn offer(
    shared: &SharedState,
    entries: &BTreeMap<EndpointKey, EndpointEntry>,
    (era, revision): (u64, u64),
) {
    let is_newest = shared.offer_endpoints(RegisteredEndpoints {
        entries: entries.clone(),
        as_of: StoreRevision::of_era(era, revision).unwrap(),
        ..RegisteredEndpoints::default()
    });
    assert!(is_newest);
}

/// Number of endpoints to which a router may send work now.
fn ready_now(shared: &SharedState) -> usize {
    ready(&shared.core(), shared.clock.now())
}

/// Guards against work for an endpoint that left without saying so: the store comes back from a copy
/// that still has its entry. All other endpoints take work as before.
#[test]
fn a_restored_store_does_not_bring_a_removed_endpoint_back() {
    for born in [0, 5] {
        let all = three(born);
        let shared = router();
        offer(&shared, &all, (1, 20));
        offer(&shared, &without_first(&all), (1, 30));
        offer(&shared, &all, (2, 10));
        assert_eq!(ready_now(&shared), 2);
        // A later change of another entry doesn't end the doubt.
        offer(&shared, &all, (2, 11));
        assert_eq!(ready_now(&shared), 2);
    }
}

/// Guards against the same at a router that heard of the departure, but could not fetch the list.
#[test]
fn a_restored_store_does_not_bring_an_endpoint_back_whose_departure_was_reported() {
    let all = three(5);
    let (reading, other) = (router(), router());
    for shared in [&reading, &other] {
        offer(shared, &all, (1, 20));
    }
    offer(&reading, &without_first(&all), (1, 30));
    let now = reading.clock.now();
    let departed = reading
        .core()
        .endpoints
        .departures
        .departures_to_report(now);
    let as_of = StoreRevision::of_era(1, 30).unwrap();
    let now = other.clock.now();
    let mut core = other.core();
    core.endpoints
        .apply_reported_departures(now, as_of, &departed);
    drop(core);
    offer(&other, &all, (2, 10));
    let own = other.endpoints_revision();
    let mut core = other.core();
    core.endpoints.forget_reported_departures(now, own);
    drop(core);
    assert_eq!(ready_now(&other), 2);
}

/// Guards against idle endpoints: a registration that lapsed and is written again in the same store
/// is believed at once.
#[test]
fn a_registration_that_returns_without_a_restore_is_believed() {
    let all = three(5);
    let shared = router();
    offer(&shared, &all, (1, 20));
    offer(&shared, &without_first(&all), (1, 30));
    offer(&shared, &all, (1, 40));
    assert_eq!(ready_now(&shared), 3);
    // It is not doubted after a restore either, since it was there before.
    offer(&shared, &all, (2, 10));
    assert_eq!(ready_now(&shared), 3);
}

/// Guards against an endpoint that is never used again: it only lapsed before the restore, and its
/// entry stays.
#[test]
fn a_restored_entry_that_lasts_is_believed() {
    let all = three(5);
    let shared: Arc<SharedState> = router();
    offer(&shared, &all, (1, 20));
    offer(&shared, &without_first(&all), (1, 30));
    offer(&shared, &all, (2, 10));
    let restored_at = Instant::now();
    while ready_now(&shared) < 3 {
        let passed = restored_at.elapsed();
        assert!(
            passed < Duration::from_secs(10),
            "not used after {passed:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(restored_at.elapsed() > Duration::from_secs(7));
}
