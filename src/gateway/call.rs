//! Serves one call: finds its route and team, makes attempts at endpoints, and replies itself when
//! no attempt yields an answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::units::TimeSpan;

use super::attempt::AttemptOutcome;
use super::attempt::NotRunCause;
use super::attempt::Takeover;
use super::attempt::run_attempt;
use super::call_record::DecisionFacts;
use super::call_record::record;
use super::call_state::CallEnd;
use super::call_state::CallState;
use super::call_state::StreamOrigin;
use super::call_state::fingerprint;
use super::decide::AdmissionLimit;
use super::decide::AttemptEnd;
use super::decide::AttemptTicket;
use super::decide::RefusalCause;
use super::decide::outcomes::RequestOutcome;
use super::decide::shares::ShareStanding;
use super::end_check::check_end;
use super::front::TrafficState;
use super::http::EventSplitter;
use super::http::RequestHead;
use super::http::WireStream;
use super::late::ROUTER_FULL;
use super::late::full_router_refusal;
use super::load::LagLevel;
use super::load::must_refuse_all;
use super::place::NoPlace;
use super::place::RetryGrant;
use super::place::admission_request;
use super::place::place_attempt;
use super::place::reserve_retry;
use super::protocol::CallFacts;
use super::protocol::CallProtocol;
use super::protocol::PartIds;
use super::relay::BufferedAnswer;
use super::reply::OwnReply;
use super::reply::OwnStatus;
use super::reply::ReplyFraming;
use super::reply::caller_head;
use super::resume::find_origin;
use super::resume::stream_number;
use super::routes::Repeatability;
use super::routes::RouteEntry;
use super::routes::RouteTable;
use super::routes::SoftwareVersion;

/// Attempts in which no request was sent, after which a call without output is given up: no
/// connection was made, it was refused, or the endpoint announced that it takes no work. An address
/// that does not respond costs the connection timeout (`connect_timeout_ms`), so three of them use
/// up most of the latency objective of a generation, about a second.
const MAX_UNREACHED_ENDPOINTS: usize = 3;

/// What happens to a caller's connection after a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterCall {
    /// It stays open for the next call.
    Keep,
    /// It is closed. After a partial answer the incomplete framing shows the caller that the rest
    /// is missing.
    End,
}

/// Serves one call on a caller's connection.
pub async fn serve_call<P: CallProtocol>(
    traffic: &Rc<TrafficState<P>>,
    caller: &mut WireStream,
    head: RequestHead,
    body: Bytes,
    keep: bool,
) -> AfterCall {
    let _in_flight = traffic.shared.begin_call();
    let arrived = Instant::now();
    // A caller whose connection is closed reconnects, usually to another router.
    let closes_after_answer =
        traffic.shared.shutdown_stages.draining.is_cancelled() || traffic.shared.is_overloaded();
    let keep = keep && !closes_after_answer;
    let Ok(facts) = traffic.protocol.call_facts(&head) else {
        return reject_for_good(
            traffic,
            caller,
            "",
            OwnStatus::BadRequest,
            "unreadable",
            keep,
        )
        .await;
    };
    let id = facts.call_id.clone();
    let Some(table) = traffic.shared.routes() else {
        let reply = unavailable(traffic.shared.config.no_endpoint_retry_ms);
        return refuse(traffic, caller, &id, reply, "no routes yet", keep).await;
    };
    if must_refuse_all(traffic, arrived) {
        let reply = full_router_refusal(traffic, &facts);
        return refuse(traffic, caller, &id, reply, ROUTER_FULL, false).await;
    }
    if traffic.shared.shutdown_stages.closing.is_cancelled() {
        let reply = unavailable(traffic.shared.config.retry_after_ms);
        return refuse(traffic, caller, &id, reply, "shutting down", false).await;
    }
    let route = match find_route(&table, &head, &facts) {
        Ok(route) => route,
        Err((status, cause)) => {
            return reject_for_good(traffic, caller, &id, status, cause, keep).await;
        }
    };
    let team = facts.credential.as_deref().and_then(|key| table.team(key));
    let Some(service) = route.service(rand::rng().random()) else {
        return reject_for_good(
            traffic,
            caller,
            &id,
            OwnStatus::NotFound,
            "route without service",
            keep,
        )
        .await;
    };
    let timeout = Duration::from_millis(route.timeout_ms);
    let deadline = arrived + facts.deadline.unwrap_or(timeout).min(timeout);
    let mut call = CallState {
        splitter: EventSplitter::after(facts.last_event),
        service: service.clone(),
        team: team.cloned(),
        fingerprint: fingerprint(&head, &body, team),
        route: route.clone(),
        table: Arc::clone(&table),
        standing: ShareStanding::Within,
        head,
        body,
        facts,
        arrived,
        deadline,
        keep,
        head_sent: false,
        first_output: None,
        last_output: None,
        sends: 0,
        refusals: 0,
        decided: DecisionFacts::default(),
        may_have_run: false,
        origin: StreamOrigin::None,
        begins_at: None,
        tried_software: SoftwareVersion::default(),
        tried: Vec::new(),
        excluded: Vec::new(),
        readmissible: Vec::new(),
        unreached: 0,
    };
    find_origin(traffic, &mut call).await;
    let end = run_attempts(traffic, caller, &mut call).await;
    record(traffic, &call, end);
    match end {
        CallEnd::Answered(_) | CallEnd::Own(..) if call.keep => AfterCall::Keep,
        _ => AfterCall::End,
    }
}

