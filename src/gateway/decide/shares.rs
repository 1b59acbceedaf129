//! Max-min shares of the published token rate, over all routers.
//!
//! Load pattern: a few teams send many times their usual traffic while the others do not. Each
//! router measures the demand of each team over the *share window*, a published number of seconds,
//! and sends it to the other routers in its gossip messages (digests), so all compute the same
//! max-min shares. When endpoints are busy, requests of a team over its share are refused first;
//! each router applies the part of the share that matches the part of the team's demand arriving
//! there. While endpoints have room, requests over the share are sent as well. Once at least two
//! teams are over their shares, each may do so only up to an *allowance* beyond its share (`spare`,
//! see [`super::levels::allowance_beyond_level`]).
//!
//! The share and the allowance beyond it are two budgets, and neither pays for the other. What idle
//! endpoints served a team does not lower its share, and a team that finds no idle endpoint still gets
//! its share at all routers together, so another one gets at most one and three quarters of that, apart
//! from what a flood gets before it is detected. A router that lags refuses requests unseen: it keeps
//! its part of the share meanwhile, and the team still counts as waiting.
//!
//! Two floods that begin seconds apart must be served about the same in any period of six seconds.
//! A team is therefore limited as soon as its recent demand rises ([`super::surge`]), and what it
//! was served before that does not count against it.
//!
//! A flood can move to a router to which its team never sent a request. That router knows the
//! team's demand and service from the other routers, so it limits the team from the first request:
//! until the next gossip round a flood would get there what it should get in ten seconds.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::routes::TeamKey;
use super::levels::TeamsAboveLevel;
use super::levels::allowance_beyond_level;
use super::levels::correction;
use super::levels::least_served;
use super::levels::max_min_level;
use super::outcomes::RequestOutcome;
use super::surge::SurgeDetector;
use super::surge::TeamDemand;
use super::window::WindowCount;

/// Maximum unused part of the share that a team can accumulate at a router, in seconds of that part, as
/// in a token bucket. A small host that gets a flood lags for one to two and a half seconds at a time; a
/// team must get afterwards what it was owed meanwhile.
const BURST_S: f64 = 2.0;

/// The same for the allowance beyond the share, at a router that does not lag. That allowance is for
/// what is idle at the moment: saved up by ninety routers while endpoints are busy, it would all be used
/// in the second after that. A router that lags keeps as much of it as of the share.
const SPARE_BURST_S: f64 = 0.25;

/// Shortest period over which rates are averaged: long enough for a few requests of a large team.
const LEAST_COUNTED: TimeSpan = TimeSpan::from_millis(500);

/// Initial mean size of a request, in tokens, and the weight of a new request in the moving mean.
/// The last hundred requests, one second of traffic at a busy router, make up two thirds of the
/// mean.
const FIRST_TOKENS: f64 = 3_000.0;
const SIZE_WEIGHT: f64 = 0.01;

/// Cap on a request's size in recent demand, in multiples of the mean size. The longest requests
/// have twenty times the mean, and one of them would make a normal team look like a flood.
const MAX_SIZE_MEANS: f64 = 2.0;

/// Window of recent demand: long enough for a few requests of a flooding team at one router, and
/// for three gossip rounds, in which a router in a fleet of ninety receives digests from fifteen
/// others. A flood of ten times a share is detected within it.
pub const RECENT_WINDOW: TimeSpan = TimeSpan::from_millis(300);

/// Lower bound of a surging team's ratio of service to share. Its service becomes known as late as
/// its demand, so until then it may use only endpoints that are nearly idle.
const MIN_SURGE_RATIO: f64 = 2.0;

/// Whether a request is within its team's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareStanding {
    /// Within the share, or the team is not limited.
    Within,
    /// Beyond the share. The number says how far: it is the `service_ratio` last computed for the
    /// team, at least 1. It is infinite if the team has used up its allowance beyond the share.
    Beyond(f64),
}

impl ShareStanding {
    /// The outcome of a request with this standing that is refused because the predicted time to
    /// its first output exceeds the limit.
    #[must_use]
    pub fn refusal_outcome(self) -> RequestOutcome {
        match self {
            Self::Within => RequestOutcome::EndpointsFull,
            Self::Beyond(ratio) if ratio.is_infinite() => RequestOutcome::AllowanceUsedUp,
            Self::Beyond(_) => RequestOutcome::EndpointsBusy,
        }
    }
}

