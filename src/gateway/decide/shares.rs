//! Max-min shares of the published token rate, over all routers.
//!
//! The load that this answers: a few teams send many times their usual while the others do not.
//! Each router counts what teams ask of it and tells the others; all compute the same max-min
//! shares. A team beyond its share yields when endpoints are busy, in proportion to where its
//! requests arrive. While endpoints have room nobody yields.

use std::collections::BTreeMap;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::routes::TeamKey;
use super::window::WindowCount;

/// Part of a second's worth of a team's share that it may use ahead of time. A whole second lets
/// through a clump of arrivals; the published window of shares is several seconds.
const BURST_S: f64 = 1.0;

/// Shortest time over which demand is counted: a few requests of a large team.
const LEAST_COUNTED: TimeSpan = TimeSpan::from_millis(500);

/// How a request stands to its team's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareStanding {
    /// Within the share, or nothing is limited.
    Within,
    /// Beyond it; the number is what the team is served against its share, from 1 up.
    Beyond(f64),
}

#[derive(Debug)]
struct TeamCounts {
    asked: WindowCount,
    served: WindowCount,
    /// Tokens that may be used within the share.
    credit: f64,
    credited_at: Moment,
    /// This router's part of the team's share, in tokens a second; nothing if it is not limited.
    allowed: Option<f64>,
}

/// What teams ask and what they are owed.
#[derive(Debug)]
pub struct ShareTable {
    window: TimeSpan,
    /// When the first request was counted.
    begun: Option<Moment>,
    teams: BTreeMap<TeamKey, TeamCounts>,
}

impl ShareTable {
    /// An empty table that measures demand over this window.
    #[must_use]
    pub fn new(window: TimeSpan) -> Self {
        Self {
            window,
            begun: None,
            teams: BTreeMap::new(),
        }
    }

    fn counts(&mut self, team: &TeamKey) -> &mut TeamCounts {
        let window = self.window;
        self.teams
            .entry(team.clone())
            .or_insert_with(|| TeamCounts {
                asked: WindowCount::new(window),
                served: WindowCount::new(window),
                credit: 0.0,
                credited_at: Moment(0),
                allowed: None,
            })
    }

    /// Counts a request that came; how it stands to its team's share.
    ///
    /// A request may be larger than a second's share: it passes on any rest, and leaves debt when
    /// it is [`Self::serve`]d.
    pub fn ask(&mut self, now: Moment, team: &TeamKey, tokens: f64) -> ShareStanding {
        self.begun.get_or_insert(now);
        let seconds = self.counted_s(now);
        let counts = self.counts(team);
        counts.asked.add(now, tokens);
        let Some(allowed) = counts.allowed else {
            return ShareStanding::Within;
        };
        #[allow(clippy::cast_precision_loss)]
        let passed_s = now.since(counts.credited_at).0 as f64 / 1e6;
        counts.credited_at = now;
        let most = allowed * BURST_S;
        counts.credit = (counts.credit + allowed * passed_s).min(most);
        if counts.credit > 0.0 {
            return ShareStanding::Within;
        }
        let served = counts.served.sum(now) / seconds;
        ShareStanding::Beyond((served / allowed.max(1.0)).max(1.0))
    }

    /// Counts a request that is sent. One that was refused, for whatever reason, costs its team
    /// nothing; one that is sent although its team has nothing left uses room that is idle.
    pub fn serve(&mut self, now: Moment, team: &TeamKey, tokens: f64) {
        let counts = self.counts(team);
        counts.served.add(now, tokens);
        if counts.allowed.is_some() && counts.credit > 0.0 {
            counts.credit -= tokens;
        }
    }

    /// Seconds over which the counts go: the window, or the shorter time since the first request.
    ///
    /// Guards against a fleet that has just started and shares nothing out: over the whole window
    /// its teams' demand would seem to fit for seconds, while the largest of them floods the
    /// endpoints.
    #[allow(clippy::cast_precision_loss)]
    fn counted_s(&self, now: Moment) -> f64 {
        let age = self.begun.map_or(TimeSpan(0), |begun| now.since(begun));
        age.clamp(LEAST_COUNTED, self.window.max(LEAST_COUNTED)).0 as f64 / 1e6
    }

    /// What each team asked of this router, in tokens a second.
    pub fn asked(&mut self, now: Moment) -> BTreeMap<TeamKey, f64> {
        let seconds = self.counted_s(now);
        self.teams
            .iter_mut()
            .map(|(team, counts)| (team.clone(), counts.asked.sum(now) / seconds))
            .collect()
    }

    /// Sets this router's part of each team's share from what all routers were asked. `rate` is
    /// what all endpoints together handle, in tokens a second.
    pub fn share_out(&mut self, now: Moment, rate: f64, elsewhere: &BTreeMap<u64, f64>) {
        let own = self.asked(now);
        let mut demands = elsewhere.clone();
        for (team, asked) in &own {
            *demands.entry(team.hash()).or_default() += asked;
        }
        let level = max_min_level(rate, demands.values().copied());
        for (team, counts) in &mut self.teams {
            let own = own.get(team).copied().unwrap_or_default();
            let all = demands.get(&team.hash()).copied().unwrap_or_default();
            if all <= level || all <= 0.0 || rate <= 0.0 {
                counts.allowed = None;
                continue;
            }
            if counts.allowed.is_none() {
                counts.credit = 0.0;
                counts.credited_at = now;
            }
            counts.allowed = Some(level * own / all);
        }
    }
}

/// The most that a demand gets, so that all together get `rate`; infinite if all fit.
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
