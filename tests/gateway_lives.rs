//! Endpoints that restart under their key, without a network: what was learned about the former
//! process must not be applied to the new one.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::AttemptTicket;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::endpoints::PeerLoad;
use verbenaturn::gateway::endpoint_list::EndpointList;
use verbenaturn::gateway::endpoint_list::EndpointListMessage;
use verbenaturn::gateway::endpoint_view::EndpointView;
use verbenaturn::gateway::follow::StoreRevision;
use verbenaturn::gateway::metrics::GatewayMetrics;
use verbenaturn::gateway::protocol::PartId;
use verbenaturn::gateway::protocol::PromptPart;
use verbenaturn::gateway::protocol::PromptShape;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::EndpointState;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::gateway::shared::SharedState;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

mod engines;

use self::engines::endpoints;
use self::engines::route;
use self::engines::sent;

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn single() -> BTreeMap<EndpointKey, EndpointEntry> {
    endpoints("engine", 1)
}

fn born(entries: &BTreeMap<EndpointKey, EndpointEntry>, at: u64) -> EndpointEntry {
    let entry = entries.values().next().unwrap().clone();
    EndpointEntry {
        born: ProcessStartTime(at),
        ..entry
    }
}

fn restarted(core: &mut GatewayCore, at: u64) {
    let entry = born(&single(), at);
    core.set_endpoints(Moment(0), &BTreeMap::from([(entry.key.clone(), entry)]));
}

fn placed(core: &mut GatewayCore, now: Moment) -> AttemptTicket {
    let prompt = PromptShape {
        prompt_tokens: 6_000,
        output_limit: 100,
        output_hint: None,
        parts: vec![
            PromptPart {
                id: PartId(1),
                tokens: 5_000,
            },
            PromptPart {
                id: PartId(2),
                tokens: 1_000,
            },
        ],
    };
    sent(core, now, &route("plans", 800), &prompt)
}

fn core() -> GatewayCore {
    let mut core = GatewayCore::new(GatewayConfig::default(), SmolStr::new("suva-a"));
    core.set_endpoints(Moment(0), &single());
    core
}

/// An engine crashes with a queue and restarts under its key at once. Its queue, cache, failures
/// and pause ended with the process. A router that still counts them sends no work to an idle
/// engine, and one that assumes the former cache queues whole prompts as if they were short.
#[test]
fn what_was_learned_of_a_former_process_goes_with_it() {
    let mut core = core();
    let ticket = placed(&mut core, ms(0));
    let failed = placed(&mut core, ms(1));
    core.ended(ms(20), failed, AttemptEnd::NotReached);
    let key = ticket.entry.key.clone();
    let before = core.endpoints.get(&key).unwrap();
    assert!(before.pending_tokens > 0.0 && before.paused_until > ms(20));
    assert!(!before.parts.is_empty());
    restarted(&mut core, 2);
    let after = core.endpoints.get(&key).unwrap();
    assert_eq!((after.active, after.pending_tokens), (0, 0.0));
    assert_eq!(after.paused_until, Moment(0));
    assert!(after.parts.is_empty());
    assert!(after.health.failure_rate(ms(21)) <= 0.0);
}

/// A call at the former process ends when the new process already has work. Its end must not
/// release the load of the new process.
#[test]
fn the_end_of_a_former_attempt_does_not_count_for_the_later_process() {
    let mut core = core();
    let former = placed(&mut core, ms(0));
    restarted(&mut core, 2);
    let later = placed(&mut core, ms(10));
    let key = later.entry.key.clone();
    let busy = core.endpoints.get(&key).unwrap().pending_tokens;
    core.ended(ms(20), former, AttemptEnd::Failed);
    let row = core.endpoints.get(&key).unwrap();
    assert_eq!((row.active, row.pending_tokens), (1, busy));
    assert!(row.health.failure_rate(ms(20)) <= 0.0);
}

/// An engine crashes and restarts behind a network partition; connections to the former process
/// stay open and silent. Calls on them must be notified of the restart.
#[tokio::test]
async fn attempts_at_a_former_process_are_notified() {
    let mut core = core();
    let ticket = placed(&mut core, ms(0));
    restarted(&mut core, 1);
    let limit = std::time::Duration::from_millis(20);
    let told = tokio::time::timeout(limit, ticket.replaced()).await;
    assert!(told.is_err(), "the same process registered again");
    restarted(&mut core, 2);
    assert!(tokio::time::timeout(limit, ticket.replaced()).await.is_ok());
}