/// Demand and service of a team, in tokens a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamFlow {
    /// Demand over the share window.
    pub asked: f64,
    /// Demand over [`RECENT_WINDOW`], where the size of a request is capped at twice the mean.
    pub asked_recently: f64,
    /// Demand over [`RECENT_WINDOW`] that routers refused without looking at it, since they lagged.
    /// `asked` and `asked_recently` leave it out.
    pub unseen: f64,
    /// Service, that is the tokens of requests that were sent, over the share window.
    pub served: f64,
    /// The subset of `served` that was charged to the share.
    pub within: f64,
}

impl AddAssign for TeamFlow {
    fn add_assign(&mut self, other: Self) {
        self.asked += other.asked;
        self.asked_recently += other.asked_recently;
        self.unseen += other.unseen;
        self.served += other.served;
        self.within += other.within;
    }
}

/// A team that is limited to its share, as written to the log. Rates are in tokens a second.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitedTeam {
    /// The team.
    pub team: TeamKey,
    /// Demand and service at all routers.
    pub flow: TeamFlow,
    /// Demand at this router.
    pub asked_here: f64,
    /// Rate that this router may serve within the share.
    pub allowed_here: f64,
    /// Rate that this router may serve beyond the share; `None` while that is unbounded.
    pub beyond_here: Option<f64>,
    /// Demand at this router in the last [`RECENT_WINDOW`] that it refused without looking at it.
    pub unseen_here: f64,
    /// Start of the limit.
    pub since: Moment,
}

#[derive(Debug)]
struct TeamCounts {
    asked: WindowCount,
    asked_recently: WindowCount,
    /// Demand that this router refused without looking at it, since it lagged.
    unseen: WindowCount,
    /// Demand over the share window with request sizes capped as in `asked_recently`.
    asked_capped: WindowCount,
    served: WindowCount,
    /// The part of `served` that was charged to the share.
    within: WindowCount,
    surge: SurgeDetector,
    /// Tokens that may be used within the share.
    credit: f64,
    credited_at: Moment,
    /// This router's part of the team's share, in tokens a second; `None` if the team is not
    /// limited.
    allowed: Option<f64>,
    /// This router's part of the team's allowance beyond its share, in tokens a second; `None`
    /// while that is unbounded.
    spare: Option<f64>,
    /// Tokens that may be used beyond the share.
    spare_credit: f64,
    /// When the team was last put under a limit; service is counted from then.
    limited_since: Option<Moment>,
    /// Demand and service at all routers when shares were last set.
    flow: TeamFlow,
    /// Demand and service at this router at that time.
    here: TeamFlow,
    /// The product of two ratios. The first is the team's service by all routers divided by its
    /// share; it is weighted by [`ShareTerms::coverage`], so it is closer to 1 until the counts
    /// cover the share window. The second, used if above 1, is the team's service divided by that
    /// of the least served team that asks more than its share. In a surge the product is at least
    /// [`MIN_SURGE_RATIO`].
    service_ratio: f64,
}

/// Values common to all teams when shares are set.
#[derive(Debug)]
struct ShareTerms {
    /// Max-min level, the largest share of a team, in tokens a second; infinite while all demands
    /// fit or the rate is 0, so that no team is limited.
    level: f64,
    /// Service of the least served team that asks more than its share, in tokens a second.
    least: f64,
    /// Allowance beyond the share of each team that asks more than its share, in tokens a second;
    /// `None` if there are fewer than two such teams.
    spare: Option<f64>,
    /// Fraction of the share window that the counts cover, from 0 to 1.
    coverage: f64,
    /// Share window.
    window: TimeSpan,
}

impl TeamCounts {
    fn new(window: TimeSpan) -> Self {
        Self {
            asked: WindowCount::new(window),
            asked_recently: WindowCount::new(RECENT_WINDOW),
            unseen: WindowCount::new(RECENT_WINDOW),
            asked_capped: WindowCount::new(window),
            served: WindowCount::new(window),
            within: WindowCount::new(window),
            surge: SurgeDetector::default(),
            credit: 0.0,
            credited_at: Moment(0),
            allowed: None,
            spare: None,
            spare_credit: 0.0,
            limited_since: None,
            flow: TeamFlow::default(),
            here: TeamFlow::default(),
            service_ratio: 0.0,
        }
    }

