//! Load shedding when a router has more callers than processor time or descriptors, and the volume
//! of its load reports, without a network.

use std::time::Duration;

use prost::Message;
use tokio::time::Instant;

use verbenaturn::gateway::accept_queue::AcceptQueue;
use verbenaturn::gateway::digest::DemandColumns;
use verbenaturn::gateway::digest::DemandEntry;
use verbenaturn::gateway::digest::LoadColumns;
use verbenaturn::gateway::digest::LoadEntry;
use verbenaturn::gateway::digest::RouterDigest;
use verbenaturn::gateway::gossip::messages_on_link;
use verbenaturn::gateway::gossip::messages_per_round;
use verbenaturn::gateway::link::LinkMeter;
use verbenaturn::gateway::link::LinkSpeed;
use verbenaturn::gateway::link::LinkUse;
use verbenaturn::gateway::load::DescriptorUse;
use verbenaturn::gateway::load::LagLevel;
use verbenaturn::gateway::load::is_overloaded;
use verbenaturn::gateway::peer_table::PeerTable;
use verbenaturn::units::Moment;

/// A balancer sends most callers to one small host, whose timers fire late. Unless it sheds load,
/// its callers time out and endpoints work in vain. Calls of teams over their share are refused
/// first, since they cost most and are owed least, then all calls, so that callers go to other
/// routers.
#[test]
fn a_late_router_refuses_teams_beyond_their_shares_first() {
    assert_eq!(LagLevel::of(10.0), LagLevel::InTime);
    assert_eq!(LagLevel::of(100.0), LagLevel::Late);
    assert_eq!(LagLevel::of(300.0), LagLevel::TooLate);
    assert!(LagLevel::Late > LagLevel::InTime);
    assert!(LagLevel::TooLate > LagLevel::Late);
}

/// The longest time for which the queue stays non-empty within two seconds, if `arriving`
/// connections come in each millisecond and up to `taken` of them can be accepted.
fn longest_non_empty(arriving: impl Fn(u64) -> u64, taken: u64) -> Duration {
    let begun = Instant::now();
    let mut queue = AcceptQueue::default();
    let mut waiting = 0;
    let mut longest = Duration::ZERO;
    for millisecond in 0..2_000 {
        let now = begun + Duration::from_millis(millisecond);
        waiting += arriving(millisecond);
        let accepted = waiting.min(taken);
        waiting -= accepted;
        if accepted > 0 {
            queue.record_accept(now);
        }
        longest = longest.max(queue.non_empty_for(now));
        if waiting == 0 {
            queue = AcceptQueue::default();
        }
    }
    longest
}

/// A small host gets more new connections than it can refuse. Accepting takes turns with the calls,
/// so timers stay punctual and only the accept queue shows that callers wait until they time out.
/// Bursts that the host keeps up with must not count as lag.
#[test]
fn a_queue_that_stands_makes_a_router_late_and_bursts_do_not() {
    let late = |standing: Duration| LagLevel::of(standing.as_secs_f64() * 1e3);
    let flood = longest_non_empty(|_| 8, 4);
    assert_eq!(late(flood), LagLevel::TooLate);
    let bursts = longest_non_empty(|at| if at % 100 == 0 { 160 } else { 0 }, 4);
    assert_eq!(late(bursts), LagLevel::InTime);
}

/// Thousands of callers keep idle connections open and few calls are in flight. The router must
/// detect that its descriptors run out.
#[test]
fn idle_connections_count_as_use_of_descriptors() {
    let used = DescriptorUse {
        callers: 3_000,
        calls: 20,
        idle: 100,
    };
    assert!(used.percent(4_100) > 75);
    assert!(is_overloaded(used.percent(4_100), 0.0, 60, false));
}

/// An overloaded router stays overloaded until its use falls to half. With a single threshold its
/// readiness would flap, and a balancer would add and remove it each second.
#[test]
fn an_overloaded_router_recovers_at_half_of_its_use() {
    assert!(!is_overloaded(60, 0.0, 60, false));
    assert!(is_overloaded(60, 0.0, 60, true));
    assert!(!is_overloaded(40, 0.0, 60, true));
}

/// Six of ninety routers have most of all calls, and their gossip decides where work goes. If all
/// routers sent as many messages, a small host would spend a seventh of its time on them.
#[test]
fn busier_routers_send_more_messages() {
    assert_eq!(messages_per_round(7, 0, 1_000), 7);
    let idle = messages_per_round(89, 0, 1_000);
    let usual = messages_per_round(89, 11, 979);
    let hot = messages_per_round(89, 400, 600);
    assert!(idle < usual && usual < hot, "{idle} {usual} {hot}");
    assert!(hot <= 20);
    assert!(idle >= 3);
}

