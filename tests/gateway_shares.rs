//! Teams' shares at a gateway without a network: requests within and beyond them, and what counts
//! as demand and service.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use verbenaturn::gateway::decide::Admission;
use verbenaturn::gateway::decide::levels::max_min_level;
use verbenaturn::gateway::decide::shares::ShareStanding;
use verbenaturn::gateway::decide::shares::ShareTable;
use verbenaturn::gateway::decide::shares::TeamFlow;
use verbenaturn::gateway::routes::TeamKey;
use verbenaturn::units::TimeSpan;

mod engines;

use self::engines::ask;
use self::engines::asked;
use self::engines::engine_service;
use self::engines::ms;
use self::engines::nadi;
use self::engines::place_of;
use self::engines::prompt;
use self::engines::route;
use self::engines::service;
use self::engines::three_engines;

#[test]
fn max_min_shares_fill_up_from_the_least_demand() {
    assert!((max_min_level(100.0, [10.0, 20.0, 200.0].into_iter()) - 70.0).abs() < 1e-9);
    assert!((max_min_level(90.0, [50.0, 60.0, 70.0].into_iter()) - 30.0).abs() < 1e-9);
    assert!(max_min_level(100.0, [10.0, 20.0].into_iter()).is_infinite());
}

/// One team sends ten times its usual traffic and is limited to its share. The others send as much
/// as before and stay within theirs.
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
    // 30,000 tokens a second less two times 8,000 leave 14,000 of a demand of 100,000.
    let part = f64::from(passed[0]) / 2_000.0;
    assert!((0.1..0.25).contains(&part), "{part}");
    assert_eq!(passed[1..], [2_000, 2_000]);
}

/// Two teams are far beyond their shares, and one sends five times as many requests as the other.
/// The capacity beyond the shares must not all go to that one.
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

/// One team uses all routers and is served five times its share; another uses one router and is
/// served one and a half times its share. If the same queue admitted both, service would be
/// proportional to the number of requests that a team sends.
#[test]
fn the_same_queue_refuses_five_shares_and_admits_one_and_a_half() {
    let mut core = three_engines();
    let (route, service, shape, team) = (route("r", 800), service(), engine_service(), nadi());
    for part in 0..3 {
        assert!(place_of(&mut core, ms(1), &prompt(100 + part, 10, 3_000)).is_some());
    }
    let short = prompt(1, 10, 100);
    let call = ask(&route, &service, &shape, &team, &short);
    let much = core.admit(ms(2), &call, ShareStanding::Beyond(5.0));
    assert!(matches!(much, Admission::Refuse { .. }), "{much:?}");
    let little = core.admit(ms(2), &call, ShareStanding::Beyond(1.5));
    assert!(matches!(little, Admission::Send(_)), "{little:?}");
}

/// Every second request of a team that is limited to its share finds the endpoints full. If these
/// were charged as well, the team would get half of its share for as long as the overload lasts.
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

