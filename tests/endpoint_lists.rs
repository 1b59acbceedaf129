//! The endpoints that the routers of a fleet use after outages of the store, without a network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use verbenaturn::gateway::endpoint_list::EndpointList;
use verbenaturn::gateway::endpoint_view::EndpointView;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

mod engines;

use self::engines::endpoints;

/// Time for which endpoints with lapsed registrations are kept.
const GRACE: TimeSpan = TimeSpan::from_millis(2_000);

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

type Entries = BTreeMap<EndpointKey, EndpointEntry>;

/// Returns the content of a store at a revision.
fn snapshot(entries: &Entries, revision: u64) -> (EndpointView, StoreRevision) {
    let mut view = EndpointView::default();
    view.replace(ms(0), entries.clone());
    (view, StoreRevision(revision))
}

fn read_store(list: &mut EndpointList, now: Moment, entries: &Entries, revision: u64) -> bool {
    let (view, as_of) = snapshot(entries, revision);
    list.apply_store_content(now, view.at(as_of))
}

fn without(entries: &Entries, count: usize) -> Entries {
    entries.clone().into_iter().skip(count).collect()
}

/// The store was down and comes back without the endpoints' registrations, which return one by one.
/// All endpoints are used during the grace period; afterwards those that have not returned are not
/// used.
#[test]
fn lapsed_endpoints_are_used_until_the_grace_is_over() {
    let all = endpoints("engine", 3);
    let mut list = EndpointList::default();
    read_store(&mut list, ms(0), &all, 1);
    list.store_returned(ms(10_000), GRACE);
    read_store(&mut list, ms(10_000), &BTreeMap::new(), 2);
    assert_eq!(list.used().len(), 3);
    let back: Entries = all.clone().into_iter().take(1).collect();
    read_store(&mut list, ms(10_100), &back, 3);
    assert_eq!(list.used().len(), 3);
    assert!(list.kept().values().all(|kept| kept.until == ms(12_000)));
    assert!(list.expire_kept(ms(11_999)).is_empty());
    assert_eq!(list.expire_kept(ms(12_000)).len(), 2);
    assert_eq!(list.used(), back);
    // Without an outage a removal takes effect at once.
    read_store(&mut list, ms(13_000), &BTreeMap::new(), 4);
    assert!(list.used().is_empty());
}

/// Another router sends the endpoints that it keeps. Its clock differs and the exchange takes time;
/// the endpoint must not be used for longer than at the sender.
#[test]
fn a_lapsed_endpoint_is_used_no_longer_than_by_the_sender() {
    let all = endpoints("engine", 3);
    let mut keeping = EndpointList::default();
    read_store(&mut keeping, ms(0), &all, 1);
    keeping.store_returned(ms(10_000), GRACE);
    read_store(&mut keeping, ms(10_000), &without(&all, 1), 2);
    // 11.5 s on its clock are 51.2 s on this router's; the request was sent 0.2 s before.
    let mut list = EndpointList::default();
    assert!(list.apply_peer_list(ms(51_200), ms(51_000), keeping.to_message(ms(11_500))));
    assert_eq!(list.used().len(), 3);
    list.expire_kept(ms(51_500));
    assert_eq!(list.used().len(), 2);
}

/// Guards against work for an endpoint that is known to have left: a reader that stood still takes
/// the departure for a lapsed registration, and another router fetches its list.
#[test]
fn an_endpoint_that_left_does_not_come_back_with_another_routers_list() {
    let all = endpoints("engine", 3);
    let mut reader = EndpointList::default();
    read_store(&mut reader, ms(0), &all, 1);
    let mut list = reader.clone();
    read_store(&mut list, ms(1_000), &without(&all, 1), 2);
    reader.store_returned(ms(3_000), GRACE);
    read_store(&mut reader, ms(3_000), &without(&all, 1), 3);
    assert!(list.apply_peer_list(ms(3_100), ms(3_100), reader.to_message(ms(3_100))));
    assert_eq!(list.used(), without(&all, 1));
}

/// Guards against work for an endpoint that said before a restore of the store that it leaves: the
/// older copy still has it as ready, until it has written its entry again.
#[test]
fn an_endpoint_that_was_leaving_before_a_restore_gets_no_work_after_it() {
    let all = endpoints("engine", 2);
    let mut leaving = all.clone();
    leaving.first_entry().unwrap().get_mut().state = EndpointState::Leaving;
    let mut list = EndpointList::default();
    let revision = |era, revision| StoreRevision::of_era(era, revision).unwrap().0;
    read_store(&mut list, ms(0), &all, revision(1, 50));
    read_store(&mut list, ms(1_000), &leaving, revision(1, 60));
    assert!(read_store(&mut list, ms(2_000), &all, revision(2, 55)));
    assert_eq!(list.registered(), &leaving);
}

/// After an outage of the store, routers lose and regain it at different moments, stop reading at
/// any moment, and fetch each other's lists. In any order of these events, no router uses an
/// endpoint that left after the store's return once the grace period is over, even if no further
/// change comes, and all routers use those that stay.
#[test]
fn no_order_of_events_keeps_a_gone_endpoint_after_the_grace() {
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = endpoints("engine", 4);
        let mut lists = vec![EndpointList::default(); 6];
        for list in &mut lists {
            read_store(list, ms(0), &all, 10);
        }
        let mut store = (all.clone(), 10);
        let left: BTreeSet<u64> = (0..2).map(|_| rng.random_range(10_000..11_900)).collect();
        for at in (10_000..12_000).step_by(50) {
            let now = ms(at);
            if left.iter().any(|moment| (at..at + 50).contains(moment)) {
                store = (without(&store.0, 1), store.1 + 1);
            }
            let index = rng.random_range(0..lists.len());
            match rng.random_range(0..3) {
                0 => lists[index].store_returned(ms(10_000), GRACE),
                1 => {
                    read_store(&mut lists[index], now, &store.0, store.1);
                }
                _ => {
                    let snapshot = lists[rng.random_range(0..lists.len())].to_message(now);
                    lists[index].apply_peer_list(now, now, snapshot);
                }
            }
        }
        let newest = lists.iter().map(EndpointList::as_of).max().unwrap();
        for list in &mut lists {
            list.expire_kept(ms(12_000));
            if list.as_of() == newest && newest == StoreRevision(store.1) {
                assert_eq!(list.used(), store.0, "seed {seed}");
            }
            assert!(list.kept().is_empty(), "seed {seed}");
        }
    }
}
