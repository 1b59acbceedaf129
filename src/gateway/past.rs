//! Reads the store's history when this process has started and no older one tells what was listed
//! before: finds the oldest revision that the store still has the changes after, with few calls.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::report::unix_seconds;
use crate::units::TimeSpan;

use super::config::seconds;
use super::decide::past_versions::HistoryScope;
use super::decide::past_versions::PastEvidence;
use super::decide::past_versions::judge_history;
use super::decide::past_versions::slot_bounds;
use super::decide::stable_ranges::ServiceRanges;
use super::decide::version_choice::SlotBounds;
use super::decide::version_choice::stable_ranges;
use super::decide::version_history::ServiceNumber;
use super::endpoint_list::EndpointList;
use super::follow::PastChange;
use super::follow::StateStore;
use super::follow::StoreFault;
use super::follow::StoreRevision;
use super::freshness;
use super::routes::ServiceKey;
use super::routes::SoftwareVersion;
use super::shared::SharedState;

/// Number of attempts to read the history; a store that fails more often is left alone.
const MAX_ATTEMPTS: u32 = 3;

/// Pause between two checks whether the first routes have arrived; they are read at the same time as
/// the endpoints.
const ROUTES_PAUSE: Duration = Duration::from_millis(20);

/// Number of such checks, which together take as long as a slow store's answer.
const MAX_ROUTE_CHECKS: u32 = 25;

/// Learns which versions were listed before this process's first list, which is of `as_of`, unless
/// that is known already, or an older router has tried.
pub async fn learn_past<S: StateStore>(
    store: Arc<S>,
    shared: Arc<SharedState>,
    as_of: StoreRevision,
) {
    let limit = Duration::from_millis(shared.config.store_timeout_ms);
    for _ in 0..MAX_ATTEMPTS {
        let now = shared.clock.now();
        if !shared.core().versions.may_ask_history(now) {
            return;
        }
        // Taken before the history is read, which then holds all registrations of this list.
        let list = shared.endpoints();
        let fault = match timeout(limit, read_history(&*store, as_of)).await {
            Ok(Ok(changes)) => return apply_history(&shared, &list, &changes).await,
            Ok(Err(fault)) => fault.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        spdlog::warn!("store: step=history revision={as_of} fault=\"{fault}\"");
        sleep(Duration::from_millis(shared.config.store_retry_ms)).await;
    }
}

/// Returns the changes of endpoints up to `as_of` that the store still has, oldest first.
///
/// # Errors
/// If the store can't be reached, refuses, or returns an invalid answer.
pub async fn read_history<S: StateStore>(
    store: &S,
    as_of: StoreRevision,
) -> Result<Vec<PastChange>, StoreFault> {
    let mut oldest = Vec::new();
    let mut available = as_of;
    let mut gone: Option<StoreRevision> = None;
    let mut step = 1;
    while let Some(after) = next_probe(available, gone, step) {
        match store.history(after).await {
            Ok(changes) => {
                oldest = changes;
                available = after;
                step *= 2;
            }
            Err(StoreFault::Compacted) => gone = Some(after),
            Err(fault) => return Err(fault),
        }
    }
    Ok(oldest)
}

/// Returns the revision to ask for next: in growing steps until one is gone, then between that and
/// the oldest one that is available.
fn next_probe(
    available: StoreRevision,
    gone: Option<StoreRevision>,
    step: u64,
) -> Option<StoreRevision> {
    let (era, newest) = (available.era(), available.in_era());
    let after = match gone {
        None => newest.checked_sub(step.min(newest).max(1))?,
        Some(gone) if newest - gone.in_era() <= 1 => return None,
        Some(gone) => gone.in_era().midpoint(newest),
    };
    StoreRevision::of_era(era, after)
}

async fn apply_history(shared: &SharedState, list: &EndpointList, changes: &[PastChange]) {
    let scope = HistoryScope {
        unix_ms: unix_seconds() * 1_000,
        kept_for: seconds(shared.config.store_history_s),
        longest_stream: longest_stream(shared).await,
    };
    let as_of = list.as_of();
    let evidence = judge_history(scope, list.registered().values(), changes);
    let count = changes.len();
    match evidence {
        PastEvidence::Complete(versions) => {
            let names = versions.iter();
            let names = names.map(|(service, software)| format!("{service}/{software}"));
            let names = names.collect::<Vec<String>>().join(",");
            spdlog::info!(
                "store: step=history revision={as_of} changes={count} past=known versions={names:?}"
            );
            let bounds = if scope.covers_lists(list_lag(shared)) {
                slot_bounds(list.registered().values(), changes)
            } else {
                BTreeMap::new()
            };
            let now = shared.clock.now();
            let mut core = shared.core();
            core.versions.record_past(now, versions);
            for past in past_ranges(shared, bounds) {
                core.ranges.learn(now, past);
            }
        }
        PastEvidence::Incomplete(gap) => spdlog::info!(
            "store: step=history revision={as_of} changes={count} past=unknown cause=\"{gap}\""
        ),
    }
}

/// Returns the age that a list in use may have: the bound in which a change is in force at all routers.
fn list_lag(shared: &SharedState) -> TimeSpan {
    let bound = freshness::bound(&shared.config);
    TimeSpan(u64::try_from(bound.as_micros()).unwrap_or(u64::MAX))
}

/// Returns which streams began at which versions by these bounds, as to be learned now.
fn past_ranges(
    shared: &SharedState,
    bounds: BTreeMap<ServiceKey, BTreeMap<SoftwareVersion, SlotBounds>>,
) -> impl Iterator<Item = ServiceRanges> {
    let left = TimeSpan::from_millis(shared.config.stream_memory_ms);
    bounds
        .into_iter()
        .map(move |(service, versions)| ServiceRanges {
            service: ServiceNumber::of(&service),
            ranges: stable_ranges(&versions),
            left,
        })
}

/// Returns the longest time that a stream lasts by the routes in force.
async fn longest_stream(shared: &SharedState) -> TimeSpan {
    for _ in 0..MAX_ROUTE_CHECKS {
        if let Some(table) = shared.routes() {
            return table.longest_stream();
        }
        sleep(ROUTES_PAUSE).await;
    }
    TimeSpan::from_millis(shared.config.stream_memory_ms)
}
