//! The decision core of a gateway router: its tables and the operations on them.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::TimeSpan;

use super::super::config::GatewayConfig;
use super::super::config::seconds;
use super::super::protocol::PartIds;
use super::super::protocol::PromptShape;
use super::super::routes::EndpointEntry;
use super::super::routes::EndpointKey;
use super::super::routes::EngineShape;
use super::super::routes::RouteEntry;
use super::super::routes::ServiceEntry;
use super::super::routes::ServiceKey;
use super::super::routes::SoftwareVersion;
use super::super::routes::TeamKey;
use super::accounts::TeamAccounts;
use super::attempts::AttemptTicket;
use super::budget::RetryBounds;
use super::budget::RetryBudget;
use super::capacity::CapacityEstimate;
use super::capacity::FleetFlow;
use super::endpoints::EndpointRow;
use super::endpoints::EndpointTable;
use super::endpoints::PeerLoad;
use super::fleet_size::FleetSize;
use super::outcomes::RequestOutcome;
use super::outcomes::TeamOutcomes;
use super::placement;
use super::placement::EngineModel;
use super::placement::Placement;
use super::placement::PlacementRequest;
use super::quarantine::CrashQuarantine;
use super::shares::ShareStanding;
use super::shares::ShareTable;
use super::shares::TeamFlow;
use super::sizes::SizeTable;
use super::stable_ranges::StableRanges;
use super::stream_deposits::StreamDeposits;
use super::stream_origins::StreamNumber;
use super::stream_origins::StreamOrigins;
use super::version_choice::VersionChoice;
use super::version_history::VersionHistory;

/// A call that asks to be admitted.
#[derive(Debug)]
pub struct AdmissionRequest<'a> {
    /// The call's route.
    pub route: &'a RouteEntry,
    /// The service chosen for the call.
    pub service: &'a ServiceKey,
    /// The published settings of the service.
    pub shape: Option<&'a ServiceEntry>,
    /// The caller's team.
    pub team: Option<&'a TeamKey>,
    /// The prompt, if the service runs model engines.
    pub prompt: Option<&'a PromptShape>,
    /// The software version that began the stream, if the call goes on with one, or at which it is to
    /// begin: only endpoints of this version may get it.
    pub software: Option<&'a SoftwareVersion>,
    /// Endpoints that were already tried for this call.
    pub tried: &'a [EndpointKey],
    /// Hash of the request's content, to recognise its resends.
    pub fingerprint: RequestFingerprint,
    /// Time since the call arrived.
    pub waited: TimeSpan,
    /// Time left until the call's deadline.
    pub left: TimeSpan,
    /// The time limit that the predicted first output has to meet.
    pub limit: AdmissionLimit,
}

/// The time limit of an admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionLimit {
    /// A part of the route's objective, counted from the call's arrival, so that a call that would
    /// be late is refused.
    Objective,
    /// The call's deadline: an endpoint has accepted the call, and a refusal would end what has begun.
    Deadline,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No endpoint of the service takes work, or all that do were already tried for this call.
    NoEndpoint,
    /// No endpoint has the software version that began the stream, though others take work.
    VersionGone,
    /// No endpoint of the software version at which the stream is to begin takes work, though others do.
    VersionBusy,
    /// The caller has a part of the stream, and it is not known which software version began it.
    VersionUnknown,
    /// As `NoEndpoint`, but at least one endpoint would take work if it had not asked for a pause.
    Paused,
    /// The predicted time to the first output exceeds the permitted part of the objective, or the
    /// call's deadline.
    Overload,
    /// The team exceeds its share, and endpoints are busy or its allowance beyond the share is used
    /// up.
    OverShare,
    /// The request was running during several crashes of endpoints.
    Quarantined,
    /// Requests with one of its prompt's parts were running during several crashes of endpoints.
    PartQuarantined,
}

impl RefusalCause {
    /// Returns the cause's label in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::VersionGone => "version_gone",
            Self::VersionBusy => "version_busy",
            Self::VersionUnknown => "version_unknown",
            Self::Paused => "endpoints_paused",
            Self::Overload => "overload",
            Self::OverShare => "over_share",
            Self::Quarantined => "quarantined",
            Self::PartQuarantined => "part_quarantined",
        }
    }
}

