//! Following the store: what a router takes over from it, and when.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use verbenaturn::gateway::endpoint_list::ToldEndpoints;
use verbenaturn::gateway::follow::StateSection;

mod engines;
mod stores;

use self::engines::endpoints;
use self::stores::FakeStore;
use self::stores::follow;
use self::stores::following;
use self::stores::router;
use self::stores::used;

/// The store refuses one router for some seconds and serves the others. Endpoints leave, of which
/// it hears from its peers. When the store serves it again, it must not take what it had read
/// before for entries that lapsed: it would send work to endpoints that are gone, and tell its
/// peers to do so.
#[tokio::test]
async fn a_router_that_was_refused_alone_brings_no_gone_endpoint_back() {
    let all = endpoints("engine", 4);
    let (shared, store) = following(&all).await;
    store.refuse();
    sleep(Duration::from_millis(100)).await;
    let mut rest = all.clone();
    rest.pop_first();
    rest.pop_first();
    let told = ToldEndpoints {
        entries: rest.clone(),
        kept: BTreeMap::new(),
        revision: 20,
    };
    shared.adopt_endpoints(shared.clock.now(), told);
    rest.pop_first();
    shared.note_peers_touch(shared.clock.now(), true);
    store.hold(&rest, 30);
    for _ in 0..20 {
        sleep(Duration::from_millis(10)).await;
        assert!(used(&shared).len() <= 2);
    }
    assert!(used(&shared).iter().eq(rest.keys()));
}

/// The store is away for everybody, and the entries of two endpoints lapse. They are used for the
/// grace and dropped when they don't come back.
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

/// The store is away for everybody, and registrations lapse. It returns; another router reaches it
/// just before this one and says so. Taken for an outage of this router alone, all that lapsed
/// would count as gone, and calls would be refused for two seconds though the endpoints live.
#[tokio::test]
async fn a_peer_that_reached_the_store_just_before_does_not_prove_that_it_was_there() {
    let all = endpoints("engine", 4);
    let (shared, store) = following(&all).await;
    store.refuse();
    sleep(Duration::from_millis(100)).await;
    shared.note_peers_touch(shared.clock.now(), false);
    let mut rest = all.clone();
    rest.pop_first();
    rest.pop_first();
    shared.note_peers_touch(shared.clock.now(), true);
    store.hold(&rest, 30);
    sleep(Duration::from_millis(150)).await;
    assert_eq!(used(&shared).len(), 4);
}

/// The store was away for everybody. A router that reaches it later than others would keep what
/// leaves then for as long again, and tell its peers to: callers' requests would go on reaching
/// endpoints that left well after the store's return.
#[tokio::test]
async fn the_grace_counts_from_when_the_first_router_reached_the_store() {
    let all = endpoints("engine", 4);
    let (shared, store) = following(&all).await;
    store.refuse();
    sleep(Duration::from_millis(100)).await;
    shared.note_peers_touch(shared.clock.now(), false);
    shared.note_peers_touch(shared.clock.now(), true);
    sleep(Duration::from_millis(300)).await;
    let mut rest = all.clone();
    rest.pop_first();
    store.hold(&rest, 30);
    sleep(Duration::from_millis(250)).await;
    assert_eq!(shared.endpoints_revision().0, 30);
    assert!(used(&shared).iter().eq(rest.keys()));
}

/// Only the calls for routes failed for a while: the store was there, and no endpoint lapsed. One
/// that leaves just after is not kept as if it had.
#[tokio::test]
async fn routes_that_could_not_be_read_make_no_endpoint_lapse() {
    let all = endpoints("engine", 4);
    let (shared, store) = following(&all).await;
    follow(&shared, &store, StateSection::Routes);
    sleep(Duration::from_millis(100)).await;
    store.refuses_routes.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(100)).await;
    assert!(shared.own_touch().is_failing);
    store.refuses_routes.store(false, Ordering::Relaxed);
    sleep(Duration::from_millis(150)).await;
    assert!(!shared.own_touch().is_failing);
    store.remove(all.keys().next().unwrap(), 20);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(used(&shared).len(), 3);
}

/// A router that is no reader asks the store nothing, and starts when it becomes one.
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

/// The store falls silent to a reader: its connections stay open and nothing comes any more. As
/// long as it believes that it hears of changes nobody else reads the store, and keys that were
/// taken away go on working everywhere.
#[tokio::test]
async fn a_reader_notices_a_silent_store_soon() {
    let all = endpoints("engine", 2);
    let (shared, store) = following(&all).await;
    store.is_silent.store(true, Ordering::Relaxed);
    let begun = std::time::Instant::now();
    while !shared.own_touch().is_failing {
        assert!(begun.elapsed() < Duration::from_millis(3_300));
        sleep(Duration::from_millis(20)).await;
    }
}
