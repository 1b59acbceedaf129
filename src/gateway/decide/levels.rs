//! Max-min fair level under overload, and the allowances of teams above it.
//!
//! The *level* is the largest share. Each team may get its demand, but at most the level; it is set
//! so that all teams together get exactly the rate to share out.
//!
//! Load pattern: a few teams ask for many times their shares, through any number of routers, while
//! the endpoints' capacity is above or below the published rate. The service of each team, that is
//! the tokens of its requests that were sent, is known a second or two late, so every correction is
//! bounded or uses the mean over all teams above the level. All levels and services are in tokens a
//! second.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::shares::TeamFlow;

/// Exponent of the correction of a team's allowance by its service. If one of two teams would be
/// served twice as much as the other, the correction reduces that ratio to 1.3, that is 2 to the
/// power of 1 / (1 + 1.5), since it depends on the service that results from it. The mean over the
/// share window prevents oscillation.
const CORRECTION_POWER: f64 = 1.5;

/// Bounds of the correction. In a flood's first second a team is served many times its share before
/// its demand is known; if that were compensated in full, the team would get a tenth of its share
/// for a whole window. The upper bound limits the rise at the other routers when some routers could
/// not serve a team: without it those others would send too much at once.
const MIN_CORRECTION: f64 = 0.6;
const MAX_CORRECTION: f64 = 1.5;

/// Smallest allowance beyond the share of a team above the level, as a fraction of the share. A
/// smaller one would leave endpoints idle that were full a moment ago.
const MIN_SPARE: f64 = 0.5;

/// Largest allowance beyond the share, as a fraction of the share. A team that finds no idle endpoint
/// gets its share at least, so no other team gets much more than one and three quarters of what it gets.
const MAX_SPARE: f64 = 0.75;

/// Time for which a team counts as above the level after its recent demand was last seen above it. Recent
/// demand covers 0.3 s, while in a fleet of ninety the busiest routers are heard every half a second, and
/// one with few calls at endpoints, such as one that lags, every few seconds.
const ABOVE_MEMORY: TimeSpan = TimeSpan::from_millis(1_500);

/// Allowance beyond the share, as a multiple of what the teams above the level are served beyond
/// it, on average. The excess over 1 lets the routers find out that endpoints can do more, and
/// makes up for the parts of allowances that lie at routers which do not use them.
const SPARE_GROWTH: f64 = 1.5;

/// The teams that ask more than the level, by the hash of the team's key.
///
/// Load pattern: two teams flood, one through all routers and one through two. The second one's recent
/// demand is known only from the messages of its two routers, so at any other router it is missing in
/// every second round, and the first team would seem to be the only one above the level.
#[derive(Debug, Default)]
pub struct TeamsAboveLevel {
    /// When a team's recent demand was last seen above the level.
    seen_at: BTreeMap<u64, Moment>,
}

impl TeamsAboveLevel {
    /// Updates the teams, and returns the flows of those whose demand is above the level, both over the
    /// share window and, within `ABOVE_MEMORY`, over [`super::shares::RECENT_WINDOW`]. What lagging
    /// routers refused unseen is recent demand too: a team all of whose routers lag is still waiting.
    pub fn update(
        &mut self,
        now: Moment,
        level: f64,
        flows: &BTreeMap<u64, TeamFlow>,
    ) -> Vec<TeamFlow> {
        self.seen_at
            .retain(|_, seen_at| now.since(*seen_at) < ABOVE_MEMORY);
        for (team, flow) in flows {
            if flow.asked_recently + flow.unseen > level {
                self.seen_at.insert(*team, now);
            }
        }
        let above = flows
            .iter()
            .filter(|(team, flow)| flow.asked > level && self.seen_at.contains_key(team));
        above.map(|(_, flow)| *flow).collect()
    }
}

/// Returns the rate that each team above the level may get beyond it, in tokens a second, from the flows
/// of the teams above it; `None` if these are fewer than two.
///
/// Guards against oscillating service. Whether a request beyond its team's share finds an endpoint
/// empty enough depends on the team's service, which is known a second or two late. Without a limit
/// on the rate, the team gets alternately nothing and several times its share, and a team that
/// exceeds the level for only a few seconds may get nothing. The mean over all teams above the
/// level is known just as late, but hardly changes.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn allowance_beyond_level(level: f64, above: &[TeamFlow]) -> Option<f64> {
    let beyond: Vec<f64> = above
        .iter()
        .map(|flow| (flow.served - level).max(0.0))
        .collect();
    if beyond.len() < 2 {
        return None;
    }
    let mean = beyond.iter().sum::<f64>() / beyond.len() as f64;
    Some((SPARE_GROWTH * mean).clamp(MIN_SPARE * level, MAX_SPARE * level))
}

/// Returns the service of the least served of the teams above the level, at least the level; infinite if
/// no team is above it.
///
/// Capacity beyond the published rate goes to the team that finds an endpoint nearly idle, which is
/// more often the team with more requests and shorter prompts. When compared with its share alone,
/// such a team got twice the level while another one got the level.
#[must_use]
pub fn least_served(level: f64, above: &[TeamFlow]) -> f64 {
    let served = above.iter().map(|flow| flow.served);
    let least = served.fold(f64::INFINITY, f64::min);
    least.max(level)
}

/// Returns the factor for one of a team's two allowances, within and beyond its share, from the whole of
/// that allowance and the service at all routers that was charged to it.
///
/// Load pattern: two teams flood, one through many routers and one through a few small ones. An
/// allowance that is not used in time at one router is not available at another, and demand counted
/// from messages is late, so that equal allowances gave one team twice the service of the other.
/// The service of both is known, so the allowances are adjusted by it until the service is equal.
///
/// The share is not corrected for service beyond it. That comes from endpoints that would idle otherwise;
/// if it were deducted, a team would pay with its share for what nobody else wanted, while the next flood takes
/// both its own share and what is idle then.
#[must_use]
pub fn correction(allowance: f64, charged: f64) -> f64 {
    let ratio = allowance / charged.max(1.0);
    ratio
        .powf(CORRECTION_POWER)
        .clamp(MIN_CORRECTION, MAX_CORRECTION)
}

/// Returns the max-min fair level: if each demand is cut to at most the level, the demands add up
/// to `rate`. It is infinite if all demands fit.
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
