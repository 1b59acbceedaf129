//! Fairness between teams that flood a fleet of many routers at the same time, without a network.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;

use smol_str::SmolStr;

use verbenaturn::gateway::decide::shares::ShareStanding;
use verbenaturn::gateway::decide::shares::ShareTable;
use verbenaturn::gateway::decide::shares::TeamFlow;
use verbenaturn::gateway::decide::surge::SurgeDetector;
use verbenaturn::gateway::digest::DemandColumns;
use verbenaturn::gateway::digest::RouterDigest;
use verbenaturn::gateway::peer_table::PeerTable;
use verbenaturn::gateway::routes::TeamKey;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

mod floods;

use self::floods::FleetShape;
use self::floods::SpareRoom;
use self::floods::TeamLoad;
use self::floods::short_teams;
use self::floods::simulate;
use self::floods::simulate_with;

/// Ninety routers, each of which sends to five others per gossip round, and engines that can start
/// twice the published rate, as engines do whose prompts are mostly cached.
const FLEET: FleetShape = FleetShape {
    routers: 90,
    published: 2_700_000.0,
    engines: 6_000_000.0,
};

/// Length of a simulation, in ms, and its warm-up that is not checked, in ms.
const LENGTH_MS: u64 = 16_000;
const WARM_MS: u64 = 2_000;

/// Teams that ask less than their shares. They leave about 0.4 million tokens a second to each of
/// two flooding teams.
fn normal_teams() -> Vec<TeamLoad> {
    let all = (0, FLEET.routers);
    (0..12).map(|_| TeamLoad::steady(all, 160_000.0)).collect()
}

/// Teams that got too little in simulations of a load with several seeds.
fn shortages(floods: &[TeamLoad]) -> Vec<String> {
    let mut loads = normal_teams();
    loads.extend_from_slice(floods);
    let mut shortages = Vec::new();
    for seed in 0..2 {
        let traces = simulate(FLEET, &loads, LENGTH_MS, seed);
        let short = short_teams(&traces, WARM_MS);
        shortages.extend(short.iter().map(|short| format!("seed {seed}: {short:?}")));
    }
    shortages
}

/// A team floods through two routers. Seconds later another one floods through all ninety, and got
/// three times as much in the next six seconds. Its demand was averaged over four seconds, and a
/// router receives each other one's digest only every one or two seconds. Until the sum was known,
/// the second team counted as within its share at every router and took all that the engines could
/// start.
#[test]
fn a_flood_through_all_routers_leaves_half_to_an_earlier_flood() {
    let floods = [
        TeamLoad::flood((14, 2), 100_000.0, 3_000, 1_400_000.0),
        TeamLoad::flood((0, 90), 50_000.0, 8_000, 4_000_000.0),
    ];
    let shortages = shortages(&floods);
    assert!(shortages.is_empty(), "{shortages:#?}");
}

/// Two teams flood through all routers, one three seconds after the other. The service of the first
/// one's initial seconds was deducted from its share for four seconds, in which the other was not
/// limited yet.
#[test]
fn service_before_a_limit_is_not_deducted_from_the_share() {
    let floods = [
        TeamLoad::flood((0, 90), 100_000.0, 5_000, 5_000_000.0),
        TeamLoad::flood((0, 90), 50_000.0, 8_000, 3_000_000.0),
    ];
    let shortages = shortages(&floods);
    assert!(shortages.is_empty(), "{shortages:#?}");
}

/// A fleet of 78 routers, with engines that can start this many tokens a second, and twelve normal
/// teams.
fn smaller_fleet(engines: f64) -> (FleetShape, Vec<TeamLoad>) {
    let fleet = FleetShape {
        routers: 78,
        published: 1_500_000.0,
        engines,
    };
    let normal = (0..12).map(|_| TeamLoad::steady((0, fleet.routers), 60_000.0));
    (fleet, normal.collect())
}

/// Guards against oscillation between two teams beyond their shares: each in turn gets all of the
/// spare capacity, and a third team that floods for a few seconds gets too little.
#[test]
fn service_beyond_shares_is_spread_evenly_over_any_six_seconds() {
    let (fleet, mut loads) = smaller_fleet(3_000_000.0);
    let all = (0, fleet.routers);
    loads.push(TeamLoad::flood(all, 60_000.0, 4_000, 8_000_000.0));
    loads.push(TeamLoad::flood((40, 1), 60_000.0, 6_000, 9_000_000.0));
    let mut short_flood = TeamLoad::flood(all, 100_000.0, 13_000, 4_000_000.0);
    short_flood.phases.push((18_500, 500_000.0));
    loads.push(short_flood);
    let mut shortages = Vec::new();
    for seed in [2, 4, 6] {
        let traces = simulate_with(fleet, SpareRoom::ByQueue, &loads, 30_000, seed);
        let short = short_teams(&traces, 6_000);
        shortages.extend(short.iter().map(|short| format!("seed {seed}: {short:?}")));
    }
    assert!(shortages.is_empty(), "{shortages:#?}");
}