/// A team uses ninety routers. Each serves it one request every few seconds, less than that
/// router's part of its share, but together they serve it twice its share. With counts per router
/// it would take capacity that is due to a team with one router.
#[test]
fn service_by_other_routers_counts() {
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

/// All routers restart after a power loss, and one team floods at once. Averaged over a window of
/// four seconds its demand would seem to fit for the first two, in which it fills the engines'
/// queues.
#[test]
fn a_flood_is_shared_out_within_a_second_of_a_start() {
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let rate = 100_000.0;
    for step in 0..80 {
        shares.ask(ms(10_000 + step * 10), &nadi(), 3_000.0);
    }
    shares.share_out(ms(10_800), rate, &BTreeMap::new());
    // Any positive credit admits the first request, which leaves the credit negative.
    shares.ask(ms(10_810), &nadi(), 3_000.0);
    shares.serve(ms(10_810), &nadi(), 3_000.0);
    let standing = shares.ask(ms(10_820), &nadi(), 3_000.0);
    assert!(matches!(standing, ShareStanding::Beyond(_)), "{standing:?}");
}

/// A team is over its share because of its demand at other routers.
#[test]
fn demand_at_other_routers_counts() {
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
    // Its share is 45,000 of 100,000; this router gets a tenth of both the demand and the share.
    assert!((350..600).contains(&passed), "{passed}");
}

/// Tokens a second that a team may use within its share at a router that gets a tenth of its
/// demand, while the other routers serve it this much, in tokens a second.
fn used_within(served_elsewhere: f64) -> f64 {
    let (team, mut shares) = (nadi(), ShareTable::new(TimeSpan::from_millis(4_000)));
    let steady = |served| TeamFlow {
        asked: 900_000.0,
        asked_recently: 900_000.0,
        served,
        within: served,
        ..TeamFlow::default()
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

/// Two teams flood, one through many routers and one through a few small ones that lose part of its
/// calls. With equal allowances the second got less than half of the first one's service. The
/// allowance at each router must be corrected by the service at all routers.
#[test]
fn service_by_all_routers_corrects_the_allowance() {
    let (little, even, much) = (
        used_within(40_000.0),
        used_within(90_000.0),
        used_within(200_000.0),
    );
    assert!(little > 1.1 * even, "{little} {even}");
    assert!(much < 0.7 * even, "{much} {even}");
}

/// All routers restart together after a power loss, and the retries of all callers are served at
/// once. After half a second each team was served several times its share of that time, so idle
/// engines refused it for three seconds, until the share window was covered.
#[test]
fn service_just_after_a_start_weighs_little() {
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

/// The first second of a flood is served in full before its demand is known. If that were deducted
/// in full, the team would get almost nothing for four seconds, while another team with an equal
/// flood gets four times as much.
#[test]
fn the_first_second_of_a_flood_is_not_deducted_in_full() {
    let (after_flood, even) = (used_within(900_000.0), used_within(90_000.0));
    assert!(after_flood > 0.5 * even, "{after_flood} {even}");
}

/// Log lines of single calls may be omitted under load. The log of shares must still show since
/// when a team was limited, and what it and the others got.
#[test]
fn the_log_of_shares_names_the_limited_teams() {
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

/// Guards against a flood that is not limited at a router where its team never sent a request. The
/// callers move there; until the next round of messages the router served all that came, ten times
/// what the team was owed in that second, and another flooding team got a fourth of it. The router
/// that the callers leave may be too late to have reported anything for a moment.
#[test]
fn a_flood_that_moves_to_a_new_router_is_limited_from_its_first_request() {
    for reported_recently in [0.0, 900_000.0] {
        check_first_requests(reported_recently);
    }
}

fn check_first_requests(reported_recently: f64) {
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let flood = TeamKey(SmolStr::new("flood"));
    let normal = TeamKey(SmolStr::new("normal"));
    let flood_flow = TeamFlow {
        asked: 900_000.0,
        asked_recently: reported_recently,
        served: 20_000.0,
        ..TeamFlow::default()
    };
    let normal_flow = TeamFlow {
        asked: 10_000.0,
        asked_recently: 10_000.0,
        served: 10_000.0,
        ..TeamFlow::default()
    };
    let elsewhere = BTreeMap::from([(flood.hash(), flood_flow), (normal.hash(), normal_flow)]);
    shares.share_out(ms(0), 30_000.0, &elsewhere);
    for step in 0..100 {
        let standing = shares.ask(ms(step), &flood, 3_000.0);
        assert_ne!(standing, ShareStanding::Within, "after {step} ms");
        let standing = shares.ask(ms(step), &normal, 100.0);
        assert_eq!(standing, ShareStanding::Within, "after {step} ms");
    }
    // Its part of the share moves along from the next round on.
    shares.share_out(ms(100), 30_000.0, &elsewhere);
    assert_eq!(shares.ask(ms(900), &flood, 3_000.0), ShareStanding::Within);
}
