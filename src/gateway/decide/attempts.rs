//! Attempts at endpoints: what the decision core learns while they run and when they end.

use std::net::SocketAddr;

use tokio_util::sync::CancellationToken;

use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::TimeSpan;

use super::super::protocol::PartIds;
use super::super::routes::EndpointEntry;
use super::super::routes::TeamKey;
use super::core::GatewayCore;
use super::health::ActivityClock;
use super::outcomes::RequestOutcome;
use super::process_ends::EndSign;

/// Weight of a new measurement in the moving average of a service's request duration. The last
/// twenty answers, a second or two of usual traffic, make up four fifths of the average.
const LEARNING_WEIGHT: f64 = 0.08;

/// Queued prompt tokens below which the time to the first token says nothing about prefill speed,
/// so nothing is learned from it.
const MIN_LEARNING_TOKENS: f64 = 2_000.0;

/// Time for which an answer has to go on after its first output to show that its prompt does not
/// crash the endpoint: a part that does so ends it when the answer begins.
const SOUND_OUTPUT_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// The time in which output arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct OutputSpan {
    first: Moment,
    last: Moment,
}

/// An attempt that was placed at an endpoint. It must be passed to [`GatewayCore::ended`].
#[derive(Debug)]
pub struct AttemptTicket {
    /// The endpoint.
    pub entry: EndpointEntry,
    /// Predicted time to the first output, in ms.
    pub first_ms: f64,
    /// The engine from which this endpoint fetches shared prompt parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Prompt tokens that the endpoint must prefill.
    pub uncached: f64,
    /// The subset of `uncached` that belongs to prompt parts which other requests share, whether or
    /// not an engine prefilled them before.
    pub reread: f64,
    /// Prompt tokens queued at the endpoint, including this request's.
    pub queued: f64,
    /// Hash of the request's content.
    pub(super) fingerprint: RequestFingerprint,
    /// Shared parts of the request's prompt.
    pub(super) parts: PartIds,
    /// The team and the tokens that count for its share.
    pub(super) team_tokens: Option<(TeamKey, f64)>,
    /// When the first output and the last bytes since then arrived.
    pub(super) output: Option<OutputSpan>,
    pub(super) placed_at: Moment,
    /// True until the first output or the end of the attempt.
    pub(super) is_prefilling: bool,
    pub(super) last_activity: ActivityClock,
    pub(super) replaced: CancellationToken,
}

impl AttemptTicket {
    /// Resolves when the endpoint process of this attempt is replaced by a new one.
    pub async fn replaced(&self) {
        self.replaced.cancelled().await;
    }

    /// Since when this router has received nothing from the endpoint, or has waited for this attempt,
    /// whichever began later.
    fn silent_since(&self) -> Moment {
        self.placed_at.max(self.last_activity.last())
    }

    /// Records that data arrived from the endpoint.
    pub fn record_activity(&mut self, now: Moment) {
        self.last_activity.record_activity(now);
        if let Some(output) = &mut self.output {
            output.last = now;
        }
    }

    /// Returns true if data arrived from the endpoint, for any attempt, later than `moment`.
    #[must_use]
    pub fn has_activity_since(&self, moment: Moment) -> bool {
        self.last_activity.last() > moment
    }

    /// Returns true if output went on for long enough to show that the prompt does not crash the
    /// endpoint.
    fn has_sound_output(&self) -> bool {
        let output = self.output;
        output.is_some_and(|output| output.last.since(output.first) >= SOUND_OUTPUT_TIME)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint answered; errors in the answer are due to the request itself.
    Answered,
    /// The endpoint answered with a server error (status 500 or higher).
    Failed,
    /// The connection broke before the answer was complete.
    Lost,
    /// No connection to this endpoint was made: it failed or timed out, or another endpoint answers
    /// at the address.
    NotReached,
    /// Nothing listens at the endpoint's address.
    Gone,
    /// The endpoint reported that it is full.
    Full,
    /// The request was not sent: the caller disconnected before, or the endpoint left or paused
    /// meanwhile. Not counted against the endpoint unless it was silent.
    NotSent,
    /// The endpoint was silent, and another one took over.
    Silent,
    /// The caller disconnected or the deadline passed after the request was sent. Not counted
    /// against the endpoint unless it was silent.
    Abandoned,
}

impl GatewayCore {
    /// Records the first output of an attempt.
    #[allow(clippy::cast_precision_loss)]
    pub fn first_output(&mut self, now: Moment, ticket: &mut AttemptTicket) {
        self.finish_prefill(ticket);
        if ticket.output.is_none()
            && let Some((team, tokens)) = &ticket.team_tokens
        {
            self.outcomes.count(team, RequestOutcome::Begun, *tokens);
        }
        ticket.output.get_or_insert(OutputSpan {
            first: now,
            last: now,
        });
        let Some(row) = self.endpoints.of_attempt(&ticket.entry) else {
            return;
        };
        row.record_reached();
        row.health.first_output_received(now);
        if ticket.queued < MIN_LEARNING_TOKENS || self.is_disturbed {
            return;
        }
        let measured = now.since(ticket.placed_at).0 as f64 / 1e3;
        let ratio = measured / ticket.first_ms.max(1.0);
        row.health.learn_slowness(now, ratio);
    }

