//! What teams get when they ask more than there is: the max-min level, and what those that press
//! get beyond it.
//!
//! The load that this answers: a few teams ask many times their shares, through any number of
//! routers, while endpoints do more than the published rate or less. What each of them is served is
//! known a second or two late, so all answers to it are bounded or means over all that press.

use std::collections::BTreeMap;

use super::shares::TeamFlow;

/// How strongly service that differs from a share steers the allowance. Of a bias of 2 between two
/// teams 1.3 remains; the mean over the window of shares keeps it from swinging.
const CORRECTION_POWER: f64 = 1.5;

/// Bounds of the correction. A flood's first second is served many times its share before its demand
/// is known; paid back in full, the team would get a tenth of its share for as long as the window.
/// And routers that could not serve a team must not make the others flood.
const LEAST_CORRECTION: f64 = 0.6;
const MOST_CORRECTION: f64 = 1.3;

/// What teams that press may get beyond their shares at least, against a share. Less would leave
/// endpoints idle that were full a moment ago.
const LEAST_SPARE: f64 = 0.5;

/// What each of them may get against the mean of what they got. The rest is room to find out that
/// endpoints can do more, and for parts that are not asked for where they lie.
const SPARE_GROWTH: f64 = 1.5;

/// Teams that ask more than the level, over the window of shares and still.
pub fn pressing(level: f64, flows: &BTreeMap<u64, TeamFlow>) -> impl Iterator<Item = &TeamFlow> {
    let flows = flows.values();
    flows.filter(move |flow| flow.asked > level && flow.asked_recently > level)
}

/// What each team that presses may get beyond the level; nothing if fewer than two press.
///
/// Guards against service that swings. Whether a request beyond its share finds an endpoint empty
/// enough depends on what its team was served, which is known a second or two late: without a
/// bound on the rate the team gets nothing and several times its share by turns, and another one
/// that presses for a few seconds falls between. The mean over all of them is known as late and
/// hardly moves.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn spare_level(level: f64, flows: &BTreeMap<u64, TeamFlow>) -> Option<f64> {
    let beyond: Vec<f64> = pressing(level, flows)
        .map(|flow| (flow.served - level).max(0.0))
        .collect();
    if beyond.len() < 2 {
        return None;
    }
    let mean = beyond.iter().sum::<f64>() / beyond.len() as f64;
    Some((SPARE_GROWTH * mean).max(LEAST_SPARE * level))
}

/// What the team gets that presses and gets least, at least the level.
///
/// What endpoints do beyond the published rate goes to whoever finds one nearly idle, which is more often
/// the team that asks more and has shorter prompts. Against its share alone it got twice the level
/// while another one got the level.
#[must_use]
pub fn least_served(level: f64, flows: &BTreeMap<u64, TeamFlow>) -> f64 {
    let served = pressing(level, flows).map(|flow| flow.served);
    let least = served.fold(f64::INFINITY, f64::min);
    least.max(level)
}

/// By how much a team's allowance is raised or lowered, from its share and what all routers
/// together serve it.
///
/// The load that this answers: two teams that flood, one through many routers and one through a
/// few small ones. An allowance that is not asked for in time at one router is not used at another,
/// and demand counted from messages is late, so that equal shares gave one team twice what the
/// other got. What they were served is known; it steers the allowances until it is equal.
#[must_use]
pub fn correction(level: f64, served: f64) -> f64 {
    let ratio = level / served.max(1.0);
    ratio
        .powf(CORRECTION_POWER)
        .clamp(LEAST_CORRECTION, MOST_CORRECTION)
}

/// The most that a demand gets, so that all together get `rate`; infinite if all fit.
#[must_use]
pub fn max_min_level(rate: f64, demands: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = demands.collect();
    sorted.sort_by(f64::total_cmp);
    let mut left = rate;
    let mut waiting = sorted.len();
    for demand in sorted {
        #[allow(clippy::cast_precision_loss)]
        let even = left / waiting as f64;
        if demand >= even {
            return even.max(0.0);
        }
        left -= demand;
        waiting -= 1;
    }
    f64::INFINITY
}
