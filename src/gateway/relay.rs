//! Passes the body of an answer on to the caller.
//!
//! Plain answers are passed on when they are complete. Streams are passed on in whole events; the
//! events of one read from the endpoint go to the caller in one write.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::attempt::AnswerStart;
use super::attempt::AttemptOutcome;
use super::attempt::WaitBounds;
use super::attempt::read_or_interrupt;
use super::call_state::CallState;
use super::call_state::StreamOrigin;
use super::decide::AttemptTicket;
use super::decide::answer_memory::MemoryPart;
use super::decide::answered::AnswerEnd;
use super::end_check::ProcessStatus;
use super::end_check::find_process_status;
use super::end_check::find_process_status_early;
use super::front::TrafficState;
use super::http::EventSplitter;
use super::http::FramingFault;
use super::http::ResponseHead;
use super::http::WireStream;
use super::place::read_or_hand_over;
use super::protocol::CallProtocol;
use super::reply::LAST_CHUNK;
use super::reply::ReplyFraming;
use super::reply::caller_head;
use super::reply::push_chunk;
use super::resume::stream_number;

/// Silence in the middle of a stream after which another endpoint takes over if one can. Callers give
/// up a stream after a silence of 2 s or more.
const STREAM_STALL: Duration = Duration::from_millis(1_500);

/// A complete answer that is not a stream.
#[derive(Debug)]
pub struct BufferedAnswer {
    /// The answer's head.
    pub head: ResponseHead,
    /// The answer's body.
    pub body: Bytes,
    /// Whether the endpoint proves that it made the answer, see
    /// [`is_proven`](super::protocol::AnswerFacts::is_proven).
    pub is_proven: bool,
    /// How its end was recognised.
    pub end: AnswerEnd,
    /// The memory that the body uses.
    pub memory: MemoryPart,
}

/// Relays an answer: a successful answer of a streaming route is passed on as it arrives, any other
/// answer is collected and returned. A connection that can be reused goes back to the pool.
pub async fn pass_on<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &mut CallState,
    ticket: &mut AttemptTicket,
    mut endpoint: WireStream,
    mut start: AnswerStart,
) -> AttemptOutcome {
    let outcome = if call.route.streams && start.head.is_success() {
        if !start.is_proven {
            return AttemptOutcome::Broken("success without proof");
        }
        relay_stream(traffic, caller, call, ticket, &mut endpoint, &mut start).await
    } else {
        collect_answer(traffic, caller, call, ticket, &mut endpoint, &mut start).await
    };
    let done = matches!(
        outcome,
        AttemptOutcome::Delivered(..) | AttemptOutcome::Answer(_)
    );
    // Bytes after a complete answer belong to no request, so such a connection is dropped.
    if let Some(limit) = start.reuse
        && done
        && start.decoder.is_complete()
        && endpoint.buffer.is_empty()
    {
        traffic.pool.put(&ticket.entry.life(), endpoint, limit);
    }
    outcome
}

/// Collects an answer that is not a stream.
async fn collect_answer<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &CallState,
    ticket: &AttemptTicket,
    endpoint: &mut WireStream,
    start: &mut AnswerStart,
) -> AttemptOutcome {
    let mut body = BytesMut::new();
    let mut memory = MemoryPart::new(&traffic.answers);
    let bounds = WaitBounds {
        deadline: call.deadline,
        stall: call.deadline,
    };
    loop {
        if start
            .decoder
            .decode(&mut endpoint.buffer, &mut body)
            .is_err()
        {
            return AttemptOutcome::Broken("malformed body");
        }
        if body.len() > traffic.shared.config.max_answer_bytes {
            return AttemptOutcome::Broken("answer is too large");
        }
        if !memory.grow_to(body.capacity()) {
            return AttemptOutcome::Broken("no memory for answers");
        }
        if start.decoder.is_complete() {
            if start.end == AnswerEnd::Closed {
                match end_of_closed_answer(traffic, call, ticket).await {
                    Ok(end) => start.end = end,
                    Err(outcome) => return outcome,
                }
            }
            return AttemptOutcome::Answer(BufferedAnswer {
                head: start.head.clone(),
                body: body.freeze(),
                is_proven: start.is_proven,
                end: start.end,
                memory,
            });
        }
        match read_or_interrupt(endpoint, caller, ticket, bounds).await {
            Ok(Ok(0)) if start.decoder.end_of_stream() => {}
            Ok(Ok(0)) => return AttemptOutcome::Broken("answer was cut"),
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return AttemptOutcome::Broken("answer was reset"),
            Err(interruption) => return interruption.outcome(),
        }
    }
}