/// Guards against a flood whose allowance beyond the share has no bound in every second round: the
/// callers of the other waiting team use two routers, and between their messages its recent demand is
/// missing at the others.
#[test]
fn an_update_without_the_routers_of_another_team_does_not_lift_the_bound() {
    let (flood, other) = (TeamKey(SmolStr::new("suva")), TeamKey(SmolStr::new("nadi")));
    let mut shares = table();
    let flow = |recent: f64| TeamFlow {
        asked: 900_000.0,
        asked_recently: recent,
        served: 300_000.0,
        within: 200_000.0,
        ..TeamFlow::default()
    };
    shares.ask(Moment(0), &flood, 100.0);
    for round in 0..40 {
        let recent = if round % 7 == 0 { 2_700_000.0 } else { 0.0 };
        let elsewhere = BTreeMap::from([
            (flood.hash(), flow(900_000.0)),
            (other.hash(), flow(recent)),
        ]);
        shares.share_out(Moment(round * 100_000), 400_000.0, &elsewhere);
        let limited = shares.limited();
        assert_eq!(limited.len(), 1, "round {round}");
        assert!(limited[0].beyond_here.is_some(), "round {round}");
    }
    for round in 40..60 {
        let elsewhere =
            BTreeMap::from([(flood.hash(), flow(900_000.0)), (other.hash(), flow(0.0))]);
        shares.share_out(Moment(round * 100_000), 400_000.0, &elsewhere);
    }
    let limited = shares.limited();
    assert!(limited[0].beyond_here.is_none(), "the other flood is over");
}

/// Guards against a team that stays limited for seconds after its flood: its demand over the window
/// is still many times its share, and the routers' parts of it add up to less than the whole as it
/// falls.
#[test]
fn a_team_whose_flood_is_over_gets_what_it_asks() {
    let (fleet, mut loads) = smaller_fleet(3_000_000.0);
    let all = (0, fleet.routers);
    loads.push(TeamLoad::flood(all, 60_000.0, 4_000, 8_000_000.0));
    let mut ended = TeamLoad::flood(all, 100_000.0, 5_000, 4_000_000.0);
    ended.phases.push((10_000, 120_000.0));
    loads.push(ended);
    for seed in 0..4 {
        let traces = simulate_with(fleet, SpareRoom::ByQueue, &loads, 16_000, seed);
        let trace = traces.last().unwrap();
        // From a second and a half after the flood, when its end has reached all routers.
        let asked: f64 = trace.asked[23..].iter().sum();
        let served: f64 = trace.served[23..].iter().sum();
        assert!(served > 0.9 * asked, "seed {seed}: {served} of {asked}");
    }
}

/// Guards against a share that stays at the router that the callers left: they move to another
/// router while the flood falls, and the demand at the new router is small compared with the mean.
#[test]
fn a_team_that_moves_to_another_router_takes_its_share_along() {
    let (fleet, mut loads) = smaller_fleet(1_600_000.0);
    let all = (0, fleet.routers);
    loads.push(TeamLoad::flood(all, 60_000.0, 4_000, 8_000_000.0));
    let mut moving = TeamLoad::flood((3, 1), 100_000.0, 5_000, 6_000_000.0);
    moving.phases.push((12_000, 1_500_000.0));
    moving.moves = Some((12_000, (50, 1)));
    loads.push(moving);
    for seed in 0..4 {
        let traces = simulate(fleet, &loads, 16_000, seed);
        // Three seconds, starting one second after the move. Normal teams leave the rest to two
        // teams.
        let served: f64 = traces.last().unwrap().served[26..].iter().sum();
        let due = 3.0 * (fleet.published - 12.0 * 60_000.0) / 2.0;
        assert!(served > 0.75 * due, "seed {seed}: {served} of {due}");
    }
}

/// A small fleet in which every router receives all digests in each round. One team floods through
/// one router of eight, and later another floods through all of them.
#[test]
fn floods_through_one_router_and_through_all_of_a_small_fleet_get_equal_service() {
    let fleet = FleetShape {
        routers: 8,
        published: 540_000.0,
        engines: 800_000.0,
    };
    let mut loads: Vec<TeamLoad> = (0..14)
        .map(|_| TeamLoad::steady((0, 8), 15_000.0))
        .collect();
    loads.push(TeamLoad::flood((3, 1), 20_000.0, 3_000, 500_000.0));
    loads.push(TeamLoad::flood((0, 8), 20_000.0, 7_000, 900_000.0));
    for seed in 0..4 {
        let short = short_teams(&simulate(fleet, &loads, LENGTH_MS, seed), WARM_MS);
        assert!(short.is_empty(), "seed {seed}: {short:#?}");
    }
}

