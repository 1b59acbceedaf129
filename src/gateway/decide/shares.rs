//! Max-min shares of the published token rate, over all routers.
//!
//! Two floods that begin seconds apart must get about the same in any six seconds: a team is held from the
//! demand of the last moments ([`super::surge`]), and what it got before does not count against it.
//!
//! The load that this answers: a few teams send many times their usual while the others do not.
//! Each router counts what teams ask of it and tells the others; all compute the same max-min
//! shares. A team beyond its share yields when endpoints are busy, in proportion to where its
//! requests arrive. While endpoints have room nobody yields.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::routes::TeamKey;
use super::levels::correction;
use super::levels::least_served;
use super::levels::max_min_level;
use super::levels::spare_level;
use super::surge::SurgeWatch;
use super::surge::TeamDemand;
use super::window::WindowCount;

/// Part of a second's worth of a team's share that it may use ahead of time. A whole second lets
/// through a clump of arrivals; the published window of shares is several seconds.
const BURST_S: f64 = 1.0;

/// Shortest time over which demand is counted: a few requests of a large team.
const LEAST_COUNTED: TimeSpan = TimeSpan::from_millis(500);

/// Tokens that a request is taken to have until some came, and weight of a new one in the mean: a hundred
/// requests, a second of a busy router's traffic.
const FIRST_TOKENS: f64 = 3_000.0;
const SIZE_WEIGHT: f64 = 0.01;

/// Size, in means, as which a longer request counts in the demand of the last moments. One of the longest
/// kind has twenty, and would make a usual team seem to press.
const MOST_SIZE: f64 = 2.0;

/// The last moments: a few requests of a team that presses at a router, and three rounds of messages, in
/// which a router of ninety hears from fifteen others. A flood of ten shares is known within them.
pub const LATELY: TimeSpan = TimeSpan::from_millis(300);

/// What a team that surges counts as served against its share at least. What it gets is known as late as
/// what it asks, so it may use only endpoints that are nearly idle meanwhile.
const SURGE_SERVED: f64 = 2.0;

/// How a request stands to its team's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareStanding {
    /// Within the share, or nothing is limited.
    Within,
    /// Beyond it; the number is what the team is served against its share, from 1 up. Infinite if it
    /// has no part left of what is served beyond shares.
    Beyond(f64),
}

/// What a team asks of routers and is served by them, in tokens a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamFlow {
    /// Asked, over the window of shares.
    pub asked: f64,
    /// Asked in the last moments, where a long request counts as twice the usual one.
    pub asked_lately: f64,
    /// Served, over the window of shares.
    pub served: f64,
}

impl AddAssign for TeamFlow {
    fn add_assign(&mut self, other: Self) {
        self.asked += other.asked;
        self.asked_lately += other.asked_lately;
        self.served += other.served;
    }
}

/// A team that is held to its share, as logs tell it. Rates are in tokens a second.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitedTeam {
    /// The team.
    pub team: TeamKey,
    /// What all routers are asked and serve.
    pub flow: TeamFlow,
    /// What this router is asked.
    pub asked_here: f64,
    /// What this router may serve within the share.
    pub allowed_here: f64,
    /// When it began to be held.
    pub since: Moment,
}

#[derive(Debug)]
struct TeamCounts {
    asked: WindowCount,
    asked_lately: WindowCount,
    /// As the last moments count it, over the window.
    asked_short: WindowCount,
    served: WindowCount,
    surge: SurgeWatch,
    /// Tokens that may be used within the share.
    credit: f64,
    credited_at: Moment,
    /// This router's part of the team's share, in tokens a second; nothing if it is not limited.
    allowed: Option<f64>,
    /// This router's part of what it may get beyond its share, in tokens a second; nothing while
    /// that is not bounded.
    spare: Option<f64>,
    /// Tokens that may be used beyond the share.
    spare_credit: f64,
    /// When it was last begun to be held to its share; service is counted from then.
    held_at: Option<Moment>,
    /// What all routers were asked and served when shares were last set.
    flow: TeamFlow,
    /// What this router was asked then.
    asked_here: f64,
    /// What all routers together serve the team, against its share, and once more against what the
    /// team gets that presses and gets least.
    served_part: f64,
}