/// Finds out whether a plain answer that ended with its connection is complete: the end of the
/// endpoint's process closes its connections as well. One that can't be confirmed doesn't count as
/// complete, since with a length of its own it would look whole.
///
/// # Errors
/// The outcome if the answer does not count as complete.
async fn end_of_closed_answer<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &CallState,
    ticket: &AttemptTicket,
) -> Result<AnswerEnd, AttemptOutcome> {
    let status = find_process_status_early(traffic, ticket);
    match timeout_at(call.deadline, status).await {
        Ok(ProcessStatus::Running) => Ok(AnswerEnd::Survived),
        Ok(ProcessStatus::Ended) => Err(AttemptOutcome::Broken("answer ended with its endpoint")),
        Ok(ProcessStatus::Unknown) => Err(AttemptOutcome::Broken("end of answer not confirmed")),
        Err(_) => Err(AttemptOutcome::TimeUp),
    }
}

/// Passes a stream on to the caller, event by event.
async fn relay_stream<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &mut CallState,
    ticket: &mut AttemptTicket,
    endpoint: &mut WireStream,
    start: &mut AnswerStart,
) -> AttemptOutcome {
    call.splitter.restart();
    let mut has_output = false;
    loop {
        let input = call.splitter.input();
        let decoded = start.decoder.decode(&mut endpoint.buffer, input);
        let before = call.last_event();
        let mut events = call.splitter.take();
        if !events.is_empty() && !has_output {
            has_output = true;
            record_stream_part(traffic, call, ticket, before);
            let now = traffic.shared.clock.now();
            let mut core = traffic.shared.core();
            core.first_output(now, ticket);
            if !call.head_sent {
                let software = &ticket.entry.software;
                core.origins
                    .begin(now, stream_number(call), &call.service, software);
            }
        }
        let ends = start.decoder.is_complete();
        if let Some(cause) = stream_fault(&call.splitter, decoded, ends) {
            // The next attempt goes on after the events that were taken, so the caller must have them.
            let delivered = deliver(caller, call, &start.head, &events, false).await;
            return match delivered {
                Ok(()) => AttemptOutcome::Broken(cause),
                Err(_) => AttemptOutcome::CallerLeft,
            };
        }
        // The caller has the last event before the endpoint is looked at, but not yet the end.
        if ends && start.end == AnswerEnd::Closed {
            if deliver(caller, call, &start.head, &events, false)
                .await
                .is_err()
            {
                return AttemptOutcome::CallerLeft;
            }
            events.clear();
            match end_of_closed_stream(traffic, call, ticket, has_output).await {
                Ok(end) => start.end = end,
                Err(cause) => return AttemptOutcome::Broken(cause),
            }
        }
        if deliver(caller, call, &start.head, &events, ends)
            .await
            .is_err()
        {
            return AttemptOutcome::CallerLeft;
        }
        if ends {
            return AttemptOutcome::Delivered(start.head.status, start.end);
        }
        let silence_limit = if has_output {
            STREAM_STALL
        } else {
            call.silence_limit(ticket)
        };
        let stall = Instant::now() + silence_limit;
        match read_or_hand_over(traffic, caller, call, ticket, endpoint, stall).await {
            Ok(Ok(0)) if start.decoder.end_of_stream() => {}
            Ok(Ok(0)) => return AttemptOutcome::Broken("stream was cut"),
            Ok(Ok(_)) => ticket.record_activity(traffic.shared.clock.now()),
            Ok(Err(_)) => return AttemptOutcome::Broken("stream was reset"),
            Err(outcome) => return outcome,
        }
    }
}

