//! Notices that endpoints give about themselves, at routers without a network.

use std::collections::BTreeMap;

use verbenaturn::gateway::protocol::EndpointAnnouncement;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

mod engines;

use self::engines::endpoints;
use self::engines::ready;
use self::engines::router_with;

const LEAVING: EndpointAnnouncement = EndpointAnnouncement {
    is_leaving: true,
    pause: None,
};

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn pause(millis: u64) -> EndpointAnnouncement {
    EndpointAnnouncement {
        is_leaving: false,
        pause: Some(TimeSpan::from_millis(millis)),
    }
}

/// Guards against a notice that is lost with its row: the entry is missing for minutes while the
/// store is unavailable, and reappears as ready.
#[test]
fn a_notice_outlives_a_list_without_its_endpoint() {
    let all = endpoints("engine", 3);
    let mut core = router_with(&all);
    let leaving = all.values().next().unwrap();
    assert!(core.endpoints.apply_notices(ms(100), leaving, LEAVING));
    assert!(
        !core.endpoints.apply_notices(ms(200), leaving, LEAVING),
        "no news"
    );
    core.set_endpoints(ms(300), &BTreeMap::new());
    core.set_endpoints(ms(300_000), &all);
    assert_eq!(ready(&core, ms(300_000)), 2);
}

/// Guards against a notice that is tied to the address or the key: the next process must take work.
#[test]
fn a_notice_ends_with_its_process() {
    let mut all = endpoints("engine", 3);
    let mut core = router_with(&all);
    let first = all.values_mut().next().unwrap();
    core.endpoints.apply_notices(ms(100), first, LEAVING);
    core.endpoints.apply_notices(ms(100), first, pause(60_000));
    first.born = ProcessStartTime(first.born.0 + 1);
    core.set_endpoints(ms(200), &all);
    assert_eq!(ready(&core, ms(200)), 3);
}

/// Guards against a router whose list takes precedence over the notice: the revision is the same,
/// and the notice arrived from another router before the endpoint was listed here.
#[test]
fn notices_from_other_routers_take_precedence_over_the_list() {
    let all = endpoints("engine", 3);
    let (mut told, mut other) = (router_with(&all), router_with(&BTreeMap::new()));
    told.endpoints
        .apply_notices(ms(100), all.values().next().unwrap(), LEAVING);
    let lives = told.endpoints.leaving_to_report(ms(200));
    assert_eq!(lives.len(), 1);
    other.endpoints.apply_reported_leaving(ms(200), &lives);
    other.set_endpoints(ms(300), &all);
    assert_eq!(ready(&other, ms(300)), 2);
    // It passes the notice on, since others may not receive it from the first router.
    assert_eq!(other.endpoints.leaving_to_report(ms(400)), lives);
}

/// Guards against messages that grow with the fleet when hundreds of endpoints leave at once.
#[test]
fn notices_take_a_bounded_part_of_a_message() {
    let all = endpoints("engine", 300);
    let mut core = router_with(&all);
    for entry in all.values() {
        core.endpoints.apply_notices(ms(100), entry, LEAVING);
    }
    assert_eq!(core.endpoints.leaving_to_report(ms(200)).len(), 32);
    // Endpoints that the store no longer lists need not be sent.
    core.set_endpoints(ms(300), &BTreeMap::new());
    assert!(core.endpoints.leaving_to_report(ms(300)).is_empty());
}

/// Guards against a shorter pause that ends a longer one.
#[test]
fn the_longest_pause_holds() {
    let all = endpoints("engine", 2);
    let mut core = router_with(&all);
    let first = all.values().next().unwrap();
    core.endpoints.apply_notices(ms(0), first, pause(3_000));
    core.endpoints.apply_notices(ms(500), first, pause(1_000));
    assert_eq!(ready(&core, ms(2_900)), 1);
    assert_eq!(ready(&core, ms(3_000)), 2);
    let service = &first.service;
    assert_eq!(
        core.endpoints.pause_left(ms(1_000), service, None),
        Some(TimeSpan::from_millis(2_000))
    );
    assert_eq!(core.endpoints.pause_left(ms(3_000), service, None), None);
}