/// Finds the route of a call and checks the caller's key.
fn find_route<'a>(
    table: &'a RouteTable,
    head: &RequestHead,
    facts: &CallFacts,
) -> Result<&'a RouteEntry, (OwnStatus, &'static str)> {
    let mut hosts = head.fields.iter().filter(|field| field.is("host"));
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err((OwnStatus::BadRequest, "not one host"));
    };
    let host = host.text().unwrap_or_default();
    let Some(route) = table.route(host, head.path()) else {
        return Err((OwnStatus::NotFound, "no route"));
    };
    let known = facts.credential.as_deref().and_then(|key| table.team(key));
    if table.has_teams && !route.public && known.is_none() {
        return Err((OwnStatus::Unauthorized, "unknown key"));
    }
    Ok(route)
}

/// Makes attempts until one yields the end of the call or no further one is allowed.
async fn run_attempts<P: CallProtocol>(
    traffic: &Rc<TrafficState<P>>,
    caller: &mut WireStream,
    call: &mut CallState,
) -> CallEnd {
    call.standing = {
        let ask = admission_request(call, AdmissionLimit::Objective);
        traffic
            .shared
            .core()
            .arrived(traffic.shared.clock.now(), &ask)
    };
    let is_over_share = call.standing != ShareStanding::Within;
    call.decided.is_over_share = is_over_share;
    if is_over_share && traffic.callers.lag(call.arrived) >= LagLevel::Late {
        let wait = TimeSpan::from_millis(traffic.shared.config.retry_after_ms);
        traffic.shared.core().record_refused(
            &admission_request(call, AdmissionLimit::Objective),
            RequestOutcome::RouterLagging,
        );
        return reply_refused(traffic, caller, call, RefusalCause::OverShare, wait).await;
    }
    let mut takeover = None;
    loop {
        if call.origin == StreamOrigin::Unknown {
            let cause = RefusalCause::VersionUnknown;
            let wait = TimeSpan::from_millis(traffic.shared.config.retry_after_ms);
            return reply_refused(traffic, caller, call, cause, wait).await;
        }
        let placed = if let Some(Takeover { ticket, connection }) = takeover.take() {
            Ok((ticket, Some(connection)))
        } else {
            let placed = place_attempt(traffic, caller, call).await;
            placed.map(|ticket| (ticket, None))
        };
        let (mut ticket, connection) = match placed {
            Ok(attempt) => attempt,
            Err(NoPlace::CallerLeft) => return CallEnd::CallerLeft,
            Err(NoPlace::Refused {
                cause,
                retry_after,
                expected_ms,
            }) => {
                call.decided.predicted_ms = expected_ms;
                return reply_refused(traffic, caller, call, cause, retry_after).await;
            }
        };
        call.decided.placed(&ticket);
        call.tried_software.clone_from(&ticket.entry.software);
        call.record_attempt(&ticket.entry.key);
        let outcome = tokio::select! {
            biased;
            outcome = run_attempt(traffic, caller, call, &mut ticket, connection) => outcome,
            () = traffic.shared.shutdown_stages.giving_up.cancelled() => AttemptOutcome::RouterEnds,
        };
        let endpoint = ticket.entry.key.clone();
        end_attempt(traffic, ticket, outcome.end());
        spdlog::debug!(
            "calls: id={} endpoint={endpoint} outcome={outcome:?}",
            call.facts.call_id
        );
        match handle_outcome(traffic, caller, call, outcome).await {
            NextStep::End(end) => return end,
            NextStep::Retry => {}
            NextStep::TakeOver(next) => takeover = Some(*next),
        }
    }
}

/// What follows an attempt.
enum NextStep {
    /// The call ends.
    End(CallEnd),
    /// Another attempt is placed.
    Retry,
    /// This attempt, which is placed already.
    TakeOver(Box<Takeover>),
}

