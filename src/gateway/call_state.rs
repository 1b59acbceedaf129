//! The state of one call while it runs.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::RequestFingerprint;

use super::call_record::DecisionFacts;
use super::decide::AttemptTicket;
use super::decide::shares::ShareStanding;
use super::http::EventSplitter;
use super::http::RequestHead;
use super::protocol::CallFacts;
use super::reply::OwnStatus;
use super::routes::EndpointKey;
use super::routes::Repeatability;
use super::routes::RouteEntry;
use super::routes::RouteTable;
use super::routes::ServiceKey;
use super::routes::SoftwareVersion;
use super::routes::TeamKey;

/// Refusals after which no further endpoint is asked to go on with a call.
const MAX_REFUSALS: u32 = 4;

/// Where a call's stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamOrigin {
    /// The caller has no event yet: it may begin at any endpoint.
    None,
    /// At an endpoint with this software version: it goes on only at endpoints with the same.
    At(SoftwareVersion),
    /// Nobody knows at which version: it doesn't go on anywhere.
    Unknown,
}

impl StreamOrigin {
    /// Returns the version at which the stream began, if it began and the version is known.
    #[must_use]
    pub fn known(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::At(version) => Some(version),
            Self::None | Self::Unknown => None,
        }
    }
}

impl fmt::Display for StreamOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => formatter.write_str("-"),
            Self::At(version) => version.fmt(formatter),
            Self::Unknown => formatter.write_str("unknown"),
        }
    }
}

/// State of a call while it runs.
#[derive(Debug)]
pub struct CallState {
    /// The request's head.
    pub head: RequestHead,
    /// The request's body.
    pub body: Bytes,
    /// Values decoded from the head.
    pub facts: CallFacts,
    /// The routes in force when the call arrived.
    pub table: Arc<RouteTable>,
    /// The route of the call.
    pub route: RouteEntry,
    /// The service chosen among the route's services.
    pub service: ServiceKey,
    /// The team that the caller's key belongs to.
    pub team: Option<TeamKey>,
    /// Hash of the request, to recognise its resends.
    pub fingerprint: RequestFingerprint,
    /// When the call arrived.
    pub arrived: Instant,
    /// When the call must be answered.
    pub deadline: Instant,
    /// Whether the caller's connection stays open after the call.
    pub keep: bool,
    /// Whether the head of a stream was sent to the caller.
    pub head_sent: bool,
    /// When the first output was sent to the caller.
    pub first_output: Option<Instant>,
    /// When the last event of a stream was sent to the caller.
    pub last_output: Option<Instant>,
    /// Splits the stream into events and tracks the last one passed on.
    pub splitter: EventSplitter,
    /// Number of times that the request was written to an endpoint.
    pub sends: u32,
    /// Number of times that an endpoint refused it without running it.
    pub refusals: u32,
    /// How the call's team stood to its share when the call arrived.
    pub standing: ShareStanding,
    /// Figures behind the last placement or refusal.
    pub decided: DecisionFacts,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// Where the stream began.
    pub origin: StreamOrigin,
    /// The software version at which a stream that has not begun is to begin, if it is not free.
    pub begins_at: Option<SoftwareVersion>,
    /// The software version of the endpoint of the last attempt.
    pub tried_software: SoftwareVersion,
    /// Endpoints at which the call was tried, in order.
    pub tried: Vec<EndpointKey>,
    /// Endpoints that don't get the call again.
    pub excluded: Vec<EndpointKey>,
    /// Those of them that did not run it, or were silent: a begun answer may go back to them.
    pub readmissible: Vec<EndpointKey>,
    /// Number of attempts that count towards `MAX_UNREACHED_ENDPOINTS`.
    pub unreached: usize,
}

/// How a call ended, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller received an endpoint's answer with this status.
    Answered(u16),
    /// The router replied itself, for this cause.
    Own(OwnStatus, &'static str),
    /// A stream was cut, for this cause.
    Cut(&'static str),
    /// The caller closed its connection.
    CallerLeft,
}

impl CallState {
    /// The id of the last event that the caller has.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.splitter.last_id().or(self.facts.last_event)
    }

    /// Returns whether the request may run once more, by the kind of its route and what the caller
    /// already has.
    #[must_use]
    pub fn can_repeat(&self) -> bool {
        match self.route.repeats {
            Repeatability::Idempotent => !self.head_sent,
            Repeatability::Resumable => true,
            Repeatability::AtMostOnce => false,
        }
    }

    /// Returns whether an endpoint may have begun the call, so that the caller can't be told any more
    /// that it did not run.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        self.head_sent || self.may_have_run
    }

    /// Returns whether the route's `max_attempts` allows a further attempt. Refusals count only until
    /// an endpoint has accepted the call: before that the caller can be refused as well.
    #[must_use]
    pub fn has_attempts_left(&self) -> bool {
        let most = self.route.max_attempts.max(1);
        if !self.is_accepted() {
            return self.sends < most;
        }
        self.sends - self.refusals < most && self.refusals < MAX_REFUSALS
    }

    /// Records that the call is tried at an endpoint.
    pub fn record_attempt(&mut self, endpoint: &EndpointKey) {
        self.tried.push(endpoint.clone());
        self.excluded.push(endpoint.clone());
    }

    /// Records that the endpoint tried last may get the call again.
    pub fn record_readmissible(&mut self) {
        self.readmissible.extend(self.tried.last().cloned());
    }

    /// Returns whether an endpoint may get the call again.
    #[must_use]
    pub fn has_readmissible(&self) -> bool {
        !self.readmissible.is_empty()
    }

    /// Lets all endpoints have the call again that may.
    pub fn readmit_endpoints(&mut self) {
        let readmitted = std::mem::take(&mut self.readmissible);
        self.excluded.retain(|key| !readmitted.contains(key));
    }

    /// How long an endpoint may be silent before its first output: the route's objective plus twice
    /// the predicted time to the first output. See [`Self::stall_at`] for requests that can't be sent
    /// to another one.
    #[must_use]
    pub fn silence_limit(&self, ticket: &AttemptTicket) -> Duration {
        let predicted = Duration::from_secs_f64(ticket.first_ms.max(0.0) / 1e3);
        Duration::from_millis(self.route.objective_ms) + predicted * 2
    }

    /// From when on a silent endpoint may be given up for another one: `stall`, or the deadline if the
    /// request can't be sent to another one.
    #[must_use]
    pub fn stall_at(&self, stall: Instant) -> Instant {
        if self.can_repeat() && self.has_attempts_left() {
            stall
        } else {
            self.deadline
        }
    }
}

/// Hashes a call's target, body and team. The call's id is left out, since it differs from one
/// resend to the next.
#[must_use]
pub fn fingerprint(head: &RequestHead, body: &[u8], team: Option<&TeamKey>) -> RequestFingerprint {
    let seed = team.map_or(0, TeamKey::hash);
    let target = xxh3_64_with_seed(&head.target, seed);
    RequestFingerprint(xxh3_64_with_seed(body, target))
}
