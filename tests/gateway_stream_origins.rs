//! What a router knows of where streams began, and what it tells others, without a network.

mod engines;

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;

use prost::Message;
use smol_str::SmolStr;

use verbenaturn::gateway::decide::stream_deposits::DepositorProcess;
use verbenaturn::gateway::decide::stream_deposits::StreamDeposits;
use verbenaturn::gateway::decide::stream_origins::AskedAnswers;
use verbenaturn::gateway::decide::stream_origins::ListStatus;
use verbenaturn::gateway::decide::stream_origins::Location;
use verbenaturn::gateway::decide::stream_origins::StreamNumber;
use verbenaturn::gateway::decide::stream_origins::StreamOrigins;
use verbenaturn::gateway::decide::stream_origins::StreamStart;
use verbenaturn::gateway::decide::stream_origins::holders;
use verbenaturn::gateway::decide::version_history::PastReport;
use verbenaturn::gateway::decide::version_history::ServiceNumber;
use verbenaturn::gateway::decide::version_history::VersionHistory;
use verbenaturn::gateway::digest::RouterDigest;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::gateway::origin_exchange::deputies_of;
use verbenaturn::gateway::origin_exchange::tell_holders;
use verbenaturn::gateway::peer_table::PeerTable;
use verbenaturn::gateway::routes::ServiceKey;
use verbenaturn::gateway::routes::SoftwareVersion;
use verbenaturn::gateway::stream_messages::BegunStreams;
use verbenaturn::units::TimeSpan;

use crate::engines::ms;
use crate::engines::nadi;
use crate::engines::service;

/// Time for which a stream may be resumed, in ms.
const MEMORY_MS: u64 = 30_000;

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion(SmolStr::new(text))
}

fn history() -> VersionHistory {
    VersionHistory::new(TimeSpan::from_millis(MEMORY_MS))
}

fn origins() -> StreamOrigins {
    StreamOrigins::new(TimeSpan::from_millis(MEMORY_MS))
}

/// Records a list with these versions of the service.
fn list(history: &mut VersionHistory, now: u64, versions: &[&str]) {
    let service = service();
    let versions: Vec<SoftwareVersion> = versions.iter().map(|text| version(text)).collect();
    let listed = versions.iter().map(|software| (&service, software));
    history.record_list(ms(now), listed);
}

/// The number of the stream that began with the call of this id.
fn stream(id: &str) -> StreamNumber {
    StreamNumber::of(id, Some(&nadi()))
}

fn start(software: &str) -> StreamStart {
    StreamStart {
        service: ServiceNumber::of(&service()),
        software: version(software),
    }
}

fn locate(
    origins: &StreamOrigins,
    history: &VersionHistory,
    now: u64,
    id: &str,
    list: ListStatus,
) -> Location {
    origins.locate(ms(now), history, &service(), Some(stream(id)), list)
}

fn router(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 1, 0, number))
}

/// On a day with one version nothing is told, and a stream that nobody recorded is of that version.
#[test]
fn one_version_needs_no_records_of_others() {
    let (mut history, mut origins) = (history(), origins());
    list(&mut history, 0, &["a"]);
    origins.begin(ms(1), stream("x"), &service(), &version("a"));
    assert!(origins.take_untold(ms(2), &history, 10).is_empty());
    let known = locate(&origins, &history, 3, "elsewhere", ListStatus::Latest);
    assert_eq!(known, Location::OnlyVersion(version("a")));
    assert!(history.to_report(ms(3)).is_empty());
}

/// Guards against streams that nobody remembers because they began before there was a reason to: when
/// a release begins, those that still run are told.
#[test]
fn running_streams_are_told_when_a_release_begins() {
    let (mut history, mut origins) = (history(), origins());
    list(&mut history, 0, &["a"]);
    for id in ["runs", "ended"] {
        origins.begin(ms(1), stream(id), &service(), &version("a"));
    }
    origins.end(stream("ended"));
    list(&mut history, 5, &["a", "b"]);
    let told = origins.take_untold(ms(6), &history, 10);
    assert_eq!(told, [(stream("runs"), start("a"))]);
    assert!(origins.take_untold(ms(7), &history, 10).is_empty());
}

