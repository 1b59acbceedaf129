//! The gateway's decisions without a network: placement, admission, retries, and how failing
//! endpoints are treated.

use smol_str::SmolStr;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::decide::Admission;
use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::RetryBudget;
use verbenaturn::gateway::decide::budget::RetryBounds;
use verbenaturn::gateway::decide::shares::ShareStanding;
use verbenaturn::gateway::link::LinkSpeed;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::RouteTable;
use verbenaturn::gateway::routes::ServiceEntry;
use verbenaturn::units::TimeSpan;

mod engines;

use self::engines::LoadKind;
use self::engines::PlacementPolicy;
use self::engines::ask;
use self::engines::engine_service;
use self::engines::ms;
use self::engines::nadi;
use self::engines::place_of;
use self::engines::prompt;
use self::engines::route;
use self::engines::service;
use self::engines::simulate;
use self::engines::three_engines;

/// Long prompts with large shared parts, short prompts, and small checks: the usual load of a
/// registry's engines.
const KINDS: [LoadKind; 3] = [
    LoadKind {
        per_s: 50.0,
        own_tokens: 6_600.0,
        shared_tokens: 4_900,
        parts: 104,
        objective_ms: 800,
    },
    LoadKind {
        per_s: 130.0,
        own_tokens: 630.0,
        shared_tokens: 200,
        parts: 320,
        objective_ms: 600,
    },
    LoadKind {
        per_s: 100.0,
        own_tokens: 1_800.0,
        shared_tokens: 570,
        parts: 170,
        objective_ms: 1_200,
    },
];

/// Requests that share a long prompt part arrive at different routers. If they are spread over all
/// engines, each engine prefills the part, and the engines' time goes into prefilling the same
/// tokens again.
#[test]
fn routers_without_contact_send_a_shared_part_to_the_same_engine() {
    let (mut one, mut other) = (three_engines(), three_engines());
    for part in 1..50 {
        let prompt = prompt(part, 4_900, 100);
        let (now, later) = (ms(part * 1_000), ms(part * 1_000 + 1));
        assert_eq!(
            place_of(&mut one, now, &prompt),
            place_of(&mut other, later, &prompt)
        );
    }
}

#[test]
fn a_busy_home_gives_way_to_an_idle_engine() {
    let mut core = three_engines();
    let shared = prompt(7, 500, 100);
    let home = place_of(&mut core, ms(1), &shared).unwrap();
    let mut places = Vec::new();
    for _ in 0..8 {
        places.extend(place_of(&mut core, ms(2), &prompt(7, 500, 9_000)));
    }
    assert!(places.iter().any(|place| *place != home), "{places:?}");
}

/// The usual load: the engines have room if shared parts are in their prefix caches, and are
/// overloaded if each engine prefills them again.
#[test]
fn the_usual_load_is_in_time_where_round_robin_is_late() {
    for seed in 1..4 {
        let naive = simulate(&KINDS, 30, seed, PlacementPolicy::RoundRobin);
        let gateway = simulate(&KINDS, 30, seed, PlacementPolicy::Gateway);
        assert!(gateway.in_time_part() > 0.9, "seed {seed}: {gateway:?}");
        assert!(
            gateway.in_time_part() > naive.in_time_part() + 0.2,
            "seed {seed}: {naive:?}"
        );
        assert!(
            gateway.read_again < naive.read_again / 2.0,
            "seed {seed}: {naive:?}"
        );
    }
}

/// Overload: half as much again as the engines can do. Requests that can't be in time must be
/// refused at once, the rest must be in time, and no kind may starve.
#[test]
fn under_overload_most_of_what_is_sent_is_in_time_and_no_kind_starves() {
    let heavy = KINDS.map(|kind| LoadKind {
        per_s: kind.per_s * 1.7,
        ..kind
    });
    for seed in 1..4 {
        let result = simulate(&heavy, 30, seed, PlacementPolicy::Gateway);
        for kind in 0..heavy.len() {
            let sent = result.asked[kind] - result.refused[kind];
            let part = f64::from(sent) / f64::from(result.asked[kind]);
            assert!(part > 0.25, "seed {seed} kind {kind}: {result:?}");
            let in_time = f64::from(result.in_time[kind]) / f64::from(sent);
            assert!(in_time > 0.75, "seed {seed} kind {kind}: {result:?}");
        }
    }
}

