//! What a new process concludes from the store's history of the versions before its first list.

use std::collections::BTreeSet;
use std::slice::from_ref;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol_str::SmolStr;

use verbenaturn::gateway::decide::past_versions::HistoryGap;
use verbenaturn::gateway::decide::past_versions::HistoryScope;
use verbenaturn::gateway::decide::past_versions::PastEvidence;
use verbenaturn::gateway::decide::past_versions::judge_history;
use verbenaturn::gateway::decide::version_history::PastReport;
use verbenaturn::gateway::decide::version_history::VersionHistory;
use verbenaturn::gateway::follow::PastChange;
use verbenaturn::gateway::follow::StateChanges;
use verbenaturn::gateway::follow::StateSection;
use verbenaturn::gateway::follow::StateSnapshot;
use verbenaturn::gateway::follow::StateStore;
use verbenaturn::gateway::follow::StoreFault;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::gateway::past::read_history;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::gateway::routes::ServiceKey;
use verbenaturn::gateway::routes::SoftwareVersion;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

/// Time of day of the tests, in ms.
const TODAY_MS: u64 = 1_800_000_000_000;
const SCOPE: HistoryScope = HistoryScope {
    unix_ms: TODAY_MS,
    kept_for: TimeSpan::from_millis(20_000),
    longest_stream: TimeSpan::from_millis(15_000),
};

fn key(name: &str) -> EndpointKey {
    EndpointKey(SmolStr::new(name))
}

/// An entry of an engine that started this many seconds ago.
fn entry(name: &str, software: &str, age_s: u64) -> EndpointEntry {
    EndpointEntry {
        key: key(name),
        born: ProcessStartTime(TODAY_MS - age_s * 1_000),
        software: SoftwareVersion(SmolStr::new(software)),
        service: ServiceKey(SmolStr::new("engine")),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: SmolStr::new("suva-a"),
        slots: 8,
        state: EndpointState::Ready,
    }
}

fn put(entry: EndpointEntry, is_creation: bool) -> PastChange {
    PastChange {
        key: entry.key.clone(),
        is_creation,
        entry: Some(entry),
    }
}

fn removed(name: &str) -> PastChange {
    PastChange {
        key: key(name),
        is_creation: false,
        entry: None,
    }
}

fn judge(listed: &[EndpointEntry], changes: &[PastChange]) -> PastEvidence {
    judge_history(SCOPE, listed.iter(), changes)
}

fn versions(names: &[&str]) -> PastEvidence {
    let names = names.iter().map(|name| {
        let service = ServiceKey(SmolStr::new("engine"));
        (service, SoftwareVersion(SmolStr::new(name)))
    });
    PastEvidence::Complete(names.collect())
}

/// Guards against refusing the streams of a quiet day: no change in the history, old engines.
#[test]
fn a_history_without_changes_of_old_engines_is_complete() {
    let listed = [entry("a", "1", 60), entry("b", "1", 26)];
    assert_eq!(judge(&listed, &[]), versions(&[]));
}

/// Guards against a release that is taken for a day with one version: the former engines are gone from
/// the list, but their registrations are in the history.
#[test]
fn versions_that_registered_and_left_within_the_history_are_known() {
    let (old, new) = (entry("a", "1", 18), entry("b", "2", 4));
    let changes = [put(old, true), put(new.clone(), true), removed("a")];
    assert_eq!(judge(&[new], &changes), versions(&["1", "2"]));
}

/// Guards against a release whose former engines registered before the history began: an entry of
/// unknown content was removed.
#[test]
fn a_removed_entry_of_unknown_content_leaves_the_past_unknown() {
    let new = entry("b", "2", 4);
    let changes = [put(new.clone(), true), removed("a")];
    let unknown = PastEvidence::Incomplete(HistoryGap::UnknownContent(key("a")));
    assert_eq!(judge(&[new], &changes), unknown);
}

/// Guards against an endpoint that starts again under its name at another version: what its entry held
/// before is not in the history.
#[test]
fn an_entry_of_a_new_process_that_was_written_over_leaves_the_past_unknown() {
    let again = entry("a", "2", 4);
    let unknown = PastEvidence::Incomplete(HistoryGap::UnknownContent(key("a")));
    assert_eq!(
        judge(from_ref(&again), &[put(again.clone(), false)]),
        unknown
    );
    let leaving = EndpointEntry {
        state: EndpointState::Leaving,
        ..entry("a", "1", 60)
    };
    assert_eq!(
        judge(from_ref(&leaving), &[put(leaving.clone(), false)]),
        versions(&["1"])
    );
}

