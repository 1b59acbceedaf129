//! Makes one attempt at one endpoint: connects, sends the request and reads the head of the answer.
//!
//! The decision core hands out an [`AttemptTicket`] for each attempt that it has placed: it names
//! the endpoint, carries the figures of the placement, and is handed back when the attempt ends.

use std::io;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;

use super::call_state::CallState;
use super::decide::AttemptEnd;
use super::decide::AttemptTicket;
use super::decide::answered::AnswerEnd;
use super::decide::answered::AnswerEvidence;
use super::front::TrafficState;
use super::http::BodyDecoder;
use super::http::BodyFraming;
use super::http::ResponseHead;
use super::http::WireStream;
use super::place::read_or_hand_over;
use super::pool::reuse_limit;
use super::protocol::AttemptFacts;
use super::protocol::CallProtocol;
use super::relay;
use super::relay::BufferedAnswer;
use super::reply::endpoint_request;
use super::routes::EndpointEntry;
use super::skipped::SkippedAnswers;

/// Largest head of an endpoint's answer, in bytes: twice what callers may send, since endpoints
/// echo some of the request's fields.
const MAX_ANSWER_HEAD_BYTES: usize = 32_768;

/// Most bytes that are read from a caller while its call runs. Beyond that its connection is not
/// read, and a disconnect shows only when something is written.
const MAX_READ_AHEAD_BYTES: usize = 65_536;

/// The outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The whole answer was passed on to the caller, with this status.
    Delivered(u16, AnswerEnd),
    /// A complete answer that was not passed on yet.
    Answer(BufferedAnswer),
    /// The request did not run at this endpoint.
    NotRun(NotRunCause),
    /// The endpoint is silent, and this attempt at another one takes over.
    HandedOver(Box<Takeover>),
    /// The endpoint failed; the request may have run, and the caller may have part of a stream.
    Broken(&'static str),
    /// The caller closed its connection.
    CallerLeft,
    /// The caller's deadline or the route's timeout passed.
    TimeUp,
    /// The router ends before the endpoint has answered.
    RouterEnds,
}

/// An attempt that takes over from a silent endpoint: it is placed and connected.
#[derive(Debug)]
pub struct Takeover {
    /// The attempt.
    pub ticket: AttemptTicket,
    /// The connection to its endpoint.
    pub connection: WireStream,
}

/// Why a request is known not to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunCause {
    /// No connection was made, for example because connecting timed out.
    NotReached,
    /// The connection was refused: nothing listens at the address.
    Gone,
    /// The endpoint announced while the connection was made that it is leaving or wants a pause
    /// (either is named `Left`), so the request was not sent.
    Left,
    /// The caller closed its connection before the request was sent.
    CallerLeft,
    /// The endpoint refused the request.
    Refused,
    /// Another endpoint has the address.
    OtherEndpoint,
}

impl AttemptOutcome {
    /// Returns what an answer tells about its request, if the endpoint ran the request to its end
    /// and proves that it answered. Streams are passed on only with proof.
    #[must_use]
    pub fn proven_answer(&self) -> Option<AnswerEvidence> {
        let (status, end) = match self {
            Self::Delivered(status, end) => (*status, *end),
            Self::Answer(answer) if answer.is_proven => (answer.head.status, answer.end),
            Self::Answer(_)
            | Self::NotRun(_)
            | Self::HandedOver(_)
            | Self::Broken(_)
            | Self::CallerLeft
            | Self::TimeUp
            | Self::RouterEnds => return None,
        };
        Some(AnswerEvidence { status, end })
    }

    /// What the decision core records about the endpoint for this outcome.
    ///
    /// A caller that left, a time limit that passed or the router's end says nothing about the
    /// endpoint. Another endpoint at the address means that the intended one was not reached.
    #[must_use]
    pub fn end(&self) -> AttemptEnd {
        match self {
            Self::Answer(answer) if answer.head.status >= 500 => AttemptEnd::Failed,
            Self::Delivered(..) | Self::Answer(_) => AttemptEnd::Answered,
            Self::NotRun(NotRunCause::Refused) => AttemptEnd::Full,
            Self::NotRun(NotRunCause::Gone) => AttemptEnd::Gone,
            Self::NotRun(NotRunCause::NotReached | NotRunCause::OtherEndpoint) => {
                AttemptEnd::NotReached
            }
            Self::Broken(_) => AttemptEnd::Lost,
            Self::HandedOver(_) => AttemptEnd::Silent,
            Self::NotRun(NotRunCause::Left | NotRunCause::CallerLeft) => AttemptEnd::NotSent,
            Self::CallerLeft | Self::TimeUp | Self::RouterEnds => AttemptEnd::Abandoned,
        }
    }
}

