//! Health of endpoints that fail or hang while their probes report them as healthy, from a router's
//! own calls and other routers' reports, without a network.

use smol_str::SmolStr;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::AttemptTicket;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::endpoints::PeerLoad;
use verbenaturn::gateway::decide::health::PeerHealth;
use verbenaturn::gateway::protocol::PartId;
use verbenaturn::gateway::protocol::PromptPart;
use verbenaturn::gateway::protocol::PromptShape;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::units::Moment;

mod engines;

use self::engines::endpoints;
use self::engines::route;
use self::engines::sent;

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn core(endpoint_count: usize) -> GatewayCore {
    let mut core = GatewayCore::new(GatewayConfig::default(), SmolStr::new("suva-a"));
    core.set_endpoints(Moment(0), &endpoints("engine", endpoint_count));
    core
}

/// Places a short prompt without shared parts, at `now`.
fn placed(core: &mut GatewayCore, now: Moment, number: u64) -> AttemptTicket {
    let prompt = PromptShape {
        prompt_tokens: 500,
        output_limit: 100,
        output_hint: None,
        parts: vec![PromptPart {
            id: PartId(1_000 + number),
            tokens: 500,
        }],
    };
    sent(core, now, &route("queries", 800), &prompt)
}

fn key_of(core: &GatewayCore, index: usize) -> EndpointKey {
    core.endpoints.rows().nth(index).unwrap().entry.key.clone()
}

fn peer_report(core: &GatewayCore, index: usize, health: PeerHealth) -> (u32, PeerLoad) {
    let load = PeerLoad {
        health,
        ..PeerLoad::default()
    };
    (core.endpoints.rows().nth(index).unwrap().life, load)
}

/// An engine hangs: it accepts requests and sends nothing, while its probe succeeds. Requests that
/// may not run elsewhere wait there until their callers give up, seconds later. Work that arrives
/// before the first caller gives up must already go elsewhere.
#[test]
fn a_hung_engine_gets_no_more_work_after_half_a_second() {
    let mut core = core(2);
    let hung = placed(&mut core, ms(1_000), 0).entry.key;
    let mut here = 0;
    for number in 1..40 {
        let now = ms(1_600 + number * 50);
        let mut ticket = placed(&mut core, now, number);
        here += usize::from(ticket.entry.key == hung);
        if ticket.entry.key != hung {
            core.first_output(now, &mut ticket);
            core.ended(now, ticket, AttemptEnd::Answered);
        }
    }
    assert_eq!(here, 0);
}

/// An engine takes longer than predicted, since other routers sent it work that this one does not
/// know of yet, and they receive data from it. If it counted as hung, its work would go to the
/// other engines, which then would be late in turn, until all engines seem hung.
#[test]
fn a_busy_engine_that_answers_other_routers_is_used() {
    let mut core = core(2);
    let _waiting = placed(&mut core, ms(1_000), 0);
    let receiving_report = PeerHealth {
        receiving: 1,
        ..PeerHealth::default()
    };
    let loads = [
        peer_report(&core, 0, receiving_report),
        peer_report(&core, 1, receiving_report),
    ];
    core.set_peer_loads(&loads.into_iter().collect());
    let mut used = std::collections::BTreeSet::new();
    for number in 1..20 {
        used.insert(placed(&mut core, ms(1_900 + number), number).entry.key);
    }
    assert_eq!(used.len(), 2);
}

/// Two routers report an engine as silent. A third one that has sent it nothing for a while must
/// not find out for itself at the cost of a caller; in a fleet of a hundred routers each would.
#[test]
fn an_engine_that_two_routers_report_as_silent_is_not_used() {
    let mut core = core(2);
    let silent = PeerHealth {
        silent: 2,
        ..PeerHealth::default()
    };
    let loads = [peer_report(&core, 0, silent)];
    core.set_peer_loads(&loads.into_iter().collect());
    for number in 0..20 {
        let ticket = placed(&mut core, ms(5_000 + number), number);
        assert_eq!(ticket.entry.key, key_of(&core, 1));
    }
}