/// Prompts of ten times the usual size arrive under overload. Their own prefill takes most of the
/// objective, so that any queue would get them refused each time.
#[test]
fn the_longest_prompts_are_served_half_as_often_as_their_kind_or_more() {
    let heavy = KINDS.map(|kind| LoadKind {
        per_s: kind.per_s * 1.5,
        ..kind
    });
    for seed in 1..4 {
        let result = simulate(&heavy, 60, seed, PlacementPolicy::Gateway);
        let (asked, sent) = result.longest;
        let longest = f64::from(sent) / f64::from(asked);
        let kind = 1.0 - f64::from(result.refused[0]) / f64::from(result.asked[0]);
        assert!(
            longest > 0.5 * kind,
            "seed {seed}: {longest} {kind} {result:?}"
        );
    }
}

/// Calls arrive just after all endpoints have reported that they are full. The pauses must not turn
/// into refusals while there is no other endpoint.
#[test]
fn pauses_of_all_endpoints_refuse_nothing() {
    let mut core = three_engines();
    let (route, service, shape, team) = (route("r", 800), service(), engine_service(), nadi());
    let prompt = prompt(1, 100, 100);
    for _ in 0..6 {
        let call = ask(&route, &service, &shape, &team, &prompt);
        let Admission::Send(ticket) = core.admit(ms(5), &call, ShareStanding::Within) else {
            panic!("refused");
        };
        core.ended(ms(6), ticket, AttemptEnd::Full);
    }
}

/// One engine fails its requests while the others work. Work must avoid it, and return once it has
/// been healthy for a while.
#[test]
fn work_goes_around_a_failing_endpoint_and_comes_back() {
    let mut core = three_engines();
    let bad = EndpointKey(SmolStr::new("engine-1"));
    let (route, service, shape, team) = (route("r", 800), service(), engine_service(), nadi());
    let run = |core: &mut GatewayCore, from: u64| {
        let mut count = 0;
        for step in 0..200 {
            let prompt = prompt(step, 100, 100);
            let call = ask(&route, &service, &shape, &team, &prompt);
            let now = ms(from + step * 10);
            let Admission::Send(ticket) = core.admit(now, &call, ShareStanding::Within) else {
                panic!("refused");
            };
            let failed = ticket.entry.key == bad && from < 10_000;
            count += u32::from(ticket.entry.key == bad);
            let end = if failed {
                AttemptEnd::Failed
            } else {
                AttemptEnd::Answered
            };
            core.ended(now, ticket, end);
        }
        count
    };
    let failing = run(&mut core, 0);
    assert!(failing < 30, "{failing} of 200 at a failing endpoint");
    let well = run(&mut core, 30_000);
    assert!(well > 30, "{well} of 200 at an endpoint that is well again");
}

/// Endpoints fail everywhere at once. The retries of all routers together must stay within the
/// published ratio and slack; more would double the load on the endpoints that still work.
#[test]
fn repeats_of_all_routers_stay_within_the_published_budget() {
    let bounds = RetryBounds {
        ratio: 0.2,
        slack: 56.0,
        window: TimeSpan::from_millis(10_000),
    };
    let service = service();
    let mut routers: Vec<RetryBudget> = (0..8).map(|_| RetryBudget::new(bounds)).collect();
    let (mut requests, mut repeats) = (0.0, 0.0);
    for step in 0..3_000_usize {
        // Half of all traffic arrives at one router.
        let router = if step % 2 == 0 { 0 } else { step % 8 };
        let now = ms(step as u64 * 10);
        routers[router].request(now, &service);
        let taken = routers[router].take(now, &service, 8);
        if step >= 2_000 {
            requests += 1.0;
            repeats += f64::from(u8::from(taken));
        }
    }
    assert!(
        repeats <= bounds.ratio * requests + bounds.slack,
        "{repeats}"
    );
    assert!(
        repeats > 0.1 * requests,
        "{repeats}: the budget is there to be used"
    );
}