/// Why waiting for an endpoint ended.
#[derive(Debug)]
pub enum Interruption {
    /// The caller closed its connection.
    CallerLeft,
    /// The deadline passed.
    TimeUp,
    /// The endpoint was silent for too long.
    Stalled,
    /// The endpoint registered again as a new process.
    Replaced,
}

impl Interruption {
    /// The outcome of an attempt that this interruption ended.
    #[must_use]
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            Self::CallerLeft => AttemptOutcome::CallerLeft,
            Self::TimeUp => AttemptOutcome::TimeUp,
            Self::Stalled => AttemptOutcome::Broken("stalled"),
            Self::Replaced => AttemptOutcome::Broken("endpoint started again"),
        }
    }
}

/// Resolves when the caller has closed its connection. Bytes that it sends meanwhile are buffered.
pub async fn caller_left(caller: &mut WireStream) {
    while caller.buffer.len() < MAX_READ_AHEAD_BYTES {
        match caller.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending::<()>().await;
}

/// Time limits of a wait for an endpoint's next bytes.
#[derive(Debug, Clone, Copy)]
pub struct WaitBounds {
    /// The call's deadline.
    pub deadline: Instant,
    /// From when on a silent endpoint may be given up for another one.
    pub stall: Instant,
}

/// Reads from the endpoint until bytes arrive, the caller leaves, a time limit passes or the
/// endpoint is replaced.
///
/// Guards against an endpoint that crashes behind a network cut: its connection stays open and
/// silent, and the caller would wait until its deadline for an answer that never comes. A
/// registration of the endpoint with a later start proves that the old process has ended; bytes
/// that have already arrived are read first.
///
/// Such bytes are also read after a time limit has passed, but only for a short time, see
/// [`OverdueReads`](super::http::OverdueReads).
///
/// # Errors
/// The reason if the wait ended without a read.
pub async fn read_or_interrupt(
    endpoint: &mut WireStream,
    caller: &mut WireStream,
    ticket: &AttemptTicket,
    bounds: WaitBounds,
) -> Result<io::Result<usize>, Interruption> {
    let WaitBounds { deadline, stall } = bounds;
    let until = deadline.min(stall);
    let interruption = if stall < deadline {
        Interruption::Stalled
    } else {
        Interruption::TimeUp
    };
    // Inside the select, the end of a turn would count as a wait for bytes.
    endpoint.end_turn().await;
    if !endpoint.overdue.allows(Instant::now(), until) {
        return Err(interruption);
    }
    tokio::select! {
        biased;
        read = endpoint.fill() => Ok(read),
        () = caller_left(caller) => Err(Interruption::CallerLeft),
        () = sleep_until(until) => Err(interruption),
        () = ticket.replaced() => Err(Interruption::Replaced),
    }
}

/// The head of an answer and the state of the connection that it came on.
#[derive(Debug)]
pub struct AnswerStart {
    /// The answer's head.
    pub head: ResponseHead,
    /// Decodes the body and finds its end.
    pub decoder: BodyDecoder,
    /// Whether the endpoint proves that it made the answer, see
    /// [`is_proven`](super::protocol::AnswerFacts::is_proven).
    pub is_proven: bool,
    /// How the end of the answer is recognised, as far as its framing tells.
    pub end: AnswerEnd,
    /// How long the connection may be idle afterwards; `None` if it can't be reused.
    pub reuse: Option<Duration>,
}

/// Takes an idle connection to the endpoint from the pool, or opens a new one.
///
/// # Errors
/// As [`open_connection`].
pub async fn connect_endpoint<P: CallProtocol>(
    traffic: &TrafficState<P>,
    ticket: &AttemptTicket,
) -> Result<WireStream, NotRunCause> {
    match traffic.pool.take(&ticket.entry.life()) {
        Some(stream) => Ok(stream),
        None => open_connection(traffic, &ticket.entry).await,
    }
}

/// Opens a new connection to an endpoint.
///
/// # Errors
/// [`NotRunCause::Gone`] if it is refused, [`NotRunCause::NotReached`] if it fails otherwise.
pub async fn open_connection<P: CallProtocol>(
    traffic: &TrafficState<P>,
    entry: &EndpointEntry,
) -> Result<WireStream, NotRunCause> {
    let shared = &traffic.shared;
    shared.metrics.endpoint_connection();
    let limit = Duration::from_millis(shared.config.connect_timeout_ms);
    let (key, address) = (&entry.key, entry.address);
    let stream = match WireStream::connect(address, limit).await {
        Ok(stream) => stream,
        Err(fault) => {
            spdlog::info!("endpoint: key={key} address={address} step=connect fault=\"{fault}\"");
            return Err(match fault.kind() {
                io::ErrorKind::ConnectionRefused => NotRunCause::Gone,
                _ => NotRunCause::NotReached,
            });
        }
    };
    Ok(stream.metered(&shared.link))
}

/// Returns whether the endpoint still takes work. It is checked just before the request is sent,
/// since the endpoint may have announced that it leaves or wants a pause while the connection was
/// made.
pub fn still_takes_work<P: CallProtocol>(
    traffic: &TrafficState<P>,
    ticket: &AttemptTicket,
) -> bool {
    let (shared, entry) = (&traffic.shared, &ticket.entry);
    let takes_work = shared
        .core()
        .endpoints
        .takes_work(shared.clock.now(), entry);
    if !takes_work {
        spdlog::info!(
            "endpoint: key={} step=send it takes no work any more",
            entry.key
        );
    }
    takes_work
}

/// Sends the call to one endpoint, on this connection or one of its own, and reads its answer. A
/// stream is passed on as it arrives; any other answer is returned whole, so that the caller can
/// still get another endpoint's instead.
pub async fn run_attempt<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    call: &mut CallState,
    ticket: &mut AttemptTicket,
    connection: Option<WireStream>,
) -> AttemptOutcome {
    let connected = match connection {
        Some(stream) => Ok(stream),
        None => connect_endpoint(traffic, ticket).await,
    };
    let mut endpoint = match connected {
        Ok(stream) => stream,
        Err(cause) => return AttemptOutcome::NotRun(cause),
    };
    if !still_takes_work(traffic, ticket) {
        return AttemptOutcome::NotRun(NotRunCause::Left);
    }
    // A router that lags reads requests whose callers have already left, and an endpoint would work
    // on them in vain. This is checked last, since connecting takes time as well.
    if caller.peer_has_closed() {
        return AttemptOutcome::NotRun(NotRunCause::CallerLeft);
    }
    let bytes = endpoint_request(
        &traffic.protocol,
        &call.head,
        &call.body,
        &AttemptFacts {
            endpoint: &ticket.entry.key,
            team: call.team.as_ref().map(|team| team.0.as_str()),
            time_left: call.deadline.saturating_duration_since(Instant::now()),
            last_event: call.last_event(),
            fetch_from: ticket.fetch_from,
        },
    );
    call.sends += 1;
    if let Some(ended) = write_request(&mut endpoint, caller, call.deadline, &bytes).await {
        return ended;
    }
    let wait = AnswerWait {
        traffic,
        stall: Instant::now() + call.silence_limit(ticket),
        skipped: SkippedAnswers::new(traffic.shared.config.max_answer_bytes),
        endpoint: &mut endpoint,
        caller: &mut *caller,
        call,
        ticket,
    };
    let start = match wait.read_start().await {
        Ok(start) => start,
        Err(outcome) => return outcome,
    };
    relay::pass_on(traffic, caller, call, ticket, endpoint, start).await
}