/// What holds for all teams when shares are set.
#[derive(Debug)]
struct ShareTerms {
    /// The most that a team gets, in tokens a second; infinite while all demands fit.
    level: f64,
    /// What the team gets that presses and gets least, in tokens a second.
    least: f64,
    /// What each team that presses may get beyond its share, in tokens a second; nothing if none
    /// competes with another.
    spare: Option<f64>,
    /// How much of the window of shares the counts cover, from 0 to 1.
    settled: f64,
    /// The window of shares.
    window: TimeSpan,
}

impl TeamCounts {
    /// Adds what the allowance gave since it was last added.
    #[allow(clippy::cast_precision_loss)]
    fn accrue(&mut self, now: Moment) {
        let passed_s = now.since(self.credited_at).0 as f64 / 1e6;
        self.credited_at = now;
        let Some(allowed) = self.allowed else {
            return;
        };
        self.credit = refilled(self.credit, allowed, passed_s);
        if let Some(spare) = self.spare {
            self.spare_credit = refilled(self.spare_credit, spare, passed_s);
        }
    }

    /// Sets this router's part of the team's share from what all routers are asked and serve.
    fn set_share(&mut self, now: Moment, terms: &ShareTerms, demand: TeamDemand) {
        if demand.asked <= terms.level || demand.asked <= 0.0 {
            self.allowed = None;
            return;
        }
        if self.allowed.is_none() {
            self.hold(now, terms.window);
        }
        let served = self.flow.served;
        self.allowed = Some(terms.level * demand.part * correction(terms.level, served));
        self.spare = terms.spare.map(|spare| spare * demand.part);
        let served_part = served / terms.level.max(1.0);
        let ahead = (served / terms.least.max(1.0)).max(1.0);
        self.served_part = (1.0 + terms.settled * (served_part - 1.0)) * ahead;
        if self.surge.is_surging() {
            self.served_part = self.served_part.max(SURGE_SERVED);
        }
    }

    /// Part of what it asked here over the window that the last moments don't count, from 0 to 1.
    fn long_part(&mut self, now: Moment) -> f64 {
        let asked = self.asked.sum(now);
        if asked <= 0.0 {
            return 0.0;
        }
        1.0 - self.asked_short.sum(now) / asked
    }

    /// Begins to hold the team to its share.
    ///
    /// What it was served before is forgotten. Guards against a team that pays for the first
    /// moments of its flood: its allowance would be lowered for as long as the window of shares, while the
    /// next team that begins to press is not held yet and gets several times as much.
    fn hold(&mut self, now: Moment, window: TimeSpan) {
        self.credit = 0.0;
        self.spare_credit = 0.0;
        self.credited_at = now;
        self.held_at = Some(now);
        self.served = WindowCount::new(window);
    }
}

/// What teams ask and what they are owed.
#[derive(Debug)]
pub struct ShareTable {
    window: TimeSpan,
    /// When the first request was counted.
    begun: Option<Moment>,
    /// Requests within shares that found the endpoints full.
    turned_away: WindowCount,
    /// The usual size of a request, of whichever team.
    mean_tokens: f64,
    /// The most that a team gets, in tokens a second; infinite while all demands fit.
    level: f64,
    teams: BTreeMap<TeamKey, TeamCounts>,
}

impl ShareTable {
    /// An empty table that measures demand over this window.
    #[must_use]
    pub fn new(window: TimeSpan) -> Self {
        Self {
            window,
            begun: None,
            turned_away: WindowCount::new(window),
            mean_tokens: FIRST_TOKENS,
            level: f64::INFINITY,
            teams: BTreeMap::new(),
        }
    }