/// Peers report their load at the former process until their calls there end. If it counted for the
/// new process, an idle engine would seem busy.
#[test]
fn load_reported_at_a_former_process_does_not_count_for_the_later_one() {
    let mut core = core();
    let before = core.endpoints.rows().next().unwrap().life;
    restarted(&mut core, 2);
    let load = PeerLoad {
        active: 30,
        pending_tokens: 90_000.0,
        ..PeerLoad::default()
    };
    core.set_peer_loads(&BTreeMap::from([(before, load)]));
    let row = core.endpoints.rows().next().unwrap();
    assert_eq!((row.total_active(), row.total_pending()), (0, 0.0));
}

/// The last write of a crashed engine, that it is leaving, reaches the store after its restart. The
/// new process works and must be used, and the former must not be restored.
#[test]
fn a_late_entry_of_a_former_process_changes_nothing() {
    let entries = single();
    let mut view = EndpointView::default();
    view.put(ms(0), born(&entries, 20));
    let late = EndpointEntry {
        state: EndpointState::Leaving,
        ..born(&entries, 10)
    };
    view.put(ms(1), late.clone());
    assert_eq!(
        view.at(StoreRevision(1)).entries.values().next(),
        Some(&born(&entries, 20))
    );
    view.remove(ms(2), &late.key);
    view.put(ms(3), late.clone());
    assert!(view.at(StoreRevision(1)).entries.is_empty(), "{view:?}");
    view.put(ms(4), born(&entries, 30));
    assert_eq!(
        view.at(StoreRevision(1)).entries.values().next(),
        Some(&born(&entries, 30))
    );
}

/// Guards against work for a leaving endpoint whose entry lacks the start time: it must not be taken
/// for the entry of an earlier process.
#[test]
fn a_leaving_entry_without_a_start_time_is_that_of_the_known_process() {
    let entries = single();
    let mut view = EndpointView::default();
    view.put(ms(0), born(&entries, 20));
    let leaving = EndpointEntry {
        state: EndpointState::Leaving,
        ..born(&entries, 0)
    };
    view.put(ms(1), leaving);
    let entries = view.at(StoreRevision(1)).entries;
    let entry = entries.values().next().unwrap();
    assert_eq!(
        (entry.state, entry.born),
        (EndpointState::Leaving, ProcessStartTime(20))
    );
}

/// The complete list of the store is read just after such a late write.
#[test]
fn a_list_with_an_entry_of_a_former_process_keeps_the_later_one() {
    let entries = single();
    let mut view = EndpointView::default();
    view.put(ms(0), born(&entries, 20));
    let late = born(&entries, 10);
    view.replace(ms(1), BTreeMap::from([(late.key.clone(), late)]));
    assert_eq!(
        view.at(StoreRevision(1)).entries.values().next(),
        Some(&born(&entries, 20))
    );
}

/// A peer that started after the crash accepted the late entry and passes it on with a newer
/// revision of the store.
#[test]
fn a_peer_can_not_bring_a_former_process_back() {
    let metrics = GatewayMetrics::new().unwrap();
    let shared = SharedState::new(GatewayConfig::default(), SmolStr::new("suva-a"), metrics);
    let entries = single();
    let offer = |revision, at| {
        let entry = born(&entries, at);
        let told = EndpointListMessage {
            entries: BTreeMap::from([(entry.key.clone(), entry)]),
            kept: BTreeMap::new(),
            revision,
        };
        shared.adopt_endpoints(shared.clock.now(), told)
    };
    assert!(offer(5, 20));
    assert!(offer(6, 10));
    let list = shared.endpoints();
    assert_eq!(list.as_of(), StoreRevision(6));
    assert_eq!(list.registered().values().next(), Some(&born(&entries, 20)));
}

/// During an outage of the store an endpoint's entry was overwritten with something else. Unlike an
/// endpoint whose registration lapsed, this one is not used until it registers again; the others
/// are not affected.
#[test]
fn an_entry_that_names_nothing_is_not_used_as_lapsed() {
    let all = endpoints("engine", 2);
    let (mut view, mut list) = (EndpointView::default(), EndpointList::default());
    view.replace(ms(0), all.clone());
    list.apply_store_content(ms(0), view.at(StoreRevision(1)));
    list.store_returned(ms(10), TimeSpan::from_millis(2_000));
    let key = all.keys().next().unwrap();
    view.discard(key);
    let rest = all.iter().filter(|(other, _)| *other != key);
    let rest: BTreeMap<_, _> = rest
        .map(|(key, entry)| (key.clone(), entry.clone()))
        .collect();
    view.replace(ms(20), rest.clone());
    list.apply_store_content(ms(20), view.at(StoreRevision(2)));
    assert_eq!(list.used(), rest);
}
