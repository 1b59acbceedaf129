//! What the control thread and the traffic thread both see.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use smol_str::SmolStr;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::daemon::control::MonotonicClock;
use crate::units::Moment;
use crate::units::TimeSpan;

use super::config::GatewayConfig;
use super::decide::GatewayCore;
use super::endpoint_list::EndpointList;
use super::endpoint_list::RegisteredEndpoints;
use super::endpoint_list::ToldEndpoints;
use super::follow::StateSection;
use super::follow::StoreRevision;
use super::link::LinkMeter;
use super::metrics::GatewayMetrics;
use super::protocol::EndpointAnnouncement;
use super::routes::EndpointEntry;
use super::routes::RouteTable;

/// The stages of a router's end; each begins when its token is cancelled.
#[derive(Debug, Clone)]
pub struct LifeStages {
    /// SIGTERM came: not ready, answers end their connections.
    pub draining: CancellationToken,
    /// Callers have had time to notice: idle connections are closed, new calls are refused.
    pub closing: CancellationToken,
    /// Everything ends now.
    pub ended: CancellationToken,
}

impl LifeStages {
    /// A life without an end yet.
    #[must_use]
    pub fn new() -> Self {
        let ended = CancellationToken::new();
        let closing = ended.child_token();
        let draining = closing.child_token();
        Self {
            draining,
            closing,
            ended,
        }
    }
}

impl Default for LifeStages {
    fn default() -> Self {
        Self::new()
    }
}

/// How this router stands with the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnTouch {
    /// It hears of all changes.
    pub in_touch: bool,
    /// Its last call gave nothing.
    pub is_failing: bool,
}

/// When other routers were last known to hear from the store, and when none did.
#[derive(Debug, Default)]
struct PeersTouch {
    touched: Option<Moment>,
    untouched: Option<Moment>,
    /// When one heard from it after none did.
    regained: Option<Moment>,
}

/// State that both threads see. Locks are held for one decision at a time.
#[derive(Debug)]
pub struct SharedState {
    core: Mutex<GatewayCore>,
    routes: Mutex<Option<Arc<RouteTable>>>,
    endpoints: Mutex<EndpointList>,
    sections_in_touch: Mutex<BTreeSet<StateSection>>,
    store_failing: AtomicBool,
    reader: watch::Sender<bool>,
    peers_touch: Mutex<PeersTouch>,
    /// The router's clock.
    pub clock: MonotonicClock,
    /// Settings of decisions.
    pub config: GatewayConfig,
    /// Stages of the end.
    pub life: LifeStages,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// What this process moves over its host's link.
    pub link: Arc<LinkMeter>,
    in_flight: AtomicUsize,
    body_bytes: AtomicUsize,
    fetching: AtomicBool,
    overloaded: AtomicBool,
}

impl SharedState {
    /// The state of a router that knows nothing yet.
    #[must_use]
    pub fn new(config: GatewayConfig, domain: SmolStr, metrics: GatewayMetrics) -> Self {
        Self {
            core: Mutex::new(GatewayCore::new(config.clone(), domain)),
            routes: Mutex::new(None),
            endpoints: Mutex::new(EndpointList::default()),
            sections_in_touch: Mutex::default(),
            store_failing: AtomicBool::new(false),
            reader: watch::Sender::new(false),
            peers_touch: Mutex::default(),
            clock: MonotonicClock::start(),
            config,
            life: LifeStages::new(),
            metrics,
            link: Arc::default(),
            in_flight: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            fetching: AtomicBool::new(false),
            overloaded: AtomicBool::new(false),
        }
    }

