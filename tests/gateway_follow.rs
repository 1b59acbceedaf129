//! Following the store: what a router takes over from it, and when.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::sleep;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::follow::StateChanges;
use verbenaturn::gateway::follow::StateItem;
use verbenaturn::gateway::follow::StateSection;
use verbenaturn::gateway::follow::StateSnapshot;
use verbenaturn::gateway::follow::StateStore;
use verbenaturn::gateway::follow::StoreFault;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::gateway::follow::follow_section;
use verbenaturn::gateway::metrics::GatewayMetrics;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::shared::SharedState;

mod engines;

use self::engines::endpoints;

/// A store that holds endpoints, or refuses, or no longer answers watches.
#[derive(Debug, Default)]
struct FakeStore {
    is_silent: AtomicBool,
    held: Mutex<Option<(BTreeMap<EndpointKey, EndpointEntry>, u64)>>,
}

impl FakeStore {
    fn hold(&self, entries: &BTreeMap<EndpointKey, EndpointEntry>, revision: u64) {
        *self.held.lock().unwrap() = Some((entries.clone(), revision));
    }

    fn refuse(&self) {
        *self.held.lock().unwrap() = None;
    }

    fn held(&self) -> Result<(BTreeMap<EndpointKey, EndpointEntry>, u64), StoreFault> {
        let held = self.held.lock().unwrap().clone();
        held.ok_or(StoreFault::Unavailable("refused".to_owned()))
    }
}

impl StateStore for FakeStore {
    async fn read(&self, _: StateSection) -> Result<StateSnapshot, StoreFault> {
        let (entries, revision) = self.held()?;
        Ok(StateSnapshot {
            items: entries.into_values().map(StateItem::Endpoint).collect(),
            as_of: StoreRevision(revision),
        })
    }

    async fn watch(
        &self,
        _: StateSection,
        after: StoreRevision,
        _: Duration,
    ) -> Result<StateChanges, StoreFault> {
        sleep(Duration::from_millis(20)).await;
        if self.is_silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let (_, revision) = self.held()?;
        if revision > after.0 {
            return Err(StoreFault::Compacted);
        }
        Ok(StateChanges {
            changes: Vec::new(),
            as_of: after,
        })
    }
}

fn router() -> Arc<SharedState> {
    let config = GatewayConfig {
        store_retry_ms: 10,
        lapse_grace_ms: 400,
        ..GatewayConfig::default()
    };
    let metrics = GatewayMetrics::new().unwrap();
    let shared = SharedState::new(config, SmolStr::new("suva-a"), metrics);
    shared.set_reader(true);
    Arc::new(shared)
}

/// A router that follows a store with these endpoints.
async fn following(
    all: &BTreeMap<EndpointKey, EndpointEntry>,
) -> (Arc<SharedState>, Arc<FakeStore>) {
    let (shared, store) = (router(), Arc::new(FakeStore::default()));
    store.hold(all, 10);
    tokio::spawn(follow_section(
        Arc::clone(&store),
        Arc::clone(&shared),
        StateSection::Endpoints,
    ));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(shared.endpoints().entries.len(), all.len());
    (shared, store)
}

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
    shared.offer_endpoints(StoreRevision(20), rest.clone());
    rest.pop_first();
    shared.note_peers_touch(shared.clock.now(), true);
    store.hold(&rest, 30);
    for _ in 0..20 {
        sleep(Duration::from_millis(10)).await;
        assert!(shared.endpoints().entries.len() <= 2);
    }
    assert_eq!(shared.endpoints().entries, rest);
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
    assert_eq!(shared.endpoints().entries.len(), 4);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(shared.endpoints().entries, rest);
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
    assert_eq!(shared.endpoints().entries.len(), 4);
}

/// A router that is no reader asks the store nothing, and starts when it becomes one.
#[tokio::test]
async fn only_readers_ask_the_store() {
    let shared = router();
    shared.set_reader(false);
    let store = Arc::new(FakeStore::default());
    store.hold(&endpoints("engine", 2), 10);
    tokio::spawn(follow_section(
        Arc::clone(&store),
        Arc::clone(&shared),
        StateSection::Endpoints,
    ));
    sleep(Duration::from_millis(100)).await;
    assert!(shared.endpoints().entries.is_empty());
    shared.set_reader(true);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(shared.endpoints().entries.len(), 2);
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
