//! The decision core of a gateway router: tables, and what happens to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smol_str::SmolStr;
use tokio_util::sync::CancellationToken;

use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::TimeSpan;

use super::super::config::GatewayConfig;
use super::super::protocol::PromptShape;
use super::super::routes::EndpointEntry;
use super::super::routes::EndpointKey;
use super::super::routes::EngineShape;
use super::super::routes::RouteEntry;
use super::super::routes::ServiceEntry;
use super::super::routes::ServiceKey;
use super::super::routes::TeamKey;
use super::accounts::TeamAccounts;
use super::budget::RetryBounds;
use super::budget::RetryBudget;
use super::capacity::CapacityEstimate;
use super::capacity::FleetFlow;
use super::endpoints::EndpointTable;
use super::endpoints::PeerLoad;
use super::health::HeardClock;
use super::placement;
use super::placement::EngineModel;
use super::placement::Placement;
use super::placement::PlacementRequest;
use super::quarantine::CrashQuarantine;
use super::shares::LimitedTeam;
use super::shares::ShareStanding;
use super::shares::ShareTable;
use super::shares::TeamFlow;
use super::sizes::SizeTable;

/// Weight of a new measurement in a service's mean stay: about twenty answers change it, a second
/// or two of usual traffic.
const LEARNING_WEIGHT: f64 = 0.08;

/// Prompt tokens below which the time to a first token says nothing about reading speed.
const LEARNING_TOKENS: f64 = 2_000.0;

/// Pause between two accounts of teams in the log.
const TEAM_ACCOUNT: TimeSpan = TimeSpan::from_millis(1_000);

/// Teams held to their shares that get lines: those that are asked most of. A few flood at a time.
const ACCOUNT_TEAMS: usize = 4;

/// What a call asks of the core.
#[derive(Debug)]
pub struct CallAsk<'a> {
    /// The call's route.
    pub route: &'a RouteEntry,
    /// The service chosen for it.
    pub service: &'a ServiceKey,
    /// The published figures of the service.
    pub shape: Option<&'a ServiceEntry>,
    /// The caller's team.
    pub team: Option<&'a TeamKey>,
    /// The prompt, for model engines.
    pub prompt: Option<&'a PromptShape>,
    /// Endpoints that were tried already.
    pub tried: &'a [EndpointKey],
    /// What the request asks, to recognise its resends.
    pub fingerprint: RequestFingerprint,
    /// Time since the call arrived.
    pub waited: TimeSpan,
    /// Time that the call has left.
    pub left: TimeSpan,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No endpoint takes work.
    NoEndpoint,
    /// All endpoints that are left asked for a pause.
    Paused,
    /// No endpoint would answer within the objective.
    Overload,
    /// Its team is beyond its share while endpoints are busy.
    OverShare,
    /// It was running in several crashes of endpoints.
    Quarantined,
}

impl RefusalCause {
    /// The cause as logs and metrics name it.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Paused => "endpoints_paused",
            Self::Overload => "overload",
            Self::OverShare => "over_share",
            Self::Quarantined => "quarantined",
        }
    }
}

/// What happens to a call.
#[derive(Debug)]
pub enum Admission {
    /// It is sent.
    Send(AttemptTicket),
    /// It is refused; it may come back after this time.
    Refuse {
        /// Why.
        cause: RefusalCause,
        /// When an endpoint is expected to have room.
        retry_after: TimeSpan,
        /// The least predicted time to a first output, in ms; 0 if none was predicted.
        expected_ms: f64,
    },
}

/// One attempt that was placed. It must be given back to [`GatewayCore::ended`].
#[derive(Debug)]
pub struct AttemptTicket {
    /// Where it goes.
    pub entry: EndpointEntry,
    /// Predicted time to the first output, in ms.
    pub first_ms: f64,
    /// The engine from which shared parts are fetched that this one lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Prompt tokens that the endpoint must read.
    pub uncached: f64,
    /// Those of them that other requests share.
    pub reread: f64,
    /// Prompt tokens that were queued there, this request's included.
    pub queued: f64,
    placed_at: Moment,
    is_reading: bool,
    heard: HeardClock,
    replaced: CancellationToken,
}

