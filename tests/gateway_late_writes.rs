//! Registrations that are older than what a router knows: late writes of the store.

use std::collections::BTreeMap;

use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::gateway::routes::SoftwareVersion;
use verbenaturn::units::Moment;

mod engines;

use self::engines::endpoints;
use self::engines::ready;
use self::engines::router_with;

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
