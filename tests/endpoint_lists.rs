//! The endpoints that routers use after an outage of the store: those that lapsed stay in use for a
//! grace. Runs without a network.

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
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

mod engines;

use self::engines::endpoints;

/// Time for which lapsed endpoints stay in use.
const GRACE: TimeSpan = TimeSpan::from_millis(2_000);

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

type Entries = BTreeMap<EndpointKey, EndpointEntry>;

/// Returns a view of these entries and the revision at which the store holds them.
fn snapshot(entries: &Entries, revision: u64) -> (EndpointView, StoreRevision) {
    let mut view = EndpointView::default();
    view.replace(ms(0), entries.clone());
    (view, StoreRevision(revision))
}

fn read_store(list: &mut EndpointList, now: Moment, entries: &Entries, revision: u64) -> bool {
    let (view, as_of) = snapshot(entries, revision);
    list.advance(now, view.at(as_of))
}

fn without(entries: &Entries, count: usize) -> Entries {
    entries.clone().into_iter().skip(count).collect()
}

/// Guards against routers that refuse all calls after an outage of the store, in which entries
/// lapse and then return one by one: all endpoints must stay in use until the grace is over, and
/// after it only those that returned.
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
    assert!(list.end_kept(ms(11_999)).is_empty());
    assert_eq!(list.end_kept(ms(12_000)).len(), 2);
    assert_eq!(list.used(), back);
    // Without an outage a removal takes effect at once.
    read_store(&mut list, ms(13_000), &BTreeMap::new(), 4);
    assert!(list.used().is_empty());
}

/// Guards against a grace that grows as lists pass between routers: the sender's clock differs and
/// the exchange takes time, but the receiver must not use a lapsed endpoint for longer than the
/// sender.
#[test]
fn a_lapsed_endpoint_is_used_no_longer_than_by_the_sender() {
    let all = endpoints("engine", 3);
    let mut keeping = EndpointList::default();
    read_store(&mut keeping, ms(0), &all, 1);
    keeping.store_returned(ms(10_000), GRACE);
    read_store(&mut keeping, ms(10_000), &without(&all, 1), 2);
    // The sender's 11.5 s are the receiver's 51.2 s; the request was sent 0.2 s before that.
    let mut list = EndpointList::default();
    assert!(list.adopt(ms(51_200), ms(51_000), keeping.telling(ms(11_500))));
    assert_eq!(list.used().len(), 3);
    list.end_kept(ms(51_500));
    assert_eq!(list.used().len(), 2);
}

/// Guards against endpoints that stay in use after they left: routers lose and reach the store at
/// different times, stop reading it at any time, and fetch each other's lists. In whatever order
/// this happens, once the grace is over no router may use an endpoint that left after the store's
/// return, even if no further change follows, and all must use those that stayed.
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
                    let snapshot = lists[rng.random_range(0..lists.len())].telling(now);
                    lists[index].adopt(now, now, snapshot);
                }
            }
        }
        let newest = lists.iter().map(EndpointList::as_of).max().unwrap();
        for list in &mut lists {
            list.end_kept(ms(12_000));
            if list.as_of() == newest && newest == StoreRevision(store.1) {
                assert_eq!(list.used(), store.0, "seed {seed}");
            }
            assert!(list.kept().is_empty(), "seed {seed}");
        }
    }
}