    fn counts(&mut self, team: &TeamKey) -> &mut TeamCounts {
        let window = self.window;
        self.teams
            .entry(team.clone())
            .or_insert_with(|| TeamCounts {
                asked: WindowCount::new(window),
                asked_lately: WindowCount::new(LATELY),
                asked_short: WindowCount::new(window),
                served: WindowCount::new(window),
                surge: SurgeWatch::default(),
                credit: 0.0,
                credited_at: Moment(0),
                allowed: None,
                spare: None,
                spare_credit: 0.0,
                held_at: None,
                flow: TeamFlow::default(),
                asked_here: 0.0,
                served_part: 0.0,
            })
    }

    /// Counts a request that came; how it stands to its team's share.
    ///
    /// A request may be larger than a second's share: it passes on any rest, and leaves debt when
    /// it is [`Self::serve`]d.
    pub fn ask(&mut self, now: Moment, team: &TeamKey, tokens: f64) -> ShareStanding {
        self.begun.get_or_insert(now);
        self.mean_tokens += SIZE_WEIGHT * (tokens - self.mean_tokens);
        let most_tokens = MOST_SIZE * self.mean_tokens;
        let counts = self.counts(team);
        counts.asked.add(now, tokens);
        let short = tokens.min(most_tokens);
        counts.asked_lately.add(now, short);
        counts.asked_short.add(now, short);
        if counts.allowed.is_none() {
            return ShareStanding::Within;
        }
        counts.accrue(now);
        if counts.credit > 0.0 {
            return ShareStanding::Within;
        }
        if counts.spare.is_some() && counts.spare_credit <= 0.0 {
            return ShareStanding::Beyond(f64::INFINITY);
        }
        ShareStanding::Beyond(counts.served_part.max(1.0))
    }

    /// Counts a request that is sent. One that was refused, for whatever reason, costs its team
    /// nothing; one that is sent although its team has nothing left uses room that is idle.
    pub fn serve(&mut self, now: Moment, team: &TeamKey, tokens: f64) {
        let counts = self.counts(team);
        counts.served.add(now, tokens);
        if counts.allowed.is_none() {
            return;
        }
        if counts.credit > 0.0 {
            counts.credit -= tokens;
        } else if counts.spare.is_some() {
            counts.spare_credit -= tokens;
        }
    }

    /// Counts a request within its team's share that found the endpoints full.
    pub fn turn_away(&mut self, now: Moment, tokens: f64) {
        self.turned_away.add(now, tokens);
    }

    /// Tokens a second of such requests.
    pub fn turned_away_per_s(&mut self, now: Moment) -> f64 {
        let seconds = counted_s(now, self.begun, self.window);
        self.turned_away.sum(now) / seconds
    }

    /// How much of the window the counts cover, from 0 at the first request to 1.
    ///
    /// Guards against a fleet that has just started together: its callers' retries come at once, and
    /// what a second of them is served seems several times a share that is due over the window.
    /// Taken at its word, idle engines refuse teams for seconds.
    #[allow(clippy::cast_precision_loss)]
    fn settled_part(&self, now: Moment) -> f64 {
        let age = self.begun.map_or(TimeSpan(0), |begun| now.since(begun));
        (age.0 as f64 / self.window.0.max(1) as f64).min(1.0)
    }

    /// What each team asked of this router and was served by it.
    pub fn flows(&mut self, now: Moment) -> BTreeMap<TeamKey, TeamFlow> {
        let (begun, window) = (self.begun, self.window);
        let asked_s = counted_s(now, begun, window);
        #[allow(clippy::cast_precision_loss)]
        let lately_s = LATELY.0 as f64 / 1e6;
        self.teams
            .iter_mut()
            .map(|(team, counts)| {
                let served_s = counted_s(now, counts.held_at.or(begun), window);
                let flow = TeamFlow {
                    asked: counts.asked.sum(now) / asked_s,
                    asked_lately: counts.asked_lately.sum(now) / lately_s,
                    served: counts.served.sum(now) / served_s,
                };
                (team.clone(), flow)
            })
            .collect()
    }

