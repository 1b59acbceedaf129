//! State shared by the control thread and the traffic thread.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::daemon::control::MonotonicClock;
use crate::units::Moment;
use crate::units::TimeSpan;

use super::config::GatewayConfig;
use super::decide::GatewayCore;
use super::decide::stream_origins::ListStatus;
use super::endpoint_list::EndpointList;
use super::endpoint_list::EndpointListMessage;
use super::endpoint_list::RegisteredEndpoints;
use super::follow::StateSection;
use super::follow::StoreRevision;
use super::freshness;
use super::link::LinkMeter;
use super::metrics::GatewayMetrics;
use super::origin_lookup::OriginLookups;
use super::protocol::EndpointAnnouncement;
use super::routes::EndpointEntry;
use super::routes::RouteTable;

/// The stages of a router's shutdown; each begins when its token is cancelled.
#[derive(Debug, Clone)]
pub struct ShutdownStages {
    /// SIGTERM was received: the router reports not ready and closes each connection after its
    /// response.
    pub draining: CancellationToken,
    /// Callers have had time to notice: idle connections are closed and new calls refused.
    pub closing: CancellationToken,
    /// The time to stop has passed: calls whose endpoints still work are given up and answered.
    pub giving_up: CancellationToken,
    /// No caller is left: no connection is open, none waits in the accept queue, and the listener
    /// is closed.
    pub drained: CancellationToken,
    /// Everything in flight is aborted.
    pub ended: CancellationToken,
}

impl ShutdownStages {
    /// Creates the stages of a router that is not shutting down.
    #[must_use]
    pub fn new() -> Self {
        let ended = CancellationToken::new();
        let giving_up = ended.child_token();
        let closing = giving_up.child_token();
        let draining = closing.child_token();
        Self {
            draining,
            closing,
            giving_up,
            drained: CancellationToken::new(),
            ended,
        }
    }
}

impl Default for ShutdownStages {
    fn default() -> Self {
        Self::new()
    }
}

/// This router's contact with the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreContact {
    /// True if it reads all changes from the store directly.
    pub in_touch: bool,
    /// True if its last call to the store, for either section, failed.
    pub is_failing: bool,
}

/// Contact of the other routers with the store, as known from gossip.
#[derive(Debug, Default)]
struct PeerStoreContact {
    /// True if at least one other router was in contact when this was last recorded. Not derived
    /// from the times below, which are equal for two records within one tick of the clock.
    is_in_contact: bool,
    /// When at least one other router was last in contact.
    last_in_contact: Option<Moment>,
    /// When last no other router was in contact.
    last_out_of_contact: Option<Moment>,
    /// When contact was last regained after a time in which no other router had any.
    regained: Option<Moment>,
}

/// State shared by the control thread and the traffic thread. A lock is held for one operation only
/// (such as a change of the endpoint list or the making of a digest), never across an await.
#[derive(Debug)]
pub struct SharedState {
    core: Mutex<GatewayCore>,
    routes: Mutex<Option<Arc<RouteTable>>>,
    /// When other routes were put in force, in us; 0 before the first change.
    routes_changed: AtomicU64,
    endpoints: Mutex<EndpointList>,
    sections_in_touch: Mutex<BTreeSet<StateSection>>,
    store_failing: AtomicBool,
    reader: watch::Sender<bool>,
    peer_contact: Mutex<PeerStoreContact>,
    /// The router's clock.
    pub clock: MonotonicClock,
    /// Settings of the gateway's decisions.
    pub config: GatewayConfig,
    /// Stages of the shutdown.
    pub shutdown_stages: ShutdownStages,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Questions to other routers where streams began.
    pub lookups: OriginLookups,
    /// Traffic of this process on its host's link.
    pub link: Arc<LinkMeter>,
    in_flight: AtomicUsize,
    body_bytes: AtomicUsize,
    fetching: AtomicBool,
    overloaded: AtomicBool,
    /// True if the endpoint list is as new as those of others, see [`ListStatus::Latest`].
    has_latest_list: AtomicBool,
    /// Whether another router was ever heard.
    has_met_others: AtomicBool,
    /// Asks for an answer of the store on the endpoint list.
    list_check: Notify,
    /// Wakes those who wait for one.
    list_confirmed: Notify,
}