    fn finish_prefill(&mut self, ticket: &mut AttemptTicket) {
        if !ticket.is_prefilling {
            return;
        }
        ticket.is_prefilling = false;
        if let Some(row) = self.endpoints.of_attempt(&ticket.entry) {
            row.pending_tokens = (row.pending_tokens - ticket.uncached).max(0.0);
        }
    }

    /// Records the end of an attempt.
    #[allow(clippy::cast_precision_loss)]
    pub fn ended(&mut self, now: Moment, mut ticket: AttemptTicket, end: AttemptEnd) {
        let had_output = !ticket.is_prefilling;
        self.finish_prefill(&mut ticket);
        if ticket.has_sound_output() {
            self.quarantine.record_part_answer(now, &ticket.parts);
        }
        // Before the row is looked up: the list may no longer have the process of a lost attempt.
        if self.is_lost(now, &ticket, end) {
            self.record_lost_attempt(now, &ticket);
        }
        let Some(row) = self.endpoints.of_attempt(&ticket.entry) else {
            return;
        };
        let was_silent = row.health.is_silent_here(now);
        row.active = row.active.saturating_sub(1);
        row.health.attempt_ended(had_output);
        match end {
            AttemptEnd::Answered => {
                row.record_reached();
                row.health.last_activity.record_activity(now);
                row.health.count(now, false);
                let measured_hold_ms = now.since(ticket.placed_at).0 as f64 / 1e3;
                let mean = self
                    .mean_hold_ms
                    .entry(ticket.entry.service.clone())
                    .or_insert(measured_hold_ms);
                *mean += LEARNING_WEIGHT * (measured_hold_ms - *mean);
            }
            AttemptEnd::Failed | AttemptEnd::Lost | AttemptEnd::Silent => {
                row.health.count(now, true);
            }
            AttemptEnd::NotReached if self.is_disturbed => row.record_link_failure(now),
            AttemptEnd::NotReached => row.record_failed_connection(now),
            AttemptEnd::Gone => self.connection_refused(now, &ticket.entry),
            AttemptEnd::Full => row.pause_when_full(now),
            // If the route does not allow the request to run at a second endpoint, callers that
            // give up are the only sign that an endpoint hangs.
            AttemptEnd::Abandoned | AttemptEnd::NotSent if was_silent => {
                row.health.count(now, true);
            }
            AttemptEnd::Abandoned | AttemptEnd::NotSent => {}
        }
    }

    /// Records that nothing listens at an endpoint's address.
    pub fn connection_refused(&mut self, now: Moment, entry: &EndpointEntry) {
        if let Some(row) = self.endpoints.of_attempt(entry) {
            row.record_failed_connection(now);
        }
        if self.endpoints.is_in_service(entry) {
            self.quarantine.record_sign(now, entry, EndSign::Refused);
        }
    }

    /// Returns true if an attempt ended without an answer although its endpoint owed one.
    ///
    /// Where the endpoint's host went dark, the connection does not break: all that shows is that the
    /// caller left, or its deadline passed, while nothing came from the endpoint.
    fn is_lost(&self, now: Moment, ticket: &AttemptTicket, end: AttemptEnd) -> bool {
        match end {
            AttemptEnd::Lost => true,
            AttemptEnd::Abandoned | AttemptEnd::Silent => {
                let row = self.endpoints.get(&ticket.entry.key);
                row.is_none_or(|row| row.health.is_silent_here(now))
            }
            AttemptEnd::Answered
            | AttemptEnd::Failed
            | AttemptEnd::NotReached
            | AttemptEnd::NotSent
            | AttemptEnd::Gone
            | AttemptEnd::Full => false,
        }
    }

    /// Records a lost attempt for the quarantine, unless its endpoint was leaving.
    fn record_lost_attempt(&mut self, now: Moment, ticket: &AttemptTicket) {
        let (entry, fingerprint) = (&ticket.entry, ticket.fingerprint);
        let parts = &ticket.parts;
        let is_explained = self.quarantine.explains_loss(entry, ticket.silent_since());
        if is_explained {
            self.quarantine
                .record_crashed(now, entry, fingerprint, parts);
        } else if self.endpoints.is_in_service(entry) {
            self.quarantine.record_lost(now, entry, fingerprint, parts);
        }
    }
}
