//! At which version new streams begin while a service has several, and what a new process computes from
//! a stream's number after all routers were killed.

use std::collections::BTreeMap;
use std::slice::from_ref;

use proptest::prelude::*;
use smol_str::SmolStr;

use verbenaturn::gateway::decide::past_versions::HistoryScope;
use verbenaturn::gateway::decide::past_versions::slot_bounds;
use verbenaturn::gateway::decide::stable_ranges::ServiceRanges;
use verbenaturn::gateway::decide::stable_ranges::StableRanges;
use verbenaturn::gateway::decide::stream_origins::StreamNumber;
use verbenaturn::gateway::decide::version_choice::SlotBounds;
use verbenaturn::gateway::decide::version_choice::StreamPoint;
use verbenaturn::gateway::decide::version_choice::VersionChoice;
use verbenaturn::gateway::decide::version_choice::VersionRanges;
use verbenaturn::gateway::decide::version_choice::ranges_of;
use verbenaturn::gateway::decide::version_choice::stable_ranges;
use verbenaturn::gateway::decide::version_choice::version_at;
use verbenaturn::gateway::decide::version_history::ServiceNumber;
use verbenaturn::gateway::follow::PastChange;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::gateway::routes::ServiceKey;
use verbenaturn::gateway::routes::SoftwareVersion;
use verbenaturn::gateway::stream_messages::RangeEntry;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

const MEMORY: TimeSpan = TimeSpan::from_millis(30_000);

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion(SmolStr::new(text))
}

fn service() -> ServiceKey {
    ServiceKey(SmolStr::new("engine"))
}

