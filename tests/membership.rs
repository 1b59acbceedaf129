//! Membership while routers, links and processes fail.

mod cores;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::event::ListedRouter;
use verbenaturn::core::tables::members::MemberRank;
use verbenaturn::core::tables::members::MemberState;
use verbenaturn::units::HostName;
use verbenaturn::units::RouterIncarnation;
use verbenaturn::wire::PeerBody;
use verbenaturn::wire::PeerMessage;
use verbenaturn::wire::gossip::GossipPing;
use verbenaturn::wire::gossip::MemberUpdate;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::host;
use self::cores::pool;

fn fleet() -> CoreFleet {
    CoreFleet::new(8, catalog(4, 8))
}

fn state_of(fleet: &CoreFleet, viewer: usize, subject: usize) -> MemberState {
    let members = &fleet.core(viewer).state().members;
    members.get(&host(subject)).unwrap().state
}

fn live_count(fleet: &CoreFleet, viewer: usize) -> usize {
    let members = &fleet.core(viewer).state().members;
    (0..8)
        .filter(|subject| members.is_live(&host(*subject)))
        .count()
}

fn owners(fleet: &CoreFleet, viewers: impl Iterator<Item = usize>) -> Vec<HostName> {
    let mut owners: Vec<HostName> = viewers
        .map(|viewer| {
            let members = &fleet.core(viewer).state().members;
            members.owner_of(pool()).unwrap().clone()
        })
        .collect();
    owners.sort();
    owners.dedup();
    owners
}

#[test]
fn a_quiet_fleet_agrees_and_suspects_nobody() {
    let mut fleet = fleet();
    for _ in 0..60 {
        fleet.advance(500);
        for viewer in 0..8 {
            assert_eq!(live_count(&fleet, viewer), 8);
        }
    }
    assert_eq!(owners(&fleet, 0..8).len(), 1);
}

// A router process is killed, and requests in the pools that it owned wait until another router
// owns them. Its peers see the connection close, suspect it at once, confirm each other's suspicion
// and declare it dead within the confirmed limit and one gossip exchange.
#[test]
fn a_killed_router_is_dead_everywhere_within_a_second() {
    let mut fleet = fleet();
    fleet.stop(3);
    for viewer in (0..8).filter(|viewer| *viewer != 3) {
        assert_eq!(state_of(&fleet, viewer, 3), MemberState::Suspect);
    }
    fleet.advance(1_000);
    for viewer in (0..8).filter(|viewer| *viewer != 3) {
        assert_eq!(state_of(&fleet, viewer, 3), MemberState::Dead);
    }
}

// A router's host loses its network without closing a connection: nothing arrives and nothing is
// refused, so only unanswered pings reveal the failure.
#[test]
fn a_silent_router_is_found_by_pings() {
    let mut fleet = fleet();
    for peer in (0..8).filter(|peer| *peer != 3) {
        fleet.cut.insert((peer.min(3), peer.max(3)));
    }
    fleet.advance(8_000);
    for viewer in (0..8).filter(|viewer| *viewer != 3) {
        assert_eq!(state_of(&fleet, viewer, 3), MemberState::Dead);
    }
    assert_eq!(live_count(&fleet, 0), 7);
}

// One link is cut while both ends reach all other routers. The rest of the fleet must keep both as
// members; the two ends can't use each other, so neither considers the other a pool's owner.
#[test]
fn a_single_cut_link_leaves_all_members_alive() {
    let mut fleet = fleet();
    fleet.cut_link(2, 5);
    fleet.advance(10_000);
    for viewer in (0..8).filter(|viewer| ![2, 5].contains(viewer)) {
        assert_eq!(live_count(&fleet, viewer), 8);
    }
    assert_eq!(state_of(&fleet, 2, 5), MemberState::Alive);
    assert!(!fleet.core(2).state().members.is_live(&host(5)));
    assert!(!fleet.core(5).state().members.is_live(&host(2)));
    fleet.restore_link(2, 5);
    fleet.advance(1_000);
    assert_eq!(live_count(&fleet, 2), 8);
}