/// An engine resets half of its requests, and each router sees one of them every few seconds. Their
/// combined reports must show it at once.
#[test]
fn failures_reported_by_other_routers_count() {
    let mut core = core(3);
    let failing = PeerHealth {
        attempts: 2_000,
        failures: 1_000,
        receiving: 5,
        ..PeerHealth::default()
    };
    let loads = [peer_report(&core, 2, failing)];
    core.set_peer_loads(&loads.into_iter().collect());
    for number in 0..30 {
        let ticket = placed(&mut core, ms(5_000 + number), number);
        assert_ne!(ticket.entry.key, key_of(&core, 2));
    }
}

/// One request in seven fails wherever it runs. All routers know the same totals, in which one
/// endpoint is slightly better by chance: if that decided, all routers would send everything there.
#[test]
fn small_differences_of_failures_move_nothing() {
    let mut core = core(3);
    let rates = [1_400, 1_200, 800];
    let loads: Vec<_> = rates
        .iter()
        .enumerate()
        .map(|(index, failures)| {
            let health = PeerHealth {
                attempts: 10_000,
                failures: *failures,
                receiving: 5,
                ..PeerHealth::default()
            };
            peer_report(&core, index, health)
        })
        .collect();
    core.set_peer_loads(&loads.into_iter().collect());
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..60 {
        let ticket = placed(&mut core, ms(5_000 + number), number);
        *counts.entry(ticket.entry.key).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 3);
    assert!(counts.values().all(|count| *count >= 10), "{counts:?}");
}

/// A router's own links to the engines are cut. Its reports that all of them are silent must not
/// reach the other routers.
#[test]
fn a_router_with_cut_links_reports_no_health() {
    let mut core = core(4);
    for number in 0..8 {
        let _waiting = placed(&mut core, ms(1_000 + number), number);
    }
    assert!(core.endpoints.is_health_reportable(ms(1_100)));
    assert!(!core.endpoints.is_health_reportable(ms(4_000)));
}

/// Runs `count` attempts whose first output takes `factor` times the predicted time, and returns
/// the time in ms at the end.
fn late_outputs(core: &mut GatewayCore, count: u64, factor: f64, from: u64) -> u64 {
    let mut at = from;
    for number in 0..count {
        let mut tickets: Vec<_> = (0..8)
            .map(|other| placed(core, ms(at), number * 8 + other))
            .collect();
        let mut last = tickets.pop().unwrap();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let taken = (last.first_ms * factor) as u64;
        core.first_output(ms(at + taken), &mut last);
        core.ended(ms(at + taken), last, AttemptEnd::Answered);
        for ticket in tickets {
            core.ended(ms(at + taken), ticket, AttemptEnd::Abandoned);
        }
        at += taken + 1;
    }
    at
}

/// A flood fills a small host's link, and every first output arrives late there. The router learns
/// that all engines are slow, refuses every call, and then takes no measurements that could correct
/// it: the engines idle while it refuses calls that other routers serve.
#[test]
fn a_router_that_measured_slow_engines_does_not_shut_itself_out() {
    let mut core = core(1);
    let end = late_outputs(&mut core, 60, 6.0, 1_000);
    let row = core.endpoints.rows().next().unwrap();
    assert!(row.health.slowness(ms(end)) > 2.0);
    assert!(row.health.slowness(ms(end + 10_000)) < 1.1);
}

/// The same host knows that its link is full: the delay that it measures is its own.
#[test]
fn a_disturbed_router_holds_its_delay_against_no_endpoint() {
    let mut core = core(1);
    core.set_disturbed(true);
    let end = late_outputs(&mut core, 60, 6.0, 1_000);
    let row = core.endpoints.rows().next().unwrap();
    assert!(row.health.slowness(ms(end)) < 1.05);
    for turn in 0..6 {
        let at = ms(end + 1_000 * (turn + 1));
        let ticket = placed(&mut core, at, 900 + turn);
        core.ended(at, ticket, AttemptEnd::NotReached);
        let row = core.endpoints.rows().next().unwrap();
        assert!(row.paused_until.since(at).as_millis() <= 250);
    }
}
