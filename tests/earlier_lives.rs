//! Late messages that were sent to an earlier incarnation of a restarted router.

mod cores;

use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::tables::entry_pool::EntryPool;
use verbenaturn::core::tables::entry_pool::epoch_of;
use verbenaturn::units::HostName;
use verbenaturn::wire::PeerBody;
use verbenaturn::wire::PeerMessage;
use verbenaturn::wire::allotment::SlotAllotment;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::endpoint;
use self::cores::host;
use self::cores::pool;

const SLOTS: u32 = 4;

fn owner_of(fleet: &CoreFleet) -> (usize, HostName) {
    let owner = fleet.core(0).state().members.owner_of(pool()).unwrap();
    let index = (0..2).find(|index| host(*index) == *owner).unwrap();
    (index, owner.clone())
}

fn entry_pool(fleet: &CoreFleet, router: usize) -> &EntryPool {
    &fleet.core(router).state().entry_pools[&pool()]
}

/// Slots held, and the sequence numbers of the last allotment seen and the last report
/// acknowledged.
fn counts(fleet: &CoreFleet, router: usize) -> (u32, u64, u64) {
    let pool = entry_pool(fleet, router);
    (pool.held, pool.allotment_seen, pool.report_acked)
}

/// Guards against leaked slots: a router restarts, and an allotment for its earlier incarnation
/// reaches the new one, whose slot counts have the same term. If the new one accepted it, the owner
/// would never learn that these slots are free, and no router would use them again.
#[test]
fn an_allotment_for_an_earlier_incarnation_of_a_router_is_dropped() {
    let mut fleet = CoreFleet::new(2, catalog(2, SLOTS));
    let (owner, owner_name) = owner_of(&fleet);
    let entry = 1 - owner;
    let earlier = fleet.incarnation_of(entry).unwrap();
    fleet.stop(entry);
    fleet.start(entry);
    fleet.advance(100);
    let before = counts(&fleet, entry);
    let owner_life = fleet.incarnation_of(owner).unwrap();
    let late = SlotAllotment {
        pool: pool().0,
        epoch: epoch_of(owner_life),
        entry: epoch_of(earlier),
        term: entry_pool(&fleet, entry).term,
        sequence: 37,
        acked: 53,
        target: 2 * SLOTS,
        endpoints: vec![endpoint(1).0, endpoint(2).0],
        granted: vec![u64::from(SLOTS), u64::from(SLOTS)],
        ..SlotAllotment::default()
    };
    let arrives = CoreEvent::Message {
        from: owner_name,
        incarnation: owner_life,
        message: PeerMessage::new(PeerBody::Allotment(late)),
    };
    fleet.handle_event(entry, arrives);
    assert_eq!(counts(&fleet, entry), before);
}