    /// Refills the credits for the time since the last refill.
    #[allow(clippy::cast_precision_loss)]
    fn accrue(&mut self, now: Moment) {
        let passed_s = now.since(self.credited_at).0 as f64 / 1e6;
        self.credited_at = now;
        let Some(allowed) = self.allowed else {
            return;
        };
        self.credit = refilled(self.credit, allowed, passed_s, BURST_S);
        if let Some(spare) = self.spare {
            let has_lagged = self.unseen.sum(now) > 0.0;
            let burst_s = if has_lagged { BURST_S } else { SPARE_BURST_S };
            self.spare_credit = refilled(self.spare_credit, spare, passed_s, burst_s);
        }
    }

    /// Sets this router's part of the team's share from demand and service at all routers.
    fn set_share(&mut self, now: Moment, terms: &ShareTerms, demand: TeamDemand) {
        if demand.asked <= terms.level || demand.asked <= 0.0 {
            self.allowed = None;
            return;
        }
        if self.allowed.is_none() {
            self.begin_limit(now, terms.window);
        }
        let served = self.flow.served;
        self.allowed = Some(terms.level * demand.part * correction(terms.level, self.flow.within));
        let beyond = (served - self.flow.within).max(0.0);
        self.spare = terms
            .spare
            .map(|spare| spare * demand.part * correction(spare, beyond).min(1.0));
        let service_ratio = served / terms.level.max(1.0);
        let ahead = (served / terms.least.max(1.0)).max(1.0);
        self.service_ratio = (1.0 + terms.coverage * (service_ratio - 1.0)) * ahead;
        if self.surge.is_surging() {
            self.service_ratio = self.service_ratio.max(MIN_SURGE_RATIO);
        }
    }

    /// Limits a team whose first request arrives at this router, if it is beyond its share at the
    /// other routers. It has no part of its share here until shares are set again.
    ///
    /// The mean over the share window decides, even if no demand is known of the last moments: the
    /// router that the flood leaves may be too late to report it.
    fn limit_first_request(
        &mut self,
        now: Moment,
        terms: &ShareTerms,
        elsewhere: TeamFlow,
        level: f64,
    ) {
        self.flow = elsewhere;
        let demand = self.surge.update(TeamFlow::default(), elsewhere, level);
        let asked = demand.asked.max(elsewhere.asked);
        self.set_share(now, terms, TeamDemand { asked, ..demand });
    }

    /// Fraction of the demand at this router over the share window that the size cap removes, from
    /// 0 to 1.
    fn capped_part(&mut self, now: Moment) -> f64 {
        let asked = self.asked.sum(now);
        if asked <= 0.0 {
            return 0.0;
        }
        1.0 - self.asked_capped.sum(now) / asked
    }

    /// Begins to limit the team to its share.
    ///
    /// Service before the limit is discarded. Otherwise it would lower the team's allowance for as
    /// long as the share window, while the next team to begin a flood is not limited yet and gets
    /// several times as much.
    fn begin_limit(&mut self, now: Moment, window: TimeSpan) {
        self.credit = 0.0;
        self.spare_credit = 0.0;
        self.credited_at = now;
        self.limited_since = Some(now);
        self.served = WindowCount::new(window);
        self.within = WindowCount::new(window);
    }
}

/// Demand, service and shares of all teams.
#[derive(Debug)]
pub struct ShareTable {
    window: TimeSpan,
    /// When the first request was counted.
    begun: Option<Moment>,
    /// Tokens of requests within shares that were refused because endpoints were full.
    turned_away: WindowCount,
    /// Moving mean of the request size over all teams, in tokens.
    mean_tokens: f64,
    /// Max-min level, in tokens a second; infinite while all demands fit. While the rate is 0 it is
    /// 0 as soon as a team has asked, although no team is limited then.
    level: f64,
    teams: BTreeMap<TeamKey, TeamCounts>,
    above: TeamsAboveLevel,
    /// Values of the last time that shares were set, and the flows of all teams at all routers
    /// then, by the hash of the team's key.
    terms: Option<ShareTerms>,
    flows: BTreeMap<u64, TeamFlow>,
}