// A partition splits the fleet for a minute. Each side must continue alone, with an owner for each
// pool on its own side; after it heals all must agree on one owner again, although both sides
// spread gossip that the other side is dead.
#[test]
fn a_partition_leaves_each_side_working_and_heals() {
    let mut fleet = fleet();
    for round in 0..2 {
        for left in 0..3 {
            for right in 3..8 {
                fleet.cut_link(left, right);
            }
        }
        fleet.advance(60_000);
        assert_eq!(live_count(&fleet, 0), 3, "round {round}");
        assert_eq!(live_count(&fleet, 7), 5, "round {round}");
        assert_eq!(owners(&fleet, 0..3).len(), 1);
        assert_eq!(owners(&fleet, 3..8).len(), 1);
        for left in 0..3 {
            for right in 3..8 {
                fleet.restore_link(left, right);
            }
        }
        fleet.advance(3_000);
        for viewer in 0..8 {
            assert_eq!(live_count(&fleet, viewer), 8, "round {round}");
        }
        assert_eq!(owners(&fleet, 0..8).len(), 1);
    }
}

// A router restarts with nothing in memory while its peers still pass on gossip about its former
// incarnation. The new incarnation must be a member, and late gossip about the old one must not
// affect it.
#[test]
fn a_restarted_router_is_a_new_member_despite_gossip_about_its_old_incarnation() {
    let mut fleet = fleet();
    let old = fleet.incarnation_of(3).unwrap();
    fleet.stop(3);
    fleet.advance(2_000);
    fleet.start(3);
    fleet.advance(2_000);
    let late = PeerMessage::new(PeerBody::Gossip(GossipPing {
        step: 1,
        news: vec![MemberUpdate {
            host: host(3).to_string(),
            address: "127.0.0.1:9".to_owned(),
            incarnation: old.0,
            state: 3,
            refutation: 9,
            domain: "domain-0".to_owned(),
        }],
        ..GossipPing::default()
    }));
    let incarnation = fleet.incarnation_of(1).unwrap();
    for viewer in [0, 2, 3, 4] {
        let message = late.clone();
        let from = host(1);
        fleet.handle_event(
            viewer,
            CoreEvent::Message {
                from,
                incarnation,
                message,
            },
        );
    }
    fleet.advance(2_000);
    for viewer in 0..8 {
        assert_eq!(live_count(&fleet, viewer), 8);
        let members = &fleet.core(viewer).state().members;
        assert_eq!(
            members.get(&host(3)).unwrap().incarnation,
            fleet.incarnation_of(3)
        );
    }
}

// A process is suspended for half a minute and resumes. All its timeouts have expired while nobody
// could reach it; it must not declare all other routers dead and own every pool.
#[test]
fn a_resumed_router_does_not_declare_the_others_dead() {
    let mut fleet = fleet();
    fleet.cut_link(0, 7);
    fleet.advance(20);
    let asleep = fleet.cores[0].take().unwrap();
    fleet.advance(30_000);
    fleet.cores[0] = Some(asleep);
    let before = fleet.core(0).state().members.version();
    fleet.handle_event(0, CoreEvent::Tick);
    for subject in 1..8 {
        assert!(state_of(&fleet, 0, subject) < MemberState::Dead);
    }
    assert_eq!(fleet.core(0).state().members.version(), before);
    for peer in 1..8 {
        fleet.restore_link(0, peer);
    }
    fleet.advance(3_000);
    for viewer in 0..8 {
        assert_eq!(live_count(&fleet, viewer), 8);
    }
}

// The host list is an hour old: it names a router that was replaced, misses one that runs, and
// marks a third one as leaving. None of this may change who is a member.
#[test]
fn a_stale_host_list_changes_nothing_that_is_known() {
    let mut fleet = fleet();
    let listed = |name: &str, leaving| ListedRouter {
        host: name.parse().unwrap(),
        address: "127.0.0.1:8".into(),
        domain: "domain-0".parse().unwrap(),
        leaving,
    };
    let routers = vec![
        listed("gone", false),
        listed("host-1", true),
        listed("host-2", false),
    ];
    for viewer in 0..8 {
        let (routers, leaving) = (routers.clone(), Vec::new());
        fleet.handle_event(viewer, CoreEvent::HostsListed { routers, leaving });
    }
    fleet.advance(30_000);
    for viewer in 0..8 {
        assert_eq!(live_count(&fleet, viewer), 8);
        let members = &fleet.core(viewer).state().members;
        assert!(!members.is_live(&"gone".parse().unwrap()));
        assert_eq!(members.get(&host(2)).unwrap().address, "127.0.0.1:9");
    }
}