impl AttemptTicket {
    /// Resolves when another process has taken the place of the one that this was placed at.
    pub async fn replaced(&self) {
        self.replaced.cancelled().await;
    }

    /// Something came from the endpoint.
    pub fn hear(&self, now: Moment) {
        self.heard.hear(now);
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint answered, and the answer is the request's own matter.
    Answered,
    /// The endpoint failed.
    Failed,
    /// The endpoint broke off; this is what the request asked.
    Lost(RequestFingerprint),
    /// No connection was made.
    NotReached,
    /// Nothing listens at its address.
    Gone,
    /// The endpoint said that it is full.
    Full,
    /// The caller left or the time was over; says nothing about the endpoint.
    Abandoned,
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn seconds(seconds: f64) -> TimeSpan {
    TimeSpan((seconds * 1e6) as u64)
}

/// The core.
#[derive(Debug)]
pub struct GatewayCore {
    config: GatewayConfig,
    domain: SmolStr,
    /// Endpoints.
    pub endpoints: EndpointTable,
    /// Shares of teams.
    pub shares: ShareTable,
    capacity: CapacityEstimate,
    accounts: TeamAccounts,
    /// When teams were last accounted for in the log.
    accounted_at: Moment,
    /// Requests that crash endpoints.
    pub quarantine: CrashQuarantine,
    budget: RetryBudget,
    sizes: SizeTable,
    holds: BTreeMap<ServiceKey, f64>,
    routers: usize,
    reading_speed: f64,
    /// Whether this router's own link or lateness delays what it measures.
    is_disturbed: bool,
}

impl GatewayCore {
    /// A core that knows nothing yet.
    #[must_use]
    pub fn new(config: GatewayConfig, domain: SmolStr) -> Self {
        let bounds = RetryBounds {
            ratio: config.retry_ratio,
            slack: config.retry_slack,
            window: seconds(config.retry_window_s),
        };
        Self {
            endpoints: EndpointTable::default(),
            shares: ShareTable::new(seconds(config.share_window_s)),
            capacity: CapacityEstimate::default(),
            accounts: TeamAccounts::default(),
            accounted_at: Moment(0),
            quarantine: CrashQuarantine::default(),
            budget: RetryBudget::new(bounds),
            sizes: SizeTable::default(),
            holds: BTreeMap::new(),
            routers: 1,
            reading_speed: config.reading_tokens_per_ms,
            domain,
            config,
            is_disturbed: false,
        }
    }

    /// Takes over the endpoints that are used now, registered or kept.
    pub fn set_endpoints(&mut self, now: Moment, entries: &BTreeMap<EndpointKey, EndpointEntry>) {
        for former in self.endpoints.replace(now, entries) {
            self.quarantine.ended(now, &former);
        }
    }

    /// Takes over whether this router's own link or lateness delays what it measures.
    ///
    /// Guards against a host that shuts itself out of idle endpoints: its full link delays every
    /// answer, so that all endpoints seem many times too slow and some not reachable, and it
    /// refuses what any of them would serve. Its measurements say nothing of endpoints then.
    pub fn set_disturbed(&mut self, is_disturbed: bool) {
        self.is_disturbed = is_disturbed;
    }

    /// Whether this router's own link or lateness delays what it measures.
    #[must_use]
    pub fn is_disturbed(&self) -> bool {
        self.is_disturbed
    }

    /// Takes over how many routers share the retry budget.
    pub fn set_routers(&mut self, routers: usize) {
        self.routers = routers;
    }

    /// Takes over the other routers' work at endpoints, by the numbers of their processes.
    pub fn set_peer_loads(&mut self, loads: &BTreeMap<u32, PeerLoad>) {
        for row in self.endpoints.rows_mut() {
            row.peers = loads.get(&row.life).copied().unwrap_or_default();
            row.health.told = row.peers.health;
        }
    }

    /// Counts a call that arrived; how it stands to its team's share.
    pub fn arrived(&mut self, now: Moment, ask: &CallAsk<'_>) -> ShareStanding {
        self.budget.request(now, ask.service);
        if let Some(prompt) = ask.prompt {
            let tokens = f64::from(prompt.prompt_tokens);
            self.sizes.asked(now, &ask.route.name, tokens);
        }
        match (ask.team, ask.prompt) {
            (Some(team), Some(prompt)) => {
                let tokens = prompt.share_tokens();
                self.accounts.ask(team, tokens);
                self.shares.ask(now, team, tokens)
            }
            _ => ShareStanding::Within,
        }
    }

    /// Accounts for a generation that this router was too late to look at. Shares go by what routers
    /// can look at: a part of a share that lies at a late router is lost.
    pub fn refused_late(&mut self, team: &TeamKey, prompt: &PromptShape) {
        self.accounts.ask(team, prompt.share_tokens());
        self.accounts.fall_short(team);
    }

    /// Takes a repeat of a request out of the fleet's budget; whether there was one.
    pub fn take_repeat(&mut self, now: Moment, service: &ServiceKey) -> bool {
        self.budget.take(now, service, self.routers)
    }

    /// Sets teams' shares from what all routers were asked and what the endpoints can do.
    pub fn share_out(
        &mut self,
        now: Moment,
        published: f64,
        elsewhere: &BTreeMap<u64, TeamFlow>,
        turned_away_elsewhere: f64,
    ) {
        let own = self.shares.flows(now);
        let mut flow = FleetFlow {
            turned_away: self.shares.turned_away_per_s(now) + turned_away_elsewhere,
            ..FleetFlow::default()
        };
        for team in own.values().chain(elsewhere.values()) {
            flow.asked += team.asked;
            flow.served += team.served;
        }
        let was_limited = self.capacity.limit().is_some();
        let rate = self.capacity.rate(now, published, flow);
        if self.capacity.limit().is_some() != was_limited {
            let FleetFlow {
                asked,
                served,
                turned_away,
            } = flow;
            spdlog::info!(
                "gateway: shares of rate={rate:.0} published={published:.0} asked={asked:.0} \
                 served={served:.0} turned_away={turned_away:.0}"
            );
        }
        self.shares.share_out(now, rate, elsewhere);
        let passed = now.since(self.accounted_at);
        if passed >= TEAM_ACCOUNT {
            self.accounted_at = now;
            self.account_for_teams(passed);
            self.account_for_shares(now, rate);
        }
    }

    /// Counts a request of a team that was refused or had no output in time.
    pub fn fell_short(&mut self, team: &TeamKey) {
        self.accounts.fall_short(team);
    }

    /// Logs what teams asked, were sent and waited for since the last account.
    fn account_for_teams(&mut self, passed: TimeSpan) {
        if let Some(line) = self.accounts.take() {
            spdlog::info!("teams: span_ms={} {line}", passed.as_millis());
        }
    }

    /// Logs what the teams that are held to their shares ask, get and may have.
    fn account_for_shares(&self, now: Moment, rate: f64) {
        let limited = self.shares.limited();
        let (count, level) = (limited.len(), self.shares.level());
        for held in limited.iter().take(ACCOUNT_TEAMS) {
            let LimitedTeam {
                team,
                flow,
                asked_here,
                allowed_here,
                since,
            } = held;
            let held_ms = now.since(*since).as_millis();
            spdlog::info!(
                "shares: team={team} held_ms={held_ms} level={level:.0} asked={:.0} served={:.0} \
                 asked_here={asked_here:.0} allowed_here={allowed_here:.0} held={count} \
                 rate={rate:.0}",
                flow.asked,
                flow.served,
            );
        }
    }

    /// Decides where a call goes, or that it is refused.
    pub fn admit(&mut self, now: Moment, ask: &CallAsk<'_>, standing: ShareStanding) -> Admission {
        if let Some(retry_after) = self.quarantine.refused_for(now, ask.fingerprint) {
            return Admission::Refuse {
                cause: RefusalCause::Quarantined,
                retry_after,
                expected_ms: 0.0,
            };
        }
        let engine = ask.shape.and_then(|shape| shape.engine);
        let Some(placement) = self.placed(now, ask, engine) else {
            return self.without_endpoint(now, ask.service);
        };
        let limit = self.limit_ms(ask, standing, placement.unqueued_ms);
        #[allow(clippy::cast_precision_loss)]
        let expected = ask.waited.0 as f64 / 1e3 + placement.first_ms;
        if expected > limit {
            let cause = match standing {
                ShareStanding::Within => {
                    let tokens = ask.prompt.map_or(0.0, PromptShape::share_tokens);
                    self.shares.turn_away(now, tokens);
                    RefusalCause::Overload
                }
                ShareStanding::Beyond(_) => RefusalCause::OverShare,
            };
            return Admission::Refuse {
                cause,
                retry_after: self.retry_after(expected - limit),
                expected_ms: expected,
            };
        }
        self.ticket(now, ask, &placement)
    }

    /// Refuses a call that no endpoint may get. A caller does best to come back when the first pause
    /// is over: before, it would be refused again.
    fn without_endpoint(&self, now: Moment, service: &ServiceKey) -> Admission {
        let least = TimeSpan::from_millis(self.config.retry_after_ms);
        let (cause, retry_after) = match self.endpoints.pause_left(now, service) {
            Some(pause) => (RefusalCause::Paused, pause.max(least)),
            None => (
                RefusalCause::NoEndpoint,
                TimeSpan::from_millis(self.config.no_endpoint_retry_ms),
            ),
        };
        Admission::Refuse {
            cause,
            retry_after,
            expected_ms: 0.0,
        }
    }

    fn placed(
        &self,
        now: Moment,
        ask: &CallAsk<'_>,
        engine: Option<EngineShape>,
    ) -> Option<Placement> {
        let model = EngineModel {
            tokens_per_ms: self.reading_speed,
            hold_ms: self.hold_ms(ask.service),
        };
        let placement_ask = PlacementRequest {
            prompt: ask.prompt.filter(|_| engine.is_some()),
            engine,
            tried: ask.tried,
            domain: &self.domain,
        };
        let rows: Vec<_> = self.endpoints.of_service(ask.service).collect();
        placement::place(&rows, &placement_ask, &model, now)
    }

    fn hold_ms(&self, service: &ServiceKey) -> f64 {
        let first = self.config.first_hold_ms;
        self.holds.get(service).copied().unwrap_or(first)
    }

    /// The predicted time to a first output up to which a call is sent, in ms.
    ///
    /// A long prompt may take its whole objective to be read on an idle engine. When it has a
    /// turn, its own reading does not count.
    #[allow(clippy::cast_precision_loss)]
    fn limit_ms(&self, ask: &CallAsk<'_>, standing: ShareStanding, unqueued_ms: f64) -> f64 {
        let objective = ask.route.objective_ms as f64;
        let part = match standing {
            ShareStanding::Within => self.config.objective_part,
            ShareStanding::Beyond(served) => self.beyond_part(served),
        };
        let left = ask.left.0 as f64 / 1e3;
        let mut limit = objective * part;
        let is_underserved = ask.prompt.is_some_and(|prompt| {
            let tokens = f64::from(prompt.prompt_tokens);
            self.sizes.is_underserved(&ask.route.name, tokens)
        });
        if is_underserved && standing == ShareStanding::Within {
            limit = limit.max(unqueued_ms + objective * self.config.long_wait_part);
        }
        limit.min(left)
    }

    /// The part of the objective for a team that is served so many times its share, by all routers.
    ///
    /// What endpoints can do beyond the published rate would go to whoever asks most often. The
    /// more a team has of it already, the emptier an endpoint must be to give it more, so that
    /// teams beyond their shares get about the same. The square makes twice the service need a
    /// quarter of the queue.
    fn beyond_part(&self, served: f64) -> f64 {
        self.config.over_share_part / (served * served)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn retry_after(&self, excess_ms: f64) -> TimeSpan {
        let least = self.config.retry_after_ms;
        TimeSpan::from_millis(least.max(excess_ms as u64))
    }

    fn ticket(&mut self, now: Moment, ask: &CallAsk<'_>, placement: &Placement) -> Admission {
        let hold_ms = self.hold_ms(ask.service);
        let Some(row) = self.endpoints.get_mut(&placement.endpoint) else {
            return Admission::Refuse {
                cause: RefusalCause::NoEndpoint,
                retry_after: TimeSpan::from_millis(self.config.no_endpoint_retry_ms),
                expected_ms: 0.0,
            };
        };
        row.active += 1;
        row.pending_tokens += placement.uncached;
        // A plain service answers when it is done; an engine when it has read the prompt.
        let stay_ms = if ask.prompt.is_some() { 0.0 } else { hold_ms };
        row.health.begins(now, placement.first_ms + stay_ms);
        if let Some(prompt) = ask.prompt {
            let tokens = f64::from(prompt.prompt_tokens);
            self.sizes.served(&ask.route.name, tokens);
            if let Some(team) = ask.team {
                let tokens = prompt.share_tokens();
                self.accounts.send(team, tokens);
                self.shares.serve(now, team, tokens);
            }
            for part in placement::shared_parts(prompt) {
                row.parts.insert(part.id, now);
            }
        }
        Admission::Send(AttemptTicket {
            entry: row.entry.clone(),
            first_ms: placement.first_ms,
            fetch_from: placement.fetch_from,
            uncached: placement.uncached,
            reread: placement.reread,
            queued: row.total_pending(),
            placed_at: now,
            is_reading: true,
            heard: row.health.heard.clone(),
            replaced: row.replaced.clone(),
        })
    }

    /// The first output of an attempt arrived.
    #[allow(clippy::cast_precision_loss)]
    pub fn first_output(&mut self, now: Moment, ticket: &mut AttemptTicket) {
        self.stop_reading(ticket);
        let Some(row) = self.endpoints.of_attempt(&ticket.entry) else {
            return;
        };
        row.reached();
        row.health.outputs(now);
        if ticket.queued < LEARNING_TOKENS || self.is_disturbed {
            return;
        }
        let measured = now.since(ticket.placed_at).0 as f64 / 1e3;
        let ratio = measured / ticket.first_ms.max(1.0);
        row.health.learn_slowness(now, ratio);
    }

    fn stop_reading(&mut self, ticket: &mut AttemptTicket) {
        if !ticket.is_reading {
            return;
        }
        ticket.is_reading = false;
        if let Some(row) = self.endpoints.of_attempt(&ticket.entry) {
            row.pending_tokens = (row.pending_tokens - ticket.uncached).max(0.0);
        }
    }

    /// An attempt ended.
    #[allow(clippy::cast_precision_loss)]
    pub fn ended(&mut self, now: Moment, mut ticket: AttemptTicket, end: AttemptEnd) {
        let had_output = !ticket.is_reading;
        self.stop_reading(&mut ticket);
        let Some(row) = self.endpoints.of_attempt(&ticket.entry) else {
            return;
        };
        let was_silent = row.health.is_silent_here(now);
        row.active = row.active.saturating_sub(1);
        row.health.ends(had_output);
        match end {
            AttemptEnd::Answered => {
                row.reached();
                row.health.heard.hear(now);
                row.health.count(now, false);
                let stay = now.since(ticket.placed_at).0 as f64 / 1e3;
                let mean = self
                    .holds
                    .entry(ticket.entry.service.clone())
                    .or_insert(stay);
                *mean += LEARNING_WEIGHT * (stay - *mean);
            }
            AttemptEnd::Failed => row.health.count(now, true),
            AttemptEnd::Lost(print) => {
                row.health.count(now, true);
                self.quarantine.lost(now, &ticket.entry, print);
            }
            AttemptEnd::NotReached if self.is_disturbed => row.not_reached_by_fault(now),
            AttemptEnd::NotReached => row.not_reached(now),
            AttemptEnd::Gone => {
                row.not_reached(now);
                self.quarantine.ended(now, &ticket.entry);
            }
            AttemptEnd::Full => row.was_full(now),
            // Callers that give up on an endpoint that hangs are the only sign of it where the
            // request may not run elsewhere.
            AttemptEnd::Abandoned if was_silent => row.health.count(now, true),
            AttemptEnd::Abandoned => {}
        }
    }

    /// Forgets parts that were sent long ago, so that the tables stay small.
    pub fn forget_parts(&mut self, now: Moment) {
        let kept = TimeSpan::from_millis(self.config.part_memory_ms);
        for row in self.endpoints.rows_mut() {
            row.parts.retain(|_, at| now.since(*at) < kept);
        }
    }
}
