//! Fairness between teams whose routers are unequal, or whose floods begin at different moments, without
//! a network.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use verbenaturn::gateway::decide::shares::ShareStanding;
use verbenaturn::gateway::decide::shares::ShareTable;
use verbenaturn::gateway::decide::shares::TeamFlow;
use verbenaturn::gateway::decide::surge::SurgeDetector;
use verbenaturn::gateway::digest::DemandColumns;
use verbenaturn::gateway::routes::TeamKey;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

mod floods;

use self::floods::FleetFaults;
use self::floods::FleetShape;
use self::floods::LateRouter;
use self::floods::SpareRoom;
use self::floods::TeamLoad;
use self::floods::short_teams;
use self::floods::simulate_faults;

/// Ninety routers, and engines that can start a little more than the published rate.
const FLEET: FleetShape = FleetShape {
    routers: 90,
    published: 2_700_000.0,
    engines: 3_300_000.0,
};

/// Length of a simulation, in ms, and its warm-up that is not checked, in ms.
const LENGTH_MS: u64 = 18_000;
const WARM_MS: u64 = 4_000;

/// Twelve normal teams; a flood through two routers; and floods through two others and through all.
fn floods_through_few_and_all() -> Vec<TeamLoad> {
    let all = (0, FLEET.routers);
    let normal = (0..12).map(|_| TeamLoad::steady(all, 110_000.0));
    let floods = [
        TeamLoad::flood((14, 2), 100_000.0, 3_000, 15_000_000.0),
        TeamLoad::flood((40, 2), 100_000.0, 5_000, 2_000_000.0),
        TeamLoad::flood(all, 100_000.0, 4_000, 6_000_000.0),
        TeamLoad::flood(all, 100_000.0, 9_000, 5_000_000.0),
    ];
    normal.chain(floods).collect()
}

/// Guards against a team that gets a third of what others get, since the routers that all its callers
/// use lag by turns: what they did not look at for a moment counted as the end of its flood.
#[test]
fn a_team_whose_routers_lag_by_turns_gets_half_of_what_others_get() {
    let mut shortages = Vec::new();
    for (period_ms, late_ms) in [(3_000, 2_600), (2_000, 1_800)] {
        let late = |router, phase_ms| LateRouter {
            router,
            period_ms,
            late_ms,
            phase_ms,
        };
        let faults = FleetFaults {
            late: vec![late(14, 0), late(15, period_ms / 2)],
            ..FleetFaults::default()
        };
        let (spare, loads) = (SpareRoom::ByQueue, floods_through_few_and_all());
        let traces = simulate_faults(FLEET, spare, &faults, &loads, LENGTH_MS, 1);
        let short = short_teams(&traces, WARM_MS);
        shortages.extend(short.iter().map(|short| format!("{late_ms}: {short:?}")));
    }
    assert!(shortages.is_empty(), "{shortages:#?}");
}

/// Guards against a team that pays from its share for what idle endpoints served it before: as soon as
/// they are busy it gets half of its share for seconds, while a flood that just began gets all of its own.
#[test]
fn service_by_idle_endpoints_is_not_deducted_from_the_share() {
    let teams = ["early", "other"].map(|name| TeamKey(SmolStr::new(name)));
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let mut beyond = 0.0;
    let mut within = 0.0;
    for ms in 0..9_000_u64 {
        let now = Moment(ms * 1_000);
        if ms % 100 == 0 {
            shares.share_out(now, 200_000.0, &BTreeMap::new());
        }
        for team in &teams {
            let standing = shares.ask(now, team, 1_000.0);
            let are_endpoints_idle = ms < 6_000;
            match standing {
                ShareStanding::Within => {
                    shares.serve(now, team, 1_000.0);
                    if !are_endpoints_idle && *team == teams[0] {
                        within += 1_000.0;
                    }
                }
                ShareStanding::Beyond(_)
                    if are_endpoints_idle && beyond < idle_tokens_until(ms) =>
                {
                    shares.serve(now, team, 1_000.0);
                    beyond += 1_000.0;
                }
                ShareStanding::Beyond(_) => {}
            }
        }
    }
    // A share is 100,000 tokens a second.
    assert!(within > 0.9 * 300_000.0, "{within}");
}

/// Tokens that idle endpoints serve beyond the shares up to this ms: as much as both shares together.
#[allow(clippy::cast_precision_loss)]
fn idle_tokens_until(ms: u64) -> f64 {
    ms as f64 * 200.0
}

/// Guards against a share that is nowhere while the routers of its team lag: what they refuse unseen is
/// missing in recent demand, so the flood seemed to end, and no router had a part.
#[test]
fn routers_that_lag_keep_their_parts_of_the_share() {
    for recently in [0.0, 3_000_000.0] {
        let mut detector = SurgeDetector::default();
        let own = TeamFlow {
            asked: 800_000.0,
            asked_recently: recently,
            ..TeamFlow::default()
        };
        let all = TeamFlow {
            asked: 2_000_000.0,
            asked_recently: recently,
            unseen: 9_000_000.0,
            ..TeamFlow::default()
        };
        for _ in 0..20 {
            let demand = detector.update(own, all, 400_000.0);
            assert!((demand.part - 0.4).abs() < 1e-9, "{recently}: {demand:?}");
            assert!(demand.asked > 1_900_000.0, "{recently}: {demand:?}");
        }
    }
}