/// Guards against a stream that goes on at any version because its record is missing: while several
/// versions serve, other routers are asked, and without a record it goes on nowhere.
#[test]
fn a_stream_without_a_record_is_asked_for_while_versions_are_mixed() {
    let (mut history, origins) = (history(), origins());
    list(&mut history, 0, &["a", "b"]);
    let known = locate(&origins, &history, 1, "x", ListStatus::Latest);
    assert_eq!(known, Location::Ask);
    let unnamed = origins.locate(ms(1), &history, &service(), None, ListStatus::Latest);
    assert_eq!(unnamed, Location::Unknown);
    for (answers, expected) in [
        (AskedAnswers::NoRecord(3), Location::Unknown),
        (AskedAnswers::NoRecord(0), Location::Unknown),
        (
            AskedAnswers::Recorded(start("b")),
            Location::Recorded(start("b")),
        ),
    ] {
        let known = StreamOrigins::locate_asked(ms(2), &history, &service(), answers);
        assert_eq!(known, expected);
    }
}

/// Guards against a router that is cut off and still knows one version only: it must not conclude
/// that a stream began there, unless another router knows no other version either.
#[test]
fn a_router_with_an_outdated_list_does_not_trust_its_only_version() {
    let (mut history, origins) = (history(), origins());
    list(&mut history, 0, &["a"]);
    let known = locate(&origins, &history, 1, "x", ListStatus::MaybeOutdated);
    assert_eq!(known, Location::Ask);
    let nobody = AskedAnswers::NoRecord(0);
    let known = StreamOrigins::locate_asked(ms(2), &history, &service(), nobody);
    assert_eq!(known, Location::Unknown);
    let some = AskedAnswers::NoRecord(1);
    let known = StreamOrigins::locate_asked(ms(2), &history, &service(), some);
    assert_eq!(known, Location::OnlyVersion(version("a")));
}

/// The last endpoints of a version have left; streams that they began may still be resumed.
#[test]
fn versions_count_as_mixed_until_no_stream_of_the_former_one_can_be_left() {
    let mut history = history();
    list(&mut history, 0, &["a", "b"]);
    list(&mut history, 1_000, &["b"]);
    assert!(history.is_mixed(ms(MEMORY_MS), &service()));
    assert_eq!(history.only_version(ms(MEMORY_MS), &service()), None);
    let after = ms(1_000 + MEMORY_MS);
    assert!(!history.is_mixed(after, &service()));
    assert_eq!(history.only_version(after, &service()), Some(&version("b")));
    let other = ServiceKey(SmolStr::new("other"));
    assert!(!history.is_mixed(ms(5), &other));
}

/// Guards against a new process, which has seen one list only, that takes the version left over from
/// a release for the only one; and against reports that routers keep alive by passing them on.
#[test]
fn a_new_router_learns_which_services_are_mixed_and_for_how_long() {
    let (mut old, mut new, mut newer) = (history(), history(), history());
    list(&mut old, 0, &["a", "b"]);
    list(&mut old, 1_000, &["b"]);
    list(&mut new, 11_000, &["b"]);
    new.apply_report(ms(11_000), &old.to_report(ms(11_000)));
    list(&mut newer, 21_000, &["b"]);
    newer.apply_report(ms(21_000), &new.to_report(ms(21_000)));
    for history in [&old, &new, &newer] {
        assert!(history.is_mixed(ms(30_999), &service()));
        assert!(!history.is_mixed(ms(31_000), &service()));
    }
}

/// The second try of a chain must not make its own version the stream's.
#[test]
fn the_first_record_of_a_stream_holds() {
    let mut origins = origins();
    origins.record(ms(1), stream("x"), start("a"));
    origins.record(ms(2), stream("x"), start("b"));
    assert_eq!(origins.find(stream("x")), Some(&start("a")));
}

