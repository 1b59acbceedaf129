//! Following the store: what a router takes from it, and when.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::endpoint_list::EndpointListMessage;
use verbenaturn::gateway::endpoint_list::RegisteredEndpoints;
use verbenaturn::gateway::follow::StateSection;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

mod engines;
mod stores;

use self::engines::endpoints;
use self::stores::FakeStore;
use self::stores::follow;
use self::stores::following;
use self::stores::router;
use self::stores::router_with;
use self::stores::used;

/// The store refuses one router for some seconds and serves the others. Meanwhile endpoints leave,
/// and the router learns that from its peers. When the store serves it again, it must not treat the
/// endpoints of its own older list as lapsed registrations: it would send work to endpoints that
/// are gone, and pass them on to its peers.
#[tokio::test]
async fn a_router_that_was_refused_alone_brings_no_gone_endpoint_back() {
    let all = endpoints("engine", 4);
    let (shared, store) = following(&all).await;
    store.refuse();
    sleep(Duration::from_millis(100)).await;
    let mut rest = all.clone();
    rest.pop_first();
    rest.pop_first();
    let told = EndpointListMessage {
        entries: rest.clone(),
        kept: BTreeMap::new(),
        revision: 20,
    };
    shared.adopt_endpoints(shared.clock.now(), told);
    rest.pop_first();
    shared.record_peer_contact(shared.clock.now(), true);
    store.hold(&rest, 30);
    for _ in 0..20 {
        sleep(Duration::from_millis(10)).await;
        assert!(used(&shared).len() <= 2);
    }
    assert!(used(&shared).iter().eq(rest.keys()));
}

/// The store is down for all routers and the registrations of two endpoints lapse. They are used
/// for the grace period and dropped if they are not registered again.
#[tokio::test]
async fn entries_that_lapsed_with_the_store_are_used_for_the_grace_only() {
    let all = endpoints("engine", 4);
    let (shared, store) = following(&all).await;
    store.refuse();
    sleep(Duration::from_millis(100)).await;
    let mut rest = all.clone();
    rest.pop_first();
    rest.pop_first();
    store.hold(&rest, 30);
    sleep(Duration::from_millis(200)).await;
    assert_eq!(used(&shared).len(), 4);
    sleep(Duration::from_millis(500)).await;
    assert!(used(&shared).iter().eq(rest.keys()));
}

/// The store is down for all routers, and registrations lapse. It comes back; another router
/// reaches it just before this one and reports that. If this router took that for an outage of its
/// own, all lapsed endpoints would count as gone, and calls would be refused for two seconds
/// although the endpoints work.
#[tokio::test]
async fn a_peer_that_reached_the_store_just_before_does_not_prove_that_it_was_there() {
    let all = endpoints("engine", 4);
    let (shared, store) = following(&all).await;
    store.refuse();
    sleep(Duration::from_millis(100)).await;
    shared.record_peer_contact(shared.clock.now(), false);
    let mut rest = all.clone();
    rest.pop_first();
    rest.pop_first();
    shared.record_peer_contact(shared.clock.now(), true);
    store.hold(&rest, 30);
    sleep(Duration::from_millis(150)).await;
    assert_eq!(used(&shared).len(), 4);
}

/// The store was down for all routers. A router that reaches it later than others must not count
/// the grace period from then: it would keep endpoints that leave meanwhile and pass them on to its
/// peers, so that requests would still reach endpoints that left well after the store's return.
#[tokio::test]
async fn the_grace_counts_from_when_the_first_router_reached_the_store() {
    let all = endpoints("engine", 4);
    let (shared, store) = following(&all).await;
    store.refuse();
    sleep(Duration::from_millis(100)).await;
    shared.record_peer_contact(shared.clock.now(), false);
    shared.record_peer_contact(shared.clock.now(), true);
    sleep(Duration::from_millis(300)).await;
    let mut rest = all.clone();
    rest.pop_first();
    store.hold(&rest, 30);
    sleep(Duration::from_millis(250)).await;
    assert_eq!(shared.endpoints_revision().0, 30);
    assert!(used(&shared).iter().eq(rest.keys()));
}

