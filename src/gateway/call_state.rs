//! What is known of one call while it runs.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::RequestFingerprint;

use super::call_record::DecisionFacts;
use super::decide::AttemptTicket;
use super::http::EventSplitter;
use super::http::RequestHead;
use super::protocol::CallFacts;
use super::reply::OwnStatus;
use super::routes::EndpointKey;
use super::routes::Repeatability;
use super::routes::RouteEntry;
use super::routes::ServiceKey;
use super::routes::TeamKey;

/// A call while it runs.
#[derive(Debug)]
pub struct CallState {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// What its head says.
    pub facts: CallFacts,
    /// Its route.
    pub route: RouteEntry,
    /// The service chosen for it.
    pub service: ServiceKey,
    /// The team that its key belongs to.
    pub team: Option<TeamKey>,
    /// What it asks, to recognise its resends.
    pub fingerprint: RequestFingerprint,
    /// When it arrived.
    pub arrived: Instant,
    /// When it must have its answer.
    pub deadline: Instant,
    /// Whether the caller's connection stays open.
    pub keep: bool,
    /// Whether the caller has the head of a stream.
    pub head_sent: bool,
    /// When the caller got its first output.
    pub first_output: Option<Instant>,
    /// The stream's events.
    pub splitter: EventSplitter,
    /// Times that the request was written to an endpoint.
    pub sends: u32,
    /// What its last placement was decided from.
    pub decided: DecisionFacts,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// Endpoints that it was tried at.
    pub tried: Vec<EndpointKey>,
    /// Endpoints that were not reached.
    pub unreached: usize,
}

/// How a call ended, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller has an endpoint's answer.
    Answered(u16),
    /// The router answered.
    Own(OwnStatus, &'static str),
    /// A stream was cut.
    Cut(&'static str),
    /// The caller left.
    CallerLeft,
}

impl CallState {
    /// The last event that the caller has.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.splitter.last_id().or(self.facts.last_event)
    }

    /// Whether it may run once more.
    #[must_use]
    pub fn can_repeat(&self) -> bool {
        match self.route.repeats {
            Repeatability::Idempotent => !self.head_sent,
            Repeatability::Resumable => true,
            Repeatability::AtMostOnce => false,
        }
    }

    /// Whether it may be written to another endpoint.
    #[must_use]
    pub fn has_attempts(&self) -> bool {
        self.sends < self.route.max_attempts.max(1)
    }

    /// How long an endpoint may be silent before its first output. An endpoint that hangs is
    /// left for another one only where the request may be repeated.
    #[must_use]
    pub fn patience(&self, ticket: &AttemptTicket) -> Duration {
        if !self.can_repeat() || !self.has_attempts() {
            return self.deadline.saturating_duration_since(Instant::now());
        }
        let predicted = Duration::from_secs_f64(ticket.first_ms.max(0.0) / 1e3);
        Duration::from_millis(self.route.objective_ms) + predicted * 2
    }

    /// When silence counts as an endpoint's failure: never for what can't go on elsewhere.
    #[must_use]
    pub fn stall_at(&self, stall: Instant) -> Instant {
        if self.can_repeat() && self.has_attempts() {
            stall
        } else {
            self.deadline
        }
    }
}

/// A hash of what a call asks and who asks it. Its id differs from one resend to the next.
#[must_use]
pub fn fingerprint(head: &RequestHead, body: &[u8], team: Option<&TeamKey>) -> RequestFingerprint {
    let seed = team.map_or(0, TeamKey::hash);
    let target = xxh3_64_with_seed(&head.target, seed);
    RequestFingerprint(xxh3_64_with_seed(body, target))
}
