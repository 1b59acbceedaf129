//! Places the attempts of a call: the first one, retries, and the one that takes over from a silent
//! endpoint.
//!
//! Load pattern: a sound endpoint is silent for a second or more and goes on, or breaks off long
//! after the route's objective, while other endpoints are idle, paused or busy. A call whose caller
//! has a part of the answer is held against its deadline only, since a refusal would end an answer
//! that was accepted; its connection to a silent endpoint is kept until another endpoint has been
//! found for it.

use std::io;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::units::TimeSpan;

use super::attempt::AttemptOutcome;
use super::attempt::Interruption;
use super::attempt::WaitBounds;
use super::attempt::caller_left;
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

/// Pause between two attempts to take a retry for a begun answer from a used-up budget.
const BUDGET_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait of a begun answer for an endpoint or a retry. Callers give up a stream after a
/// silence of 2 s or more.
const MAX_RESUMPTION_WAIT: Duration = Duration::from_millis(1_500);

/// Why a call gets no further attempt.
#[derive(Debug)]
pub enum NoPlace {
    /// The decision core refused it.
    Refused {
        /// Why it was refused.
        cause: RefusalCause,
        /// Time after which the caller should retry.
        retry_after: TimeSpan,
        /// Predicted time to the first output since the call arrived, in ms.
        expected_ms: f64,
    },
    /// The caller closed its connection while the call waited.
    CallerLeft,
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

/// Places the next attempt. A begun answer waits for endpoints that all have asked for a pause.
///
/// # Errors
/// Why the call gets no attempt.
pub async fn place_attempt<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &CallState,
) -> Result<AttemptTicket, NoPlace> {
    let shared = &traffic.shared;
    let until = resumption_end(call);
    let limit = if call.head_sent {
        AdmissionLimit::Deadline
    } else {
        AdmissionLimit::Objective
    };
    loop {
        let admission = {
            let ask = admission_request(call, limit);
            shared.core().admit(shared.clock.now(), &ask, call.standing)
        };
        let (cause, retry_after, expected_ms) = match admission {
            Admission::Send(ticket) => return Ok(ticket),
            Admission::Refuse {
                cause,
                retry_after,
                expected_ms,
            } => (cause, retry_after, expected_ms),
        };
        let resumes_later = call.head_sent && cause == RefusalCause::Paused;
        if !resumes_later || Instant::now() + retry_after.as_duration() > until {
            return Err(NoPlace::Refused {
                cause,
                retry_after,
                expected_ms,
            });
        }
        if has_left_within(caller, retry_after.as_duration()).await {
            return Err(NoPlace::CallerLeft);
        }
    }
}

/// Takes a retry from the retry budget. A begun answer waits for one if the budget is used up.
/// Returns whether the request may be sent to another endpoint.
pub async fn reserve_retry<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &CallState,
) -> bool {
    if !call.has_attempts_left() {
        return false;
    }
    let until = resumption_end(call);
    let shared = &traffic.shared;
    let is_granted = loop {
        if shared.core().take_retry(shared.clock.now(), &call.service) {
            break true;
        }
        if !call.head_sent || Instant::now() + BUDGET_PAUSE > until {
            break false;
        }
        if has_left_within(caller, BUDGET_PAUSE).await {
            break false;
        }
    };
    shared.metrics.retry(call.service.0.as_str(), is_granted);
    is_granted
}

/// Returns until when a begun answer waits for an endpoint or a retry.
fn resumption_end(call: &CallState) -> Instant {
    call.deadline.min(Instant::now() + MAX_RESUMPTION_WAIT)
}

/// Waits for `pause`. Returns true as soon as the caller has closed its connection.
async fn has_left_within(caller: &mut WireStream, pause: Duration) -> bool {
    tokio::select! {
        () = caller_left(caller) => true,
        () = sleep(pause) => false,
    }
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
