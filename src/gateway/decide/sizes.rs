//! Long prompts keep a part in what their route is served.
//!
//! The load that this answers: prompt sizes with a heavy tail under overload. A long prompt's own
//! reading takes most of the objective, so any queue at all refuses it, each time that it comes.
//! Letting all of them wait as long as the others costs more than it gives (a tenth of the
//! requests holds half of the reading work), so they get turns: as many as bring their served
//! part to `LEAST_PART` of the whole route's.

use std::collections::BTreeMap;

use crate::units::Moment;

use super::super::routes::RouteKey;

/// Least part that a band is served, of what its whole route is served. A band below half of its
/// route counts as starved; the rest is room for turns that find no endpoint.
const LEAST_PART: f64 = 0.62;

/// Lower bounds of the bands above the usual sizes, as multiples of the route's mean size. With
/// the heavy tails seen (deviation about the mean) they cut off the largest tenth and the fifth
/// below it.
const BAND_BOUNDS: [f64; 2] = [1.2, 2.2];

/// Weight of a new size in the mean: a hundred requests, some seconds of a router's traffic.
const MEAN_WEIGHT: f64 = 0.01;

/// Time after which a count weighs half, in us: long enough for several long prompts.
const HALF_LIFE_US: f64 = 8_000_000.0;

#[derive(Debug, Clone, Copy, Default)]
struct BandCounts {
    asked: f64,
    served: f64,
}

impl BandCounts {
    fn part(&self) -> f64 {
        if self.asked <= 0.0 {
            return 1.0;
        }
        self.served / self.asked
    }
}

#[derive(Debug, Default)]
struct RouteSizes {
    mean: f64,
    at: Moment,
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
        let passed = now.since(self.at).0 as f64;
        let kept = (-passed / HALF_LIFE_US).exp2();
        for band in &mut self.bands {
            band.asked *= kept;
            band.served *= kept;
        }
        self.at = now;
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

/// What each route is asked and served, by size.
#[derive(Debug, Default)]
pub struct SizeTable {
    routes: BTreeMap<RouteKey, RouteSizes>,
}

impl SizeTable {
    /// Counts a request of this size.
    pub fn asked(&mut self, now: Moment, route: &RouteKey, tokens: f64) {
        let sizes = self.routes.entry(route.clone()).or_default();
        if sizes.mean <= 0.0 {
            sizes.mean = tokens;
        }
        sizes.mean += MEAN_WEIGHT * (tokens - sizes.mean);
        sizes.decay(now);
        let band = sizes.band(tokens);
        sizes.bands[band].asked += 1.0;
    }

    /// Counts a request of this size that was sent.
    pub fn served(&mut self, route: &RouteKey, tokens: f64) {
        if let Some(sizes) = self.routes.get_mut(route) {
            let band = sizes.band(tokens);
            sizes.bands[band].served += 1.0;
        }
    }

    /// Whether a request of this size has a turn, since its like are served too seldom.
    #[must_use]
    pub fn has_turn(&self, route: &RouteKey, tokens: f64) -> bool {
        let Some(sizes) = self.routes.get(route) else {
            return false;
        };
        let band = sizes.band(tokens);
        band > 0 && sizes.bands[band].part() < LEAST_PART * sizes.whole().part()
    }
}
