//! Shares of the estimated capacity of the endpoints, without a network.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use verbenaturn::gateway::decide::capacity::CapacityEstimate;
use verbenaturn::gateway::decide::capacity::FleetFlow;
use verbenaturn::gateway::decide::shares::ShareStanding;
use verbenaturn::gateway::decide::shares::ShareTable;
use verbenaturn::gateway::routes::TeamKey;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

/// The published rate, in tokens per second.
const PUBLISHED: f64 = 2_700_000.0;

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn flow(asked: f64, served: f64, turned_away: f64) -> FleetFlow {
    FleetFlow {
        asked,
        served,
        turned_away,
    }
}

#[test]
fn a_fleet_that_turns_nothing_away_shares_the_published_rate() {
    let mut capacity = CapacityEstimate::default();
    let rate = capacity.rate(ms(100), PUBLISHED, flow(2e6, 1.2e6, 0.0));
    assert!((rate - PUBLISHED).abs() < 1.0);
    assert!(capacity.limit().is_none());
}

/// Two thirds of the engines are away, and teams ask for twice the remaining capacity. Measured
/// against the published rate no team exceeds its share, so routers would refuse calls at random.
#[test]
fn a_saturated_fleet_shares_what_it_serves() {
    let mut capacity = CapacityEstimate::default();
    let mut rate = 0.0;
    for sample in 1..50 {
        rate = capacity.rate(ms(sample * 100), PUBLISHED, flow(2e6, 9e5, 1e6));
    }
    assert!((8e5..1e6).contains(&rate), "{rate}");
}

/// Guards against a capacity estimate from the first moments of traffic: one long request is turned
/// away while almost nothing has been served yet, and a team would be limited to a tenth of its
/// share for seconds.
#[test]
fn the_first_moments_of_traffic_do_not_set_the_rate() {
    let mut capacity = CapacityEstimate::default();
    let first = capacity.rate(ms(200), PUBLISHED, flow(1.2e5, 4.5e4, 7.9e4));
    assert!(first > 0.5 * PUBLISHED, "{first}");
    let mut rate = first;
    for sample in 1..10_u32 {
        let part = f64::from(sample) / 10.0;
        let served = part * PUBLISHED;
        let asked = 2.0 * served;
        rate = capacity.rate(
            ms(200 + 100 * u64::from(sample)),
            PUBLISHED,
            flow(asked, served, 7.9e4),
        );
    }
    assert!(rate > 0.8 * PUBLISHED, "{rate}");
}

/// The engines are back. The estimate must not limit the fleet to its earlier capacity.
#[test]
fn a_fleet_that_has_recovered_shares_the_published_rate_again() {
    let mut capacity = CapacityEstimate::default();
    capacity.rate(ms(100), PUBLISHED, flow(2e6, 9e5, 1e6));
    let mut samples = 0;
    while capacity.limit().is_some() {
        samples += 1;
        assert!(samples < 60, "{:?}", capacity.limit());
        capacity.rate(ms(100 + samples * 100), PUBLISHED, flow(1e6, 1e6, 0.0));
    }
}

/// One team floods a fleet whose capacity is far below the published rate. The small team must be
/// within its share and the flooding one beyond it; otherwise both are turned away alike.
#[test]
fn a_flood_is_beyond_its_share_of_what_is_left() {
    let (small, flood) = (
        TeamKey(SmolStr::new("nadi")),
        TeamKey(SmolStr::new("lautoka")),
    );
    let mut shares = ShareTable::new(TimeSpan::from_millis(4_000));
    let mut capacity = CapacityEstimate::default();
    let mut turned = (0, 0);
    for sample in 1..60_u64 {
        let now = ms(sample * 100);
        match shares.ask(now, &small, 5_000.0) {
            ShareStanding::Within => shares.serve(now, &small, 5_000.0),
            ShareStanding::Beyond(_) => turned.0 += 1,
        }
        match shares.ask(now, &flood, 200_000.0) {
            ShareStanding::Within => shares.serve(now, &flood, 200_000.0),
            ShareStanding::Beyond(_) => turned.1 += 1,
        }
        let saturated = flow(2_050_000.0, 900_000.0, 1_100_000.0);
        let rate = capacity.rate(now, PUBLISHED, saturated);
        shares.share_out(now, rate, &BTreeMap::new());
    }
    assert_eq!(turned.0, 0);
    // It asks for 2 M tokens a second and its share is 0.85 M.
    assert!((25..45).contains(&turned.1), "{turned:?}");
}