/// Teams ask a tenth less than the published rate, in bursts. If a burst counted as a flood, its
/// team would be limited and refused although all demands fit over the share window.
#[test]
fn bursts_of_normal_teams_are_not_floods() {
    let mut detector = SurgeDetector::default();
    let burst = TeamFlow {
        asked: 20_000.0,
        asked_recently: 80_000.0,
        served: 20_000.0,
        ..TeamFlow::default()
    };
    let fits = detector.update(burst, burst, f64::INFINITY);
    assert!(!detector.is_surging());
    assert!((fits.asked - 20_000.0).abs() < 1.0);
    detector.update(burst, burst, 50_000.0);
    assert!(
        !detector.is_surging(),
        "four times its mean, less than two levels"
    );
    let flood = TeamFlow {
        asked_recently: 150_000.0,
        ..burst
    };
    let surging = detector.update(flood, flood, 50_000.0);
    assert!(detector.is_surging());
    assert!((surging.asked - 150_000.0).abs() < 1.0);
}

/// One update lacks the digests of the routers through which a flood comes. If that ended the
/// surge, the team would count as within its share at every router until the next update.
#[test]
fn an_update_without_the_busy_routers_does_not_end_a_surge() {
    let mut detector = SurgeDetector::default();
    let flow = |recent: f64| TeamFlow {
        asked: 20_000.0,
        asked_recently: recent,
        served: 0.0,
        ..TeamFlow::default()
    };
    detector.update(flow(10_000.0), flow(400_000.0), 50_000.0);
    for _ in 0..3 {
        let demand = detector.update(flow(10_000.0), flow(10_000.0), 50_000.0);
        assert!(detector.is_surging());
        assert!(demand.asked > 250_000.0, "{demand:?}");
    }
}

/// Two teams are over their shares and one gets twice as much, since it sends ten times as many
/// requests and its small prompts fit at nearly any endpoint. It must need an emptier endpoint than
/// the other one, or it gets more and more of the capacity beyond the published rate.
#[test]
fn a_team_with_twice_the_service_of_another_needs_an_emptier_endpoint() {
    let service_ratio = |least: f64| {
        let (team, mut shares) = (TeamKey(SmolStr::new("suva")), table());
        let ahead = TeamFlow {
            asked: 900_000.0,
            asked_recently: 900_000.0,
            served: 100_000.0,
            ..TeamFlow::default()
        };
        let behind = TeamFlow {
            served: least,
            ..ahead
        };
        let elsewhere = BTreeMap::from([(team.hash(), ahead), (1, behind)]);
        shares.ask(Moment(0), &team, 100.0);
        for round in 0..50 {
            let now = Moment(round * 100_000);
            shares.share_out(now, 100_000.0, &elsewhere);
        }
        match shares.ask(Moment(5_000_000), &team, 100_000.0) {
            ShareStanding::Beyond(served) => served,
            ShareStanding::Within => {
                shares.serve(Moment(5_000_000), &team, 1_000_000.0);
                let ShareStanding::Beyond(served) = shares.ask(Moment(5_000_000), &team, 1.0)
                else {
                    panic!("within its share");
                };
                served
            }
        }
    };
    let (alike, twice) = (service_ratio(100_000.0), service_ratio(50_000.0));
    assert!((1.9..2.1).contains(&alike), "{alike}");
    assert!((3.8..4.2).contains(&twice), "{twice}");
}

fn table() -> ShareTable {
    ShareTable::new(TimeSpan::from_millis(4_000))
}

/// A team floods through a fleet in which a router receives each other one's digest every two
/// seconds. The latest digests, scaled up for the routers not heard from, must approximate the
/// total demand long before all digests have arrived.
#[test]
fn recent_demand_is_scaled_up_for_routers_not_heard_from() {
    let mut peers = PeerTable::default();
    let digest = |sequence: u64, rate: f64| RouterDigest {
        incarnation: 1,
        sequence,
        demands: DemandColumns::of(&BTreeMap::from([(
            TeamKey(SmolStr::new("suva")),
            TeamFlow {
                asked: 10_000.0,
                asked_recently: rate,
                served: 0.0,
                ..TeamFlow::default()
            },
        )])),
        ..RouterDigest::default()
    };
    let address = |router: u32| IpAddr::V4(Ipv4Addr::from(0x0a00_0001 + router));
    // Ninety routers, one digest every 20 ms. From the second round on, the demand at each router
    // is 30,000 tokens a second.
    for step in 0..110_u64 {
        let router = u32::try_from(step % 90).unwrap();
        let rate = if step < 90 { 0.0 } else { 30_000.0 };
        let now = Moment(step * 20_000);
        peers.take(now, address(router), digest(step + 1, rate));
    }
    let flows = peers.flows(Moment(110 * 20_000), TimeSpan::from_millis(5_000));
    let flow = flows.values().next().unwrap();
    let asked = 90.0 * 30_000.0;
    assert!(
        (0.8 * asked..1.2 * asked).contains(&flow.asked_recently),
        "{flow:?}"
    );
    assert!((890_000.0..910_000.0).contains(&flow.asked), "{flow:?}");
}
