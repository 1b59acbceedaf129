//! An in-memory fake of the store, and routers that follow it.
// Each test file that includes this module uses only a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::follow::PastChange;
use verbenaturn::gateway::follow::StateChange;
use verbenaturn::gateway::follow::StateChanges;
use verbenaturn::gateway::follow::StateItem;
use verbenaturn::gateway::follow::StateSection;
use verbenaturn::gateway::follow::StateSnapshot;
use verbenaturn::gateway::follow::StateStore;
use verbenaturn::gateway::follow::StoreFault;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::gateway::follow::follow_section;
use verbenaturn::gateway::gossip::GossipPlan;
use verbenaturn::gateway::gossip::run_gossip;
use verbenaturn::gateway::metrics::GatewayMetrics;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::shared::SharedState;

/// Interval at which a watch polls the fake store.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// The content of a store.
#[derive(Debug, Clone)]
struct StoreContent {
    entries: BTreeMap<EndpointKey, EndpointEntry>,
    revision: u64,
    /// The endpoint whose removal created this revision, if that was the change.
    removed: Option<EndpointKey>,
}

/// A store of endpoints that can be made to refuse calls or to stop responding.
#[derive(Debug, Default)]
pub struct FakeStore {
    /// True if calls get no response.
    pub is_silent: AtomicBool,
    /// True if calls for routes are refused.
    pub refuses_routes: AtomicBool,
    held: Mutex<Option<StoreContent>>,
}

impl FakeStore {
    /// Sets the content; the changes that led to it are compacted.
    pub fn hold(&self, entries: &BTreeMap<EndpointKey, EndpointEntry>, revision: u64) {
        *self.held.lock().unwrap() = Some(StoreContent {
            entries: entries.clone(),
            revision,
            removed: None,
        });
    }

    /// Removes an endpoint and reports it to watches.
    pub fn remove(&self, key: &EndpointKey, revision: u64) {
        let mut held = self.held.lock().unwrap();
        let content = held.as_mut().unwrap();
        content.entries.remove(key);
        content.revision = revision;
        content.removed = Some(key.clone());
    }

    /// Refuses all calls.
    pub fn refuse(&self) {
        *self.held.lock().unwrap() = None;
    }

    fn held(&self, section: StateSection) -> Result<StoreContent, StoreFault> {
        let refuses = self.refuses_routes.load(Ordering::Relaxed);
        let held = self.held.lock().unwrap().clone();
        let held = held.filter(|_| !refuses || section != StateSection::Routes);
        held.ok_or(StoreFault::Unavailable("refused".to_owned()))
    }
}

impl StateStore for FakeStore {
    async fn read(&self, section: StateSection) -> Result<StateSnapshot, StoreFault> {
        if self.is_silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let StoreContent {
            entries, revision, ..
        } = self.held(section)?;
        let entries = match section {
            StateSection::Endpoints => entries,
            StateSection::Routes => BTreeMap::new(),
        };
        Ok(StateSnapshot {
            items: entries.into_values().map(StateItem::Endpoint).collect(),
            as_of: StoreRevision(revision),
        })
    }

    async fn watch(
        &self,
        section: StateSection,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<StateChanges, StoreFault> {
        let begun = Instant::now();
        loop {
            sleep(POLL_PAUSE).await;
            if self.is_silent.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            let StoreContent {
                revision, removed, ..
            } = self.held(section)?;
            // A watch reports changes of its own section only.
            let is_new = section == StateSection::Endpoints && revision > after.0;
            if is_new || begun.elapsed() >= wait {
                let changes = removed.filter(|_| is_new).map(StateChange::Removed);
                if is_new && changes.is_none() {
                    return Err(StoreFault::Compacted);
                }
                return Ok(StateChanges {
                    changes: changes.into_iter().collect(),
                    as_of: StoreRevision(revision),
                });
            }
        }
    }

    async fn history(&self, _: StoreRevision) -> Result<Vec<PastChange>, StoreFault> {
        Err(StoreFault::Compacted)
    }
}

/// Time for which routers in these tests keep endpoints with lapsed registrations.
pub const GRACE: Duration = Duration::from_millis(400);

/// Creates a router that may read the store.
pub fn router() -> Arc<SharedState> {
    let config = GatewayConfig {
        store_retry_ms: 10,
        lapse_grace_ms: 400,
        ..GatewayConfig::default()
    };
    router_with(config)
}

/// Creates a router with this configuration that may read the store.
pub fn router_with(config: GatewayConfig) -> Arc<SharedState> {
    let metrics = GatewayMetrics::new().unwrap();
    let shared = SharedState::new(config, SmolStr::new("suva-a"), metrics);
    shared.set_reader(true);
    Arc::new(shared)
}

/// Starts following one section of a store.
pub fn follow(shared: &Arc<SharedState>, store: &Arc<FakeStore>, section: StateSection) {
    tokio::spawn(follow_section(
        Arc::clone(store),
        Arc::clone(shared),
        section,
    ));
}

/// Creates a router that follows a store with these endpoints.
pub async fn following(
    all: &BTreeMap<EndpointKey, EndpointEntry>,
) -> (Arc<SharedState>, Arc<FakeStore>) {
    let (shared, store) = (router(), Arc::new(FakeStore::default()));
    store.hold(all, 10);
    follow(&shared, &store, StateSection::Endpoints);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(used(&shared).len(), all.len());
    (shared, store)
}

/// Returns the endpoints that a router sends work to.
pub fn used(shared: &SharedState) -> BTreeSet<EndpointKey> {
    let now = shared.clock.now();
    let core = shared.core();
    let rows = core.endpoints.rows().filter(|row| row.is_ready(now));
    rows.map(|row| row.entry.key.clone()).collect()
}

/// Starts gossip between the routers on loopback and returns its tasks. None of the routers serves
/// its list to others.
pub async fn exchanging(routers: &[Arc<SharedState>]) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
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
        tasks.push(tokio::spawn(run_gossip(Arc::clone(shared), plan, socket)));
    }
    sleep(Duration::from_millis(300)).await;
    tasks
}