/// Passes the end of an attempt to the decision core, and finds out whether the endpoint's process
/// has ended if the core wants to know.
fn end_attempt<P: CallProtocol>(
    traffic: &Rc<TrafficState<P>>,
    ticket: AttemptTicket,
    end: AttemptEnd,
) {
    let entry = ticket.entry.clone();
    let now = traffic.shared.clock.now();
    let mut core = traffic.shared.core();
    core.ended(now, ticket, end);
    if core.quarantine.take_check(now, &entry) {
        spawn_local(check_end(Rc::clone(traffic), entry));
    }
}

/// Handles the outcome of an attempt.
async fn handle_outcome<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &mut CallState,
    outcome: AttemptOutcome,
) -> NextStep {
    if let Some(evidence) = outcome.proven_answer() {
        let now = traffic.shared.clock.now();
        let parts = PartIds::of(call.facts.prompt.as_ref());
        let mut core = traffic.shared.core();
        core.quarantine
            .record_answer(now, call.fingerprint, &parts, evidence);
        if call.head_sent {
            core.origins.end(stream_number(call));
        }
    }
    let end = match outcome {
        AttemptOutcome::Delivered(status, _) => CallEnd::Answered(status),
        AttemptOutcome::CallerLeft | AttemptOutcome::NotRun(NotRunCause::CallerLeft) => {
            CallEnd::CallerLeft
        }
        AttemptOutcome::TimeUp => {
            call.may_have_run = true;
            give_up(traffic, caller, call, "time up").await
        }
        AttemptOutcome::RouterEnds => {
            call.may_have_run |= call.sends > 0;
            give_up(traffic, caller, call, "router ends").await
        }
        AttemptOutcome::Answer(answer) => {
            if is_failure(&answer) && call.can_repeat() {
                call.may_have_run = true;
                match reserve_retry(traffic, caller, call).await {
                    RetryGrant::Granted => return NextStep::Retry,
                    RetryGrant::CallerLeft => return NextStep::End(CallEnd::CallerLeft),
                    RetryGrant::Denied => {}
                }
            }
            pass_answer(traffic, caller, call, answer).await
        }
        AttemptOutcome::NotRun(NotRunCause::NotReached | NotRunCause::Gone | NotRunCause::Left) => {
            call.record_readmissible();
            call.unreached += 1;
            // Nothing was sent, so a further attempt takes no retry from the budget.
            if call.is_accepted() || call.unreached < MAX_UNREACHED_ENDPOINTS {
                return NextStep::Retry;
            }
            give_up(traffic, caller, call, "endpoints not reached").await
        }
        AttemptOutcome::NotRun(NotRunCause::Refused | NotRunCause::OtherEndpoint) => {
            call.record_readmissible();
            call.refusals += 1;
            return retry_or_give_up(traffic, caller, call, "endpoint refused").await;
        }
        AttemptOutcome::HandedOver(next) => {
            call.record_readmissible();
            call.may_have_run = true;
            return NextStep::TakeOver(next);
        }
        AttemptOutcome::Broken(cause) => {
            call.may_have_run = true;
            if call.can_repeat() {
                return retry_or_give_up(traffic, caller, call, cause).await;
            }
            give_up(traffic, caller, call, cause).await
        }
    };
    NextStep::End(end)
}

/// Asks for a further attempt, and replies for `cause` if there is none.
async fn retry_or_give_up<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &CallState,
    cause: &'static str,
) -> NextStep {
    NextStep::End(match reserve_retry(traffic, caller, call).await {
        RetryGrant::Granted => return NextStep::Retry,
        RetryGrant::CallerLeft => CallEnd::CallerLeft,
        RetryGrant::Denied => give_up(traffic, caller, call, cause).await,
    })
}

/// Returns whether an answer counts as the endpoint's failure.
fn is_failure(answer: &BufferedAnswer) -> bool {
    answer.head.status >= 500 || (answer.head.is_success() && !answer.is_proven)
}

/// Returns whether callers take this status to mean that the request did not run. For a request
/// that may run at most once, such a status is not passed on: the endpoint did not state that the
/// request did not run, and the caller would send it again.
fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Passes a complete answer on to the caller.
///
/// A stream's run is its execution at one endpoint; the next run continues the stream at another
/// endpoint, after the last event that the caller has.
async fn pass_answer<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &mut CallState,
    answer: BufferedAnswer,
) -> CallEnd {
    call.may_have_run = true;
    if call.head_sent {
        return CallEnd::Cut("stream's next run failed");
    }
    if answer.head.is_success() && !answer.is_proven {
        return give_up(traffic, caller, call, "success without proof").await;
    }
    let at_most_once = call.route.repeats == Repeatability::AtMostOnce;
    if at_most_once && implies_not_run(answer.head.status) {
        return give_up(traffic, caller, call, "unproven refusal").await;
    }
    let BufferedAnswer {
        head,
        body,
        memory: _memory,
        ..
    } = answer;
    let mut out = caller_head(&head, ReplyFraming::Length(body.len()), call.keep);
    out.extend_from_slice(&body);
    drop(body);
    call.first_output = Some(Instant::now());
    match caller.send_while_reading(&out).await {
        Ok(()) => CallEnd::Answered(head.status),
        Err(_) => CallEnd::CallerLeft,
    }
}