/// Guards against retries beyond the budget when the processes of routers are killed again and
/// again: each new process knows nothing of what the one before has spent.
#[test]
fn repeats_of_routers_that_restart_in_series_stay_within_the_published_budget() {
    let bounds = RetryBounds {
        ratio: 0.2,
        slack: 56.0,
        window: TimeSpan::from_millis(10_000),
    };
    let service = service();
    for pause in [1_000, 2_000, 4_000, 9_000] {
        let mut started = 0;
        let mut routers: Vec<RetryBudget> = (0..8)
            .map(|_| RetryBudget::of_first_start(bounds))
            .collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for step in 0..4_000_u64 {
            let at = step * 10;
            if at >= 15_000 && at - started >= pause {
                routers = (0..8).map(|_| RetryBudget::new(bounds)).collect();
                started = at;
            }
            let router = usize::try_from(step % 8).unwrap();
            let now = ms(at - started);
            routers[router].request(now, &service);
            requests.push(at);
            if routers[router].take(now, &service, 8) {
                repeats.push(at);
            }
            let within = |times: &[u64]| times.iter().filter(|time| **time + 10_000 > at).count();
            #[allow(clippy::cast_precision_loss)]
            let allowed = bounds.ratio * within(&requests) as f64 + bounds.slack;
            #[allow(clippy::cast_precision_loss)]
            let used = within(&repeats) as f64;
            assert!(
                used <= allowed,
                "{used} of {allowed} at {at}, pause {pause}"
            );
        }
    }
}

/// Guards against retries beyond the budget when routers don't hear from each other for longer than a
/// silent router is remembered: each of them would spend the whole slack.
#[test]
fn routers_that_are_cut_off_from_each_other_keep_to_their_parts_of_the_slack() {
    let config = GatewayConfig {
        retry_ratio: 0.0,
        retry_slack: 56.0,
        ..GatewayConfig::default()
    };
    let mut core = GatewayCore::new(config, SmolStr::new("suva-a"));
    core.set_routers(ms(20_000), 8);
    core.set_routers(ms(60_000), 1);
    let granted = (0..20).filter(|_| core.take_retry(ms(60_000), &service()));
    assert!(granted.count() <= 7, "more than an eighth of the slack");
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut table = RouteTable::default();
    for (prefix, name) in [("/", "all"), ("/a/", "a"), ("/a/b/", "ab")] {
        let mut entry = route(name, 100);
        entry.prefix = SmolStr::new(prefix);
        table.add_route("Clinic.Example", entry);
    }
    table.finish();
    let name = |host: &str, path: &str| {
        let route = table.route(host, path.as_bytes());
        route.map(|route| route.name.to_string())
    };
    assert_eq!(name("clinic.example", "/a/b/c").as_deref(), Some("ab"));
    assert_eq!(name("clinic.example:80", "/a/bc").as_deref(), Some("a"));
    assert_eq!(name("CLINIC.example", "/x").as_deref(), Some("all"));
    assert_eq!(name("other.example", "/a/"), None);
}

/// Service whose engines fetch each other's prefix caches over a link of 550 Gbit/s.
fn fetching_service() -> ServiceEntry {
    let mut service = engine_service();
    if let Some(engine) = &mut service.engine {
        engine.token_bytes = 163_840;
        engine.memory_link = Some(LinkSpeed(550_000.0));
    }
    service
}

/// A part of 4,870 tokens is cached at its home engine, which has a queue. Another engine can fetch
/// it in a seventh of the prefill time; without the fetch the request waits, or the part is
/// prefilled again while other engines are idle.
#[test]
fn a_request_goes_to_an_idle_engine_that_fetches_the_kept_part() {
    let mut core = three_engines();
    let (route, service) = (route("plans", 800), "engine".parse().unwrap());
    let shape = fetching_service();
    let (asked, team) = (prompt(7, 4_870, 1_000), nadi());
    let mut homes = Vec::new();
    let mut fetched = None;
    for turn in 0..8 {
        let call = ask(&route, &service, &shape, &team, &asked);
        let Admission::Send(ticket) = core.admit(ms(turn), &call, ShareStanding::Within) else {
            panic!("refused at turn {turn}");
        };
        match ticket.fetch_from {
            None => homes.push(ticket.entry.key.clone()),
            Some(from) => fetched = Some((ticket.entry.key.clone(), from, ticket.reread)),
        }
    }
    let (engine, _, reread) = fetched.expect("no engine fetched the part");
    assert!(!homes.is_empty() && homes[0] != engine);
    assert!(reread < 1.0, "{reread}");
}

/// Guards against naming an engine to fetch from where the service's engines can't fetch.
#[test]
fn no_holder_is_named_for_engines_that_can_not_fetch() {
    let mut core = three_engines();
    let (route, service) = (route("plans", 800), "engine".parse().unwrap());
    let shape = engine_service();
    let (asked, team) = (prompt(7, 4_870, 1_000), nadi());
    for turn in 0..8 {
        let call = ask(&route, &service, &shape, &team, &asked);
        if let Admission::Send(ticket) = core.admit(ms(turn), &call, ShareStanding::Within) {
            assert_eq!(ticket.fetch_from, None);
        }
    }
}