// An operator drains a router. From then on it must own nothing in the view of any router, even if
// its connections break and reopen meanwhile.
#[test]
fn a_leaving_router_stays_leaving_until_it_restarts() {
    let mut fleet = fleet();
    fleet.handle_event(4, CoreEvent::DrainAsked);
    fleet.advance(1_000);
    fleet.cut_link(4, 0);
    fleet.advance(10);
    fleet.restore_link(4, 0);
    fleet.advance(5_000);
    for viewer in (0..8).filter(|viewer| *viewer != 4) {
        assert_eq!(state_of(&fleet, viewer, 4), MemberState::Leaving);
    }
    fleet.stop(4);
    fleet.start(4);
    fleet.advance(2_000);
    for viewer in 0..8 {
        assert_eq!(state_of(&fleet, viewer, 4), MemberState::Alive);
    }
}

fn rank(incarnation: u64, refutation: u32, state: u8) -> MemberRank {
    MemberRank {
        incarnation: RouterIncarnation(incarnation),
        refutation,
        state: match state {
            0 => MemberState::Alive,
            1 => MemberState::Suspect,
            2 => MemberState::Leaving,
            _ => MemberState::Dead,
        },
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn news_merges_to_the_same_result_in_any_order_and_when_repeated(
        rows in proptest::collection::vec((0_u64..3, 0_u32..3, 0_u8..4), 1..12),
        turn in any::<usize>(),
    ) {
        let news: Vec<MemberRank> = rows.iter().map(|row| rank(row.0, row.1, row.2)).collect();
        let merged = news.iter().copied().reduce(MemberRank::merge);
        let mut turned = news.clone();
        turned.rotate_left(turn % news.len());
        turned.extend(news.iter().rev());
        prop_assert_eq!(turned.into_iter().reduce(MemberRank::merge), merged);
    }

    #[test]
    fn arbitrary_gossip_does_not_affect_live_members(
        step in 0_u32..5,
        sequence in any::<u32>(),
        target in ".{0,12}",
        rows in proptest::collection::vec((".{0,9}", any::<u64>(), 0_u32..6, any::<u32>()), 0..6),
    ) {
        let mut fleet = CoreFleet::new(2, catalog(1, 2));
        let news = rows
            .into_iter()
            .map(|(name, incarnation, state, refutation)| MemberUpdate {
                host: name.clone(),
                address: name.clone(),
                incarnation,
                state,
                refutation,
                domain: name,
            })
            .collect();
        let ping = GossipPing { step, sequence, target, news, ..GossipPing::default() };
        let event = CoreEvent::Message {
            from: host(1),
            incarnation: fleet.incarnation_of(1).unwrap(),
            message: PeerMessage::new(PeerBody::Gossip(ping)),
        };
        fleet.handle_event(0, event);
        fleet.advance(500);
        let members = &fleet.core(0).state().members;
        prop_assert_eq!(members.is_live(&host(0)), true);
        prop_assert_eq!(members.is_live(&host(1)), true);
    }
}

/// Membership bytes/s that each router of an idle fleet sends, frames included.
fn quiet_bytes(routers: usize) -> u64 {
    let mut fleet = CoreFleet::new(routers, catalog(1, 2));
    fleet.advance_by(40_000, 50_000);
    let before = fleet.gossip_bytes;
    fleet.advance_by(20_000, 50_000);
    (fleet.gossip_bytes - before) / (20 * routers as u64)
}

#[test]
fn gossip_bytes_per_router_stay_bounded_as_the_fleet_grows() {
    let small = quiet_bytes(8);
    let most = quiet_bytes(16);
    let large = quiet_bytes(128);
    println!("membership bytes/s per router: 8: {small}, 16: {most}, 128: {large}");
    assert!(small < 400);
    assert!(most <= small * 5 / 4);
    // 128 routers that all started at once still pass on gossip about each other, at most six news
    // items per ping.
    assert!(large < 600);
}
