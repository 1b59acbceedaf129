//! Follows the published state, routes and endpoints, in a store that is only read.

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::units::Moment;

use super::endpoint_view::EndpointView;
use super::freshness::watch_wait;
use super::past::learn_past;
use super::routes::EndpointEntry;
use super::routes::EndpointKey;
use super::routes::RouteTable;
use super::shared::SharedState;

/// A part of the published state that is read and watched separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateSection {
    /// Routes, services, teams and limits.
    Routes,
    /// Endpoints.
    Endpoints,
}

impl StateSection {
    /// All sections.
    pub const ALL: [Self; 2] = [Self::Routes, Self::Endpoints];
}

impl fmt::Display for StateSection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Routes => "routes",
            Self::Endpoints => "endpoints",
        })
    }
}

/// A revision of the store, which grows with each change.
///
/// The store may be restored from an older copy. Its revisions then go back, and it counts the
/// restores as eras, which are the high bits of this number: every revision of a later era is newer
/// than all of an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreRevision(pub u64);

/// Bits of a revision within an era: a million changes a second for 12 days.
const REVISION_BITS: u32 = 40;

impl StoreRevision {
    /// Returns a revision of an era; `None` if either number is too large.
    #[must_use]
    pub fn of_era(era: u64, revision: u64) -> Option<Self> {
        let fits = era >> (u64::BITS - REVISION_BITS) == 0 && revision >> REVISION_BITS == 0;
        fits.then_some(Self(era << REVISION_BITS | revision))
    }

    /// Returns the era; 0 if the store counts none.
    #[must_use]
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Returns the store's own number of the revision.
    #[must_use]
    pub fn in_era(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => self.0.fmt(formatter),
            era => write!(formatter, "{era}.{}", self.in_era()),
        }
    }
}

/// One published item.
#[derive(Debug, Clone, PartialEq)]
pub enum StateItem {
    /// The route table.
    Routes(Box<RouteTable>),
    /// An endpoint's entry.
    Endpoint(EndpointEntry),
    /// An entry that doesn't describe a usable endpoint: it was written by something else or can't
    /// be parsed.
    Unusable(EndpointKey),
}

/// One change of the published state.
#[derive(Debug, Clone, PartialEq)]
pub enum StateChange {
    /// An item was added or updated.
    Put(StateItem),
    /// An endpoint's registration was removed.
    Removed(EndpointKey),
}

/// The content of a section at a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct StateSnapshot {
    /// The published items.
    pub items: Vec<StateItem>,
    /// The store's revision.
    pub as_of: StoreRevision,
}

/// The changes of a section after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct StateChanges {
    /// The changes, in order.
    pub changes: Vec<StateChange>,
    /// The revision after which the next watch starts.
    pub as_of: StoreRevision,
}

/// A change in the store's history of an endpoint's entry.
#[derive(Debug, Clone, PartialEq)]
pub struct PastChange {
    /// The endpoint.
    pub key: EndpointKey,
    /// True if the store had no entry of that name before.
    pub is_creation: bool,
    /// What it held since; `None` if it was removed, or named no endpoint to use.
    pub entry: Option<EndpointEntry>,
}

/// The reason why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreFault {
    /// The store has compacted the changes after the requested revision. This is not an outage: the
    /// section is read again at once.
    Compacted,
    /// The store was not reached, refused the call, or returned an invalid answer.
    Unavailable(String),
}

impl fmt::Display for StoreFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => formatter.write_str("history is gone"),
            Self::Unavailable(cause) => formatter.write_str(cause),
        }
    }
}

/// Read access to a deployment's store.
pub trait StateStore: Send + Sync + 'static {
    /// Reads a whole section.
    ///
    /// # Errors
    /// If the store can't be reached, refuses, or returns an invalid answer.
    fn read(
        &self,
        section: StateSection,
    ) -> impl Future<Output = Result<StateSnapshot, StoreFault>> + Send;

    /// Waits up to `wait` for changes after a revision.
    ///
    /// # Errors
    /// As for [`Self::read`], and if the store has compacted that revision.
    fn watch(
        &self,
        section: StateSection,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<StateChanges, StoreFault>> + Send;

    /// Returns the changes of endpoints after a revision, oldest first.
    ///
    /// # Errors
    /// As for [`Self::watch`].
    fn history(
        &self,
        after: StoreRevision,
    ) -> impl Future<Output = Result<Vec<PastChange>, StoreFault>> + Send;
}

