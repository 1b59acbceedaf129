//! Endpoints that leave: the time until no router sends work to them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use verbenaturn::gateway::endpoint_list::RegisteredEndpoints;
use verbenaturn::gateway::follow::StateSection;
use verbenaturn::gateway::follow::StoreRevision;
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
use self::stores::exchanging;
use self::stores::follow;
use self::stores::following;
use self::stores::router;
use self::stores::used;

/// Time for a router to receive a change.
const NEWS: Duration = Duration::from_millis(100);

/// Returns a router that regained the store after an outage and then stopped reading, since other
/// routers read it. Its last watch reports that an endpoint is no longer registered.
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

/// Guards against a kept endpoint that never expires. After an outage of the store, a router
/// regained contact and then stopped reading, since others read it. It took the removal in its last
/// watch for a registration that lapsed with the store and kept the endpoint. Only the next watch
/// ended that, and there was none, so requests reached the endpoint two seconds after it had left
/// and later found no process there. The routers' logs showed two lists of the same revision, one
/// with the endpoint and one without.
#[tokio::test]
async fn a_router_that_stopped_reading_drops_what_it_kept() {
    let all = endpoints("engine", 4);
    let (shared, _store) = stopped_reader(&all).await;
    sleep(GRACE + NEWS).await;
    assert_eq!(used(&shared).len(), 3);
}

/// Guards against the same at a router that never read the store: it had fetched the list of the
/// router that kept the endpoint. That list did not state when the endpoint expires, and no newer
/// list came for seconds.
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

/// A router that can't fetch the list of another one, which has read that an endpoint left.
struct LaggingRouter {
    shared: Arc<SharedState>,
    /// The endpoints that did not leave.
    rest: BTreeMap<EndpointKey, EndpointEntry>,
    /// The gossip of the router that read it.
    reading: JoinHandle<()>,
}

impl LaggingRouter {
    /// Starts both routers and lets the endpoint leave. `has_earlier_list` tells whether the one that
    /// reads it had a list with the endpoint before.
    async fn start(has_earlier_list: bool) -> Self {
        let all = endpoints("engine", 4);
        let (reading, other) = (router(), router());
        for shared in [&reading, &other] {
            shared.set_reader(false);
        }
        other.offer_endpoints(registered(&all, 10));
        if has_earlier_list {
            reading.offer_endpoints(registered(&all, 10));
        }
        let mut tasks = exchanging(&[Arc::clone(&reading), Arc::clone(&other)]).await;
        let mut rest = all;
        rest.pop_first();
        reading.offer_endpoints(registered(&rest, 20));
        sleep(Duration::from_millis(500)).await;
        Self {
            shared: other,
            rest,
            reading: tasks.remove(0),
        }
    }

    fn uses_only_the_rest(&self) -> bool {
        used(&self.shared).iter().eq(self.rest.keys())
    }
}

/// Guards against work for an endpoint 3.7 s after it left. The link of the sending host was full:
/// small messages arrived and announced a newer list, but each fetch of that list timed out. The
/// messages did not say what had changed.
#[tokio::test]
async fn an_endpoint_that_left_gets_no_work_though_the_list_can_not_be_fetched() {
    let lagging = LaggingRouter::start(true).await;
    assert_eq!(lagging.shared.endpoints_revision(), StoreRevision(10));
    assert!(lagging.uses_only_the_rest());
}

/// Guards against work for an endpoint that left, once the router that reported it is gone. A router
/// read that the endpoint leaves, told the others and was killed; no other one could read the store
/// or fetch the list. Its report was forgotten with it, and the others used the endpoint again.
#[tokio::test]
async fn an_endpoint_that_left_gets_no_work_after_the_router_that_reported_it_is_gone() {
    let lagging = LaggingRouter::start(true).await;
    lagging.reading.abort();
    let gone_at = Instant::now();
    while gone_at.elapsed() < Duration::from_secs(3) {
        let passed = gone_at.elapsed();
        assert!(
            lagging.uses_only_the_rest(),
            "in use again after {passed:?}"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against work for an endpoint that left while the routers that read the store were away. A
/// router that had just started read it next. Having had no list before, it named no departures, and
/// the others could not fetch its list.
#[tokio::test]
async fn an_endpoint_that_left_gets_no_work_though_only_a_new_router_read_the_store() {
    let lagging = LaggingRouter::start(false).await;
    assert_eq!(lagging.shared.endpoints_revision(), StoreRevision(10));
    assert!(lagging.uses_only_the_rest());
}

/// Time after which no router may send to an endpoint that left, in the strictest deployments.
const LEAVE_BOUND: Duration = Duration::from_secs(2);

/// Cuts all readers off from the store just after they began to wait for changes, and then lets an
/// endpoint leave. The store works, the other routers reach it, and no list can be fetched.
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
    // All of them read at first; the surplus readers stop after their first watch.
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

/// Guards against work for an endpoint more than two seconds after it left. All readers lose the
/// store at once, without an error and just after they began to wait for changes, while the store
/// works and the other routers reach it. Waiting and noticing took all of the two seconds; gossip,
/// reading the store and sending the change came on top.
#[tokio::test]
async fn an_endpoint_that_leaves_as_all_readers_are_cut_off_gets_no_work_within_the_bound() {
    let routers: Vec<Arc<SharedState>> = (0..5).map(|_| router()).collect();
    leave_as_all_readers_are_cut_off(&endpoints("engine", 4), &routers).await;
}

/// Guards against the same where each router has a list before, and so knows which endpoints left
/// when it reads the store.
#[tokio::test]
async fn routers_with_a_list_apply_a_departure_within_the_bound_as_all_readers_are_cut_off() {
    let all = endpoints("engine", 4);
    let routers: Vec<Arc<SharedState>> = (0..5).map(|_| router()).collect();
    for shared in &routers {
        shared.offer_endpoints(registered(&all, 10));
    }
    leave_as_all_readers_are_cut_off(&all, &routers).await;
}
