//! Places the attempts of a call: the first one, retries, and the one that takes over from a silent
//! endpoint.
//!
//! Load pattern: a sound endpoint is silent for a second or more and goes on, or breaks off long
//! after the route's objective, while other endpoints are idle, paused or busy. A call that an endpoint
//! has accepted is held against its deadline only, since a refusal would end what has begun; its
//! connection to a silent endpoint is kept until another endpoint has been reached for it.

use std::future::ready;
use std::io;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::units::TimeSpan;

use super::attempt::AttemptOutcome;
use super::attempt::Interruption;
use super::attempt::Takeover;
use super::attempt::WaitBounds;
use super::attempt::caller_left;
use super::attempt::connect_endpoint;
use super::attempt::read_or_interrupt;
use super::attempt::still_takes_work;
use super::call_state::CallState;
use super::call_state::StreamOrigin;
use super::decide::Admission;
use super::decide::AdmissionLimit;
use super::decide::AdmissionRequest;
use super::decide::AttemptEnd;
use super::decide::AttemptTicket;
use super::decide::RefusalCause;
use super::front::TrafficState;
use super::http::WireStream;
use super::protocol::CallProtocol;
use super::resume::stream_number;
use super::routes::Repeatability;
use super::routes::RouteEntry;

/// Pause between two searches for an endpoint that takes over from a silent one.
const TAKEOVER_PAUSE: Duration = Duration::from_millis(200);

/// Pause between two attempts to take a retry for a begun answer from a used-up budget.
const BUDGET_PAUSE: Duration = Duration::from_millis(50);

/// Pause before a begun answer goes back to endpoints that have refused it.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);

/// Silence after which callers give up a stream, at the earliest.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);

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

/// The answer to a call that asks for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryGrant {
    /// The request may be sent to another endpoint.
    Granted,
    /// The retry budget is used up, or the route allows no further attempt.
    Denied,
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
        software: call.origin.known().or(call.begins_at.as_ref()),
        tried: &call.excluded,
        fingerprint: call.fingerprint,
        waited: micros(now.saturating_duration_since(call.arrived)),
        left: micros(call.deadline.saturating_duration_since(now)),
        limit,
    }
}

/// Returns true if the next attempt begins a stream that may be resumed.
fn begins_stream(call: &CallState) -> bool {
    let RouteEntry {
        streams, repeats, ..
    } = call.route;
    streams && repeats == Repeatability::Resumable && call.origin == StreamOrigin::None
}

/// Places the next attempt. A begun answer waits for endpoints that have asked for a pause, and goes
/// back to such as have refused it.
///
/// # Errors
/// Why the call gets no attempt.
pub async fn place_attempt<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &mut CallState,
) -> Result<AttemptTicket, NoPlace> {
    let shared = &traffic.shared;
    let limit = if call.is_accepted() {
        AdmissionLimit::Deadline
    } else {
        AdmissionLimit::Objective
    };
    loop {
        let admission = {
            let (now, mut core) = (shared.clock.now(), shared.core());
            call.begins_at = if begins_stream(call) {
                core.version_of_new(now, &call.service, stream_number(call))
            } else {
                None
            };
            let ask = admission_request(call, limit);
            core.admit(now, &ask, call.standing)
        };
        let (cause, retry_after, expected_ms) = match admission {
            Admission::Send(ticket) => return Ok(ticket),
            Admission::Refuse {
                cause,
                retry_after,
                expected_ms,
            } => (cause, retry_after, expected_ms),
        };
        let cause = match cause {
            RefusalCause::VersionGone if call.begins_at.is_some() => RefusalCause::VersionBusy,
            cause => cause,
        };
        let pause = pause_before_retry(call, cause, retry_after);
        let Some(pause) = pause.filter(|pause| Instant::now() + *pause <= resumption_end(call))
        else {
            return Err(NoPlace::Refused {
                cause,
                retry_after,
                expected_ms,
            });
        };
        if has_left_within(caller, pause).await {
            return Err(NoPlace::CallerLeft);
        }
        call.readmit_endpoints();
    }
}

/// Returns how long a begun answer waits after a refusal until an endpoint may take it; `None` if
/// none will.
fn pause_before_retry(
    call: &CallState,
    cause: RefusalCause,
    retry_after: TimeSpan,
) -> Option<Duration> {
    if !call.head_sent {
        return None;
    }
    match cause {
        RefusalCause::Paused => Some(retry_after.as_duration()),
        RefusalCause::NoEndpoint if call.has_readmissible() => Some(REFUSAL_PAUSE),
        RefusalCause::NoEndpoint
        | RefusalCause::VersionGone
        | RefusalCause::VersionBusy
        | RefusalCause::VersionUnknown
        | RefusalCause::Overload
        | RefusalCause::OverShare
        | RefusalCause::Quarantined
        | RefusalCause::PartQuarantined => None,
    }
}