/// Time after a watch's own wait at which its connection counts as dead. Even a store that is fifty
/// times slower than usual answers within 0.2 s.
pub const WATCH_SLACK: Duration = Duration::from_millis(500);

/// Longest pause between retries of a failed call, as a multiple of the first pause. Calls are
/// billed and count towards the store's rate limit also while the store is down.
const MAX_PAUSE_FACTOR: u32 = 5;

/// The state of following one section.
struct SectionFollower<S> {
    store: Arc<S>,
    shared: Arc<SharedState>,
    section: StateSection,
    endpoints: EndpointView,
    /// When the current run of failures began.
    failing_since: Option<Moment>,
    /// Number of consecutive failures.
    failures: u32,
}

/// Follows one section until the process ends. Pauses while this router is not one of the store's
/// readers.
pub async fn follow_section<S: StateStore>(
    store: Arc<S>,
    shared: Arc<SharedState>,
    section: StateSection,
) {
    let mut follower = SectionFollower {
        store,
        shared,
        section,
        endpoints: EndpointView::default(),
        failing_since: None,
        failures: 0,
    };
    loop {
        if !follower.shared.is_reader() {
            follower.stopped_reading();
            follower.shared.wait_until_reader().await;
        }
        if let Some(as_of) = follower.read().await {
            if section == StateSection::Endpoints {
                let (store, shared) = (Arc::clone(&follower.store), Arc::clone(&follower.shared));
                tokio::spawn(learn_past(store, shared, as_of));
            }
            follower.watch_from(as_of).await;
        }
        follower.shared.set_in_touch(section, false);
    }
}

impl<S: StateStore> SectionFollower<S> {
    /// Forgets failures when other routers take over reading the store: this router doesn't see the
    /// end of the outage, so it can't conclude which registrations lapsed during it.
    fn stopped_reading(&mut self) {
        self.failing_since = None;
        self.failures = 0;
        self.shared.set_store_failing(false);
    }

    async fn read(&mut self) -> Option<StoreRevision> {
        let limit = Duration::from_millis(self.shared.config.store_timeout_ms);
        let read = timeout(limit, self.store.read(self.section)).await;
        let snapshot = match read {
            Ok(Ok(snapshot)) => snapshot,
            Ok(Err(fault)) => return self.failed("read", &fault).await,
            Err(_) => return self.failed("read", &no_answer()).await,
        };
        self.reached();
        if self.section == StateSection::Endpoints {
            let in_force = self.shared.endpoints().registered().clone();
            self.endpoints.reset_to(in_force);
        }
        let as_of = snapshot.as_of;
        let mut registered = BTreeMap::new();
        for item in snapshot.items {
            match item {
                StateItem::Routes(table) => self.offer(*table),
                StateItem::Endpoint(entry) => {
                    registered.insert(entry.key.clone(), entry);
                }
                StateItem::Unusable(key) => self.endpoints.discard(&key),
            }
        }
        if self.section == StateSection::Endpoints {
            let now = self.shared.clock.now();
            self.endpoints.replace(now, registered);
            self.publish_endpoints(as_of);
        }
        Some(as_of)
    }

    async fn watch_from(&mut self, mut after: StoreRevision) {
        let longest = watch_wait(&self.shared.config);
        let batch = Duration::from_millis(self.shared.config.endpoint_batch_ms);
        let mut wait = longest;
        while self.shared.is_reader() {
            let limit = wait + WATCH_SLACK;
            let follows_endpoints = self.section == StateSection::Endpoints;
            let is_check = wait == Duration::ZERO;
            // A dead connection shows only by the missing answer.
            let watch = timeout(limit, self.store.watch(self.section, after, wait));
            let watch = tokio::select! {
                biased;
                watch = watch => watch,
                () = self.shared.list_check_requested(), if follows_endpoints && !is_check => {
                    wait = Duration::ZERO;
                    continue;
                }
            };
            let changes = match watch {
                Ok(Ok(changes)) => changes,
                Ok(Err(StoreFault::Compacted)) => {
                    spdlog::info!("store: section={} step=watch history is gone", self.section);
                    return;
                }
                Ok(Err(fault)) => {
                    self.failed("watch", &fault).await;
                    return;
                }
                Err(_) => {
                    self.failed("watch", &no_answer()).await;
                    return;
                }
            };
            self.reached();
            after = after.max(changes.as_of);
            let has_changes = !changes.changes.is_empty();
            self.apply(changes, after);
            self.confirm_list();
            wait = longest;
            if is_check || has_changes && follows_endpoints {
                sleep(batch).await;
                // The pause counts as a part of the next wait, whose length bounds how late a lost
                // connection shows.
                wait = longest.saturating_sub(batch);
            }
        }
    }

