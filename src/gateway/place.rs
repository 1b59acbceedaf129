//! Places the attempts of a call: the first one, retries, and the one that takes over from a silent
//! endpoint.
//!
//! Load pattern: a sound endpoint is silent for a second or more and goes on, while other endpoints
//! are idle or busy, or there are none. The connection to a silent endpoint is kept until another
//! endpoint has been found for the call.

use std::io;
use std::time::Duration;

use tokio::time::Instant;

use crate::units::TimeSpan;

use super::attempt::AttemptOutcome;
use super::attempt::Interruption;
use super::attempt::WaitBounds;
use super::attempt::read_or_interrupt;
use super::call_state::CallState;
use super::decide::Admission;
use super::decide::AdmissionLimit;
use super::decide::AdmissionRequest;
use super::decide::AttemptTicket;
use super::decide::RefusalCause;
use super::front::TrafficState;
use super::http::WireStream;
use super::protocol::CallProtocol;

/// Pause between two searches for an endpoint that takes over from a silent one.
const TAKEOVER_PAUSE: Duration = Duration::from_millis(200);

/// Why a call gets no further attempt.
#[derive(Debug)]
pub struct NoPlace {
    /// Why the decision core refused it.
    pub cause: RefusalCause,
    /// Time after which the caller should retry.
    pub retry_after: TimeSpan,
    /// Predicted time to the first output since the call arrived, in ms.
    pub expected_ms: f64,
}

/// Returns the admission request for the next attempt of a call.
pub fn admission_request(call: &CallState, limit: AdmissionLimit) -> AdmissionRequest<'_> {
    let now = Instant::now();
    let micros = |span: Duration| TimeSpan(u64::try_from(span.as_micros()).unwrap_or(u64::MAX));
    AdmissionRequest {
        route: &call.route,
        service: &call.service,
        shape: call.table.services.get(&call.service),
        team: call.team.as_ref(),
        prompt: call.facts.prompt.as_ref(),
        software: call.origin.known(),
        tried: &call.tried,
        fingerprint: call.fingerprint,
        waited: micros(now.saturating_duration_since(call.arrived)),
        left: micros(call.deadline.saturating_duration_since(now)),
        limit,
    }
}

/// Places the next attempt.
///
/// # Errors
/// Why the call gets no attempt.
pub fn place_attempt<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &CallState,
) -> Result<AttemptTicket, NoPlace> {
    let shared = &traffic.shared;
    let limit = if call.head_sent {
        AdmissionLimit::Deadline
    } else {
        AdmissionLimit::Objective
    };
    let ask = admission_request(call, limit);
    match shared.core().admit(shared.clock.now(), &ask, call.standing) {
        Admission::Send(ticket) => Ok(ticket),
        Admission::Refuse {
            cause,
            retry_after,
            expected_ms,
        } => Err(NoPlace {
            cause,
            retry_after,
            expected_ms,
        }),
    }
}

/// Takes a retry from the retry budget. Returns whether the request may be sent to another endpoint.
pub fn reserve_retry<P: CallProtocol>(traffic: &TrafficState<P>, call: &CallState) -> bool {
    if !call.has_attempts_left() {
        return false;
    }
    let now = traffic.shared.clock.now();
    let is_granted = traffic.shared.core().take_retry(now, &call.service);
    let service = call.service.0.as_str();
    traffic.shared.metrics.retry(service, is_granted);
    is_granted
}

/// Reads from the endpoint, which counts as silent from `stall` on. Another endpoint then takes over
/// if one is free to; until then the wait goes on, since a sound endpoint may be silent for a while.
///
/// # Errors
/// The outcome of the attempt if the wait ended without a read.
pub async fn read_or_hand_over<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &CallState,
    ticket: &AttemptTicket,
    endpoint: &mut WireStream,
    stall: Instant,
) -> Result<io::Result<usize>, AttemptOutcome> {
    let mut bounds = WaitBounds {
        deadline: call.deadline,
        stall: call.stall_at(stall),
    };
    loop {
        match read_or_interrupt(endpoint, caller, ticket, bounds).await {
            Ok(read) => return Ok(read),
            Err(Interruption::Stalled) => {}
            Err(interruption) => return Err(interruption.outcome()),
        }
        if let Some(next) = place_takeover(traffic, call, ticket) {
            return Err(AttemptOutcome::HandedOver(Box::new(next)));
        }
        bounds.stall = Instant::now() + TAKEOVER_PAUSE;
    }
}

/// Places a call whose endpoint is silent at another one; `None` if none can take it now.
fn place_takeover<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &CallState,
    ticket: &AttemptTicket,
) -> Option<AttemptTicket> {
    let shared = &traffic.shared;
    let next = {
        let ask = admission_request(call, AdmissionLimit::Deadline);
        let now = shared.clock.now();
        shared.core().admit_retry(now, &ask, call.standing)?
    };
    shared.metrics.retry(call.service.0.as_str(), true);
    spdlog::info!(
        "calls: id={} endpoint={} is silent, taken over by={} last_event={} predicted_ms={:.0}",
        call.facts.call_id,
        ticket.entry.key,
        next.entry.key,
        call.last_event().unwrap_or_default(),
        next.first_ms,
    );
    Some(next)
}