impl ShareTable {
    /// Creates an empty table that measures demand over this window.
    #[must_use]
    pub fn new(window: TimeSpan) -> Self {
        Self {
            window,
            begun: None,
            turned_away: WindowCount::new(window),
            mean_tokens: FIRST_TOKENS,
            level: f64::INFINITY,
            teams: BTreeMap::new(),
            above: TeamsAboveLevel::default(),
            terms: None,
            flows: BTreeMap::new(),
        }
    }

    fn counts(&mut self, now: Moment, team: &TeamKey) -> &mut TeamCounts {
        let Self {
            window,
            level,
            teams,
            terms,
            flows,
            ..
        } = self;
        teams.entry(team.clone()).or_insert_with(|| {
            let mut counts = TeamCounts::new(*window);
            if let (Some(flow), Some(terms)) = (flows.get(&team.hash()), terms) {
                counts.limit_first_request(now, terms, *flow, *level);
            }
            counts
        })
    }

    /// Counts the demand of a request, and returns whether it is within its team's share.
    ///
    /// A request may be larger than a second's share. Any positive credit therefore admits it, and
    /// the credit becomes negative when the request is [`Self::serve`]d.
    pub fn ask(&mut self, now: Moment, team: &TeamKey, tokens: f64) -> ShareStanding {
        self.begun.get_or_insert(now);
        self.mean_tokens += SIZE_WEIGHT * (tokens - self.mean_tokens);
        let max_tokens = MAX_SIZE_MEANS * self.mean_tokens;
        let counts = self.counts(now, team);
        counts.asked.add(now, tokens);
        let capped = tokens.min(max_tokens);
        counts.asked_recently.add(now, capped);
        counts.asked_capped.add(now, capped);
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
        ShareStanding::Beyond(counts.service_ratio.max(1.0))
    }

    /// Counts a request that is sent, and charges it to the credit within or beyond the share.
    /// Refused requests are not charged. A team without a bound beyond its share uses idle capacity
    /// free of charge.
    pub fn serve(&mut self, now: Moment, team: &TeamKey, tokens: f64) {
        let counts = self.counts(now, team);
        counts.served.add(now, tokens);
        if counts.allowed.is_none() {
            return;
        }
        if counts.credit > 0.0 {
            counts.credit -= tokens;
            counts.within.add(now, tokens);
        } else if counts.spare.is_some() {
            counts.spare_credit -= tokens;
        }
    }

    /// Counts a request that this router refused without looking at it, since it lagged.
    pub fn count_unseen(&mut self, now: Moment, team: &TeamKey, tokens: f64) {
        self.counts(now, team).unseen.add(now, tokens);
    }

    /// Counts a request within its team's share that was refused because the predicted time to its
    /// first output exceeded the limit.
    pub fn turn_away(&mut self, now: Moment, tokens: f64) {
        self.turned_away.add(now, tokens);
    }

    /// Returns the rate of requests within shares that were refused because the predicted time to
    /// their first output exceeded the limit, in tokens a second.
    pub fn turned_away_per_s(&mut self, now: Moment) -> f64 {
        let seconds = counted_s(now, self.begun, self.window);
        self.turned_away.sum(now) / seconds
    }

    /// Returns the fraction of the share window that the counts cover, from 0 at the first request
    /// to 1. It weights the ratio of service to share.
    ///
    /// When a whole fleet has just started, its callers retry all at once, and one second of that
    /// service looks like several times the share. With the unweighted ratio, routers would refuse
    /// calls of these teams for seconds while engines are idle.
    #[allow(clippy::cast_precision_loss)]
    fn window_coverage(&self, now: Moment) -> f64 {
        let age = self.begun.map_or(TimeSpan(0), |begun| now.since(begun));
        (age.0 as f64 / self.window.0.max(1) as f64).min(1.0)
    }

    /// Returns the demand and service of each team at this router.
    pub fn flows(&mut self, now: Moment) -> BTreeMap<TeamKey, TeamFlow> {
        let (begun, window) = (self.begun, self.window);
        let asked_s = counted_s(now, begun, window);
        self.teams
            .iter_mut()
            .map(|(team, counts)| {
                let served_s = counted_s(now, counts.limited_since.or(begun), window);
                let flow = TeamFlow {
                    asked: counts.asked.sum(now) / asked_s,
                    asked_recently: counts.asked_recently.sum(now) / recent_s(),
                    unseen: counts.unseen.sum(now) / recent_s(),
                    served: counts.served.sum(now) / served_s,
                    within: counts.within.sum(now) / served_s,
                };
                (team.clone(), flow)
            })
            .collect()
    }