/// An unknown sender in the routers' network names thousands of hosts in its messages. The router
/// must neither send to all of them at once nor store an unbounded number of them.
#[test]
fn a_message_that_names_thousands_of_hosts_is_bounded() {
    let mut peers = PeerTable::default();
    for block in 0..8_u64 {
        let routers = (0..1_000)
            .map(|index| format!("10.{block}.{}.{}", index / 250, index % 250))
            .collect();
        let digest = RouterDigest {
            incarnation: 1,
            sequence: block + 1,
            routers,
            ..RouterDigest::default()
        };
        let from = "10.200.0.1".parse().unwrap();
        assert!(peers.take(Moment(block), from, digest));
    }
    assert_eq!(peers.take_uncontacted(40).len(), 40);
    assert!(
        peers.unheard_addresses.len() <= 4_096,
        "{}",
        peers.unheard_addresses.len()
    );
}

/// Prompts of 12 KB flood a host on a link of 10 Mbit/s. Its processor and descriptors are mostly
/// unused; only the bytes sent and received show why its callers wait.
#[test]
fn a_full_link_asks_for_fewer_callers() {
    let meter = LinkMeter::default();
    let mut link = LinkUse::default();
    let sample_interval = Duration::from_millis(100);
    for _ in 0..10 {
        for _ in 0..10 {
            meter.received(12_000);
        }
        link.add_sample(meter.totals(), sample_interval, LinkSpeed(10.0));
    }
    assert!(link.percent() > 90, "{}", link.percent());
    assert!(is_overloaded(link.percent(), 0.0, 60, false));
    for _ in 0..10 {
        link.add_sample(meter.totals(), sample_interval, LinkSpeed(10.0));
    }
    assert!(!is_overloaded(link.percent(), 0.0, 60, true));
}

/// A single burst of calls fills a slow link for a moment, and network buffers absorb it. If each
/// burst counted as overload, callers would be moved back and forth between routers.
#[test]
fn one_burst_of_calls_does_not_fill_a_link() {
    let meter = LinkMeter::default();
    let mut link = LinkUse::default();
    meter.received(125_000);
    link.add_sample(meter.totals(), Duration::from_millis(100), LinkSpeed(10.0));
    assert!(!is_overloaded(link.percent(), 0.0, 60, false));
}

/// Twenty gossip messages per round would take a quarter of a slow link, just when calls fill the
/// rest.
#[test]
fn messages_leave_a_slow_link_to_calls() {
    let round = Duration::from_millis(100);
    let slow = messages_on_link(LinkSpeed(10.0), round, 800);
    assert!((1..=5).contains(&slow), "{slow}");
    assert!(messages_on_link(LinkSpeed(1_000.0), round, 800) > 100);
    assert_eq!(messages_on_link(LinkSpeed(0.1), round, 800), 1);
}

fn digest(endpoints: u32, teams: u64) -> RouterDigest {
    let load = |endpoint| LoadEntry {
        endpoint: endpoint * 77_777_777,
        active: 12,
        pending_tokens: 9_000,
        attempts: 450,
        failures: 0,
        silent: false,
        heard: true,
    };
    let demand = |team: u64| DemandEntry {
        team: team.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        tokens_per_s: 15_000,
        served_per_s: 9_000,
        recent_per_s: 15_000,
        unseen_per_s: 0,
        within_per_s: 9_000,
    };
    RouterDigest {
        incarnation: 1,
        sequence: 1,
        loads: (0..endpoints).map(load).collect::<LoadColumns>(),
        demands: (0..teams).map(demand).collect::<DemandColumns>(),
        ..RouterDigest::default()
    }
}

#[test]
fn digests_stay_small() {
    let bytes = digest(12, 16).encoded_len();
    assert!(bytes <= 420, "{bytes}");
}

#[test]
fn digests_decode_to_what_was_encoded() {
    let sent = digest(5, 3);
    let read = RouterDigest::decode(&sent.encode_to_vec()[..]).unwrap();
    assert_eq!(read, sent);
    let load = read.loads.entries().nth(2).unwrap();
    assert_eq!((load.active, load.attempts, load.heard), (12, 450, true));
    // Encoded in steps of 64, rounded up.
    assert_eq!(load.pending_tokens, 9_024);
}

/// Columns of different lengths come from no router of this version and must not cause a panic.
#[test]
fn columns_of_different_lengths_are_read_up_to_the_shortest() {
    // Three endpoints (field 1, fixed32) and two counts (field 2); nothing else.
    let bytes = [10, 12, 1, 0, 0, 0, 2, 0, 0, 0, 3, 0, 0, 0, 18, 2, 5, 6];
    let columns = LoadColumns::decode(&bytes[..]).unwrap();
    assert!(!columns.is_empty());
    assert_eq!(columns.entries().count(), 0);
}
