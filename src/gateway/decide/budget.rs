//! One retry budget over all routers, without a store.
//!
//! The fleet may repeat `ratio` of a service's requests, and `slack` besides, in any window. Each
//! router spends that ratio of the requests that it took itself and an even part of the slack:
//! the sum over routers is the fleet's budget whatever the skew of traffic among them.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::routes::ServiceKey;
use super::window::WindowCount;

/// Part of the budget that is spent. The rest covers requests that a window of ten buckets counts
/// too long, and a restarted router that forgot what it had spent.
const SPENT_PART: f64 = 0.75;

/// The published bounds of retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats besides, over the whole fleet.
    pub slack: f64,
    /// The window.
    pub window: TimeSpan,
}

#[derive(Debug)]
struct ServiceCounts {
    requests: WindowCount,
    repeats: WindowCount,
}

/// What this router may still repeat.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    services: BTreeMap<ServiceKey, ServiceCounts>,
}

impl RetryBudget {
    /// An unspent budget.
    #[must_use]
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            services: BTreeMap::new(),
        }
    }

    fn counts(&mut self, service: &ServiceKey) -> &mut ServiceCounts {
        let window = self.bounds.window;
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceCounts {
                requests: WindowCount::new(window),
                repeats: WindowCount::new(window),
            })
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Moment, service: &ServiceKey) {
        self.counts(service).requests.add(now, 1.0);
    }

    /// Takes one repeat out of the budget; whether there was one.
    pub fn take(&mut self, now: Moment, service: &ServiceKey, routers: usize) -> bool {
        let RetryBounds { ratio, slack, .. } = self.bounds;
        let counts = self.counts(service);
        #[allow(clippy::cast_precision_loss)]
        let part = slack / routers.max(1) as f64;
        let allowed = SPENT_PART * (ratio * counts.requests.sum(now) + part);
        if counts.repeats.sum(now) + 1.0 > allowed {
            return false;
        }
        counts.repeats.add(now, 1.0);
        true
    }
}