/// Replies to a call for which no endpoint gave a usable answer.
async fn give_up<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &CallState,
    cause: &'static str,
) -> CallEnd {
    if call.head_sent {
        return CallEnd::Cut(cause);
    }
    let reply = if !call.may_have_run {
        let wait = Duration::from_millis(traffic.shared.config.retry_after_ms);
        OwnReply::with_retry_after(OwnStatus::Unavailable, spread(wait))
    } else if Instant::now() >= call.deadline {
        OwnReply::plain(OwnStatus::GatewayTimeout)
    } else {
        OwnReply::plain(OwnStatus::BadGateway)
    };
    send_own_reply(traffic, caller, call, reply, cause).await
}

/// Replies to a call that the decision core refused.
async fn reply_refused<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &CallState,
    cause: RefusalCause,
    retry_after: TimeSpan,
) -> CallEnd {
    if call.head_sent || call.may_have_run {
        return give_up(traffic, caller, call, cause.label()).await;
    }
    let status = match cause {
        RefusalCause::OverShare => OwnStatus::TooManyRequests,
        RefusalCause::NoEndpoint
        | RefusalCause::VersionGone
        | RefusalCause::VersionBusy
        | RefusalCause::VersionUnknown
        | RefusalCause::Paused
        | RefusalCause::Overload
        | RefusalCause::Quarantined
        | RefusalCause::PartQuarantined => OwnStatus::Unavailable,
    };
    let wait = match cause {
        // No later try can be served: a release doesn't bring a version back.
        RefusalCause::VersionGone => {
            let reply = OwnReply::plain(status);
            return send_own_reply(traffic, caller, call, reply, cause.label()).await;
        }
        // The end of the pause is known, so retries are spread over a short time right after it.
        RefusalCause::Paused => {
            let least = Duration::from_millis(traffic.shared.config.retry_after_ms);
            retry_after.as_duration() + least.mul_f64(rand::rng().random())
        }
        RefusalCause::NoEndpoint
        | RefusalCause::VersionBusy
        | RefusalCause::VersionUnknown
        | RefusalCause::Overload
        | RefusalCause::OverShare
        | RefusalCause::Quarantined
        | RefusalCause::PartQuarantined => spread(retry_after.as_duration()),
    };
    let reply = OwnReply::with_retry_after(status, wait);
    send_own_reply(traffic, caller, call, reply, cause.label()).await
}

/// A 503 reply: the request did not run and may be retried after exactly `wait_ms`, without jitter.
fn unavailable(wait_ms: u64) -> OwnReply {
    OwnReply::with_retry_after(OwnStatus::Unavailable, Duration::from_millis(wait_ms))
}

/// Adds random jitter of up to the same time again, so that callers refused together do not retry
/// together.
fn spread(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(1.0..2.0))
}

/// Sends the router's own reply to a call.
async fn send_own_reply<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &CallState,
    reply: OwnReply,
    cause: &'static str,
) -> CallEnd {
    let bytes = reply.bytes(&traffic.protocol, &call.facts.call_id, call.keep);
    match caller.send_while_reading(&bytes).await {
        Ok(()) => CallEnd::Own(reply.status, cause),
        Err(_) => CallEnd::CallerLeft,
    }
}

/// Replies to a call that is refused before an admission decision, and logs and counts the reply.
pub async fn refuse<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call_id: &str,
    reply: OwnReply,
    cause: &'static str,
    keep: bool,
) -> AfterCall {
    record_refusal(traffic, call_id, &reply, cause);
    let bytes = reply.bytes(&traffic.protocol, call_id, keep);
    match caller.send_while_reading(&bytes).await {
        Ok(()) if keep => AfterCall::Keep,
        _ => AfterCall::End,
    }
}

/// Logs and counts the reply to a call that is refused before an admission decision.
pub fn record_refusal<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call_id: &str,
    reply: &OwnReply,
    cause: &'static str,
) {
    let (status, _) = reply.status.line();
    let metrics = &traffic.shared.metrics;
    metrics.call("none", status, cause, Duration::ZERO);
    spdlog::info!("calls: id={call_id} status={status} cause=\"{cause}\"");
}

/// Rejects a call that a retry would not help, with a reply without `Retry-After`.
pub async fn reject_for_good<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call_id: &str,
    status: OwnStatus,
    cause: &'static str,
    keep: bool,
) -> AfterCall {
    let reply = OwnReply::plain(status);
    refuse(traffic, caller, call_id, reply, cause, keep).await
}
