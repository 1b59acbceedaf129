//! The gateway's decisions without a network: placement, admission, shares, retries, and what is
//! believed of endpoints.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::decide::Admission;
use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::RetryBudget;
use verbenaturn::gateway::decide::budget::RetryBounds;
use verbenaturn::gateway::decide::levels::max_min_level;
use verbenaturn::gateway::decide::shares::ShareStanding;
use verbenaturn::gateway::decide::shares::ShareTable;
use verbenaturn::gateway::decide::shares::TeamFlow;
use verbenaturn::gateway::link::LinkSpeed;
use verbenaturn::gateway::protocol::PromptPart;
use verbenaturn::gateway::protocol::PromptShape;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::RouteTable;
use verbenaturn::gateway::routes::ServiceEntry;
use verbenaturn::gateway::routes::ServiceKey;
use verbenaturn::gateway::routes::TeamKey;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

mod engines;

use self::engines::LoadKind;
use self::engines::PlacementPolicy;
use self::engines::ask;
use self::engines::endpoints;
use self::engines::engine_service;
use self::engines::play;
use self::engines::route;

/// Long prompts with large shared parts, short ones, and small checks, as a registry's engines
/// get them.
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

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn core() -> GatewayCore {
    let mut core = GatewayCore::new(GatewayConfig::default(), SmolStr::new("suva-a"));
    core.set_endpoints(Moment(0), &endpoints("engine", 3));
    core
}

fn prompt(part: u64, shared: u32, own: u32) -> PromptShape {
    PromptShape {
        prompt_tokens: shared + own,
        output_limit: 100,
        output_hint: None,
        parts: vec![
            PromptPart {
                id: part,
                tokens: shared,
            },
            PromptPart { id: 0, tokens: own },
        ],
    }
}

fn asked(tokens_per_s: f64) -> TeamFlow {
    TeamFlow {
        asked: tokens_per_s,
        served: 0.0,
        ..TeamFlow::default()
    }
}

fn service() -> ServiceKey {
    ServiceKey(SmolStr::new("engine"))
}

fn nadi() -> TeamKey {
    TeamKey(SmolStr::new("nadi"))
}

/// Where a core sends a prompt; nothing if it refuses it.
fn sent(core: &mut GatewayCore, now: Moment, prompt: &PromptShape) -> Option<EndpointKey> {
    let (route, service, shape, team) = (route("r", 800), service(), engine_service(), nadi());
    let call = ask(&route, &service, &shape, &team, prompt);
    let standing = core.arrived(now, &call);
    match core.admit(now, &call, standing) {
        Admission::Send(ticket) => Some(ticket.entry.key),
        Admission::Refuse { .. } => None,
    }
}

/// Requests that share a long part come to different routers. Spread over all engines, each of
/// these reads the part; the engines' time goes into reading the same tokens again.
#[test]
fn routers_that_never_spoke_send_a_shared_part_to_the_same_engine() {
    let (mut one, mut other) = (core(), core());
    for part in 1..50 {
        let prompt = prompt(part, 4_900, 100);
        let (now, later) = (ms(part * 1_000), ms(part * 1_000 + 1));
        assert_eq!(
            sent(&mut one, now, &prompt),
            sent(&mut other, later, &prompt)
        );
    }
}

#[test]
fn a_busy_home_gives_way_to_an_idle_engine() {
    let mut core = core();
    let shared = prompt(7, 500, 100);
    let home = sent(&mut core, ms(1), &shared).unwrap();
    let mut places = Vec::new();
    for _ in 0..8 {
        places.extend(sent(&mut core, ms(2), &prompt(7, 500, 9_000)));
    }
    assert!(places.iter().any(|place| *place != home), "{places:?}");
}