/// Guards against a store that has dropped its history in a release: the new engines' registrations
/// are missing, and with them the former engines' removals.
#[test]
fn a_history_without_the_registration_of_a_new_engine_leaves_the_past_unknown() {
    for age_s in [4, 19, 24] {
        let new = entry("b", "2", age_s);
        let unknown = PastEvidence::Incomplete(HistoryGap::MissingRegistration(key("b")));
        assert_eq!(judge(&[new], &[]), unknown, "{age_s} s");
    }
}

/// Guards against a conclusion from a history that ends before the oldest stream began.
#[test]
fn a_history_shorter_than_streams_leaves_the_past_unknown() {
    for (kept_s, longest_s) in [(0, 15), (15, 15), (20, 60)] {
        let scope = HistoryScope {
            kept_for: TimeSpan::from_millis(kept_s * 1_000),
            longest_stream: TimeSpan::from_millis(longest_s * 1_000),
            ..SCOPE
        };
        let evidence = judge_history(scope, [].iter(), &[]);
        assert_eq!(evidence, PastEvidence::Incomplete(HistoryGap::TooShort));
    }
}

/// Guards against a past that stays unknown, or a second version in it that is forgotten.
#[test]
fn a_recorded_past_is_known_and_its_second_version_counts() {
    let now = Moment(1_000_000);
    let engine = entry("a", "1", 60);
    for (second, is_mixed) in [(None, false), (Some("2"), true)] {
        let mut history = VersionHistory::with_unknown_past(TimeSpan::from_millis(30_000));
        history.record_list(now, [(&engine.service, &engine.software)].into_iter());
        assert!(history.is_mixed(now, &engine.service));
        let past = second.map(|name| (engine.service.clone(), entry("b", name, 9).software));
        history.record_past(now, past.into_iter().collect::<BTreeSet<_>>());
        assert_eq!(history.past_unknown_for(now), Some(TimeSpan(0)));
        assert_eq!(history.is_mixed(now, &engine.service), is_mixed);
    }
}

/// Guards against a new process that overrides what older routers say: they have found the past unknown,
/// and since then the store has dropped the changes that showed it.
#[test]
fn the_history_is_not_asked_if_an_older_router_has_tried() {
    let (now, memory) = (Moment(1_000_000), TimeSpan::from_millis(30_000));
    let engine = entry("a", "1", 60);
    for (older_left_ms, may_ask) in [(30_000, true), (28_000, true), (22_000, false), (0, false)] {
        let mut history = VersionHistory::with_unknown_past(memory);
        assert!(!history.may_ask_history(now));
        history.record_list(now, [(&engine.service, &engine.software)].into_iter());
        let report = PastReport {
            list: StoreRevision(7),
            left: TimeSpan::from_millis(older_left_ms),
        };
        history.apply_past_report(now, StoreRevision(7), report);
        assert_eq!(history.may_ask_history(now), may_ask, "{older_left_ms} ms");
    }
}

/// A store with one change per revision that keeps those after `oldest`.
struct KeptHistory {
    oldest: u64,
    calls: AtomicUsize,
}

impl StateStore for KeptHistory {
    async fn read(&self, _: StateSection) -> Result<StateSnapshot, StoreFault> {
        Err(StoreFault::Unavailable("not read".to_owned()))
    }

    async fn watch(
        &self,
        _: StateSection,
        _: StoreRevision,
        _: Duration,
    ) -> Result<StateChanges, StoreFault> {
        Err(StoreFault::Unavailable("not watched".to_owned()))
    }

    async fn history(&self, after: StoreRevision) -> Result<Vec<PastChange>, StoreFault> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if after.in_era() < self.oldest {
            return Err(StoreFault::Compacted);
        }
        let revisions = after.in_era() + 1..=NEWEST;
        Ok(revisions.map(|n| removed(&n.to_string())).collect())
    }
}

/// The store's revision in the tests of the search.
const NEWEST: u64 = 5_000;

/// Guards against a part of the history that is not read, or one that costs many calls: all routers
/// that read the store do this at the same time after all were killed.
#[tokio::test]
async fn the_whole_history_is_found_with_few_calls() {
    for (era, oldest) in [(0, 0), (0, 1), (3, 4_000), (1, 4_999), (1, 5_000)] {
        let store = KeptHistory {
            oldest,
            calls: AtomicUsize::new(0),
        };
        let as_of = StoreRevision::of_era(era, NEWEST).unwrap();
        let changes = read_history(&store, as_of).await.unwrap();
        assert_eq!(changes.len() as u64, NEWEST - oldest);
        let calls = store.calls.load(Ordering::Relaxed);
        // Twice the binary logarithm of the history's length, and two.
        assert!(calls <= 28, "{calls} calls");
    }
}
