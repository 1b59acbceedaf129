//! What a router does when it has more callers than processor time or descriptors, and how much it
//! tells of its load, without a network.

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

/// A balancer sends most callers to one small host, whose timers come late. Its callers wait until
/// they give up and endpoints work for nobody, unless it refuses: first what costs most and is owed
/// least, calls of teams beyond their shares, then all, so that they go to other routers.
#[test]
fn a_late_router_refuses_teams_beyond_their_shares_first() {
    assert_eq!(LagLevel::of(10.0), LagLevel::InTime);
    assert_eq!(LagLevel::of(100.0), LagLevel::Late);
    assert_eq!(LagLevel::of(300.0), LagLevel::TooLate);
    assert!(LagLevel::Late > LagLevel::InTime);
    assert!(LagLevel::TooLate > LagLevel::Late);
}

/// For how long the queue has stood at most, over two seconds in which so many connections come in
/// each millisecond and `taken` of them can be accepted.
fn longest_standing(arriving: impl Fn(u64) -> u64, taken: u64) -> Duration {
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
            queue.took(now);
        }
        longest = longest.max(queue.standing(now));
        if waiting == 0 {
            queue = AcceptQueue::default();
        }
    }
    longest
}

/// A small host gets more new connections than it can refuse. Since accepting takes turns with the
/// calls, timers stay in time: without a look at the queue it would serve on while callers wait to
/// be accepted until they give up. Bursts that it keeps up with must not count.
#[test]
fn a_queue_that_stands_makes_a_router_late_and_bursts_do_not() {
    let late = |standing: Duration| LagLevel::of(standing.as_secs_f64() * 1e3);
    let flood = longest_standing(|_| 8, 4);
    assert_eq!(late(flood), LagLevel::TooLate);
    let bursts = longest_standing(|at| if at % 100 == 0 { 160 } else { 0 }, 4);
    assert_eq!(late(bursts), LagLevel::InTime);
}

/// Thousands of callers keep connections open and send nothing; the calls in flight are few. The
/// router must see that its descriptors run out.
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

/// A router that is full asks for fewer callers until it has room for half. One bound for both
/// would make a balancer take it in and out each second.
#[test]
fn a_full_router_takes_callers_again_at_half() {
    assert!(!is_overloaded(60, 0.0, 60, false));
    assert!(is_overloaded(60, 0.0, 60, true));
    assert!(!is_overloaded(40, 0.0, 60, true));
}

/// Six of ninety routers have most of all calls. What they tell decides where work goes; telling
/// as much of all the others takes a small host a seventh of its time.
#[test]
fn routers_tell_more_the_more_they_have() {
    assert_eq!(messages_per_round(7, 0, 1_000), 7);
    let idle = messages_per_round(89, 0, 1_000);
    let usual = messages_per_round(89, 11, 979);
    let hot = messages_per_round(89, 400, 600);
    assert!(idle < usual && usual < hot, "{idle} {usual} {hot}");
    assert!(hot <= 20);
    assert!(idle >= 3);
}

/// A stranger in the routers' network sends one message that names thousands of hosts. The router
/// must not send to all of them at once, nor keep any number of them.
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

/// Prompts of 12 KB flood a host on a link of 10 Mbit/s. Its processor and descriptors idle, and
/// only the bytes that it moves show why its callers wait.
#[test]
fn a_full_link_asks_for_fewer_callers() {
    let meter = LinkMeter::default();
    let mut link = LinkUse::default();
    let look = Duration::from_millis(100);
    for _ in 0..10 {
        for _ in 0..10 {
            meter.received(12_000);
        }
        link.look(meter.totals(), look, LinkSpeed(10.0));
    }
    assert!(link.percent() > 90, "{}", link.percent());
    assert!(is_overloaded(link.percent(), 0.0, 60, false));
    for _ in 0..10 {
        link.look(meter.totals(), look, LinkSpeed(10.0));
    }
    assert!(!is_overloaded(link.percent(), 0.0, 60, true));
}

/// One clump of calls fills a slow link for a moment, which its network holds anyway. Asking for
/// fewer callers each time would send them around between routers.
#[test]
fn one_clump_of_calls_does_not_fill_a_link() {
    let meter = LinkMeter::default();
    let mut link = LinkUse::default();
    meter.received(125_000);
    link.look(meter.totals(), Duration::from_millis(100), LinkSpeed(10.0));
    assert!(!is_overloaded(link.percent(), 0.0, 60, false));
}

/// Twenty messages a round would take a quarter of a slow link, just when calls fill the rest.
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
fn digests_say_the_same_after_the_way() {
    let sent = digest(5, 3);
    let read = RouterDigest::decode(&sent.encode_to_vec()[..]).unwrap();
    assert_eq!(read, sent);
    let load = read.loads.entries().nth(2).unwrap();
    assert_eq!((load.active, load.attempts, load.heard), (12, 450, true));
    // Told in steps of 64, rounded up.
    assert_eq!(load.pending_tokens, 9_024);
}

/// A message with columns of different lengths comes from no router of this version.
#[test]
fn columns_of_different_lengths_are_read_up_to_the_shortest() {
    // Three endpoints (field 1, fixed32) and two counts (field 2); nothing else.
    let bytes = [10, 12, 1, 0, 0, 0, 2, 0, 0, 0, 3, 0, 0, 0, 18, 2, 5, 6];
    let columns = LoadColumns::decode(&bytes[..]).unwrap();
    assert!(!columns.is_empty());
    assert_eq!(columns.entries().count(), 0);
}