/// The decision on a call.
// Made once for each attempt and taken apart at once: a box would only add an allocation.
#[allow(clippy::large_enum_variant)]
#[derive(Debug)]
pub enum Admission {
    /// The call is sent to an endpoint.
    Send(AttemptTicket),
    /// The call is refused; the caller may retry after `retry_after`.
    Refuse {
        /// Why the call is refused.
        cause: RefusalCause,
        /// Time after which the caller should retry.
        retry_after: TimeSpan,
        /// Time since the call arrived plus the predicted time to the first output at the endpoint
        /// with the lowest cost, in ms; 0 if none was predicted.
        expected_ms: f64,
    },
}

impl AdmissionRequest<'_> {
    /// The team and the tokens that count for its share; `None` if the call has no team or prompt.
    pub(super) fn team_tokens(&self) -> Option<(&TeamKey, f64)> {
        Some((self.team?, self.prompt?.share_tokens()))
    }
}

/// Time left until the call's deadline, in ms.
#[allow(clippy::cast_precision_loss)]
fn left_ms(request: &AdmissionRequest<'_>) -> f64 {
    request.left.0 as f64 / 1e3
}

/// The state behind a router's decisions.
#[derive(Debug)]
pub struct GatewayCore {
    config: GatewayConfig,
    domain: SmolStr,
    /// The endpoint table.
    pub endpoints: EndpointTable,
    /// The teams' shares.
    pub shares: ShareTable,
    capacity: CapacityEstimate,
    pub(super) accounts: TeamAccounts,
    pub(super) outcomes: TeamOutcomes,
    /// When the teams' counts were last logged.
    pub(super) teams_logged_at: Moment,
    /// Software versions of each service's endpoints.
    pub versions: VersionHistory,
    /// The versions at which new streams begin.
    choice: VersionChoice,
    /// The versions at which streams began that nobody has a record of.
    pub ranges: StableRanges,
    /// Where streams began.
    pub origins: StreamOrigins,
    /// Streams of other routers that this one tells of if they can't.
    pub deposits: StreamDeposits,
    /// Quarantine for requests that crash endpoints.
    pub quarantine: CrashQuarantine,
    budget: RetryBudget,
    sizes: SizeTable,
    /// Moving average of the time from the placement of an attempt to the end of its answer, in ms;
    /// a wait for an engine slot is part of it.
    pub(super) mean_hold_ms: BTreeMap<ServiceKey, f64>,
    fleet: FleetSize,
    prefill_tokens_per_ms: f64,
    /// True while a heavily used link of this router's host or a long delay of its own tasks
    /// distorts the times that it measures.
    pub(super) is_disturbed: bool,
}

impl GatewayCore {
    /// Creates a core without endpoints or measurements.
    #[must_use]
    pub fn new(config: GatewayConfig, domain: SmolStr) -> Self {
        let bounds = RetryBounds {
            ratio: config.retry_ratio,
            slack: config.retry_slack,
            window: seconds(config.retry_window_s),
        };
        let budget = if config.first_start {
            RetryBudget::of_first_start(bounds)
        } else {
            RetryBudget::new(bounds)
        };
        let stream_memory = TimeSpan::from_millis(config.stream_memory_ms);
        let versions = if config.first_start {
            VersionHistory::new(stream_memory)
        } else {
            VersionHistory::with_unknown_past(stream_memory)
        };
        Self {
            versions,
            origins: StreamOrigins::new(stream_memory),
            choice: VersionChoice::default(),
            ranges: StableRanges::default(),
            deposits: StreamDeposits::new(stream_memory),
            endpoints: EndpointTable::default(),
            shares: ShareTable::new(seconds(config.share_window_s)),
            capacity: CapacityEstimate::default(),
            accounts: TeamAccounts::default(),
            outcomes: TeamOutcomes::default(),
            teams_logged_at: Moment(0),
            quarantine: CrashQuarantine::default(),
            budget,
            sizes: SizeTable::default(),
            mean_hold_ms: BTreeMap::new(),
            fleet: FleetSize::default(),
            prefill_tokens_per_ms: config.reading_tokens_per_ms,
            domain,
            config,
            is_disturbed: false,
        }
    }