/// Takes a retry from the retry budget. A begun answer waits for one if the budget is used up.
pub async fn reserve_retry<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &CallState,
) -> RetryGrant {
    if !call.has_attempts_left() {
        return RetryGrant::Denied;
    }
    let until = resumption_end(call);
    while !take_retry(traffic, call) {
        if !call.head_sent || Instant::now() + BUDGET_PAUSE > until {
            let service = call.service.0.as_str();
            traffic.shared.metrics.retry(service, false);
            return RetryGrant::Denied;
        }
        if has_left_within(caller, BUDGET_PAUSE).await {
            return RetryGrant::CallerLeft;
        }
    }
    RetryGrant::Granted
}

/// Takes a retry from the budget and counts it. Returns false if the budget is used up.
fn take_retry<P: CallProtocol>(traffic: &TrafficState<P>, call: &CallState) -> bool {
    let shared = &traffic.shared;
    let is_granted = shared.core().take_retry(shared.clock.now(), &call.service);
    if is_granted {
        shared.metrics.retry(call.service.0.as_str(), true);
    }
    is_granted
}

/// Returns until when a begun answer waits for an endpoint or a retry.
fn resumption_end(call: &CallState) -> Instant {
    let silent_since = call.last_output.unwrap_or(call.arrived);
    call.deadline.min(silent_since + CALLER_PATIENCE)
}

/// Waits for `pause`. Returns true as soon as the caller has closed its connection.
async fn has_left_within(caller: &mut WireStream, pause: Duration) -> bool {
    tokio::select! {
        () = caller_left(caller) => true,
        () = sleep(pause) => false,
    }
}

/// Reads from the endpoint, which counts as silent from `stall` on. Another endpoint then takes over
/// if one can be reached; until then the wait goes on, since a sound endpoint may be silent for a
/// while.
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
    let stall = stall.max(Instant::now() + TAKEOVER_PAUSE);
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
        let Some(takeover) = prepare_takeover(traffic, call).await else {
            bounds.stall = Instant::now() + TAKEOVER_PAUSE;
            continue;
        };
        if let Some(read) = read_now(endpoint).await {
            release(traffic, takeover);
            return Ok(read);
        }
        if take_retry(traffic, call) {
            log_takeover(call, ticket, &takeover);
            return Err(AttemptOutcome::HandedOver(Box::new(takeover)));
        }
        release(traffic, takeover);
        bounds.stall = Instant::now() + TAKEOVER_PAUSE;
    }
}

/// Reads what has arrived; `None` if nothing has.
async fn read_now(endpoint: &mut WireStream) -> Option<io::Result<usize>> {
    tokio::select! {
        biased;
        read = endpoint.fill() => Some(read),
        () = ready(()) => None,
    }
}

/// Places a call whose endpoint is silent at another one and connects to it; `None` if none can take
/// it now.
async fn prepare_takeover<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &CallState,
) -> Option<Takeover> {
    let shared = &traffic.shared;
    let ticket = {
        let ask = admission_request(call, AdmissionLimit::Deadline);
        let (now, mut core) = (shared.clock.now(), shared.core());
        if !core.has_retry(now, &call.service) {
            return None;
        }
        match core.admit(now, &ask, call.standing) {
            Admission::Send(ticket) => ticket,
            Admission::Refuse { .. } => return None,
        }
    };
    match connect_endpoint(traffic, &ticket).await {
        Ok(connection) if still_takes_work(traffic, &ticket) => {
            Some(Takeover { ticket, connection })
        }
        Ok(_) => {
            shared
                .core()
                .ended(shared.clock.now(), ticket, AttemptEnd::NotSent);
            None
        }
        Err(cause) => {
            let end = AttemptOutcome::NotRun(cause).end();
            shared.core().ended(shared.clock.now(), ticket, end);
            None
        }
    }
}

/// Gives back a takeover that is not needed: the endpoint has gone on, or there is no retry.
fn release<P: CallProtocol>(traffic: &TrafficState<P>, takeover: Takeover) {
    let Takeover { ticket, connection } = takeover;
    let shared = &traffic.shared;
    let idle_limit = Duration::from_millis(shared.config.idle_reuse_ms);
    traffic
        .pool
        .put(&ticket.entry.life(), connection, idle_limit);
    shared
        .core()
        .ended(shared.clock.now(), ticket, AttemptEnd::NotSent);
}

fn log_takeover(call: &CallState, silent: &AttemptTicket, takeover: &Takeover) {
    let next = &takeover.ticket;
    spdlog::info!(
        "calls: id={} endpoint={} is silent, taken over by={} last_event={} predicted_ms={:.0}",
        call.facts.call_id,
        silent.entry.key,
        next.entry.key,
        call.last_event().unwrap_or_default(),
        next.first_ms,
    );
}
