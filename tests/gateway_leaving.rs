//! Endpoints that leave: from when on no router sends work to them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use verbenaturn::gateway::endpoint_list::RegisteredEndpoints;
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

/// Lets two routers exchange messages on loopback. Neither answers who fetches its list.
async fn exchanging(routers: [&Arc<SharedState>; 2]) {
    let first = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let port = first.local_addr().unwrap().port();
    let second = UdpSocket::bind(("127.0.0.2", port)).await.unwrap();
    for (shared, socket) in routers.into_iter().zip([first, second]) {
        let plan = GossipPlan {
            listen: socket.local_addr().unwrap(),
            seeds: vec!["127.0.0.1".into(), "127.0.0.2".into()],
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
    exchanging([&reading, &other]).await;
    let mut rest = all.clone();
    rest.pop_first();
    reading.offer_endpoints(registered(&rest, 20));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(other.endpoints_revision(), StoreRevision(10));
    assert!(used(&other).iter().eq(rest.keys()));
}