/// Guards against a grace period that starts too late: that the other routers lost the store and
/// regained it was recorded within one tick of the clock, and the regaining was overlooked.
#[tokio::test]
async fn contact_regained_within_a_tick_of_its_loss_starts_the_grace() {
    let all = endpoints("engine", 4);
    let registered = |entries: &BTreeMap<_, _>, revision| RegisteredEndpoints {
        entries: entries.clone(),
        as_of: StoreRevision(revision),
        ..RegisteredEndpoints::default()
    };
    let shared = router();
    shared.offer_endpoints(registered(&all, 10));
    let (began, tick) = (Moment(0), shared.clock.now());
    shared.record_peer_contact(tick, false);
    shared.record_peer_contact(tick, true);
    sleep(Duration::from_millis(300)).await;
    shared.outage_ended(began);
    let mut rest = all.clone();
    rest.pop_first();
    shared.offer_endpoints(registered(&rest, 20));
    sleep(Duration::from_millis(150)).await;
    assert!(used(&shared).iter().eq(rest.keys()));
}

/// Guards against an endpoint that leaves just after routers lost and regained the store and is used
/// past the operator's bound, since its registration may have lapsed. The store may have been well
/// all the while.
#[tokio::test]
async fn an_endpoint_that_leaves_within_the_grace_is_used_no_longer_than_the_bound_allows() {
    let all = endpoints("engine", 4);
    let config = GatewayConfig {
        lapse_grace_ms: 2_200,
        leave_bound_ms: 400,
        ..GatewayConfig::default()
    };
    let shared = router_with(config);
    let registered = |entries: &BTreeMap<_, _>, revision| RegisteredEndpoints {
        entries: entries.clone(),
        as_of: StoreRevision(revision),
        ..RegisteredEndpoints::default()
    };
    shared.offer_endpoints(registered(&all, 10));
    shared.outage_ended(shared.clock.now());
    let mut rest = all.clone();
    rest.pop_first();
    shared.offer_endpoints(registered(&rest, 20));
    let left = shared.clock.now();
    assert_eq!(used(&shared).len(), 4);
    let bound = TimeSpan::from_millis(400);
    let ends = shared
        .endpoints()
        .kept()
        .values()
        .map(|kept| kept.until)
        .max();
    assert!(ends.unwrap().since(left) < bound, "{ends:?}");
}

/// Only the calls for routes failed for a while: the store was up, and no registration lapsed. An
/// endpoint that leaves just after that must not be kept as if its registration had lapsed.
#[tokio::test]
async fn routes_that_could_not_be_read_make_no_endpoint_lapse() {
    let all = endpoints("engine", 4);
    let (shared, store) = following(&all).await;
    follow(&shared, &store, StateSection::Routes);
    sleep(Duration::from_millis(100)).await;
    store.refuses_routes.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(100)).await;
    assert!(shared.store_contact().is_failing);
    store.refuses_routes.store(false, Ordering::Relaxed);
    sleep(Duration::from_millis(150)).await;
    assert!(!shared.store_contact().is_failing);
    store.remove(all.keys().next().unwrap(), 20);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(used(&shared).len(), 3);
}

/// A router that is not a reader makes no calls to the store, and starts when it becomes one.
#[tokio::test]
async fn only_readers_ask_the_store() {
    let shared = router();
    shared.set_reader(false);
    let store = Arc::new(FakeStore::default());
    store.hold(&endpoints("engine", 2), 10);
    follow(&shared, &store, StateSection::Endpoints);
    sleep(Duration::from_millis(100)).await;
    assert!(used(&shared).is_empty());
    shared.set_reader(true);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(used(&shared).len(), 2);
}

/// The store stops responding to a reader while its connections stay open. As long as the reader
/// counts itself as in contact, no other router reads the store, and revoked keys still work
/// everywhere.
#[tokio::test]
async fn a_reader_notices_a_silent_store_soon() {
    let all = endpoints("engine", 2);
    let (shared, store) = following(&all).await;
    store.is_silent.store(true, Ordering::Relaxed);
    let begun = std::time::Instant::now();
    while !shared.store_contact().is_failing {
        assert!(begun.elapsed() < Duration::from_millis(3_300));
        sleep(Duration::from_millis(20)).await;
    }
}