    /// The decision core. A panic elsewhere leaves it usable: each change is complete in itself.
    pub fn core(&self) -> MutexGuard<'_, GatewayCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over what an endpoint says of itself in an answer.
    pub fn endpoint_said(&self, entry: &EndpointEntry, words: EndpointAnnouncement) {
        if words == EndpointAnnouncement::default() {
            return;
        }
        let is_news = self
            .core()
            .endpoints
            .apply_announcement(self.clock.now(), entry, words);
        let (key, born) = (&entry.key, entry.born);
        if words.is_leaving {
            self.metrics.endpoint_word("leaving");
        }
        if is_news {
            spdlog::info!("endpoint: key={key} born={born} said=leaving");
        }
        if let Some(pause) = words.pause {
            self.metrics.endpoint_word("pause");
            let pause_ms = pause.as_millis();
            spdlog::info!("endpoint: key={key} born={born} said=pause pause_ms={pause_ms}");
        }
    }

    /// The routes in force; nothing before the first are known.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes.clone()
    }

    /// Puts newer routes in force; whether they are newer.
    ///
    /// Guards against going back: a late answer of the store, or a peer that lags, offers an
    /// older version, by which keys that were taken away would work again.
    pub fn offer_routes(&self, table: Arc<RouteTable>) -> bool {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let known = routes.as_ref().map(|routes| routes.version);
        if known.is_some_and(|known| known >= table.version) {
            return false;
        }
        *routes = Some(table);
        true
    }

    /// Puts what the store says of endpoints in force; whether it is not older than what is known.
    pub fn offer_endpoints(&self, told: RegisteredEndpoints) -> bool {
        let now = self.clock.now();
        self.change_endpoints(now, |list| list.advance(now, told))
    }

    /// Puts in force what another router told of endpoints when it was asked at the moment
    /// `asked`; whether it is not older than what is known.
    pub fn adopt_endpoints(&self, asked: Moment, told: ToldEndpoints) -> bool {
        let now = self.clock.now();
        self.change_endpoints(now, |list| list.adopt(now, asked, told))
    }

    /// Drops kept endpoints whose time is over.
    pub fn end_kept_endpoints(&self, now: Moment) {
        let mut ended = Vec::new();
        self.change_endpoints(now, |list| {
            ended = list.end_kept(now);
            !ended.is_empty()
        });
        for key in ended {
            spdlog::info!("store: key={key} no longer kept");
        }
    }

    /// The store is back, after an outage for all routers that this one knew of since the moment
    /// `since`. Entries that lapsed come back within seconds of the store's return, not of when
    /// this router reached it: what leaves the list later than that has left.
    pub fn store_returned(&self, since: Moment) {
        let now = self.clock.now();
        let returned = self.peers_regained_touch(since).unwrap_or(now).min(now);
        let grace = TimeSpan::from_millis(self.config.lapse_grace_ms);
        self.endpoint_list().store_returned(returned, grace);
    }

    fn endpoint_list(&self) -> MutexGuard<'_, EndpointList> {
        let list = self.endpoints.lock();
        list.unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a change and hands its outcome to the core if there is one; whether there is.
    fn change_endpoints(
        &self,
        now: Moment,
        change: impl FnOnce(&mut EndpointList) -> bool,
    ) -> bool {
        let mut list = self.endpoint_list();
        let is_changed = change(&mut list);
        if is_changed {
            let mut core = self.core();
            core.set_endpoints(now, &list.used());
            for (key, kept) in list.kept() {
                core.endpoints.end_at(key, kept.until);
            }
        }
        is_changed
    }

    /// The endpoints in force.
    #[must_use]
    pub fn endpoints(&self) -> EndpointList {
        self.endpoint_list().clone()
    }

    /// The store's revision that the endpoints in force come from.
    #[must_use]
    pub fn endpoints_revision(&self) -> StoreRevision {
        self.endpoint_list().as_of()
    }

    /// Notes whether this router hears of a section's changes from the store itself.
    pub fn set_in_touch(&self, section: StateSection, in_touch: bool) {
        let sections = self.sections_in_touch.lock();
        let mut sections = sections.unwrap_or_else(PoisonError::into_inner);
        if in_touch {
            sections.insert(section);
        } else {
            sections.remove(&section);
        }
    }

    /// Whether this router hears of all changes from the store itself.
    #[must_use]
    pub fn is_in_touch(&self) -> bool {
        let sections = self.sections_in_touch.lock();
        let sections = sections.unwrap_or_else(PoisonError::into_inner);
        sections.len() == StateSection::ALL.len()
    }

    /// Notes whether the last call to the store gave nothing.
    pub fn set_store_failing(&self, is_failing: bool) {
        self.store_failing.store(is_failing, Ordering::Relaxed);
    }

    /// How this router stands with the store.
    #[must_use]
    pub fn own_touch(&self) -> OwnTouch {
        OwnTouch {
            in_touch: self.is_in_touch(),
            is_failing: self.store_failing.load(Ordering::Relaxed),
        }
    }

    /// Notes whether any other router hears of all changes from the store.
    pub fn note_peers_touch(&self, now: Moment, touched: bool) {
        let touch = self.peers_touch.lock();
        let mut touch = touch.unwrap_or_else(PoisonError::into_inner);
        if touched {
            if touch.touched <= touch.untouched {
                touch.regained = Some(now);
            }
            touch.touched = Some(now);
        } else {
            touch.untouched = Some(now);
        }
    }

    /// Whether at each moment since then another router heard from the store.
    #[must_use]
    pub fn peers_kept_touch(&self, since: Moment) -> bool {
        let touch = self.peers_touch.lock();
        let touch = touch.unwrap_or_else(PoisonError::into_inner);
        let touched = touch.touched.is_some_and(|at| at > since);
        let untouched = touch.untouched.is_some_and(|at| at > since);
        touched && !untouched
    }

    /// When another router heard from the store again, after `since` and a time in which none did.
    fn peers_regained_touch(&self, since: Moment) -> Option<Moment> {
        let touch = self.peers_touch.lock();
        let touch = touch.unwrap_or_else(PoisonError::into_inner);
        let is_touched = touch.touched > touch.untouched;
        touch.regained.filter(|at| is_touched && *at > since)
    }

    /// Decides whether this router reads the store itself.
    pub fn set_reader(&self, reads: bool) {
        self.reader.send_if_modified(|before| {
            let changed = *before != reads;
            *before = reads;
            changed
        });
    }

    /// Whether this router reads the store itself.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        *self.reader.borrow()
    }

    /// Waits until this router has to read the store itself.
    pub async fn reader_wanted(&self) {
        let mut reader = self.reader.subscribe();
        // The sender lives as long as this state, so the wait can't fail.
        let _ = reader.wait_for(|reads| *reads).await;
    }

    /// Whether the published state is being fetched from a peer.
    #[must_use]
    pub fn is_fetching(&self) -> bool {
        self.fetching.load(Ordering::Relaxed)
    }

    /// Notes whether the published state is being fetched from a peer.
    pub fn set_fetching(&self, fetching: bool) {
        self.fetching.store(fetching, Ordering::Relaxed);
    }

    /// Counts a call in flight until the guard is dropped.
    pub fn begin_call(self: &Arc<Self>) -> CallGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        CallGuard {
            shared: Arc::clone(self),
        }
    }

    /// Calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether this router has more work than it can do in time.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.overloaded.load(Ordering::Relaxed)
    }

    /// Notes whether this router has more work than it can do in time.
    pub fn set_overloaded(&self, overloaded: bool) {
        self.overloaded.store(overloaded, Ordering::Relaxed);
    }

    /// Takes memory for a body until the guard is dropped; nothing if there is none left.
    pub fn take_memory(self: &Arc<Self>, bytes: usize) -> Option<MemoryGuard> {
        let before = self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        let guard = MemoryGuard {
            shared: Arc::clone(self),
            bytes,
        };
        (before + bytes <= self.config.body_memory_bytes).then_some(guard)
    }
}

/// A call in flight.
#[derive(Debug)]
pub struct CallGuard {
    shared: Arc<SharedState>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory held by a body.
#[derive(Debug)]
pub struct MemoryGuard {
    shared: Arc<SharedState>,
    bytes: usize,
}

impl MemoryGuard {
    /// Takes more; whether there was enough.
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