    /// Returns the max-min level, the largest share of a team, in tokens a second; infinite while
    /// all demands fit, and 0 while the rate is 0 and a team has asked.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the teams that are limited to their shares, in descending order of demand.
    #[must_use]
    pub fn limited(&self) -> Vec<LimitedTeam> {
        let limited = self.teams.iter().filter_map(|(team, counts)| {
            Some(LimitedTeam {
                team: team.clone(),
                flow: counts.flow,
                asked_here: counts.here.asked,
                allowed_here: counts.allowed?,
                beyond_here: counts.spare,
                unseen_here: counts.here.unseen,
                since: counts.limited_since?,
            })
        });
        let mut limited: Vec<LimitedTeam> = limited.collect();
        limited.sort_by(|left, right| right.flow.asked.total_cmp(&left.flow.asked));
        limited
    }

    /// Sets this router's part of each team's share from the demand at all routers. `rate` is the
    /// capacity of all endpoints together, in tokens a second.
    ///
    /// The ratio of service to share is computed from sums over all routers, not at each router. A
    /// router's part of the share of a team that uses many routers is so small that one request
    /// uses it up for seconds, so most of these routers see little service in the window. With
    /// ratios per router such a team got twice as much as a team that used one router.
    pub fn share_out(&mut self, now: Moment, rate: f64, elsewhere: &BTreeMap<u64, TeamFlow>) {
        let own = self.flows(now);
        let mut flows = elsewhere.clone();
        for (team, flow) in &own {
            *flows.entry(team.hash()).or_default() += *flow;
        }
        let demands = self.demands(now, &own, &flows);
        let level = max_min_level(rate, demands.values().map(|demand| demand.asked));
        let above = self.above.update(now, level, &flows);
        let terms = ShareTerms {
            level: if rate > 0.0 { level } else { f64::INFINITY },
            least: least_served(level, &above),
            spare: allowance_beyond_level(level, &above),
            coverage: self.window_coverage(now),
            window: self.window,
        };
        self.level = level;
        for (team, counts) in &mut self.teams {
            counts.accrue(now);
            let all = flows.get(&team.hash()).copied().unwrap_or_default();
            let demand = demands.get(&team.hash()).copied().unwrap_or_default();
            counts.flow = all;
            counts.here = own.get(team).copied().unwrap_or_default();
            counts.set_share(now, &terms, demand);
        }
        self.terms = Some(terms);
        self.flows = flows;
    }

    /// Returns the demand of each team from which shares are computed, by the hash of the team's
    /// key.
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
            let capped_part = counts.capped_part(now);
            counts.surge.set_capped_part(capped_part);
            let demand = counts.surge.update(own, all, self.level);
            demands.insert(team.hash(), demand);
        }
        demands
    }
}

/// [`RECENT_WINDOW`] in seconds.
#[allow(clippy::cast_precision_loss)]
fn recent_s() -> f64 {
    RECENT_WINDOW.0 as f64 / 1e6
}

/// Returns the credit in tokens after a refill at `rate` tokens a second. The refill stops at
/// `burst_s` seconds of the rate; a credit that is already higher, from a higher rate, is kept.
fn refilled(credit: f64, rate: f64, passed_s: f64, burst_s: f64) -> f64 {
    let most = (rate * burst_s).max(credit);
    (credit + rate * passed_s).min(most)
}

/// Returns the seconds over which a count is averaged: the window, or the time since counting began
/// if that is shorter.
///
/// Averaged over the whole window, the demand in a fleet that has just started would seem to fit
/// for seconds, so no team would be limited while the largest one floods the endpoints.
#[allow(clippy::cast_precision_loss)]
fn counted_s(now: Moment, begun: Option<Moment>, window: TimeSpan) -> f64 {
    let age = begun.map_or(TimeSpan(0), |begun| now.since(begun));
    age.clamp(LEAST_COUNTED, window.max(LEAST_COUNTED)).0 as f64 / 1e6
}