    /// Sets the endpoints in use: registered ones, and those whose registration lapsed but that are
    /// still used for a while, since an outage of the store may be the cause.
    pub fn set_endpoints(&mut self, now: Moment, entries: &BTreeMap<EndpointKey, EndpointEntry>) {
        let listed = entries.values();
        let listed = listed.map(|entry| (&entry.service, &entry.software));
        self.versions.record_list(now, listed);
        self.choice.set_list(entries.values());
        self.ranges.record_list(now, self.choice.ranges());
        for (former, sign) in self.endpoints.replace(now, entries) {
            self.quarantine.record_sign(now, &former, sign);
        }
    }

    /// Returns the software version at which a new stream of a service begins; `None` if it may begin at
    /// any.
    #[must_use]
    pub fn version_of_new(
        &self,
        now: Moment,
        service: &ServiceKey,
        stream: StreamNumber,
    ) -> Option<SoftwareVersion> {
        self.choice.version_of(service, stream, |software| {
            let mut rows = self.endpoints.of_version(service, Some(software));
            rows.any(|row| row.is_staying(now))
        })
    }

    /// Sets whether a heavily used link of this router's host or a long delay of its own tasks
    /// distorts the times that it measures.
    ///
    /// Guards against a router that refuses calls while endpoints are idle: the full link of its
    /// host delays every answer, so all endpoints seem many times too slow and some unreachable,
    /// and it refuses calls that any of them would serve. While the router is disturbed, it learns
    /// no slowness, reports no health to other routers, and connections that fail or time out do
    /// not lengthen an endpoint's backoff.
    pub fn set_disturbed(&mut self, is_disturbed: bool) {
        self.is_disturbed = is_disturbed;
    }

    /// Returns true while a heavily used link of this router's host or a long delay of its own
    /// tasks distorts the times that it measures.
    #[must_use]
    pub fn is_disturbed(&self) -> bool {
        self.is_disturbed
    }

    /// Sets the number of routers that share the retry budget, as far as known now.
    pub fn set_routers(&mut self, now: Moment, routers: usize) {
        self.fleet.record(now, routers);
    }

    /// Sets the other routers' load at endpoints, keyed by the 32-bit numbers of the endpoint
    /// processes.
    pub fn set_peer_loads(&mut self, loads: &BTreeMap<u32, PeerLoad>) {
        for row in self.endpoints.rows_mut() {
            row.peers = loads.get(&row.life).copied().unwrap_or_default();
            row.health.peer_reports = row.peers.health;
        }
    }

    /// Counts an arriving call and returns whether it is within its team's share.
    ///
    /// A quarantined call is no demand. Otherwise a team whose callers go on sending a part that
    /// crashes endpoints would exceed its share with calls that nobody runs, and its other calls
    /// would be refused for it.
    pub fn arrived(&mut self, now: Moment, request: &AdmissionRequest<'_>) -> ShareStanding {
        self.budget.request(now, request.service);
        if self.quarantine_refusal(now, request).is_some() {
            return ShareStanding::Within;
        }
        if let Some(prompt) = request.prompt {
            let tokens = f64::from(prompt.prompt_tokens);
            self.sizes
                .count_received_request(now, &request.route.name, tokens);
        }
        let Some((team, tokens)) = request.team_tokens() else {
            return ShareStanding::Within;
        };
        self.accounts.ask(team, tokens);
        self.shares.ask(now, team, tokens)
    }

    /// Returns whether this router's part of the budget has a retry left.
    pub fn has_retry(&mut self, now: Moment, service: &ServiceKey) -> bool {
        self.budget.has_retry(now, service, self.fleet.size())
    }

    /// Takes one retry from this router's part of the budget. Returns false if it is used up.
    pub fn take_retry(&mut self, now: Moment, service: &ServiceKey) -> bool {
        self.budget.take(now, service, self.fleet.size())
    }