    /// Tells calls that wait for it that the endpoint list is the store's of now.
    fn confirm_list(&self) {
        if self.section == StateSection::Endpoints {
            self.shared.confirm_list();
        }
    }

    /// Applies the changes of a watch. A change of routes does not put the endpoints in force anew.
    fn apply(&mut self, changes: StateChanges, as_of: StoreRevision) {
        let now = self.shared.clock.now();
        let mut is_new = false;
        for change in changes.changes {
            match change {
                StateChange::Put(StateItem::Routes(table)) => self.offer(*table),
                StateChange::Put(StateItem::Endpoint(entry)) => {
                    self.endpoints.put(now, entry);
                    is_new = true;
                }
                StateChange::Put(StateItem::Unusable(key)) => {
                    self.endpoints.discard(&key);
                    is_new = true;
                }
                StateChange::Removed(key) => {
                    self.endpoints.remove(now, &key);
                    is_new = true;
                }
            }
        }
        if is_new {
            self.publish_endpoints(as_of);
        }
    }

    fn offer(&self, table: RouteTable) {
        let version = table.version;
        let rate = table.limits.tokens_per_s;
        if self.shared.offer_routes(Arc::new(table)) {
            spdlog::info!(
                "store: routes version={version} in force source=store tokens_per_s={rate}"
            );
        }
    }

    /// Puts the endpoints read from the store in force.
    fn publish_endpoints(&self, as_of: StoreRevision) {
        let is_newest = self.shared.offer_endpoints(self.endpoints.at(as_of));
        let now = self.shared.clock.now();
        let summary = self.shared.endpoints().summary(now);
        let reads = self.shared.is_reader();
        if is_newest {
            spdlog::info!("store: {summary} source=store reads_store={reads}");
        } else {
            spdlog::info!("store: read_revision={as_of} is older, in force: {summary}");
        }
    }

    fn reached(&mut self) {
        let now = self.shared.clock.now();
        self.shared.set_in_touch(self.section, true);
        self.shared.set_store_failing(false);
        self.failures = 0;
        if let Some(since) = self.failing_since.take() {
            let outage = now.since(since);
            let (section, ms) = (self.section, outage.as_millis());
            let alone = self.failed_alone(since);
            spdlog::info!("store: section={section} reached again after_ms={ms} alone={alone}");
            // A failure to read routes says nothing about registrations.
            if !alone && section == StateSection::Endpoints {
                self.shared.outage_ended(since);
            }
        }
    }

    /// Returns true if only this router lost the store: other routers were in contact with it all
    /// the time, so no registration lapsed because of an outage. A router that regained contact
    /// just before this one does not count as evidence, see [`SharedState::peers_kept_contact`].
    fn failed_alone(&self, since: Moment) -> bool {
        self.shared.peers_kept_contact(since)
    }

    /// Records a failed call and pauses before the next one. Always returns `None`, so that
    /// [`Self::read`] can return it.
    async fn failed(&mut self, step: &str, fault: &StoreFault) -> Option<StoreRevision> {
        let section = self.section;
        self.shared.set_in_touch(section, false);
        self.shared.set_store_failing(true);
        if self.failing_since.is_none() {
            self.failing_since = Some(self.shared.clock.now());
            spdlog::warn!("store: section={section} step={step} lost fault=\"{fault}\"");
        }
        self.shared.metrics.store_failure();
        let pause = Duration::from_millis(self.shared.config.store_retry_ms);
        let pauses = MAX_PAUSE_FACTOR.min(1 << self.failures.min(8));
        self.failures += 1;
        let factor = rand::rng().random_range(1.0..2.0);
        sleep(pause.mul_f64(factor) * pauses).await;
        None
    }
}

fn no_answer() -> StoreFault {
    StoreFault::Unavailable("no answer in time".to_owned())
}