impl SharedState {
    /// Creates the state of a router before it knows routes or endpoints.
    #[must_use]
    pub fn new(config: GatewayConfig, domain: SmolStr, metrics: GatewayMetrics) -> Self {
        Self {
            core: Mutex::new(GatewayCore::new(config.clone(), domain)),
            routes: Mutex::new(None),
            routes_changed: AtomicU64::new(0),
            endpoints: Mutex::new(EndpointList::default()),
            sections_in_touch: Mutex::default(),
            store_failing: AtomicBool::new(false),
            reader: watch::Sender::new(false),
            peer_contact: Mutex::default(),
            clock: MonotonicClock::start(),
            config,
            shutdown_stages: ShutdownStages::new(),
            metrics,
            lookups: OriginLookups::default(),
            link: Arc::default(),
            in_flight: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            fetching: AtomicBool::new(false),
            overloaded: AtomicBool::new(false),
            has_latest_list: AtomicBool::new(false),
            has_met_others: AtomicBool::new(false),
            list_check: Notify::new(),
            list_confirmed: Notify::new(),
        }
    }

    /// Locks the decision core. It stays usable after a panic of a thread that held the lock:
    /// changes don't depend on each other, so at worst the one that panicked is half done.
    pub fn core(&self) -> MutexGuard<'_, GatewayCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies what an endpoint announced in an answer.
    pub fn apply_endpoint_announcement(
        &self,
        entry: &EndpointEntry,
        announcement: EndpointAnnouncement,
    ) {
        if announcement == EndpointAnnouncement::default() {
            return;
        }
        let is_news = self
            .core()
            .endpoints
            .apply_notices(self.clock.now(), entry, announcement);
        let (key, born) = (&entry.key, entry.born);
        if announcement.is_leaving {
            self.metrics.endpoint_announcement("leaving");
        }
        if is_news {
            spdlog::info!("endpoint: key={key} born={born} said=leaving");
        }
        if let Some(pause) = announcement.pause {
            self.metrics.endpoint_announcement("pause");
            let pause_ms = pause.as_millis();
            spdlog::info!("endpoint: key={key} born={born} said=pause pause_ms={pause_ms}");
        }
    }

