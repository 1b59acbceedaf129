//! Distribution of publications: every router gets the newest, none goes back to an older one, and
//! a router that can't know whether its revision is the newest reports that.

mod cores;

use bytes::Bytes;

use verbenaturn::core::action::CoreAction;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::systems::publication;
use verbenaturn::core::tables::publication_sync::ConfigKnowledge;
use verbenaturn::wire::PeerBody;
use verbenaturn::wire::PeerMessage;
use verbenaturn::wire::gossip::GossipPing;
use verbenaturn::wire::publication::PublicationOffer;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::host;

/// Guaranteed time within which a publication that one router has is in force at all, in
/// milliseconds.
const BOUND_MS: u64 = 2_000;

const HOUR_MS: u64 = 3_600_000;

fn fleet() -> CoreFleet {
    let mut fleet = CoreFleet::new(8, catalog(1, 4));
    answer(&mut fleet);
    fleet
}

/// Makes the service answer all routers that watch it.
fn answer(fleet: &mut CoreFleet) {
    for router in 0..8 {
        let watches = fleet.core(router).state().publication_sync.watching;
        if watches == Some(true) {
            fleet.handle_event(router, CoreEvent::SourceAnswered(true));
        }
    }
}

fn publish(fleet: &mut CoreFleet, router: usize, revision: u64) {
    let text = Bytes::from(format!("good {revision}"));
    let published = fleet.publication(revision, text);
    fleet.handle_event(router, published);
}

fn revision(fleet: &CoreFleet, router: usize) -> u64 {
    fleet.core(router).state().catalog.revision.0
}

fn revisions(fleet: &CoreFleet) -> Vec<u64> {
    (0..8).map(|router| revision(fleet, router)).collect()
}

fn knowledge(fleet: &CoreFleet, router: usize) -> ConfigKnowledge {
    publication::knowledge(fleet.core(router).state())
}

#[test]
fn one_reader_is_enough_for_all() {
    for reader in 0..8 {
        let mut fleet = fleet();
        publish(&mut fleet, reader, 7);
        fleet.advance(BOUND_MS);
        assert_eq!(revisions(&fleet), [7; 8]);
        assert_eq!(fleet.adoptions, 7, "each router fetched it once");
    }
}

// The configuration service serves an old revision to some readers while others have the new
// one. No router may go back to the old one, in whatever order and however often they arrive.
#[test]
fn an_old_revision_for_some_readers_reverts_nothing() {
    let mut fleet = fleet();
    publish(&mut fleet, 2, 7);
    for round in 0..5 {
        for router in 0..8 {
            publish(&mut fleet, router, 3 + round % 2);
            assert!(revision(&fleet, router) >= 3);
        }
        publish(&mut fleet, 2, 6);
        fleet.advance(BOUND_MS);
        assert_eq!(revisions(&fleet), [7; 8]);
    }
}

// The service is down for an hour. Meanwhile one router restarts without a publication and another
// restarts with an old revision from a cache. Both must get the newest from their peers, and all
// routers must report that they can't know whether there is a newer one until the service is back.
#[test]
fn an_hour_without_the_service_and_a_restart_in_it() {
    let mut fleet = fleet();
    publish(&mut fleet, 0, 9);
    fleet.advance(BOUND_MS);
    answer(&mut fleet);
    fleet.advance(BOUND_MS);
    for router in 0..8 {
        assert_eq!(knowledge(&fleet, router), ConfigKnowledge::Current);
    }
    fleet.advance_by(HOUR_MS / 2, 50_000);
    for router in 0..8 {
        fleet.handle_event(router, CoreEvent::SourceAnswered(false));
        assert_eq!(knowledge(&fleet, router), ConfigKnowledge::Uncertain);
    }
    fleet.stop(5);
    fleet.advance(1_000);
    fleet.start_with(5, None);
    fleet.stop(6);
    fleet.advance(1_000);
    let old = fleet.publication(4, Bytes::from_static(b"good 4"));
    fleet.start_with(6, Some(old));
    fleet.advance(BOUND_MS);
    fleet.advance_by(HOUR_MS / 2, 50_000);
    assert_eq!(revisions(&fleet), [9; 8]);
    assert!(fleet.core(5).state().publication_sync.ready);
    assert_eq!(knowledge(&fleet, 5), ConfigKnowledge::Uncertain);
    answer(&mut fleet);
    fleet.advance(BOUND_MS);
    for router in 0..8 {
        assert_eq!(knowledge(&fleet, router), ConfigKnowledge::Current);
    }
}