/// Guards against a team that vanishes from the routers' comparisons while all that comes to its router
/// is refused unseen.
#[test]
fn unseen_demand_and_service_within_the_share_are_told_to_other_routers() {
    let team = TeamKey(SmolStr::new("suva"));
    let flow = TeamFlow {
        unseen: 1_280_000.0,
        within: 640_000.0,
        ..TeamFlow::default()
    };
    let columns = DemandColumns::of(&BTreeMap::from([(team.clone(), flow)]));
    let entries: Vec<_> = columns.entries().collect();
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].team, team.hash());
    assert_eq!(entries[0].unseen_per_s, 1_280_000);
    assert_eq!(entries[0].within_per_s, 640_000);
}

/// Two teams press at one router and get their shares. Returns what both get beyond them in the half
/// second after 5 s; until then endpoints are busy, and from `lags_from_ms` on the router lags as well.
fn beyond_after_5_s(lags_from_ms: u64) -> f64 {
    let teams = ["suva", "nadi"].map(|name| TeamKey(SmolStr::new(name)));
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let mut beyond = 0.0;
    for ms in 0..5_500_u64 {
        let now = Moment(ms * 1_000);
        if ms % 100 == 0 {
            shares.share_out(now, 200_000.0, &BTreeMap::new());
        }
        let are_endpoints_idle = ms >= 5_000;
        for team in &teams {
            if (lags_from_ms..5_000).contains(&ms) {
                shares.count_unseen(now, team, 1_000.0);
                continue;
            }
            match shares.ask(now, team, 1_000.0) {
                ShareStanding::Within => shares.serve(now, team, 1_000.0),
                ShareStanding::Beyond(ratio) if are_endpoints_idle && ratio.is_finite() => {
                    shares.serve(now, team, 1_000.0);
                    beyond += 1_000.0;
                }
                ShareStanding::Beyond(_) => {}
            }
        }
    }
    beyond
}

/// Guards against a flood that takes in one second what its allowance beyond its share gathered while
/// endpoints were busy, and so gets three times what a team gets that finds no idle endpoint.
#[test]
fn the_allowance_beyond_a_share_is_not_saved_up_and_has_a_bound() {
    let beyond = beyond_after_5_s(5_000);
    // Half a second of three quarters of two shares of 100,000 tokens a second, and as much for half
    // as long that was kept.
    assert!(beyond > 25_000.0, "{beyond}");
    assert!(beyond < 0.75 * 200_000.0 * 0.75, "{beyond}");
}

/// Guards against a team that gets its share only, since its router lagged whenever endpoints were idle.
#[test]
fn a_router_that_lagged_keeps_the_allowance_beyond_the_share() {
    // Three seconds of lag, of which two are kept: a second of half of two shares at least.
    let beyond = beyond_after_5_s(2_000);
    assert!(beyond > 100_000.0, "{beyond}");
    assert!(beyond < 0.75 * 200_000.0 * 2.5, "{beyond}");
}

/// Tokens beyond its share that a team gets within eight seconds at a router with a tenth of its demand,
/// while the other routers serve it and another team this much beyond their shares, in tokens a second.
fn used_beyond(team_beyond: f64, other_beyond: f64) -> f64 {
    let team = TeamKey(SmolStr::new("suva"));
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let steady = |beyond| TeamFlow {
        asked: 900_000.0,
        asked_recently: 900_000.0,
        served: 100_000.0 + beyond,
        within: 100_000.0,
        ..TeamFlow::default()
    };
    let others = BTreeMap::from([
        (team.hash(), steady(team_beyond)),
        (1, steady(other_beyond)),
    ]);
    let mut used = 0.0;
    for tick in 0..800 {
        let now = Moment(tick * 10_000);
        if tick % 10 == 0 {
            shares.share_out(now, 200_000.0, &others);
        }
        match shares.ask(now, &team, 1_000.0) {
            ShareStanding::Beyond(ratio) if ratio.is_infinite() => {}
            ShareStanding::Beyond(_) => {
                shares.serve(now, &team, 1_000.0);
                used += 1_000.0;
            }
            ShareStanding::Within => shares.serve(now, &team, 1_000.0),
        }
    }
    used
}

/// Guards against a growing flood through all routers that gets twice its allowance beyond its share for
/// seconds: each router knows its own demand sooner than the others', so the parts add up to too much.
#[test]
fn service_beyond_the_share_by_all_routers_corrects_its_allowance() {
    let (much, none) = (used_beyond(200_000.0, 0.0), used_beyond(0.0, 200_000.0));
    assert!(none > 30_000.0, "{none}");
    assert!(much < 0.7 * none, "{much} {none}");
}

/// Guards against a team that asks two levels and gets a third of what a flood gets that begins later,
/// while a fifth of the engines is away.
#[test]
fn a_team_that_asks_two_levels_gets_half_of_a_later_flood_while_engines_are_away() {
    let all = (0, FLEET.routers);
    let normal = (0..12).map(|_| TeamLoad::steady(all, 110_000.0));
    let floods = [
        TeamLoad::flood(all, 100_000.0, 6_000, 900_000.0),
        TeamLoad::flood((40, 1), 100_000.0, 5_000, 2_000_000.0),
        TeamLoad::flood(all, 100_000.0, 11_000, 5_200_000.0),
    ];
    let loads: Vec<TeamLoad> = normal.chain(floods).collect();
    let faults = FleetFaults {
        engines: vec![(0, 4_200_000.0), (9_500, 0.8 * 4_200_000.0)],
        ..FleetFaults::default()
    };
    let traces = simulate_faults(FLEET, SpareRoom::ByQueue, &faults, &loads, LENGTH_MS, 1);
    let short = short_teams(&traces, WARM_MS);
    assert!(short.is_empty(), "{short:#?}");
}
