//! Longer permitted waits for long prompts that are served too seldom.
//!
//! Load pattern: prompt sizes with a heavy tail under overload. Prefilling a long prompt takes most
//! of its route's latency objective, so any queue causes it to be refused, on every retry. Adding a
//! permitted wait for all long prompts costs more than it gains, as a tenth of the requests makes
//! up half of the prefill work. The wait is therefore permitted only as often as needed for the
//! served fraction of the long prompts to reach `MIN_SERVED_FRACTION` of the served fraction of the
//! whole route.

use std::collections::BTreeMap;

use crate::units::Moment;

use super::super::routes::RouteKey;

/// Served fraction of a size band below which its requests may wait longer, relative to the served
/// fraction of its whole route. The goal is that no band falls below half of its route's fraction;
/// the margin from 0.5 to 0.62 covers permitted waits that find no endpoint.
const MIN_SERVED_FRACTION: f64 = 0.62;

/// Lower bounds of the second and the third size band, as multiples of the route's mean size. With
/// the heavy tails observed (a standard deviation about as large as the mean) the third band holds
/// the largest tenth of the requests and the second the next fifth.
const BAND_BOUNDS: [f64; 2] = [1.2, 2.2];

/// Weight of a new size in the moving mean. The last hundred requests, some seconds of a router's
/// traffic on one route, make up two thirds of the mean.
const MEAN_WEIGHT: f64 = 0.01;

/// Half-life of the counts, in us: long enough for several long prompts.
const HALF_LIFE_US: f64 = 8_000_000.0;

#[derive(Debug, Clone, Copy, Default)]
struct BandCounts {
    /// Decaying number of requests that arrived.
    asked: f64,
    /// Decaying number of requests that were sent to endpoints.
    served: f64,
}

impl BandCounts {
    fn served_fraction(&self) -> f64 {
        if self.asked <= 0.0 {
            return 1.0;
        }
        self.served / self.asked
    }
}

#[derive(Debug, Default)]
struct RouteSizes {
    /// Moving mean of the request size, in tokens.
    mean: f64,
    /// When the counts were last decayed.
    decayed_at: Moment,
    bands: [BandCounts; BAND_BOUNDS.len() + 1],
}

impl RouteSizes {
    fn band(&self, tokens: f64) -> usize {
        BAND_BOUNDS
            .iter()
            .filter(|bound| tokens > **bound * self.mean)
            .count()
    }

    fn decay(&mut self, now: Moment) {
        #[allow(clippy::cast_precision_loss)]
        let passed = now.since(self.decayed_at).0 as f64;
        let kept = (-passed / HALF_LIFE_US).exp2();
        for band in &mut self.bands {
            band.asked *= kept;
            band.served *= kept;
        }
        self.decayed_at = now;
    }

    fn whole(&self) -> BandCounts {
        let mut whole = BandCounts::default();
        for band in &self.bands {
            whole.asked += band.asked;
            whole.served += band.served;
        }
        whole
    }
}

/// Requests received and sent on each route, by size band.
#[derive(Debug, Default)]
pub struct SizeTable {
    routes: BTreeMap<RouteKey, RouteSizes>,
}

impl SizeTable {
    /// Counts a received request of this size, in tokens.
    pub fn count_received_request(&mut self, now: Moment, route: &RouteKey, tokens: f64) {
        let sizes = self.routes.entry(route.clone()).or_default();
        if sizes.mean <= 0.0 {
            sizes.mean = tokens;
        }
        sizes.mean += MEAN_WEIGHT * (tokens - sizes.mean);
        sizes.decay(now);
        let band = sizes.band(tokens);
        sizes.bands[band].asked += 1.0;
    }

    /// Counts a request of this size, in tokens, that was sent.
    pub fn count_sent_request(&mut self, route: &RouteKey, tokens: f64) {
        if let Some(sizes) = self.routes.get_mut(route) {
            let band = sizes.band(tokens);
            sizes.bands[band].served += 1.0;
        }
    }

    /// Returns true if requests of this size, in tokens, are served too seldom, so that this one
    /// may wait longer.
    #[must_use]
    pub fn is_underserved(&self, route: &RouteKey, tokens: f64) -> bool {
        let Some(sizes) = self.routes.get(route) else {
            return false;
        };
        let band = sizes.band(tokens);
        band > 0
            && sizes.bands[band].served_fraction()
                < MIN_SERVED_FRACTION * sizes.whole().served_fraction()
    }
}
