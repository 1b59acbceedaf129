//! What a router does when it has more callers than processor time or descriptors, and how much it
//! tells of its load, without a network.

use verbenaturn::gateway::gossip::messages_per_round;
use verbenaturn::gateway::load::DescriptorUse;
use verbenaturn::gateway::load::LagLevel;
use verbenaturn::gateway::load::is_overloaded;
use verbenaturn::gateway::peer_table::PeerTable;
use verbenaturn::gateway::peer_table::RouterDigest;
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
    assert_eq!(peers.take_ungreeted(40).len(), 40);
    assert!(peers.told.len() <= 4_096, "{}", peers.told.len());
}
