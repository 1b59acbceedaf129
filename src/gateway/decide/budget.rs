//! One retry budget for all routers, without shared counters.
//!
//! All routers together may retry `ratio` of a service's requests plus `slack` requests in any
//! window. Each router computes that ratio of the requests that it received itself plus an equal
//! part of the slack, and retries up to three quarters of it, so the sum over routers stays within
//! the budget however unevenly traffic is spread among them.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::routes::ServiceKey;
use super::window::WindowCount;

/// Fraction of the budget that routers spend. The rest covers retries that leave the count up to a
/// tenth of the window too early, as a window has ten buckets, and a restarted router that lost its
/// counts.
const SPENT_PART: f64 = 0.75;

/// The published limits on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per service and window, over all routers.
    pub slack: f64,
    /// The length of the window.
    pub window: TimeSpan,
}

#[derive(Debug)]
struct ServiceCounts {
    requests: WindowCount,
    retries: WindowCount,
}

/// This router's part of the retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    services: BTreeMap<ServiceKey, ServiceCounts>,
}

impl RetryBudget {
    /// Creates an unspent budget.
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
                retries: WindowCount::new(window),
            })
    }

    /// Counts a caller's request.
    pub fn request(&mut self, now: Moment, service: &ServiceKey) {
        self.counts(service).requests.add(now, 1.0);
    }

    /// Takes one retry from the budget. Returns false if the budget is used up.
    pub fn take(&mut self, now: Moment, service: &ServiceKey, routers: usize) -> bool {
        let RetryBounds { ratio, slack, .. } = self.bounds;
        let counts = self.counts(service);
        #[allow(clippy::cast_precision_loss)]
        let part = slack / routers.max(1) as f64;
        let allowed = SPENT_PART * (ratio * counts.requests.sum(now) + part);
        if counts.retries.sum(now) + 1.0 > allowed {
            return false;
        }
        counts.retries.add(now, 1.0);
        true
    }
}
