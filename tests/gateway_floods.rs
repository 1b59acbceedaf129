//! What a fleet of many routers serves teams that press at the same time, without a network.

mod floods;

use self::floods::FleetShape;
use self::floods::TeamLoad;
use self::floods::play;
use self::floods::short_teams;

/// Ninety routers of which each tells five others a round, and engines that can begin twice as much as
/// is published, as those do that keep most of their prompts.
const FLEET: FleetShape = FleetShape {
    routers: 90,
    published: 2_700_000.0,
    engines: 6_000_000.0,
};

/// Length of a play, in ms, and what of it is left out: a fleet that has just started.
const LENGTH_MS: u64 = 16_000;
const WARM_MS: u64 = 2_000;

/// Teams that ask less than their shares. They leave some 0.4 million tokens a second to each of two
/// that flood.
fn usual_teams() -> Vec<TeamLoad> {
    let all = (0, FLEET.routers);
    (0..12).map(|_| TeamLoad::steady(all, 160_000.0)).collect()
}

/// Teams that were short in any of some plays of a load.
fn shortages(floods: &[TeamLoad]) -> Vec<String> {
    let mut loads = usual_teams();
    loads.extend_from_slice(floods);
    let mut shortages = Vec::new();
    for seed in 0..2 {
        let traces = play(FLEET, &loads, LENGTH_MS, seed);
        let short = short_teams(&traces, WARM_MS);
        shortages.extend(short.iter().map(|short| format!("seed {seed}: {short:?}")));
    }
    shortages
}

/// A team presses through two routers. Seconds later another one begins to, through all ninety, and
/// in the next six seconds gets three times as much. Its demand was a mean over four seconds, of which
/// each router hears from another one each second or two: until the sum was known it
/// was within its share at every router and took all that the engines could begin. The accounts of
/// shares proved it: nearly all that it got was within, and it was held seconds after its flood began.
#[test]
fn a_flood_through_all_routers_leaves_half_to_one_that_pressed_before() {
    let floods = [
        TeamLoad::flood((14, 2), 100_000.0, 3_000, 1_400_000.0),
        TeamLoad::flood((0, 90), 50_000.0, 8_000, 4_000_000.0),
    ];
    let shortages = shortages(&floods);
    assert!(shortages.is_empty(), "{shortages:#?}");
}

/// Both come through all routers, one three seconds after the other. What the first one got in its
/// own first seconds was taken off its share for the next four, just when the other was not held yet.
#[test]
fn what_a_team_got_before_it_was_held_is_not_paid_back_to_the_next_flood() {
    let floods = [
        TeamLoad::flood((0, 90), 100_000.0, 5_000, 5_000_000.0),
        TeamLoad::flood((0, 90), 50_000.0, 8_000, 3_000_000.0),
    ];
    let shortages = shortages(&floods);
    assert!(shortages.is_empty(), "{shortages:#?}");
}

/// The same where every router hears from every other one in each round: one that floods through one
/// router of eight against one that begins through all of them.
#[test]
fn floods_through_one_router_and_through_all_of_a_small_fleet_get_alike() {
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
        let short = short_teams(&play(fleet, &loads, LENGTH_MS, seed), WARM_MS);
        assert!(short.is_empty(), "seed {seed}: {short:#?}");
    }
}
