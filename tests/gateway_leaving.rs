//! Endpoints that leave: from when on no router sends work to them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use verbenaturn::gateway::endpoint_list::RegisteredEndpoints;
use verbenaturn::gateway::follow::StateSection;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::gateway::gossip::GossipPlan;
use verbenaturn::gateway::gossip::run_gossip;
use verbenaturn::gateway::handover::fetch_state;
use verbenaturn::gateway::handover::serve_state;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::shared::SharedState;

mod engines;
mod stores;

use self::engines::endpoints;
use self::stores::FakeStore;
use self::stores::GRACE;
use self::stores::follow;
use self::stores::following;
use self::stores::router;
use self::stores::used;

/// Time for a router to hear of a change.
const NEWS: Duration = Duration::from_millis(100);

/// A router that reached the store again after an outage and then stopped reading, since others
/// read it. Its last watch tells it that an endpoint is no longer registered.
async fn stopped_reader(
    all: &BTreeMap<EndpointKey, EndpointEntry>,
) -> (Arc<SharedState>, Arc<FakeStore>) {
    let (shared, store) = following(all).await;
    store.refuse();
    sleep(NEWS).await;
    store.hold(all, 20);
    sleep(NEWS).await;
    assert_eq!(shared.endpoints_revision(), StoreRevision(20));
    shared.set_reader(false);
    store.remove(all.keys().next().unwrap(), 30);
    sleep(NEWS).await;
    assert_eq!(shared.endpoints_revision(), StoreRevision(30));
    (shared, store)
}

/// Callers' requests reached an endpoint two seconds after it had left and, later, found nobody
/// there. The store had been away; a router reached it again and stopped reading, since others
/// read it. Its last watch told of the removal, taken for an entry that lapsed with the store and
/// kept for a while; that while was ended by the next watch, and none came. The routers' logs showed
/// two lists of one revision: with the endpoint at those that had stopped reading, without elsewhere.
#[tokio::test]
async fn a_router_that_stopped_reading_drops_what_it_kept() {
    let all = endpoints("engine", 4);
    let (shared, _store) = stopped_reader(&all).await;
    sleep(GRACE + NEWS).await;
    assert_eq!(used(&shared).len(), 3);
}

/// As above, at a router that never read the store: it had fetched the list of the one that kept
/// the endpoint, in which nothing told that it would end, and no newer list came for seconds.
#[tokio::test]
async fn a_fetched_list_ends_as_early_as_the_one_it_came_from() {
    let all = endpoints("engine", 4);
    let (kept, _store) = stopped_reader(&all).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_state(kept, listener));
    let fetching = router();
    fetch_state(Arc::clone(&fetching), address).await;
    assert_eq!(fetching.endpoints_revision(), StoreRevision(30));
    sleep(GRACE + NEWS).await;
    assert_eq!(used(&fetching).len(), 3);
}

/// Lets routers exchange messages on loopback. None answers who fetches its list.
async fn exchanging(routers: &[Arc<SharedState>]) {
    let mut port = 0;
    let addresses: Vec<String> = (1..=routers.len())
        .map(|number| format!("127.0.0.{number}"))
        .collect();
    for (shared, address) in routers.iter().zip(&addresses) {
        let socket = UdpSocket::bind((address.as_str(), port)).await.unwrap();
        let listen = socket.local_addr().unwrap();
        port = listen.port();
        let plan = GossipPlan {
            listen,
            seeds: addresses.iter().map(SmolStr::new).collect(),
            incarnation: 1,
        };
        tokio::spawn(run_gossip(Arc::clone(shared), plan, socket));
    }
    sleep(Duration::from_millis(300)).await;
}

fn registered(
    entries: &BTreeMap<EndpointKey, EndpointEntry>,
    revision: u64,
) -> RegisteredEndpoints {
    RegisteredEndpoints {
        entries: entries.clone(),
        as_of: StoreRevision(revision),
        ..RegisteredEndpoints::default()
    }
}

/// Callers' requests reached an endpoint 3.7 s after it had left. The link of the host that sent
/// them was full: small messages came and told of a newer list, and each fetch of it timed out. The
/// messages told that something had changed and not what; the host's log showed both.
#[tokio::test]
async fn an_endpoint_that_left_gets_no_work_though_the_list_can_not_be_fetched() {
    let all = endpoints("engine", 4);
    let (reading, other) = (router(), router());
    for shared in [&reading, &other] {
        shared.set_reader(false);
        shared.offer_endpoints(registered(&all, 10));
    }
    exchanging(&[Arc::clone(&reading), Arc::clone(&other)]).await;
    let mut rest = all.clone();
    rest.pop_first();
    reading.offer_endpoints(registered(&rest, 20));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(other.endpoints_revision(), StoreRevision(10));
    assert!(used(&other).iter().eq(rest.keys()));
}

/// Time within which no router may send to an endpoint that left, in the strictest deployments.
const LEAVE_BOUND: Duration = Duration::from_secs(2);

/// Cuts off all routers that read the store just after they began to wait for changes, and then lets an
/// endpoint leave. The store is well, the other routers reach it, and no list can be fetched.
async fn leave_as_all_readers_are_cut_off(
    all: &BTreeMap<EndpointKey, EndpointEntry>,
    routers: &[Arc<SharedState>],
) {
    let stores: Vec<Arc<FakeStore>> = (0..5).map(|_| Arc::default()).collect();
    for (shared, store) in routers.iter().zip(&stores) {
        shared.set_reader(false);
        store.hold(all, 10);
        for section in StateSection::ALL {
            follow(shared, store, section);
        }
    }
    exchanging(routers).await;
    // All of them read at first; those that are too many stop after their first watch.
    sleep(Duration::from_millis(2_500)).await;
    let reading = routers.iter().filter(|shared| shared.is_in_touch()).count();
    assert_eq!(reading, 3);
    // A change, after which all readers wait for the next one.
    let keys: Vec<&EndpointKey> = all.keys().collect();
    for store in &stores {
        store.remove(keys[0], 20);
    }
    sleep(Duration::from_millis(50)).await;
    for (shared, store) in routers.iter().zip(&stores) {
        store
            .is_silent
            .store(shared.is_in_touch(), Ordering::Relaxed);
    }
    let left_at = Instant::now();
    for store in &stores {
        store.remove(keys[1], 30);
    }
    while routers.iter().any(|shared| used(shared).contains(keys[1])) {
        let passed = left_at.elapsed();
        assert!(passed < LEAVE_BOUND, "in use after {passed:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Callers' requests would reach an endpoint more than two seconds after it left. All routers that
/// read the store are cut off from it at once, silently and just after they began to wait for
/// changes; the store is well and the other routers reach it. Waiting and noticing took all of the
/// two seconds, and telling the others, reading and telling the news came on top.
#[tokio::test]
async fn an_endpoint_that_leaves_as_all_readers_are_cut_off_gets_no_work_within_the_bound() {
    let routers: Vec<Arc<SharedState>> = (0..5).map(|_| router()).collect();
    leave_as_all_readers_are_cut_off(&endpoints("engine", 4), &routers).await;
}

/// Guards against the same where each router has a list before, and so knows what left when it reads.
#[tokio::test]
async fn routers_with_a_list_hear_within_the_bound_of_who_leaves_as_all_readers_are_cut_off() {
    let all = endpoints("engine", 4);
    let routers: Vec<Arc<SharedState>> = (0..5).map(|_| router()).collect();
    for shared in &routers {
        shared.offer_endpoints(registered(&all, 10));
    }
    leave_as_all_readers_are_cut_off(&all, &routers).await;
}