/// Returns why an endpoint's stream can't go on after what was decoded of it, if it can't; `ends` if
/// its framing says that it is complete.
fn stream_fault(
    splitter: &EventSplitter,
    decoded: Result<(), FramingFault>,
    ends: bool,
) -> Option<&'static str> {
    if decoded.is_err() {
        return Some("malformed stream");
    }
    if splitter.is_too_large() {
        return Some("event is too large");
    }
    (ends && splitter.is_inside_event()).then_some("stream ended inside an event")
}

/// Finds out whether a stream that ended with its connection is complete: the end of the endpoint's
/// process closes its connections as well, also between two events.
///
/// # Errors
/// The cause if the stream was broken off.
async fn end_of_closed_stream<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &CallState,
    ticket: &AttemptTicket,
    has_output: bool,
) -> Result<AnswerEnd, &'static str> {
    if !has_output && call.last_event().is_none() {
        return Err("stream ended without an event");
    }
    match find_process_status(traffic, ticket).await {
        ProcessStatus::Running => Ok(AnswerEnd::Survived),
        ProcessStatus::Ended => Err("stream ended with its endpoint"),
        ProcessStatus::Unknown => Ok(AnswerEnd::Closed),
    }
}

/// Records which software version the stream begins at, or which one it goes on at; `before` is the
/// last event that the caller had.
fn record_stream_part<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &mut CallState,
    ticket: &AttemptTicket,
    before: Option<u64>,
) {
    let software = &ticket.entry.software;
    let resumption = match (call.head_sent, call.facts.last_event) {
        (false, None) => {
            call.origin = StreamOrigin::At(software.clone());
            return;
        }
        (true, _) => "answer",
        (false, Some(_)) => "caller",
    };
    let comparison = match call.origin.known() {
        Some(began) if began == software => "same",
        Some(_) => "other",
        None => "unknown",
    };
    traffic
        .shared
        .metrics
        .resumed_stream(resumption, comparison);
    spdlog::info!(
        "calls: id={} stream goes on by={resumption} resumes={} last_event={} began_at={} \
         software={} endpoint={}",
        call.facts.call_id,
        call.facts.resumes.as_deref().unwrap_or("-"),
        before.unwrap_or_default(),
        call.origin,
        software,
        ticket.entry.key,
    );
    if call.origin == StreamOrigin::None {
        call.origin = StreamOrigin::At(software.clone());
    }
}

/// Writes events to the caller, with the head before the first event and the last chunk after the
/// last one.
///
/// The head is held back until the first event: if the endpoint fails before that, another endpoint
/// can still answer with a head of its own.
///
/// Guards against a caller that reads nothing: the call would go on after its deadline.
async fn deliver(
    caller: &mut WireStream,
    call: &mut CallState,
    head: &ResponseHead,
    events: &[u8],
    ends: bool,
) -> io::Result<()> {
    if events.is_empty() && !ends {
        return Ok(());
    }
    let mut out = Vec::with_capacity(events.len() + 512);
    if !call.head_sent {
        call.head_sent = true;
        caller.disable_nagle();
        call.first_output = Some(Instant::now());
        out.extend_from_slice(&caller_head(head, ReplyFraming::Chunked, call.keep));
    }
    if !events.is_empty() {
        call.last_output = Some(Instant::now());
        push_chunk(&mut out, events);
    }
    if ends {
        out.extend_from_slice(LAST_CHUNK);
    }
    match timeout_at(call.deadline, caller.send_while_reading(&out)).await {
        Ok(sent) => sent,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