    /// The most that a team gets, in tokens a second; infinite while all demands fit.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Teams that are held to their shares, those that are asked most of first.
    #[must_use]
    pub fn limited(&self) -> Vec<LimitedTeam> {
        let limited = self.teams.iter().filter_map(|(team, counts)| {
            Some(LimitedTeam {
                team: team.clone(),
                flow: counts.flow,
                asked_here: counts.asked_here,
                allowed_here: counts.allowed?,
                since: counts.held_at?,
            })
        });
        let mut limited: Vec<LimitedTeam> = limited.collect();
        limited.sort_by(|left, right| right.flow.asked.total_cmp(&left.flow.asked));
        limited
    }

    /// Sets this router's part of each team's share from what all routers were asked. `rate` is
    /// what all endpoints together handle, in tokens a second.
    ///
    /// What a team is served against its share is counted over all routers as well. Counted by
    /// each for itself, a team that comes through many of them seems to be served little
    /// everywhere, since one request is more than a router's part of its share for seconds; it got
    /// twice what a team got that came through one router.
    pub fn share_out(&mut self, now: Moment, rate: f64, elsewhere: &BTreeMap<u64, TeamFlow>) {
        let own = self.flows(now);
        let mut flows = elsewhere.clone();
        for (team, flow) in &own {
            *flows.entry(team.hash()).or_default() += *flow;
        }
        let demands = self.demands(now, &own, &flows);
        let level = max_min_level(rate, demands.values().map(|demand| demand.asked));
        let terms = ShareTerms {
            level: if rate > 0.0 { level } else { f64::INFINITY },
            least: least_served(level, &flows),
            spare: spare_level(level, &flows),
            settled: self.settled_part(now),
            window: self.window,
        };
        self.level = level;
        for (team, counts) in &mut self.teams {
            counts.accrue(now);
            let all = flows.get(&team.hash()).copied().unwrap_or_default();
            let demand = demands.get(&team.hash()).copied().unwrap_or_default();
            counts.flow = all;
            counts.asked_here = own.get(team).map_or(0.0, |flow| flow.asked);
            counts.set_share(now, &terms, demand);
        }
    }

    /// What counts of each team's demand, by the team's number.
    fn demands(
        &mut self,
        now: Moment,
        own: &BTreeMap<TeamKey, TeamFlow>,
        flows: &BTreeMap<u64, TeamFlow>,
    ) -> BTreeMap<u64, TeamDemand> {
        let mut demands: BTreeMap<u64, TeamDemand> = flows
            .iter()
            .map(|(team, all)| {
                let demand = TeamDemand {
                    asked: all.asked,
                    part: 0.0,
                };
                (*team, demand)
            })
            .collect();
        for (team, counts) in &mut self.teams {
            let own = own.get(team).copied().unwrap_or_default();
            let all = flows.get(&team.hash()).copied().unwrap_or_default();
            let long_part = counts.long_part(now);
            counts.surge.set_long_part(long_part);
            let demand = counts.surge.demand(own, all, self.level);
            demands.insert(team.hash(), demand);
        }
        demands
    }
}

/// Tokens that may be used after so many seconds at a rate, where unused ones are kept for a while.
fn refilled(credit: f64, rate: f64, passed_s: f64) -> f64 {
    let most = (rate * BURST_S).max(credit);
    (credit + rate * passed_s).min(most)
}

/// Seconds over which a count goes: the window, or the shorter time since it began.
///
/// Guards against a fleet that has just started and shares nothing out: over the whole window
/// its teams' demand would seem to fit for seconds, while the largest of them floods the
/// endpoints.
#[allow(clippy::cast_precision_loss)]
fn counted_s(now: Moment, begun: Option<Moment>, window: TimeSpan) -> f64 {
    let age = begun.map_or(TimeSpan(0), |begun| now.since(begun));
    age.clamp(LEAST_COUNTED, window.max(LEAST_COUNTED)).0 as f64 / 1e6
}