// A router restarts and reads an old revision first. It must not report itself ready to the load
// balancer before its peers have sent their revisions; a peer that hangs delays this only for a
// bounded time.
#[test]
fn a_restarted_router_is_ready_only_with_the_newest() {
    let mut fleet = fleet();
    publish(&mut fleet, 0, 9);
    fleet.advance(BOUND_MS);
    fleet.stop(5);
    fleet.advance(2_000);
    for peer in [0, 1, 2, 3, 4, 6, 7] {
        fleet.cut.insert((peer.min(5), peer.max(5)));
    }
    let old = fleet.publication(4, Bytes::from_static(b"good 4"));
    fleet.start_with(5, Some(old));
    assert!(!fleet.core(5).state().publication_sync.ready);
    fleet.advance(1_000);
    assert!(!fleet.core(5).state().publication_sync.ready);
    fleet.restore_link(5, 3);
    fleet.restore_link(5, 7);
    assert_eq!(revision(&fleet, 5), 9);
    fleet.advance(3_000);
    assert!(fleet.core(5).state().publication_sync.ready);
}

// During a partition the readers of each side get different revisions. After the partition heals,
// the higher revision must be in force at all routers.
#[test]
fn a_partition_with_two_revisions_ends_at_the_higher() {
    let mut fleet = fleet();
    for left in 0..3 {
        for right in 3..8 {
            fleet.cut_link(left, right);
        }
    }
    publish(&mut fleet, 0, 5);
    publish(&mut fleet, 7, 8);
    fleet.advance(BOUND_MS);
    assert_eq!(revisions(&fleet), [5, 5, 5, 8, 8, 8, 8, 8]);
    for left in 0..3 {
        for right in 3..8 {
            fleet.restore_link(left, right);
        }
    }
    fleet.advance(BOUND_MS);
    assert_eq!(revisions(&fleet), [8; 8]);
}

// A peer of another build has a publication in force that this router refuses. It must be refused
// as a whole, the last valid one stays in force, and the refused one is not fetched repeatedly.
#[test]
fn a_bad_publication_is_refused_once() {
    let mut fleet = fleet();
    let bad = fleet.publication(9, Bytes::from_static(b"bad"));
    fleet.handle_event(0, bad);
    fleet.advance(60_000);
    assert_eq!(revisions(&fleet), [9, 1, 1, 1, 1, 1, 1, 1]);
    assert_eq!(fleet.adoptions, 7, "each router checked it once");
    publish(&mut fleet, 3, 10);
    fleet.advance(BOUND_MS);
    assert_eq!(revisions(&fleet), [10; 8]);
}

// A peer announces a revision and then hangs. After a timeout the fetch must go to another peer.
// A publication that was not requested must not be accepted.
#[test]
fn a_peer_that_hangs_or_pushes_does_not_stop_the_others() {
    let mut fleet = fleet();
    let from_five = |body| CoreEvent::Message {
        from: host(5),
        incarnation: verbenaturn::units::RouterIncarnation(0),
        message: PeerMessage::new(body),
    };
    let pushed = PublicationOffer {
        revision: 50,
        text: Bytes::from_static(b"good 50"),
    };
    fleet.handle_event(2, from_five(PeerBody::Publication(pushed)));
    assert_eq!(revision(&fleet, 2), 1);
    fleet.cut.insert((2, 5));
    let announcement_ping = GossipPing {
        step: 1,
        revision: 60,
        ..GossipPing::default()
    };
    fleet.handle_event(2, from_five(PeerBody::Gossip(announcement_ping)));
    publish(&mut fleet, 0, 7);
    fleet.advance(2 * BOUND_MS);
    assert_eq!(revision(&fleet, 2), 7);
}

#[test]
fn two_routers_of_each_domain_watch_and_others_take_over() {
    let mut fleet = fleet();
    let watching = |fleet: &CoreFleet| -> Vec<usize> {
        (0..8)
            .filter(|router| fleet.cores[*router].is_some())
            .filter(|router| {
                let sync = &fleet.core(*router).state().publication_sync;
                sync.watching == Some(true)
            })
            .collect()
    };
    let before = watching(&fleet);
    assert_eq!(before.len(), 6, "three domains");
    let idle: Vec<usize> = (0..8).filter(|router| !before.contains(router)).collect();
    assert_eq!(idle.len(), 2);
    let lost = before
        .iter()
        .copied()
        .find(|router| router % 3 == idle[0] % 3);
    let lost = lost.expect("two of its domain watch");
    fleet.stop(lost);
    fleet.advance(3_000);
    assert!(watching(&fleet).contains(&idle[0]));
    assert!(!watching(&fleet).contains(&idle[1]));
    let actions = fleet.take(idle[0]);
    assert!(actions.contains(&CoreAction::WatchSource(true)));
}