    /// Returns the routes in force, or nothing before the first ones are known.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes.clone()
    }

    /// Puts routes in force if they are newer. Returns false otherwise.
    ///
    /// Guards against a rollback: a late response of the store or a lagging peer may offer an older
    /// version, with which revoked keys would work again.
    pub fn offer_routes(&self, table: Arc<RouteTable>) -> bool {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let known = routes.as_ref().map(|routes| routes.version);
        if known.is_some_and(|known| known >= table.version) {
            return false;
        }
        if routes.replace(table).is_some() {
            let now = self.clock.now();
            self.routes_changed.store(now.0, Ordering::Relaxed);
        }
        true
    }

    /// Returns the time since other routes were put in force; nothing if the first ones still are.
    pub fn since_routes_changed(&self) -> Option<TimeSpan> {
        let changed = Moment(self.routes_changed.load(Ordering::Relaxed));
        (changed.0 > 0).then(|| self.clock.now().since(changed))
    }

    /// Puts the store's endpoints in force. Returns false if they are older than the current ones.
    pub fn offer_endpoints(&self, received: RegisteredEndpoints) -> bool {
        let now = self.clock.now();
        self.change_endpoints(now, |list| list.apply_store_content(now, received))
    }

    /// Puts in force the endpoint list of another router, requested at `asked`. Returns false if it
    /// is older than the current one.
    pub fn adopt_endpoints(&self, asked: Moment, received: EndpointListMessage) -> bool {
        let now = self.clock.now();
        self.change_endpoints(now, |list| list.apply_peer_list(now, asked, received))
    }

    /// Drops kept endpoints that have expired.
    pub fn expire_kept_endpoints(&self, now: Moment) {
        let mut ended = Vec::new();
        self.change_endpoints(now, |list| {
            ended = list.expire_kept(now);
            !ended.is_empty()
        });
        for key in ended {
            spdlog::info!("store: key={key} no longer kept");
        }
    }

    /// Records that the store came back after an outage for all routers. This router noticed the
    /// start of the outage at `since`. The store may return before this router reaches it. Lapsed
    /// registrations are restored within seconds of the store's return; an endpoint that leaves the
    /// list after that has really left.
    pub fn outage_ended(&self, since: Moment) {
        let now = self.clock.now();
        let returned = self.peers_regained_contact(since).unwrap_or(now).min(now);
        let grace = freshness::lapse_grace(&self.config);
        self.endpoint_list().store_returned(returned, grace);
    }

    fn endpoint_list(&self) -> MutexGuard<'_, EndpointList> {
        let list = self.endpoints.lock();
        list.unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the endpoint list; if `change` returns true, passes the result to the decision core.
    /// Returns what `change` returned.
    fn change_endpoints(
        &self,
        now: Moment,
        change: impl FnOnce(&mut EndpointList) -> bool,
    ) -> bool {
        let mut list = self.endpoint_list();
        let era = list.as_of().era();
        let is_changed = change(&mut list);
        if is_changed {
            let mut core = self.core();
            if list.as_of().era() > era {
                core.endpoints.store_restored();
            }
            core.set_endpoints(now, &list.used());
            for (key, kept) in list.kept() {
                core.endpoints.end_at(key, kept.until);
            }
        }
        is_changed
    }

    /// Returns the endpoints in force.
    #[must_use]
    pub fn endpoints(&self) -> EndpointList {
        self.endpoint_list().clone()
    }

    /// Returns the store's revision of the endpoints in force.
    #[must_use]
    pub fn endpoints_revision(&self) -> StoreRevision {
        self.endpoint_list().as_of()
    }

    /// Records whether this router is in contact with the store for a section.
    pub fn set_in_touch(&self, section: StateSection, in_touch: bool) {
        let sections = self.sections_in_touch.lock();
        let mut sections = sections.unwrap_or_else(PoisonError::into_inner);
        if in_touch {
            sections.insert(section);
        } else {
            sections.remove(&section);
        }
    }

    /// Returns true if this router is in contact with the store for all sections.
    #[must_use]
    pub fn is_in_touch(&self) -> bool {
        let sections = self.sections_in_touch.lock();
        let sections = sections.unwrap_or_else(PoisonError::into_inner);
        sections.len() == StateSection::ALL.len()
    }

    /// Records whether the last call to the store failed.
    pub fn set_store_failing(&self, is_failing: bool) {
        self.store_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Returns this router's contact with the store.
    #[must_use]
    pub fn store_contact(&self) -> StoreContact {
        StoreContact {
            in_touch: self.is_in_touch(),
            is_failing: self.store_failing.load(Ordering::Relaxed),
        }
    }

    /// Records whether any other router is in contact with the store.
    pub fn record_peer_contact(&self, now: Moment, is_any_in_contact: bool) {
        let contact = self.peer_contact.lock();
        let mut contact = contact.unwrap_or_else(PoisonError::into_inner);
        if is_any_in_contact {
            if !contact.is_in_contact {
                contact.regained = Some(now);
            }
            contact.last_in_contact = Some(now);
        } else {
            contact.last_out_of_contact = Some(now);
        }
        contact.is_in_contact = is_any_in_contact;
    }

    /// Returns true if at every moment since `since` some other router was in contact with the
    /// store.
    #[must_use]
    pub fn peers_kept_contact(&self, since: Moment) -> bool {
        let contact = self.peer_contact.lock();
        let contact = contact.unwrap_or_else(PoisonError::into_inner);
        let was_in_contact = contact.last_in_contact.is_some_and(|at| at > since);
        let was_out_of_contact = contact.last_out_of_contact.is_some_and(|at| at > since);
        was_in_contact && !was_out_of_contact
    }

    /// Returns when another router regained contact with the store, if that was after `since` and
    /// followed a time in which none had any.
    fn peers_regained_contact(&self, since: Moment) -> Option<Moment> {
        let contact = self.peer_contact.lock();
        let contact = contact.unwrap_or_else(PoisonError::into_inner);
        let is_in_contact = contact.is_in_contact;
        contact.regained.filter(|at| is_in_contact && *at > since)
    }

    /// Sets whether this router reads the store itself.
    pub fn set_reader(&self, reads: bool) {
        self.reader.send_if_modified(|before| {
            let changed = *before != reads;
            *before = reads;
            changed
        });
    }

    /// Returns true if this router reads the store itself.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        *self.reader.borrow()
    }

    /// Waits until this router becomes a reader of the store.
    pub async fn wait_until_reader(&self) {
        let mut reader = self.reader.subscribe();
        // This state owns the sender, so the wait can't fail.
        let _ = reader.wait_for(|reads| *reads).await;
    }

    /// Returns true while the published state is being fetched from a peer.
    #[must_use]
    pub fn is_fetching(&self) -> bool {
        self.fetching.load(Ordering::Relaxed)
    }

    /// Records whether the published state is being fetched from a peer.
    pub fn set_fetching(&self, fetching: bool) {
        self.fetching.store(fetching, Ordering::Relaxed);
    }

    /// Returns whether the endpoint list can lack a software version that another router uses.
    #[must_use]
    pub fn list_status(&self) -> ListStatus {
        if self.has_latest_list.load(Ordering::Relaxed) {
            ListStatus::Latest
        } else {
            ListStatus::MaybeOutdated
        }
    }

    /// Sets what [`Self::list_status`] returns.
    pub fn set_list_status(&self, status: ListStatus) {
        let is_latest = status == ListStatus::Latest;
        self.has_latest_list.store(is_latest, Ordering::Relaxed);
    }

    /// Returns true if another router was ever heard.
    #[must_use]
    pub fn has_met_others(&self) -> bool {
        self.has_met_others.load(Ordering::Relaxed)
    }

    /// Records that another router was heard.
    pub fn record_met_others(&self) {
        self.has_met_others.store(true, Ordering::Relaxed);
    }

    /// Records that the store has just answered, and the endpoint list holds all of its changes.
    pub fn confirm_list(&self) {
        self.list_confirmed.notify_waiters();
    }

    /// Has the store asked whether the endpoint list holds all changes. Returns false if it has not
    /// answered within `limit`.
    pub async fn check_list(&self, limit: Duration) -> bool {
        let confirmed = self.list_confirmed.notified();
        self.list_check.notify_one();
        timeout(limit, confirmed).await.is_ok()
    }

    /// Waits until the store is to be asked.
    pub async fn list_check_requested(&self) {
        self.list_check.notified().await;
    }

    /// Counts a call as in flight until the guard is dropped.
    pub fn begin_call(self: &Arc<Self>) -> CallGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        CallGuard {
            shared: Arc::clone(self),
        }
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns true if this router should get fewer callers, see [`super::load::is_overloaded`].
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.overloaded.load(Ordering::Relaxed)
    }

    /// Records whether this router should get fewer callers, see [`super::load::is_overloaded`].
    pub fn set_overloaded(&self, overloaded: bool) {
        self.overloaded.store(overloaded, Ordering::Relaxed);
    }

    /// Reserves memory for a body until the guard is dropped, or returns nothing if the limit is
    /// exceeded.
    pub fn take_memory(self: &Arc<Self>, bytes: usize) -> Option<MemoryGuard> {
        let before = self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        let guard = MemoryGuard {
            shared: Arc::clone(self),
            bytes,
        };
        (before + bytes <= self.config.body_memory_bytes).then_some(guard)
    }
}

/// Guard that counts a call as in flight.
#[derive(Debug)]
pub struct CallGuard {
    shared: Arc<SharedState>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard that reserves memory for a body.
#[derive(Debug)]
pub struct MemoryGuard {
    shared: Arc<SharedState>,
    bytes: usize,
}

impl MemoryGuard {
    /// Reserves more memory. Returns false if the limit is exceeded.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let before = self.shared.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= self.shared.config.body_memory_bytes
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.shared
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