#[test]
fn records_are_kept_as_long_as_a_stream_may_be_resumed() {
    let mut origins = origins();
    origins.record(ms(0), stream("once"), start("a"));
    origins.record(ms(0), stream("again"), start("a"));
    origins.record(ms(20_000), stream("again"), start("a"));
    origins.record(ms(MEMORY_MS), stream("later"), start("a"));
    assert_eq!(origins.find(stream("once")), None);
    assert!(origins.find(stream("again")).is_some());
    origins.record(ms(20_000 + MEMORY_MS), stream("last"), start("a"));
    assert_eq!(origins.find(stream("again")), None);
}

/// Guards against memory that grows with the load: the oldest records go first.
#[test]
fn the_number_of_records_is_bounded() {
    let mut origins = origins();
    for id in 0..200_000_u64 {
        origins.record(ms(id / 100), StreamNumber(id), start("a"));
    }
    let kept = (0..200_000).filter(|id| origins.find(StreamNumber(*id)).is_some());
    let kept: BTreeSet<u64> = kept.collect();
    assert!(kept.contains(&199_999) && !kept.contains(&0));
    assert!((60_000..70_000).contains(&kept.len()), "{}", kept.len());
}

/// Two routers know different fleets: each misses one that the other knows. The one that asks still
/// finds a router that was told.
#[test]
fn routers_with_different_views_of_the_fleet_find_the_same_holders() {
    let all: Vec<IpAddr> = (1..=78).map(router).collect();
    let mut misses = 0;
    for number in 0..1_000 {
        let number = StreamNumber(number * 7_919);
        let first: Vec<IpAddr> = all[..77].to_vec();
        let second: Vec<IpAddr> = all[1..].to_vec();
        let told = holders(&first, number, 2);
        let asked = holders(&second, number, 3);
        assert_eq!((told.len(), asked.len()), (2, 3));
        misses += usize::from(!asked.iter().any(|router| told.contains(router)));
    }
    assert_eq!(misses, 0);
}

/// A router of the former program takes a message that tells of streams for an outdated digest.
#[test]
fn a_message_that_tells_of_streams_changes_nothing_at_an_earlier_program() {
    let mut peers = PeerTable::default();
    let digest = RouterDigest {
        incarnation: 9,
        sequence: 4,
        endpoints_revision: 70,
        ..RouterDigest::default()
    };
    assert!(peers.take(ms(1), router(1), digest));
    let begun = vec![(stream("x"), start("a"))];
    for (_, message) in tell_holders(&[router(2)], &begun) {
        assert!(message.is_stream_message());
        assert!(!peers.take(ms(2), router(1), message));
    }
    assert_eq!(peers.heard[&router(1)].digest.endpoints_revision, 70);
}

/// At the size to design for, 54 streams begin at a router in a second, and two others are told of
/// each: the bytes of one message bound what a release costs. With one version it costs nothing.
#[test]
fn what_a_beginning_costs_in_messages() {
    let fleet: Vec<IpAddr> = (1..=255).map(router).collect();
    let begun: Vec<_> = (0..5)
        .map(|id| (StreamNumber(id * 7_919), start("v1.12.3")))
        .collect();
    let messages = tell_holders(&fleet, &begun);
    assert_eq!(messages.len(), 10);
    for (_, message) in &messages {
        assert!(message.encoded_len() <= 32, "{}", message.encoded_len());
    }
    let grouped = BegunStreams::group(&begun);
    assert_eq!(grouped.len(), 1);
    assert_eq!(grouped[0].start(), start("v1.12.3"));
    let streams: Vec<StreamNumber> = grouped[0].streams().collect();
    assert_eq!(streams.len(), 5);
}

/// Guards against a router that tells nobody of its streams since it stands still when a release
/// begins: a small fleet is told of them as they begin, also with one version.
#[test]
fn a_small_fleet_is_told_of_streams_before_a_release() {
    let (mut history, mut origins) = (history(), origins());
    list(&mut history, 0, &["a"]);
    origins.begin(ms(1), stream("x"), &service(), &version("a"));
    assert!(origins.take_untold(ms(2), &history, 10).is_empty());
    let told = origins.take_all_untold(ms(2), 10);
    assert_eq!(told, [(stream("x"), start("a"))]);
    assert!(origins.take_all_untold(ms(3), 10).is_empty());
}

