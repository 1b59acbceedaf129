//! Departures of endpoints that routers report to each other, without a network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;

use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::digest::RouterDigest;
use verbenaturn::gateway::peer_table::PeerTable;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

mod engines;

use self::engines::endpoints;
use self::engines::ready;
use self::engines::router_with;

/// Silence after which a router counts as gone.
const TIMEOUT: TimeSpan = TimeSpan::from_millis(1_500);

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
    other.endpoints.set_reported_departures(&left);
    assert_eq!(ready(&other, ms(200)), 2);
    // Once it has the newer list itself, that list decides and no reports are needed.
    other.set_endpoints(ms(300), &newer);
    other.endpoints.set_reported_departures(&BTreeSet::new());
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

/// A router that lags has an older list. Its reports of departures must not override a newer list,
/// nor may those of a router that is gone.
#[test]
fn departures_count_only_from_live_routers_with_a_newer_list() {
    let mut peers = PeerTable::default();
    let peer: IpAddr = "10.0.0.2".parse().unwrap();
    let digest = RouterDigest {
        incarnation: 1,
        sequence: 1,
        endpoints_revision: 20,
        left: vec![5],
        ..RouterDigest::default()
    };
    peers.take(ms(0), peer, digest);
    assert_eq!(peers.left(ms(100), TIMEOUT, 19), BTreeSet::from([5]));
    assert!(peers.left(ms(100), TIMEOUT, 20).is_empty());
    assert!(peers.left(ms(1_500), TIMEOUT, 19).is_empty());
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
        .set_reported_departures(&BTreeSet::from([life]));
    assert!(
        !all.values()
            .any(|entry| core.endpoints.takes_work(ms(100), entry))
    );
}
