//! One retry budget for all routers, without shared counters.
//!
//! All routers together may retry `ratio` of a service's requests plus `slack` requests in any
//! window. Each router spends a fraction of that ratio of the requests that it received itself,
//! plus a fraction of an equal part of the slack, so the sum over routers stays within the budget
//! however unevenly traffic is spread among them.
//!
//! Load pattern: endpoints refuse all work while the processes of routers are killed again and
//! again. A new process does not know what the one before has spent. It starts with a fifth of its
//! part of the slack and earns the rest over one window, so that the processes of a host earn
//! little more than one part in a window, whatever the number of kills. What was spent before the
//! first kill is at most another part.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::routes::ServiceKey;
use super::window::WindowCount;

/// Fraction of the ratio that routers spend. The rest covers retries that leave the count up to a
/// tenth of the window too early, as a window has ten buckets, and the first retries of new
/// processes.
const RATIO_FRACTION: f64 = 0.75;

/// Fraction of the slack that routers spend: half, since the processes of a host may spend two parts
/// in one window, one of them before a kill.
const SLACK_FRACTION: f64 = 0.5;

/// Fraction of its part of the slack that a process has from its start on, so that the first calls
/// of a new router can be retried as well.
const FIRST_FRACTION: f64 = 0.2;

/// The same at the first start of the whole system, when no process before it has spent anything.
/// The rest waits until the other routers are known.
const FIRST_START_FRACTION: f64 = 0.5;

/// Least number of retries that a process has from its start on, unless its part of the slack is
/// smaller.
const FIRST_RETRIES: f64 = 1.0;

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
    /// Fraction of the slack that this process has from its start on.
    first_fraction: f64,
    services: BTreeMap<ServiceKey, ServiceCounts>,
}

impl RetryBudget {
    /// Creates an unspent budget.
    #[must_use]
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            first_fraction: FIRST_FRACTION,
            services: BTreeMap::new(),
        }
    }

    /// Creates the budget of a process that no other one of its host has preceded.
    #[must_use]
    pub fn of_first_start(bounds: RetryBounds) -> Self {
        Self {
            first_fraction: FIRST_START_FRACTION,
            ..Self::new(bounds)
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

    /// Returns the part of the slack that this process has earned since its start at moment 0.
    #[allow(clippy::cast_precision_loss)]
    fn earned_slack(&self, now: Moment, routers: usize) -> f64 {
        let RetryBounds { slack, window, .. } = self.bounds;
        let part = SLACK_FRACTION * slack / routers.max(1) as f64;
        let age = (now.0 as f64 / window.0.max(1) as f64).min(1.0);
        let earned = self.first_fraction + (1.0 - self.first_fraction) * age;
        (part * earned).max(part.min(FIRST_RETRIES))
    }

    /// Returns whether the budget has a retry left.
    pub fn has_retry(&mut self, now: Moment, service: &ServiceKey, routers: usize) -> bool {
        let ratio = RATIO_FRACTION * self.bounds.ratio;
        let earned = self.earned_slack(now, routers);
        let counts = self.counts(service);
        let allowed = ratio * counts.requests.sum(now) + earned;
        counts.retries.sum(now) + 1.0 <= allowed
    }

    /// Takes one retry from the budget. Returns false if the budget is used up.
    pub fn take(&mut self, now: Moment, service: &ServiceKey, routers: usize) -> bool {
        if !self.has_retry(now, service, routers) {
            return false;
        }
        self.counts(service).retries.add(now, 1.0);
        true
    }
}