/// A stream is deposited once, and told to its holders all the same when a release begins while its
/// router lives.
#[test]
fn a_deposited_stream_is_still_told_when_a_release_begins() {
    let (mut history, mut origins) = (history(), origins());
    list(&mut history, 0, &["a"]);
    origins.begin(ms(1), stream("x"), &service(), &version("a"));
    let expected = [(stream("x"), start("a"))];
    assert_eq!(origins.deposit(ms(2), 10), expected);
    assert!(origins.deposit(ms(3), 10).is_empty());
    assert!(origins.take_untold(ms(4), &history, 10).is_empty());
    list(&mut history, 5, &["a", "b"]);
    assert_eq!(origins.take_untold(ms(6), &history, 10), expected);
}

fn depositor(incarnation: u64) -> DepositorProcess {
    DepositorProcess {
        host: router(1),
        incarnation,
    }
}

/// Deposits of one stream by a process, made at 0 ms.
fn deposits(incarnation: u64) -> StreamDeposits {
    let mut deposits = StreamDeposits::new(TimeSpan::from_millis(MEMORY_MS));
    let streams = [(stream("x"), ServiceNumber::of(&service()))];
    deposits.deposit(ms(0), depositor(incarnation), streams.into_iter());
    deposits
}

/// Guards against streams of a router that stands still when a release begins, in a fleet in which not
/// all routers are told: its deputies tell of them once it is silent, and once only.
#[test]
fn deputies_tell_of_the_streams_of_a_silent_router_in_a_release() {
    let mut deposits = deposits(7);
    deposits.record_heard(ms(1_000), depositor(7));
    let is_mixed = |number| number == ServiceNumber::of(&service());
    assert!(deposits.take_of_silent(ms(2_400), 10, is_mixed).is_empty());
    assert!(deposits.take_of_silent(ms(2_600), 10, |_| false).is_empty());
    assert!(deposits.take_of_silent(ms(2_600), 0, is_mixed).is_empty());
    let taken = deposits.take_of_silent(ms(2_600), 10, is_mixed);
    assert_eq!(taken, [stream("x")]);
    assert!(deposits.take_of_silent(ms(2_700), 10, is_mixed).is_empty());
}

/// Guards against a router that is killed and started again before its silence is noticed: its new
/// process knows nothing of the streams, so the deputies tell of them at once.
#[test]
fn deputies_tell_of_the_streams_of_an_earlier_process_at_once() {
    let mut deposits = deposits(7);
    deposits.record_heard(ms(600), depositor(8));
    deposits.record_heard(ms(650), depositor(7));
    let taken = deposits.take_of_silent(ms(700), 10, |_| true);
    assert_eq!(taken, [stream("x")]);
}

#[test]
fn deposits_are_kept_as_long_as_a_stream_may_be_resumed() {
    let taken = deposits(7).take_of_silent(ms(MEMORY_MS - 1), 10, |_| true);
    assert_eq!(taken, [stream("x")]);
    let taken = deposits(7).take_of_silent(ms(MEMORY_MS), 10, |_| true);
    assert!(taken.is_empty());
}

/// Guards against memory that grows with what a foreign sender deposits.
#[test]
fn the_number_of_deposits_is_bounded() {
    let mut deposits = deposits(7);
    let number = ServiceNumber::of(&service());
    for process in 8..20 {
        let streams = (0..10_000).map(|id| (StreamNumber(process * 10_000 + id), number));
        deposits.deposit(ms(1), depositor(process), streams);
    }
    let taken = deposits.take_of_silent(ms(2_000), usize::MAX, |_| true);
    assert!((10_000..20_000).contains(&taken.len()), "{}", taken.len());
}