/// An engine with eight slots that started at this second.
fn entry(name: &str, software: &str, born_s: u64) -> EndpointEntry {
    EndpointEntry {
        key: EndpointKey(SmolStr::new(name)),
        born: ProcessStartTime(1_000_000 + born_s * 1_000),
        software: version(software),
        service: service(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: SmolStr::new("suva-a"),
        slots: 8,
        state: EndpointState::Ready,
    }
}

fn leaving(entry: EndpointEntry) -> EndpointEntry {
    EndpointEntry {
        state: EndpointState::Leaving,
        ..entry
    }
}

fn registered(entry: EndpointEntry) -> PastChange {
    put(entry, true)
}

fn put(entry: EndpointEntry, is_creation: bool) -> PastChange {
    PastChange {
        key: entry.key.clone(),
        is_creation,
        entry: Some(entry),
    }
}

fn removed(entry: &EndpointEntry) -> PastChange {
    PastChange {
        key: entry.key.clone(),
        is_creation: false,
        entry: None,
    }
}

/// Fewest and most slots of versions `a` and `b`.
fn bounds(listed: &[EndpointEntry], changes: &[PastChange]) -> [(u64, u64); 2] {
    let services = slot_bounds(listed.iter(), changes);
    let versions = services.get(&service()).cloned().unwrap_or_default();
    ["a", "b"].map(|software| {
        let slots = versions.get(&version(software)).copied();
        let SlotBounds { least, most } = slots.unwrap_or_default();
        (least, most)
    })
}

fn slots(versions: &[(&str, u64)]) -> BTreeMap<SoftwareVersion, u64> {
    let versions = versions.iter();
    versions
        .map(|(software, slots)| (version(software), *slots))
        .collect()
}

fn at(ranges: &VersionRanges, point: u32) -> Option<&str> {
    let found = version_at(ranges, StreamPoint(point));
    found.map(|software| software.0.as_str())
}

/// Streams at points from one end to the other.
fn streams() -> impl Iterator<Item = StreamNumber> {
    (0..4_096).map(|number| StreamNumber(number << 52))
}

/// Guards against a version with few endpoints that gets more streams than it can carry.
#[test]
fn versions_get_streams_in_proportion_to_their_slots() {
    let mut choice = VersionChoice::default();
    let entries = [
        entry("e1", "b", 0),
        entry("e2", "b", 0),
        entry("e3", "b", 0),
        entry("e4", "a", 0),
        leaving(entry("e5", "a", 0)),
    ];
    choice.set_list(entries.iter());
    let chosen = streams().map(|stream| choice.version_of(&service(), stream, |_| true));
    let count = chosen.filter(|software| *software == Some(version("a")));
    assert_eq!(count.count(), 1_024);
}

/// Guards against calls that are kept from endpoints on days with one version.
#[test]
fn a_service_with_one_version_leaves_the_choice_free() {
    let mut choice = VersionChoice::default();
    choice.set_list([entry("e1", "a", 0)].iter());
    let chosen = choice.version_of(&service(), StreamNumber(7), |_| true);
    assert_eq!(chosen, None);
}

/// Guards against streams that are refused as the last endpoints of a version leave: they said so
/// themselves, and the list with their removal is still to come.
#[test]
fn a_version_that_leaves_passes_its_streams_on() {
    let mut choice = VersionChoice::default();
    choice.set_list([entry("e1", "a", 0), entry("e2", "b", 0)].iter());
    let stays = |software: &SoftwareVersion| *software == version("b");
    let mut chosen = streams().map(|stream| choice.version_of(&service(), stream, stays));
    assert!(chosen.all(|software| software == Some(version("b"))));
}

/// Guards against a boundary that moves more than the slots do: of three engines of each version, one
/// of the first is replaced by one of the second.
#[test]
fn one_replaced_engine_moves_its_part_of_the_streams_only() {
    let before = ranges_of(&slots(&[("a", 24), ("b", 24)]));
    let after = ranges_of(&slots(&[("a", 16), ("b", 32)]));
    let moved = streams().filter(|stream| {
        let point = StreamPoint::of(*stream).0;
        at(&before, point) != at(&after, point)
    });
    assert_eq!(moved.count(), 682);
}

proptest! {
    /// Guards against a stream that counts as begun at another version than it did: for all lists within
    /// the bounds, a point of a stable range belongs to its version.
    #[test]
    fn stable_points_belong_to_their_version_by_every_list(
        versions in prop::collection::vec((0_u64..64, 0_u64..64, 0_u64..=64), 1..5),
        points in prop::collection::vec(any::<u32>(), 32),
    ) {
        let mut bounds = BTreeMap::new();
        let mut listed = BTreeMap::new();
        for (index, (least, more, part)) in versions.iter().enumerate() {
            let software = version(&format!("v{index}"));
            let most = least + more;
            bounds.insert(software.clone(), SlotBounds { least: *least, most });
            listed.insert(software, least + more * part / 64);
        }
        let (stable, exact) = (stable_ranges(&bounds), ranges_of(&listed));
        let ends = stable.values().flat_map(|range| [range.first, range.last]);
        for point in points.into_iter().chain(ends) {
            if let Some(software) = at(&stable, point) {
                prop_assert_eq!(Some(software), at(&exact, point));
            }
        }
    }

    /// Guards against points that no version has, or two have.
    #[test]
    fn every_point_belongs_to_a_version_with_slots(
        versions in prop::collection::vec(0_u64..64, 1..5),
        point: u32,
    ) {
        let listed: BTreeMap<_, _> = versions
            .iter()
            .enumerate()
            .map(|(index, slots)| (version(&format!("v{index}")), *slots))
            .collect();
        let ranges = ranges_of(&listed);
        let having = ranges.iter().filter(|(_, range)| range.contains(StreamPoint(point)));
        let having: Vec<_> = having.map(|(software, _)| software).collect();
        let has_slots = listed.values().any(|slots| *slots > 0);
        prop_assert_eq!(having.len(), usize::from(has_slots));
        prop_assert!(having.iter().all(|software| listed[*software] > 0));
    }
}

/// Guards against streams that are refused on a quiet day of two versions, whose engines write again
/// what they wrote before.
#[test]
fn entries_that_are_only_written_again_have_one_count() {
    let engines = [entry("e1", "a", 0), entry("e2", "b", 0)];
    let beats = engines.clone().map(|engine| put(engine, false));
    assert_eq!(bounds(&engines, &beats), [(8, 8), (8, 8)]);
    assert_eq!(bounds(&engines, &[]), [(8, 8), (8, 8)]);
}

/// Guards against a version that is computed from the list of now in a release: what was listed before
/// counts too, also endpoints that were listed for a while only, or are leaving.
#[test]
fn all_lists_of_the_history_count() {
    let (old, new) = (entry("e1", "a", 0), entry("e2", "b", 60));
    let beat = put(old.clone(), false);
    let joined = [beat.clone(), registered(new.clone())];
    assert_eq!(
        bounds(&[old.clone(), new.clone()], &joined),
        [(8, 8), (0, 8)]
    );
    let left = [
        beat.clone(),
        registered(new.clone()),
        put(leaving(old.clone()), false),
        removed(&old),
    ];
    assert_eq!(bounds(from_ref(&new), &left), [(0, 8), (0, 8)]);
    let back = [beat, registered(new.clone()), removed(&new)];
    assert_eq!(bounds(from_ref(&old), &back), [(8, 8), (0, 8)]);
    let leaves = [put(leaving(old.clone()), false)];
    assert_eq!(bounds(&[leaving(old), new], &leaves), [(0, 8), (8, 8)]);
}

/// Guards against an endpoint that is used for a while after its entry lapsed, beside one that came in
/// its place.
#[test]
fn entries_that_were_never_listed_together_may_have_been_used_together() {
    let (first, second) = (entry("e1", "b", 0), entry("e2", "b", 60));
    let other = entry("e3", "a", 0);
    let changes = [
        put(first.clone(), false),
        removed(&first),
        registered(second.clone()),
    ];
    assert_eq!(bounds(&[other, second], &changes), [(8, 8), (0, 16)]);
}

/// Guards against a fleet of two versions that has just started and counts as one in a release.
#[test]
fn the_lists_while_a_service_starts_do_not_count() {
    let engines = [
        entry("e1", "a", 0),
        entry("e2", "a", 0),
        entry("e3", "b", 1),
    ];
    let starts = engines.clone().map(registered);
    assert_eq!(bounds(&engines, &starts), [(16, 16), (8, 8)]);
}

/// Guards against a release that counts as a start: the new version's engines started later, after a
/// heartbeat of the old ones, or say nothing of their start.
#[test]
fn the_lists_of_a_release_soon_after_a_start_count() {
    let old = entry("e1", "a", 0);
    let late = [old.clone(), entry("e2", "b", 2)];
    let changes = late.clone().map(registered);
    assert_eq!(bounds(&late, &changes), [(8, 8), (0, 8)]);

    let soon = entry("e2", "b", 1);
    let changes = [
        registered(old.clone()),
        put(old.clone(), false),
        registered(soon.clone()),
    ];
    assert_eq!(bounds(&[old.clone(), soon], &changes), [(8, 8), (0, 8)]);

    let mut unknown = [old, entry("e2", "b", 0)];
    for engine in &mut unknown {
        engine.born = ProcessStartTime::default();
    }
    let changes = unknown.clone().map(registered);
    assert_eq!(bounds(&unknown, &changes), [(0, 8), (0, 8)]);
}

/// Guards against a history that ends before the oldest list that a running stream may have begun by.
#[test]
fn a_history_has_to_cover_the_lists_that_late_routers_use() {
    let mut scope = HistoryScope {
        unix_ms: 0,
        kept_for: TimeSpan::from_millis(20_000),
        longest_stream: TimeSpan::from_millis(15_000),
    };
    let lag = TimeSpan::from_millis(2_000);
    assert!(scope.covers_lists(lag));
    scope.longest_stream = TimeSpan::from_millis(18_000);
    assert!(!scope.covers_lists(lag));
}

fn told(ranges: VersionRanges) -> ServiceRanges {
    ServiceRanges {
        service: ServiceNumber::of(&service()),
        ranges,
        left: MEMORY,
    }
}

/// A router with two versions of equal parts that knows of no other list before.
fn equal_parts() -> StableRanges {
    let equal = ranges_of(&slots(&[("a", 24), ("b", 24)]));
    let mut ranges = StableRanges::default();
    ranges.record_list(Moment(0), &BTreeMap::from([(service(), equal.clone())]));
    ranges.learn(Moment(0), told(equal));
    ranges
}

fn count_known(ranges: &StableRanges, now: Moment, software: &str) -> usize {
    let known = streams().filter_map(|stream| ranges.version_of(now, &service(), stream));
    known.filter(|known| *known == version(software)).count()
}

/// Guards against streams that count as begun at a version by the lists before this process alone: lists
/// have moved since, and a stream may have begun by them too.
#[test]
fn lists_since_a_start_leave_fewer_streams_known() {
    let mut ranges = equal_parts();
    assert_eq!(count_known(&ranges, Moment(1), "a"), 2_048);
    assert_eq!(count_known(&ranges, Moment(1), "b"), 2_048);
    for (a, b) in [(24, 72), (24, 24)] {
        let listed = ranges_of(&slots(&[("a", a), ("b", b)]));
        ranges.record_list(Moment(2), &BTreeMap::from([(service(), listed)]));
    }
    assert_eq!(count_known(&ranges, Moment(3), "a"), 1_024);
    assert_eq!(count_known(&ranges, Moment(3), "b"), 2_048);
}

/// Guards against a version that is unknown to the lists before, and against knowledge that is kept for
/// longer than streams may be resumed.
#[test]
fn a_version_that_joins_after_a_start_and_old_knowledge_do_not_count() {
    let mut ranges = equal_parts();
    let listed = ranges_of(&slots(&[("a", 24), ("b", 24), ("c", 24)]));
    ranges.record_list(Moment(2), &BTreeMap::from([(service(), listed)]));
    assert_eq!(count_known(&ranges, Moment(3), "c"), 0);
    let later = Moment(0) + MEMORY;
    assert_eq!(count_known(&ranges, later, "a"), 0);
}

/// Guards against a process that has seen a list since its start, and nothing of those before.
#[test]
fn without_the_lists_before_nothing_is_known() {
    let mut ranges = StableRanges::default();
    let listed = ranges_of(&slots(&[("a", 24), ("b", 24)]));
    ranges.record_list(Moment(0), &BTreeMap::from([(service(), listed)]));
    assert_eq!(count_known(&ranges, Moment(1), "a"), 0);
}

/// Guards against a router that reads no store and refuses what those that read it let go on.
#[test]
fn other_routers_learn_it_from_messages() {
    let teller = equal_parts();
    let services = [ServiceNumber::of(&service())].into_iter();
    let report = RangeEntry::encode_all(&teller.to_report(Moment(1), services));
    let mut ranges = StableRanges::default();
    let listed = ranges_of(&slots(&[("a", 24), ("b", 24)]));
    ranges.record_list(Moment(0), &BTreeMap::from([(service(), listed)]));
    for told in RangeEntry::decode_all(&report) {
        ranges.learn(Moment(2), told);
    }
    assert_eq!(count_known(&ranges, Moment(3), "a"), 2_048);
    assert_eq!(count_known(&ranges, Moment(3), "b"), 2_048);
}
