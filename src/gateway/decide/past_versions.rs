//! Which software versions endpoints had before a process's first list, by the store's history.
//!
//! Load pattern: all routers are killed at once, and seconds later the callers of all running streams
//! come back. No process knows the versions from before: after a release the streams of the former
//! version must not go on at the new one, and on all other days every stream can go on, since its
//! service had one version all the while. The store keeps its changes for a time, which is longer
//! than streams last; they tell the two cases apart.
//!
//! An entry whose content from before the history is not known may have named any version of any
//! service. Then nothing is concluded, and streams of unknown origin are refused as before.

use std::collections::BTreeSet;
use std::fmt;

use crate::units::TimeSpan;

use super::super::follow::PastChange;
use super::super::routes::EndpointEntry;
use super::super::routes::EndpointKey;
use super::super::routes::ProcessStartTime;
use super::super::routes::ServiceKey;
use super::super::routes::SoftwareVersion;

/// Least time by which the history has to be longer than streams last: between the read of the list
/// and that of the history.
const HISTORY_MARGIN: TimeSpan = TimeSpan::from_millis(1_000);

/// Largest difference between this host's time of day and that of an endpoint's host: clocks may jump
/// by seconds.
const CLOCK_MARGIN_MS: u64 = 5_000;

/// What is known when the history is judged.
#[derive(Debug, Clone, Copy)]
pub struct HistoryScope {
    /// Time of day, in ms since the Unix epoch.
    pub unix_ms: u64,
    /// Time for which the store keeps its changes.
    pub kept_for: TimeSpan,
    /// Longest time that a stream lasts.
    pub longest_stream: TimeSpan,
}

/// What the history tells of the versions before the first list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PastEvidence {
    /// Endpoints in use had these versions, and those of the list, and no others.
    Complete(BTreeSet<(ServiceKey, SoftwareVersion)>),
    /// There may have been others.
    Incomplete(HistoryGap),
}

/// Why a history does not tell all versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryGap {
    /// The store keeps its changes for less time than streams last.
    TooShort,
    /// This entry was written over or removed, and what it held before is not in the history.
    UnknownContent(EndpointKey),
    /// This endpoint is so new that its registration belongs to the history, but it is missing: the
    /// store has dropped changes sooner than it says.
    MissingRegistration(EndpointKey),
}

impl fmt::Display for HistoryGap {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooShort => formatter.write_str("streams last longer than the history"),
            Self::UnknownContent(key) => write!(formatter, "content of {key} before is unknown"),
            Self::MissingRegistration(key) => write!(formatter, "registration of {key} is missing"),
        }
    }
}

/// Returns what the changes in the store's history, oldest first, and the entries that it lists now tell
/// of the versions before.
#[must_use]
pub fn judge_history<'a>(
    scope: HistoryScope,
    listed: impl Iterator<Item = &'a EndpointEntry>,
    changes: &[PastChange],
) -> PastEvidence {
    if scope.longest_stream.0 + HISTORY_MARGIN.0 > scope.kept_for.0 {
        return PastEvidence::Incomplete(HistoryGap::TooShort);
    }
    let is_new = |born: ProcessStartTime| scope.is_within_history(born);
    let mut seen: BTreeSet<&EndpointKey> = BTreeSet::new();
    let mut versions = BTreeSet::new();
    for change in changes {
        let is_first = seen.insert(&change.key);
        let entry = change.entry.as_ref();
        // The process of an older entry has had the same version all the while.
        let tells_all = change.is_creation || entry.is_some_and(|entry| !is_new(entry.born));
        if is_first && !tells_all {
            let key = change.key.clone();
            return PastEvidence::Incomplete(HistoryGap::UnknownContent(key));
        }
        versions.extend(entry.map(|entry| (entry.service.clone(), entry.software.clone())));
    }
    let mut unseen = listed.filter(|entry| !seen.contains(&entry.key));
    match unseen.find(|entry| is_new(entry.born)) {
        Some(entry) => PastEvidence::Incomplete(HistoryGap::MissingRegistration(entry.key.clone())),
        None => PastEvidence::Complete(versions),
    }
}

impl HistoryScope {
    /// Returns true if a process that started then may have registered within the history.
    fn is_within_history(&self, born: ProcessStartTime) -> bool {
        let kept_ms = self.kept_for.as_millis();
        let oldest = kept_ms.saturating_add(CLOCK_MARGIN_MS);
        born.0 > self.unix_ms.saturating_sub(oldest)
    }
}
