//! Estimate of the capacity of all endpoints while it is below the published token rate.
//!
//! Load pattern: many endpoints are unavailable, slow, or fewer than the published rate assumes,
//! while a few teams flood. Measured against a rate that is out of reach, no team exceeds its
//! share, so refusals hit at random: calls are refused at the router that predicts the longest
//! queues at the endpoints, and small teams are refused as often as the flooding ones. The rate to
//! share out is then an estimate of the rate that the endpoints serve.

use crate::units::Moment;

/// Tokens within shares that are turned away ([`FleetFlow::turned_away`]), as a fraction of the
/// demand, above which the endpoints count as saturated. Below it, single endpoints are briefly
/// full.
const SATURATED_PART: f64 = 0.03;

/// Growth of the estimate per second while the endpoints are not saturated. A fleet that lost half
/// of its endpoints reaches its full rate three seconds after they return.
const GROWTH_PER_S: f64 = 0.25;

/// Weight of a sample of the served rate, taken every tenth of a second, while the endpoints are
/// saturated. The samples are already averages over seconds; the moving average only keeps single
/// samples from shifting all shares.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Demand, sent requests and refusals of all routers together, in tokens per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetFlow {
    /// Tokens of all requests.
    pub asked: f64,
    /// Tokens of requests that were sent to endpoints.
    pub served: f64,
    /// Tokens refused, although the team was within its share, because the predicted time to the
    /// first output exceeded the limit. Usually the endpoints are full then; a call with a short
    /// deadline counts too.
    pub turned_away: f64,
}

/// Estimate of the rate to share out among teams.
#[derive(Debug, Default)]
pub struct CapacityEstimate {
    /// The estimated capacity, in tokens per second, while it is below the published rate. It
    /// follows the served rate while the endpoints are saturated and grows otherwise.
    limit: Option<f64>,
    sampled_at: Moment,
}

impl CapacityEstimate {
    /// Returns the rate to share out among teams, from the published rate and the flow at all
    /// routers, in tokens per second.
    pub fn rate(&mut self, now: Moment, published: f64, flow: FleetFlow) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let passed_s = now.since(self.sampled_at).0 as f64 / 1e6;
        self.sampled_at = now;
        let is_saturated = flow.turned_away > SATURATED_PART * flow.asked;
        self.limit = match (self.limit, is_saturated) {
            (None, false) => None,
            (limit, true) => {
                let limit = limit.unwrap_or(published);
                Some(limit + SAMPLE_WEIGHT * (flow.served - limit))
            }
            // Endpoints that serve more than the estimate without refusals have a higher capacity.
            (Some(limit), false) => {
                let grown = limit * (1.0 + GROWTH_PER_S * passed_s.min(1.0));
                Some(grown.max(flow.served))
            }
        };
        self.limit = self.limit.filter(|limit| *limit < published);
        self.limit.unwrap_or(published)
    }

    /// Returns the estimated capacity, in tokens per second, while it is below the published rate.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }
}
