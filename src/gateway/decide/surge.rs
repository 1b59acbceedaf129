//! Detection of demand that rises or falls faster than its mean over the share window.
//!
//! Load pattern: a team suddenly sends many times its previous demand, through any number of
//! routers. Its mean demand over the share window reaches its share only after one or two seconds.
//! Until then the team counts as within its share at every router, and its requests take all that
//! the endpoints can start. That is more than teams already over their shares get in six seconds.
//! The demand over the last 0.3 s ([`super::shares::RECENT_WINDOW`]), the *recent demand*, shows
//! the flood after a quarter of a second.
//!
//! When a flood ends, the mean stays high for seconds. Each router computes its part of the share
//! from its own mean divided by the sum of all means; the means reported by other routers are older
//! and even higher, so the parts add up to only half of the share. A team whose demand is below its
//! share by then would be refused most of its requests.
//!
//! A lagging router refuses requests unseen. Recent demand then drops to nothing and comes back within
//! a second, and parts of the share that follow it lie where nothing is asked, or nowhere. While much
//! of a team's demand is unseen, its parts follow the mean over the share window.

use super::shares::TeamFlow;

/// Ratio of the decaying peak of recent demand to the mean above which a surge begins, if
/// [`SURGE_LEVELS`] is exceeded too.
const SURGE_BEGINS: f64 = 3.0;

/// Ratio of the decaying peak of recent demand to the max-min level above which a surge begins, if
/// [`SURGE_BEGINS`] is exceeded too. A flood of twice the level shows in the mean after three
/// seconds, in which it gets half as much again as others do in six; smaller floods can wait for
/// the mean. Without this bound normal teams would count as surging, since their requests come in
/// bursts of several times their mean. While all demands fit, no team is short of capacity: the
/// level is infinite then, and no surge begins.
const SURGE_LEVELS: f64 = 2.0;

/// Ratio of the decaying peak of recent demand to the mean at which a surge ends. The mean has
/// nearly caught up by then, and the routers' parts of a share are steadier when computed from it.
const SURGE_ENDS: f64 = 1.5;

/// Factor by which the peak of recent demand decays per update, a tenth of a second: to half after
/// 0.7 s. A single update that misses the busiest routers must not end a surge.
const PEAK_DECAY: f64 = 0.9;

/// Ratio of the fast-decaying peak of recent demand to the mean, both with capped request sizes,
/// below which a flood counts as ending.
const FALL_BEGINS: f64 = 0.5;

/// The same ratio from which the mean is accurate again.
const FALL_ENDS: f64 = 0.75;

/// Decay factor per update of the peak that detects the end of a flood: to about a ninth after a
/// second.
const FAST_PEAK_DECAY: f64 = 0.8;

/// Upper bound of the fraction of demand removed by the size cap, which counts a request in recent
/// demand with at most twice the mean size. At least a twentieth of the demand remains; a team that
/// sends only the longest requests, of twenty times the mean size, keeps a tenth.
const MAX_CAPPED_PART: f64 = 0.95;

/// Ratio of the fast-decaying peak of unseen demand to the mean of seen demand above which recent
/// demand says little about where a team asks.
const UNSEEN_PART: f64 = 0.5;

/// Demand of a team from which its share is computed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamDemand {
    /// Demand at all routers, in tokens a second.
    pub asked: f64,
    /// Fraction of it that arrives at this router, from 0 to 1.
    pub part: f64,
}

/// Detects the start and the end of a team's surge.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SurgeDetector {
    /// Decaying peak of recent demand, in tokens a second.
    peak: f64,
    is_surging: bool,
    /// Peak of recent demand with a faster decay, in tokens a second.
    fast_peak: f64,
    is_falling: bool,
    /// Peak of unseen demand, with the decay of `fast_peak`, in tokens a second.
    unseen_peak: f64,
    /// Fraction of the mean that recent demand omits because of the size cap on requests, from 0 to
    /// 1.
    capped_part: f64,
}

impl SurgeDetector {
    /// True from the start of a surge (`SURGE_BEGINS`, `SURGE_LEVELS`) to its end (`SURGE_ENDS`).
    #[must_use]
    pub fn is_surging(&self) -> bool {
        self.is_surging
    }

    /// Sets the fraction of the team's demand that the size cap removes, from 0 to 1.
    pub fn set_capped_part(&mut self, capped_part: f64) {
        self.capped_part = capped_part.clamp(0.0, MAX_CAPPED_PART);
    }

    /// Updates the surge state and returns the team's demand, from the flow at this router, the
    /// flow at all routers and the max-min level last set, in tokens a second.
    pub fn update(&mut self, own: TeamFlow, all: TeamFlow, level: f64) -> TeamDemand {
        self.peak = all.asked_recently.max(self.peak * PEAK_DECAY);
        let bound = if self.is_surging {
            SURGE_ENDS * all.asked
        } else {
            (SURGE_BEGINS * all.asked).max(SURGE_LEVELS * level)
        };
        self.is_surging = self.peak > bound;
        let is_falling = self.update_falling(all);
        let is_partly_unseen = self.is_partly_unseen(all);
        if is_falling && !is_partly_unseen && all.asked > level {
            let part = own.asked_recently / all.asked_recently.max(1.0);
            return TeamDemand {
                asked: (self.fast_peak / (1.0 - self.capped_part)).min(all.asked),
                part: part.min(1.0),
            };
        }
        let asked = if self.is_surging {
            self.peak
        } else {
            all.asked
        };
        // Numerator and denominator must cover the same period. Recent demand divided by a mean
        // that lags would make the routers' parts add up to several times the whole.
        let part = if self.is_surging && !is_partly_unseen {
            part_of(own.asked_recently, self.peak)
        } else {
            part_of(own.asked, all.asked)
        };
        TeamDemand { asked, part }
    }

    /// Updates the peak of unseen demand and returns whether much of the demand is unseen.
    fn is_partly_unseen(&mut self, all: TeamFlow) -> bool {
        self.unseen_peak = all.unseen.max(self.unseen_peak * FAST_PEAK_DECAY);
        self.unseen_peak > UNSEEN_PART * all.asked
    }

    /// Updates and returns whether recent demand is far below the mean over the share window.
    fn update_falling(&mut self, all: TeamFlow) -> bool {
        self.fast_peak = all.asked_recently.max(self.fast_peak * FAST_PEAK_DECAY);
        let bound = if self.is_falling {
            FALL_ENDS
        } else {
            FALL_BEGINS
        };
        let steady = all.asked * (1.0 - self.capped_part);
        self.is_falling = self.fast_peak < bound * steady;
        self.is_falling
    }
}

fn part_of(here: f64, all: f64) -> f64 {
    if all > 0.0 { here / all } else { 0.0 }
}