/// The usual load: the engines have room if shared parts are found in their caches, and are
/// overloaded if each reads them again.
#[test]
fn the_usual_load_is_in_time_where_round_robin_is_late() {
    for seed in 1..4 {
        let naive = play(&KINDS, 30, seed, PlacementPolicy::RoundRobin);
        let gateway = play(&KINDS, 30, seed, PlacementPolicy::Gateway);
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

/// Half as much again as the engines can do. What can't be in time is refused at once, and the
/// rest is in time; no kind is left out.
#[test]
fn under_overload_most_of_what_is_sent_is_in_time_and_no_kind_starves() {
    let heavy = KINDS.map(|kind| LoadKind {
        per_s: kind.per_s * 1.7,
        ..kind
    });
    for seed in 1..4 {
        let result = play(&heavy, 30, seed, PlacementPolicy::Gateway);
        for kind in 0..heavy.len() {
            let sent = result.asked[kind] - result.refused[kind];
            let part = f64::from(sent) / f64::from(result.asked[kind]);
            assert!(part > 0.25, "seed {seed} kind {kind}: {result:?}");
            let in_time = f64::from(result.in_time[kind]) / f64::from(sent);
            assert!(in_time > 0.75, "seed {seed} kind {kind}: {result:?}");
        }
    }
}

/// Prompts of ten times the usual size come under overload. Their own reading takes most of the
/// objective, so that any queue would refuse them each time.
#[test]
fn the_longest_prompts_are_served_half_as_often_as_their_kind_or_more() {
    let heavy = KINDS.map(|kind| LoadKind {
        per_s: kind.per_s * 1.5,
        ..kind
    });
    for seed in 1..4 {
        let result = play(&heavy, 60, seed, PlacementPolicy::Gateway);
        let (asked, sent) = result.longest;
        let longest = f64::from(sent) / f64::from(asked);
        let kind = 1.0 - f64::from(result.refused[0]) / f64::from(result.asked[0]);
        assert!(
            longest > 0.5 * kind,
            "seed {seed}: {longest} {kind} {result:?}"
        );
    }
}

/// Ten calls an instant after an endpoint refused them all. Its pause must not turn into refusals
/// of what comes next while there is no other endpoint.
#[test]
fn pauses_of_all_endpoints_refuse_nothing() {
    let mut core = core();
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

/// An engine fails part of its requests while the others don't. Work must go around it, and come
/// back when it has been well for a while.
#[test]
fn work_goes_around_a_failing_endpoint_and_comes_back() {
    let mut core = core();
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

#[test]
fn max_min_shares_fill_up_from_the_least_demand() {
    assert!((max_min_level(100.0, [10.0, 20.0, 200.0].into_iter()) - 70.0).abs() < 1e-9);
    assert!((max_min_level(90.0, [50.0, 60.0, 70.0].into_iter()) - 30.0).abs() < 1e-9);
    assert!(max_min_level(100.0, [10.0, 20.0].into_iter()).is_infinite());
}

/// One team sends ten times its usual. It is held to its share, the others ask what they always
/// did and stay within theirs.
#[test]
fn a_flooding_team_is_beyond_its_share_and_the_others_are_not() {
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let teams: Vec<TeamKey> = ["flood", "a", "b"]
        .iter()
        .map(|name| TeamKey(SmolStr::new(*name)))
        .collect();
    let mut passed = [0_u32; 3];
    for step in 0..2_000_u64 {
        let now = ms(step * 10);
        if step % 10 == 0 {
            shares.share_out(now, 30_000.0, &BTreeMap::new());
        }
        for (team, tokens) in [1_000.0, 80.0, 80.0].into_iter().enumerate() {
            if shares.ask(now, &teams[team], tokens) == ShareStanding::Within {
                shares.serve(now, &teams[team], tokens);
                passed[team] += 1;
            }
        }
    }
    // 30,000 tokens a second less two times 8,000 leave 14,000 of the 100,000 asked.
    let part = f64::from(passed[0]) / 2_000.0;
    assert!((0.1..0.25).contains(&part), "{part}");
    assert_eq!(passed[1..], [2_000, 2_000]);
}

/// Two teams are far beyond their shares, one asking five times as often as the other. What
/// endpoints can do besides must not all go to the one that asks most.
#[test]
fn a_team_that_has_much_beyond_its_share_needs_an_emptier_endpoint() {
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let elsewhere = BTreeMap::from([(1, asked(90_000.0))]);
    let mut standings = Vec::new();
    for step in 0..1_000_u64 {
        let now = ms(step * 10);
        shares.share_out(now, 20_000.0, &elsewhere);
        standings.push(shares.ask(now, &nadi(), 1_000.0));
        shares.serve(now, &nadi(), 1_000.0);
    }
    // Served 100,000 of its share of 10,000.
    let Some(ShareStanding::Beyond(served)) = standings.pop() else {
        panic!("within its share");
    };
    assert!((8.0..11.0).contains(&served), "{served}");
}

/// One team comes through all routers, another through one. Both are beyond their shares, the
/// first five times. Where both find the same queue, only the one that has less may be sent, or
/// service follows how often a team asks.
#[test]
fn the_same_queue_refuses_who_has_five_shares_and_not_who_has_one_and_a_half() {
    let mut core = core();
    let (route, service, shape, team) = (route("r", 800), service(), engine_service(), nadi());
    for part in 0..3 {
        assert!(sent(&mut core, ms(1), &prompt(100 + part, 10, 3_000)).is_some());
    }
    let short = prompt(1, 10, 100);
    let call = ask(&route, &service, &shape, &team, &short);
    let much = core.admit(ms(2), &call, ShareStanding::Beyond(5.0));
    assert!(matches!(much, Admission::Refuse { .. }), "{much:?}");
    let little = core.admit(ms(2), &call, ShareStanding::Beyond(1.5));
    assert!(matches!(little, Admission::Send(_)), "{little:?}");
}

/// Every second request of a team that is held to its share finds the endpoints full. Charged for
/// these as well, the team would get half of its share, for as long as the others press.
#[test]
fn refused_requests_cost_no_share() {
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let elsewhere = BTreeMap::from([(1, asked(90_000.0))]);
    let mut served = 0.0;
    for step in 0..2_000_u64 {
        let now = ms(step * 10);
        shares.share_out(now, 60_000.0, &elsewhere);
        let standing = shares.ask(now, &nadi(), 1_000.0);
        if standing == ShareStanding::Within && step % 2 == 0 {
            shares.serve(now, &nadi(), 1_000.0);
            served += 1_000.0;
        }
    }
    // Half of 60,000 a second for 20 s, less the first second.
    assert!(served > 0.9 * 30_000.0 * 19.0, "{served}");
}

/// A team comes through ninety routers. At each of them it is served one request in some seconds,
/// which is less than that router's part of its share; all together serve it twice its share. If
/// each router counted for itself, it would get room that belongs to a team with one router.
#[test]
fn what_other_routers_serve_counts_as_served() {
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let flow = TeamFlow {
        asked: 90_000.0,
        served: 20_000.0,
        ..TeamFlow::default()
    };
    let elsewhere = BTreeMap::from([(nadi().hash(), flow), (1, asked(90_000.0))]);
    for step in 0..100 {
        shares.ask(ms(step * 40), &nadi(), 25.0);
    }
    shares.share_out(ms(4_000), 20_000.0, &elsewhere);
    let standing = shares.ask(ms(4_000), &nadi(), 25.0);
    let ShareStanding::Beyond(served) = standing else {
        panic!("within its share");
    };
    assert!((1.9..2.1).contains(&served), "{served}");
}

/// All routers lost power and start again. One team floods from the first moment. Measured over a
/// window of four seconds its demand seems to fit for the first two, and it takes the engines'
/// queues from all others.
#[test]
fn a_flood_is_shared_out_within_a_second_of_a_start() {
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let rate = 100_000.0;
    for step in 0..80 {
        shares.ask(ms(10_000 + step * 10), &nadi(), 3_000.0);
    }
    shares.share_out(ms(10_800), rate, &BTreeMap::new());
    // A first one passes on any rest of the share, and leaves debt.
    shares.ask(ms(10_810), &nadi(), 3_000.0);
    shares.serve(ms(10_810), &nadi(), 3_000.0);
    let standing = shares.ask(ms(10_820), &nadi(), 3_000.0);
    assert!(matches!(standing, ShareStanding::Beyond(_)), "{standing:?}");
}

/// A team is over its share because of what it asks of other routers.
#[test]
fn what_other_routers_are_asked_counts() {
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let team = nadi();
    let elsewhere = BTreeMap::from([(team.hash(), asked(90_000.0)), (1, asked(5_000.0))]);
    let mut passed = 0;
    for step in 0..1_000_u64 {
        let now = ms(step * 10);
        shares.share_out(now, 50_000.0, &elsewhere);
        if shares.ask(now, &team, 100.0) == ShareStanding::Within {
            shares.serve(now, &team, 100.0);
            passed += 1;
        }
    }
    // 45,000 of 100,000 are its share; this router's part of them is a tenth, as of its demand.
    assert!((350..600).contains(&passed), "{passed}");
}

/// Endpoints fail everywhere at once. Repeats of all routers together must stay within the
/// published ratio and slack, or they double the load on what still works.
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
        // Half of all traffic comes to one router.
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

/// Shape of engines that fetch each other's memory over a link of 550 Gbit/s.
fn fetching_service() -> ServiceEntry {
    let mut service = engine_service();
    if let Some(engine) = &mut service.engine {
        engine.token_bytes = 163_840;
        engine.memory_link = Some(LinkSpeed(550_000.0));
    }
    service
}

/// A part of 4,870 tokens lies at its home, which has a queue. Another engine gets it from there
/// in a seventh of the time that reading takes; without that the request waits, or the part is
/// read again while other engines idle.
#[test]
fn a_request_goes_to_an_idle_engine_that_fetches_the_kept_part() {
    let mut core = core();
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

/// Where engines fetch nothing, nothing names a holder.
#[test]
fn engines_that_can_not_fetch_are_told_of_no_holder() {
    let mut core = core();
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

/// Tokens a second that a team may use within its share at a router that gets a tenth of its
/// demand, when all routers together are known to serve it this much.
fn used_within(served_elsewhere: f64) -> f64 {
    let (team, mut shares) = (nadi(), ShareTable::new(TimeSpan::from_millis(4_000)));
    let steady = |served| TeamFlow {
        asked: 900_000.0,
        asked_lately: 900_000.0,
        served,
    };
    let others = BTreeMap::from([(team.hash(), steady(served_elsewhere)), (1, steady(0.0))]);
    let mut used = 0.0;
    for tick in 0..100 {
        let now = ms(tick * 100);
        if shares.ask(now, &team, 10_000.0) == ShareStanding::Within {
            shares.serve(now, &team, 10_000.0);
            used += 10_000.0;
        }
        shares.share_out(now, 200_000.0, &others);
    }
    used / 10.0
}

/// Two teams flood, one through many routers and one through a few small ones that lose part of
/// its calls. With equal allowances the one got less than half of what the other got. What a team
/// is served by all routers has to steer its allowance at each of them.
#[test]
fn what_all_routers_serve_a_team_steers_its_allowance() {
    let (little, even, much) = (
        used_within(40_000.0),
        used_within(90_000.0),
        used_within(200_000.0),
    );
    assert!(little > 1.1 * even, "{little} {even}");
    assert!(much < 0.7 * even, "{much} {even}");
}

/// All routers lost power and start together; callers' retries come at once and are served. After
/// half a second each team was served several times its share of that half second. Idle engines
/// refused them for three seconds, until the window was full.
#[test]
fn a_fleet_that_has_just_started_holds_little_against_its_teams() {
    let standing_after = |millis: u64| {
        let (team, mut shares) = (nadi(), ShareTable::new(TimeSpan::from_millis(4_000)));
        let flow = TeamFlow {
            asked: 90_000.0,
            served: 40_000.0,
            ..TeamFlow::default()
        };
        let elsewhere = BTreeMap::from([(team.hash(), flow), (1, asked(90_000.0))]);
        for step in 0..=millis / 10 {
            shares.ask(ms(step * 10), &team, 100.0);
        }
        shares.share_out(ms(millis), 20_000.0, &elsewhere);
        shares.ask(ms(millis), &team, 100.0)
    };
    let ShareStanding::Beyond(early) = standing_after(500) else {
        panic!("within its share");
    };
    let ShareStanding::Beyond(later) = standing_after(4_000) else {
        panic!("within its share");
    };
    assert!(early < 1.6 && later > 3.0, "{early} {later}");
}

/// A flood begins, and its first second is served in full before its demand is known. Paid back in
/// full, the team gets next to nothing for the next four seconds, in which another one that floods
/// as much gets four times as much.
#[test]
fn what_a_floods_first_second_got_is_not_paid_back_in_full() {
    let (after_flood, even) = (used_within(900_000.0), used_within(90_000.0));
    assert!(after_flood > 0.5 * even, "{after_flood} {even}");
}

/// A team complains of a second in which calls' log lines were left out. The account of shares must
/// tell since when it was held and what it and the others got.
#[test]
fn the_account_of_shares_names_the_teams_that_are_held() {
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let (large, larger) = (nadi(), TeamKey(SmolStr::new("suva")));
    for step in 0..100 {
        shares.ask(ms(step * 40), &large, 1_000.0);
        shares.ask(ms(step * 40), &larger, 2_000.0);
    }
    let elsewhere = BTreeMap::from([(1, asked(1_000.0))]);
    shares.share_out(ms(4_000), 100_000.0, &elsewhere);
    assert!(shares.limited().is_empty());
    shares.share_out(ms(4_100), 21_000.0, &elsewhere);
    shares.share_out(ms(4_200), 21_000.0, &elsewhere);
    let limited = shares.limited();
    let teams: Vec<_> = limited.iter().map(|held| &held.team).collect();
    assert_eq!(teams, [&larger, &large]);
    assert!(limited.iter().all(|held| held.since == ms(4_100)));
    assert!((9_999.0..10_001.0).contains(&shares.level()));
    assert!(limited[0].asked_here > limited[0].allowed_here);
}