/// At the size to design for, 27 streams begin at a router between two deposits at two deputies.
#[test]
fn what_a_deposit_costs_in_messages() {
    let fleet: Vec<IpAddr> = (1..=255).map(router).collect();
    assert_eq!(deputies_of(router(1), &fleet[1..]).len(), 2);
    let streams: Vec<_> = (0..27)
        .map(|id| (StreamNumber(id * 7_919), start("v1.12.3")))
        .collect();
    let message = RouterDigest {
        incarnation: 1 << 60,
        deposited: BegunStreams::group(&streams),
        ..RouterDigest::default()
    };
    assert!(message.is_stream_message());
    assert!(message.encoded_len() <= 256, "{}", message.encoded_len());
}

fn new_process() -> VersionHistory {
    VersionHistory::with_unknown_past(TimeSpan::from_millis(MEMORY_MS))
}

/// Guards against a process that takes the version left over from a release for the only one after all
/// routers were killed: nobody can tell it otherwise. The streams that begin since are told.
#[test]
fn after_all_routers_were_killed_one_listed_version_proves_nothing() {
    let (mut history, mut origins) = (new_process(), origins());
    assert_eq!(history.past_unknown_for(ms(0)), None);
    list(&mut history, 1_000, &["b"]);
    list(&mut history, 2_000, &["b"]);
    let known = locate(&origins, &history, 2_000, "before", ListStatus::Latest);
    assert_eq!(known, Location::Ask);
    let nobody = AskedAnswers::NoRecord(3);
    let known = StreamOrigins::locate_asked(ms(2_000), &history, &service(), nobody);
    assert_eq!(known, Location::Unknown);
    origins.begin(ms(2_000), stream("since"), &service(), &version("b"));
    let told = origins.take_untold(ms(2_001), &history, 10);
    assert_eq!(told, [(stream("since"), start("b"))]);
    let number = ServiceNumber::of(&service());
    assert!(history.is_mixed_number(ms(2_001), number));
    let end = 1_000 + MEMORY_MS;
    assert!(history.is_mixed(ms(end - 1), &service()));
    assert_eq!(
        history.only_version(ms(end), &service()),
        Some(&version("b"))
    );
    assert!(!history.is_mixed_number(ms(end), number));
}

/// Applies what `from` reports of the past, with lists of these revisions.
fn report_past(to: &mut VersionHistory, now: u64, from: &VersionHistory, lists: (u64, u64)) {
    let (own, reported) = lists;
    let report = PastReport {
        list: StoreRevision(reported),
        left: from.past_unknown_for(ms(now)).unwrap(),
    };
    to.apply_past_report(ms(now), StoreRevision(own), report);
}

/// Guards against streams that are refused although a router that was not killed has seen all
/// versions; and against a past that stays unknown since new processes tell each other so.
#[test]
fn a_new_process_learns_how_far_back_others_know_the_versions() {
    let (mut old, mut new, mut newer) = (history(), new_process(), new_process());
    list(&mut old, 0, &["a"]);
    list(&mut new, 1_000, &["a"]);
    list(&mut newer, 11_000, &["a"]);
    report_past(&mut newer, 11_000, &new, (5, 5));
    report_past(&mut new, 11_000, &newer, (5, 5));
    for history in [&new, &newer] {
        assert!(history.is_mixed(ms(30_999), &service()));
        assert!(!history.is_mixed(ms(31_000), &service()));
    }
    report_past(&mut newer, 12_000, &old, (5, 6));
    assert!(!newer.is_mixed(ms(12_000), &service()));
}

/// Guards against a past that is taken from a router that missed a part of it: it stood still through
/// a release and wakes with the list from before, or the own first list comes later.
#[test]
fn a_router_with_an_older_list_does_not_tell_the_past() {
    let (mut old, mut new, mut unlisted) = (history(), new_process(), new_process());
    list(&mut old, 0, &["a"]);
    list(&mut new, 11_000, &["b"]);
    report_past(&mut new, 12_000, &old, (6, 5));
    assert!(new.is_mixed(ms(12_000), &service()));
    report_past(&mut unlisted, 12_000, &old, (0, 5));
    assert_eq!(unlisted.past_unknown_for(ms(12_000)), None);
    list(&mut unlisted, 12_500, &["a"]);
    assert!(unlisted.is_mixed(ms(12_500), &service()));
}