    /// Computes the teams' shares from the demand at all routers and the capacity of the endpoints.
    /// `published` is the published token rate; `elsewhere`, by the hash of the team's key, and
    /// `turned_away_elsewhere` are sums over the other routers. Rates are in tokens per second.
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
        self.log_teams_when_due(now, rate);
    }

    /// Returns why a call is quarantined, and for how long; `None` if it is not.
    fn quarantine_refusal(
        &self,
        now: Moment,
        request: &AdmissionRequest<'_>,
    ) -> Option<(RefusalCause, TimeSpan)> {
        let request_left = self.quarantine.refused_for(now, request.fingerprint);
        if let Some(left) = request_left {
            return Some((RefusalCause::Quarantined, left));
        }
        let left = self.quarantine.prompt_refused_for(now, request.prompt?)?;
        Some((RefusalCause::PartQuarantined, left))
    }

    /// Decides which endpoint gets a call, or refuses it.
    pub fn admit(
        &mut self,
        now: Moment,
        request: &AdmissionRequest<'_>,
        standing: ShareStanding,
    ) -> Admission {
        if let Some((cause, retry_after)) = self.quarantine_refusal(now, request) {
            return Admission::Refuse {
                cause,
                retry_after,
                expected_ms: 0.0,
            };
        }
        let engine = request.shape.and_then(|shape| shape.engine);
        let Some(placement) = self.find_placement(now, request, engine) else {
            return self.refuse_without_endpoint(now, request);
        };
        #[allow(clippy::cast_precision_loss)]
        let waited = request.waited.0 as f64 / 1e3;
        let expected = waited + placement.first_ms;
        let limit = match request.limit {
            AdmissionLimit::Objective => self.limit_ms(request, standing, placement.unqueued_ms),
            AdmissionLimit::Deadline => f64::INFINITY,
        };
        let limit = limit.min(waited + left_ms(request));
        if expected > limit {
            return Admission::Refuse {
                cause: self.refuse_late(now, request, standing),
                retry_after: self.retry_after(expected - limit),
                expected_ms: expected,
            };
        }
        self.place_attempt(now, request, standing, &placement)
    }

    /// Counts a call that is refused because it would be late, and returns the cause. A call that an
    /// endpoint has accepted was counted when it was placed first.
    fn refuse_late(
        &mut self,
        now: Moment,
        request: &AdmissionRequest<'_>,
        standing: ShareStanding,
    ) -> RefusalCause {
        let cause = match standing {
            ShareStanding::Within => RefusalCause::Overload,
            ShareStanding::Beyond(_) => RefusalCause::OverShare,
        };
        if request.limit == AdmissionLimit::Objective {
            if cause == RefusalCause::Overload {
                let tokens = request.prompt.map_or(0.0, PromptShape::share_tokens);
                self.shares.turn_away(now, tokens);
            }
            self.record_refused(request, standing.refusal_outcome());
        }
        cause
    }

    /// Refuses a call that no endpoint can take. The caller should retry when the first pause ends:
    /// an earlier retry would be refused again.
    fn refuse_without_endpoint(&self, now: Moment, request: &AdmissionRequest<'_>) -> Admission {
        let least = TimeSpan::from_millis(self.config.retry_after_ms);
        let AdmissionRequest {
            service, software, ..
        } = *request;
        let (cause, retry_after) = match self.endpoints.pause_left(now, service, software) {
            Some(pause) => (RefusalCause::Paused, pause.max(least)),
            None => (
                self.cause_without_endpoint(now, request),
                TimeSpan::from_millis(self.config.no_endpoint_retry_ms),
            ),
        };
        Admission::Refuse {
            cause,
            retry_after,
            expected_ms: 0.0,
        }
    }

    fn cause_without_endpoint(&self, now: Moment, request: &AdmissionRequest<'_>) -> RefusalCause {
        let AdmissionRequest {
            service, software, ..
        } = *request;
        let is_ready = |row: &EndpointRow| row.is_ready(now);
        let is_version_ready = self.endpoints.of_version(service, software).any(is_ready);
        if !is_version_ready && self.endpoints.of_service(service).any(is_ready) {
            RefusalCause::VersionGone
        } else {
            RefusalCause::NoEndpoint
        }
    }

    fn find_placement(
        &self,
        now: Moment,
        request: &AdmissionRequest<'_>,
        engine: Option<EngineShape>,
    ) -> Option<Placement> {
        let model = EngineModel {
            tokens_per_ms: self.prefill_tokens_per_ms,
            hold_ms: self.hold_ms(request.service),
        };
        let placement_request = PlacementRequest {
            prompt: request.prompt.filter(|_| engine.is_some()),
            engine,
            tried: request.tried,
            domain: &self.domain,
        };
        let rows = self.endpoints.of_version(request.service, request.software);
        let rows: Vec<_> = rows.collect();
        placement::place(&rows, &placement_request, &model, now)
    }

    fn hold_ms(&self, service: &ServiceKey) -> f64 {
        let first = self.config.first_hold_ms;
        self.mean_hold_ms.get(service).copied().unwrap_or(first)
    }

    /// Returns the highest predicted time to the first output at which a call is still sent, in ms.
    ///
    /// Prefilling a long prompt may take its whole objective on an idle engine. When prompts of its
    /// size are served too seldom ([`SizeTable::is_underserved`]), the limit is therefore raised to
    /// its time on an idle engine plus a part of the objective.
    #[allow(clippy::cast_precision_loss)]
    fn limit_ms(
        &self,
        request: &AdmissionRequest<'_>,
        standing: ShareStanding,
        unqueued_ms: f64,
    ) -> f64 {
        let objective = request.route.objective_ms as f64;
        let part = match standing {
            ShareStanding::Within => self.config.objective_part,
            ShareStanding::Beyond(service_ratio) => self.objective_part_over_share(service_ratio),
        };
        let mut limit = objective * part;
        let is_underserved = request.prompt.is_some_and(|prompt| {
            let tokens = f64::from(prompt.prompt_tokens);
            self.sizes.is_underserved(&request.route.name, tokens)
        });
        if is_underserved && standing == ShareStanding::Within {
            limit = limit.max(unqueued_ms + objective * self.config.long_wait_part);
        }
        limit
    }

    /// Returns the fraction of the objective that a call of a team over its share may take. Service
    /// is here the tokens of a team's requests that were sent.
    ///
    /// `service_ratio` is the number of [`ShareStanding::Beyond`]; it is infinite once the team's
    /// allowance is used up, so that the call is refused.
    ///
    /// Capacity beyond the published rate would otherwise go to the team that asks most often. The
    /// more of it a team already gets, the emptier an endpoint must be to serve it more, so that
    /// all teams over their shares get about the same. With the square, a team served twice as much
    /// is limited to a quarter of the time.
    fn objective_part_over_share(&self, service_ratio: f64) -> f64 {
        self.config.over_share_part / (service_ratio * service_ratio)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn retry_after(&self, excess_ms: f64) -> TimeSpan {
        let least = self.config.retry_after_ms;
        TimeSpan::from_millis(least.max(excess_ms as u64))
    }

    /// Counts the call as placed at the endpoint and returns its ticket.
    fn place_attempt(
        &mut self,
        now: Moment,
        request: &AdmissionRequest<'_>,
        standing: ShareStanding,
        placement: &Placement,
    ) -> Admission {
        let hold_ms = self.hold_ms(request.service);
        let parts = PartIds::of(request.prompt);
        let Some(row) = self.endpoints.get_mut(&placement.endpoint) else {
            return Admission::Refuse {
                cause: RefusalCause::NoEndpoint,
                retry_after: TimeSpan::from_millis(self.config.no_endpoint_retry_ms),
                expected_ms: 0.0,
            };
        };
        row.active += 1;
        row.pending_tokens += placement.uncached;
        // A service that does not run model engines answers when the request is done; an engine
        // sends its first output once the prompt is prefilled.
        let answer_hold_ms = if request.prompt.is_some() {
            0.0
        } else {
            hold_ms
        };
        row.health
            .attempt_started(now, placement.first_ms + answer_hold_ms);
        if let Some(prompt) = request.prompt {
            let tokens = f64::from(prompt.prompt_tokens);
            self.sizes.count_sent_request(&request.route.name, tokens);
            if let Some(team) = request.team {
                let tokens = prompt.share_tokens();
                self.accounts.send(team, tokens);
                if standing != ShareStanding::Within {
                    self.outcomes
                        .count(team, RequestOutcome::SentBeyond, tokens);
                }
                self.shares.serve(now, team, tokens);
            }
            for part in prompt.shared_parts() {
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
            fingerprint: request.fingerprint,
            parts,
            team_tokens: request
                .team_tokens()
                .map(|(team, tokens)| (team.clone(), tokens)),
            output: None,
            placed_at: now,
            is_prefilling: true,
            last_activity: row.health.last_activity.clone(),
            replaced: row.replaced.clone(),
        })
    }

    /// Forgets prompt parts that were sent to endpoints longer ago than `part_memory_ms`, to keep
    /// the tables small.
    pub fn forget_parts(&mut self, now: Moment) {
        let kept = TimeSpan::from_millis(self.config.part_memory_ms);
        for row in self.endpoints.rows_mut() {
            row.parts.retain(|_, at| now.since(*at) < kept);
        }
    }
}
