//! A team's demand while it rises or falls faster than its mean over the window of shares tells.
//!
//! The load that this answers: a team begins to press from one moment to the next, with many times
//! what it asked before, through any number of routers. Its mean over seconds reaches its share only after
//! one or two of them, in which it counts as within its share everywhere and takes all that the
//! endpoints can begin: more than teams that press already get in six seconds. Counted over the last
//! moments it is known after a quarter of a second.
//!
//! When a flood falls, the mean still tells of it for seconds, and those that others tell are older and
//! higher still: all routers' parts add up to half of the share. A team that asks less than its
//! share by then would be refused most of it.

use super::shares::TeamFlow;

/// Demand of the last moments against the mean at which a team counts as surging.
const SURGE_BEGINS: f64 = 3.0;

/// The same against what a team gets at most. A flood of twice that is known from the mean after
/// three seconds, in which it gets half as much again as others in six; who asks less can wait for the
/// mean. Usual teams' requests come in clumps of several times their mean, and while all demands fit
/// nobody is short of anything.
const SURGE_LEVELS: f64 = 2.0;

/// The same at which it ends: the mean, from which parts of a share are steadier, is nearly there.
const SURGE_ENDS: f64 = 1.5;

/// What is kept of the highest demand from one look to the next, a tenth of a second: half of it after
/// 0.7 s. A single look that misses the busiest routers must not end a surge.
const PEAK_KEPT: f64 = 0.9;

/// Demand of the last moments against the mean, below which a flood is over or nearly so.
const EBB_BEGINS: f64 = 0.5;

/// The same at which the mean is right again.
const EBB_ENDS: f64 = 0.75;

/// What is kept of the highest demand from one look to the next when a flood's end is looked for: an
/// eighth after a second.
const EBB_PEAK_KEPT: f64 = 0.8;

/// Most that is believed of a long part. A team of nothing but the longest requests shows a twentieth.
const MOST_LONG_PART: f64 = 0.95;

/// What counts of a team when shares are set.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamDemand {
    /// What all routers are asked, in tokens a second.
    pub asked: f64,
    /// This router's part of it, from 0 to 1.
    pub part: f64,
}

/// Whether a team surges.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SurgeWatch {
    /// The highest demand of the last moments, in tokens a second.
    peak: f64,
    is_surging: bool,
    /// The same, forgotten sooner.
    late_peak: f64,
    is_ebbing: bool,
    /// Part of the mean that the last moments don't show, from 0 to 1: what is long of long requests.
    long_part: f64,
}

impl SurgeWatch {
    /// Whether the team's demand has just risen to several times its mean.
    #[must_use]
    pub fn is_surging(&self) -> bool {
        self.is_surging
    }

    /// Takes over which part of the team's demand the last moments don't show, from 0 to 1.
    pub fn set_long_part(&mut self, long_part: f64) {
        self.long_part = long_part.clamp(0.0, MOST_LONG_PART);
    }

    /// The team's demand, from what this router and all together are asked and the most that a team
    /// got by now.
    pub fn demand(&mut self, own: TeamFlow, all: TeamFlow, level: f64) -> TeamDemand {
        self.peak = all.asked_lately.max(self.peak * PEAK_KEPT);
        let bound = if self.is_surging {
            SURGE_ENDS * all.asked
        } else {
            (SURGE_BEGINS * all.asked).max(SURGE_LEVELS * level)
        };
        self.is_surging = self.peak > bound;
        if self.ebbs(all) && all.asked > level {
            let part = own.asked_lately / all.asked_lately.max(1.0);
            return TeamDemand {
                asked: (self.late_peak / (1.0 - self.long_part)).min(all.asked),
                part: part.min(1.0),
            };
        }
        // Both of one kind: a mean that lags against one that does not would make all routers' parts
        // several times the whole.
        let (asked, here) = if self.is_surging {
            (self.peak, own.asked_lately)
        } else {
            (all.asked, own.asked)
        };
        let part = if asked > 0.0 { here / asked } else { 0.0 };
        TeamDemand { asked, part }
    }

    /// Whether the team asks much less by now than its mean over the window.
    fn ebbs(&mut self, all: TeamFlow) -> bool {
        self.late_peak = all.asked_lately.max(self.late_peak * EBB_PEAK_KEPT);
        let bound = if self.is_ebbing { EBB_ENDS } else { EBB_BEGINS };
        let steady = all.asked * (1.0 - self.long_part);
        self.is_ebbing = self.late_peak < bound * steady;
        self.is_ebbing
    }
}