/// Writes the request. Returns the outcome if that ended the attempt.
async fn write_request(
    endpoint: &mut WireStream,
    caller: &mut WireStream,
    deadline: Instant,
    bytes: &[u8],
) -> Option<AttemptOutcome> {
    tokio::select! {
        biased;
        written = endpoint.send_while_reading(bytes) => match written {
            // An endpoint may refuse a long request before it has read it and then close; its
            // answer is in the buffer.
            Err(_) if endpoint.buffer.is_empty() => Some(AttemptOutcome::Broken("write failed")),
            _ => None,
        },
        () = caller_left(caller) => Some(AttemptOutcome::CallerLeft),
        () = sleep_until(deadline) => Some(AttemptOutcome::TimeUp),
    }
}

/// A request that was sent and waits for the head of its answer.
struct AnswerWait<'a, P> {
    traffic: &'a TrafficState<P>,
    endpoint: &'a mut WireStream,
    caller: &'a mut WireStream,
    call: &'a CallState,
    ticket: &'a AttemptTicket,
    /// When silence of the endpoint makes another one take over.
    stall: Instant,
    skipped: SkippedAnswers,
}

impl<P: CallProtocol> AnswerWait<'_, P> {
    /// Reads answers' heads until one belongs to this call, and skips all others.
    async fn read_start(mut self) -> Result<AnswerStart, AttemptOutcome> {
        let shared = &self.traffic.shared;
        let id = &self.call.facts.call_id;
        loop {
            let head = self.read_head().await?;
            if (100..200).contains(&head.status) {
                self.count_skipped()?;
                continue;
            }
            let to_head = &self.call.head.method[..] == b"HEAD";
            let Ok(framing) = BodyFraming::of_response(&head, to_head) else {
                return Err(AttemptOutcome::Broken("ambiguous length"));
            };
            let facts = self.traffic.protocol.answer_facts(&head, id);
            shared.apply_endpoint_announcement(&self.ticket.entry, facts.announcement);
            let mut decoder = BodyDecoder::new(framing);
            if !facts.is_ours {
                // An endpoint may answer an earlier request twice. The extra answer is skipped by
                // its own framing; this call's answer follows it.
                let key = &self.ticket.entry.key;
                spdlog::warn!("endpoint: key={key} call={id} extra answer dropped");
                self.count_skipped()?;
                self.skip_body(&mut decoder).await?;
                continue;
            }
            if facts.not_run {
                return Err(AttemptOutcome::NotRun(if head.status == 421 {
                    NotRunCause::OtherEndpoint
                } else {
                    NotRunCause::Refused
                }));
            }
            let default_limit = Duration::from_millis(shared.config.idle_reuse_ms);
            let keeps = framing != BodyFraming::UntilClose;
            return Ok(AnswerStart {
                reuse: reuse_limit(&head, default_limit).filter(|_| keeps),
                is_proven: facts.is_proven,
                end: match framing {
                    BodyFraming::Length(_) | BodyFraming::Chunked => AnswerEnd::Framed,
                    BodyFraming::UntilClose => AnswerEnd::Closed,
                },
                head,
                decoder,
            });
        }
    }

    fn count_skipped(&mut self) -> Result<(), AttemptOutcome> {
        let counted = self.skipped.add_answer();
        counted.map_err(AttemptOutcome::Broken)
    }

    async fn read_head(&mut self) -> Result<ResponseHead, AttemptOutcome> {
        loop {
            match ResponseHead::take(&mut self.endpoint.buffer, MAX_ANSWER_HEAD_BYTES) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => self.read_more().await?,
                Err(_) => return Err(AttemptOutcome::Broken("not an answer")),
            }
        }
    }

    /// Reads and drops the body of an answer that does not belong to this call.
    async fn skip_body(&mut self, decoder: &mut BodyDecoder) -> Result<(), AttemptOutcome> {
        let mut dropped = bytes::BytesMut::new();
        loop {
            let before = self.endpoint.buffer.len();
            if decoder
                .decode(&mut self.endpoint.buffer, &mut dropped)
                .is_err()
            {
                return Err(AttemptOutcome::Broken("not an answer"));
            }
            dropped.clear();
            let taken = before - self.endpoint.buffer.len();
            let counted = self.skipped.add_bytes(taken);
            counted.map_err(AttemptOutcome::Broken)?;
            if decoder.is_complete() {
                return Ok(());
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> Result<(), AttemptOutcome> {
        let read = read_or_hand_over(
            self.traffic,
            self.caller,
            self.call,
            self.ticket,
            self.endpoint,
            self.stall,
        );
        match read.await? {
            Ok(0) => Err(AttemptOutcome::Broken("closed before its answer")),
            Ok(_) => Ok(()),
            Err(_) => Err(AttemptOutcome::Broken("reset before its answer")),
        }
    }
}
