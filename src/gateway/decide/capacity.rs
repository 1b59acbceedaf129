//! What the endpoints can really do, when that is less than what is published.
//!
//! The load that this answers: many endpoints are away, slow, or fewer than the published rate was
//! made for, while a few teams flood. Measured against a rate that is out of reach no team is
//! beyond its share, so routers refuse by chance: whoever comes through the router with the
//! deepest queues loses, small teams as often as those that flood. The rate to share out is then
//! what the fleet serves.

use crate::units::Moment;

/// Part of the asked tokens within shares that are turned away from full endpoints, beyond which
/// the fleet counts as saturated. Below it single endpoints are full for a moment.
const SATURATED_PART: f64 = 0.03;

/// Growth of the estimate a second while nothing is turned away. A fleet that lost half of its
/// endpoints has found its rate again three seconds after they are back.
const GROWTH_PER_S: f64 = 0.25;

/// Weight of a look, a tenth of a second, at what a saturated fleet serves: the counts go over
/// seconds already, and the mean only keeps single looks from moving all shares.
const LOOK_WEIGHT: f64 = 0.2;

/// What all routers together were asked, served and turned away, in tokens a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetFlow {
    /// Asked.
    pub asked: f64,
    /// Served.
    pub served: f64,
    /// Turned away from full endpoints although within their teams' shares.
    pub turned_away: f64,
}

/// The rate to share out.
#[derive(Debug, Default)]
pub struct CapacityEstimate {
    /// What the fleet serves, while that is less than published.
    limit: Option<f64>,
    looked_at: Moment,
}

impl CapacityEstimate {
    /// The rate to share out among teams, from what is published and what all routers see.
    pub fn rate(&mut self, now: Moment, published: f64, flow: FleetFlow) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let passed_s = now.since(self.looked_at).0 as f64 / 1e6;
        self.looked_at = now;
        let is_saturated = flow.turned_away > SATURATED_PART * flow.asked;
        self.limit = match (self.limit, is_saturated) {
            (None, false) => None,
            (limit, true) => {
                let limit = limit.unwrap_or(published);
                Some(limit + LOOK_WEIGHT * (flow.served - limit))
            }
            // A fleet that serves more than its limit and turns nothing away is not limited to it.
            (Some(limit), false) => {
                let grown = limit * (1.0 + GROWTH_PER_S * passed_s.min(1.0));
                Some(grown.max(flow.served))
            }
        };
        self.limit = self.limit.filter(|limit| *limit < published);
        self.limit.unwrap_or(published)
    }

    /// What the fleet serves, while that is less than published.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }
}
