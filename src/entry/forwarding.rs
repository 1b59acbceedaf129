//! Forwarding of requests to peers, and answering of requests that peers forward here.

use std::sync::Arc;

use bytes::Bytes;
use error_stack::Report;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use tokio_util::sync::CancellationToken;

use crate::core::action::RefusalReason;
use crate::core::action::RunOutcome;
use crate::core::event::RepeatRule;
use crate::core::event::RequestFacts;
use crate::core::event::TicketName;
use crate::endpoint::body::OutgoingBody;
use crate::peers::error::PeerError;
use crate::peers::error::PeerStep;
use crate::peers::error::one_line;
use crate::peers::forward::ForwardAnswer;
use crate::peers::forward::ForwardSink;
use crate::peers::forward::ForwardTarget;
use crate::peers::forward_server::AnswerClosed;
use crate::peers::forward_server::BodyPiece;
use crate::peers::forward_server::ForwardedCall;
use crate::units::HostName;
use crate::units::TeamId;
use crate::units::TimeSpan;
use crate::wire::forward::ForwardAnswerHead;
use crate::wire::forward::ForwardHead;
use crate::wire::forward::ForwardHeader;

use super::admit::answer;
use super::answers::AnswerHead;
use super::call::BodyFault;
use super::call::CallAnswer;
use super::call::CallBody;
use super::call::CallOrigin;
use super::call::ForwardedFacts;
use super::call::IncomingCall;
use super::caller::CallerSide;
use super::context::EntryContext;
use super::headers;
use super::refusal::CallFault;
use super::task::StoredCall;

/// Forwards one request to a peer.
pub struct Forwarding<'a> {
    /// State shared by all requests.
    pub context: &'a EntryContext,
    /// The request's facts, as passed to the core.
    pub facts: &'a RequestFacts,
    /// The call.
    pub call: &'a mut StoredCall,
    /// The caller that gets the answer.
    pub caller: &'a mut CallerSide,
    /// True if an earlier attempt from this router may have run the request.
    pub may_have_run: bool,
}

impl Forwarding<'_> {
    /// Forwards the request and passes the peer's answer on to the caller. Ends early if the
    /// caller disconnects.
    pub async fn run(mut self, host: HostName) {
        let (request, team) = (self.facts.request, self.facts.team);
        spdlog::debug!("entry: request {request} team {team} forwarded to {host}.");
        let left = self.caller.left();
        let work = self.pass_on(host);
        let passed = left.run_until_cancelled(work).await;
        if let Some(Err(fault)) = passed {
            spdlog::info!("entry: request {request} team {team} forwarding failed: {fault:?}.");
            self.caller.fail(fault);
        }
    }

    async fn pass_on(&mut self, host: HostName) -> Result<(), CallFault> {
        let (sink, mut answer) = self.open(host).await?;
        let body = self.call.body.take().ok_or(self.peer_lost(true))?;
        tokio::spawn(send_body(sink, body));
        let head = answer.head().await.map_err(|_| self.peer_lost(true))?;
        let head = answer_head(&head).ok_or(self.peer_lost(true))?;
        self.caller.begin(self.with_corrected_outcome(head));
        while let Some(piece) = next_piece(&mut answer).await? {
            self.caller.push(piece).await;
        }
        self.caller.end();
        Ok(())
    }

    /// Opens the forwarding connection. The peer's address is looked up in the core's members.
    async fn open(&mut self, host: HostName) -> Result<(ForwardSink, ForwardAnswer), CallFault> {
        let client = self
            .context
            .forwards
            .as_ref()
            .ok_or(self.peer_lost(false))?;
        let wanted = host.clone();
        let address = self
            .context
            .control
            .inspect(move |state| state.members.get(&wanted).map(|row| row.address.clone()))
            .await
            .flatten()
            .ok_or(self.peer_lost(false))?;
        let target = ForwardTarget {
            host,
            address,
            incarnation: self.ticket().map(|ticket| ticket.minter),
        };
        client.open(&target, self.head()).await.map_err(|report| {
            spdlog::info!("entry: {}.", one_line(&report));
            self.open_fault(&report)
        })
    }

    fn open_fault(&self, report: &Report<PeerError>) -> CallFault {
        let step = report.current_context().step;
        if step == PeerStep::Identity && self.ticket().is_some() {
            return CallFault::Refused {
                reason: RefusalReason::TicketGone,
                outcome: RunOutcome::Unknown,
                retry_after: TimeSpan(0),
            };
        }
        self.peer_lost(step == PeerStep::Write)
    }

    /// Returns the fault for a peer that can't be reached. A request with a ticket may have run on
    /// an earlier try, so only the router that minted the ticket can report "not run".
    fn peer_lost(&self, sent: bool) -> CallFault {
        let outcome = match (sent || self.may_have_run, self.ticket()) {
            (false, None) => RunOutcome::NotRun,
            _ => RunOutcome::Unknown,
        };
        CallFault::PeerLost(outcome)
    }

    /// Changes the outcome "not run" to "unknown" if an attempt from this router may have run the
    /// request: the peer that refuses it doesn't know of such attempts.
    fn with_corrected_outcome(&self, mut head: AnswerHead) -> AnswerHead {
        let not_run = headers::outcome_value(RunOutcome::NotRun);
        if self.may_have_run && head.headers.get(headers::OUTCOME) == Some(&not_run) {
            let unknown = headers::outcome_value(RunOutcome::Unknown);
            head.headers.insert(headers::OUTCOME, unknown);
        }
        head
    }

    fn ticket(&self) -> Option<TicketName> {
        match self.facts.repeat {
            RepeatRule::Repeatable => None,
            RepeatRule::Unrepeatable(ticket) => ticket,
        }
    }

    fn head(&self) -> ForwardHead {
        let mut fields = self.call.headers.clone();
        headers::strip_connection(&mut fields);
        // The peer gets the team in the head. The key is not passed on.
        fields.remove(header::AUTHORIZATION);
        let left = self.facts.deadline.since(self.context.control.clock.now());
        let ticket = self.ticket();
        ForwardHead {
            method: self.call.method.to_string(),
            path: self.call.target.to_string(),
            headers: wire_headers(&fields),
            team: self.facts.team.0,
            kind: self.facts.kind.to_string(),
            deadline_ms: left.as_millis(),
            ticket_issuer: ticket.map_or(0, |ticket| ticket.minter.0),
            ticket_number: ticket.map_or(0, |ticket| ticket.number),
        }
    }
}

async fn send_body(mut sink: ForwardSink, mut body: OutgoingBody) {
    while let Some(frame) = body.frame().await {
        // If the body broke off, the sink is dropped unfinished, which the peer treats as the
        // caller disconnecting.
        let Some(piece) = frame.ok().and_then(|frame| frame.into_data().ok()) else {
            return;
        };
        if sink.send(piece).await.is_err() {
            return;
        }
    }
    let _ = sink.finish().await;
}

async fn next_piece(answer: &mut ForwardAnswer) -> Result<Option<Bytes>, CallFault> {
    let piece = answer.next_piece().await;
    piece.map_err(|_| CallFault::PeerLost(RunOutcome::Unknown))
}

fn answer_head(head: &ForwardAnswerHead) -> Option<AnswerHead> {
    let status = u16::try_from(head.status).ok()?;
    Some(AnswerHead {
        status: StatusCode::from_u16(status).ok()?,
        headers: http_headers(&head.headers),
    })
}

fn wire_headers(fields: &HeaderMap) -> Vec<ForwardHeader> {
    fields
        .iter()
        .map(|(name, value)| ForwardHeader {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn http_headers(fields: &[ForwardHeader]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

/// Answers a request that a peer forwarded. Ends early if its caller disconnects.
pub async fn serve_forwarded(context: Arc<EntryContext>, call: ForwardedCall) {
    let ForwardedCall {
        remote,
        head,
        body,
        answer: sender,
        cancelled,
    } = call;
    let Some(call) = incoming(&head, forwarded_body(body)) else {
        spdlog::warn!(
            "entry: {} forwarded a request with a malformed head.",
            remote.host
        );
        return;
    };
    let work = async {
        let answered = answer(&context, call).await;
        let (head, mut body) = wire_answer(answered);
        sender.head(head).await?;
        while let Some(chunk) = body.next().await {
            // If the answer is cut, the sender is dropped unfinished, so the peer sees the cut too.
            let Ok(chunk) = chunk else {
                return Err(AnswerClosed);
            };
            sender.send(chunk).await?;
        }
        sender.finish().await
    };
    let _ = cancelled.run_until_cancelled(work).await;
}

fn incoming(head: &ForwardHead, body: CallBody) -> Option<IncomingCall> {
    let forwarded_facts = ForwardedFacts {
        team: TeamId(head.team),
        kind: head.kind.parse().ok()?,
        time_left: TimeSpan::from_millis(head.deadline_ms.min(u64::from(u32::MAX))),
    };
    Some(IncomingCall {
        method: head.method.parse().ok()?,
        target: head.path.parse().ok()?,
        headers: http_headers(&head.headers),
        body,
        origin: CallOrigin::Peer(forwarded_facts),
        abort: CancellationToken::new(),
    })
}

fn forwarded_body(pieces: tokio::sync::mpsc::Receiver<BodyPiece>) -> CallBody {
    Box::pin(stream::unfold(Some(pieces), |state| async move {
        let mut pieces = state?;
        match pieces.recv().await {
            Some(BodyPiece::Bytes(piece)) => Some((Ok(piece), Some(pieces))),
            Some(BodyPiece::Whole) => None,
            None => Some((Err(BodyFault), None)),
        }
    }))
}

fn wire_answer(answered: CallAnswer) -> (ForwardAnswerHead, super::call::AnswerBody) {
    let (parts, body) = answered.into_parts();
    let head = ForwardAnswerHead {
        status: u32::from(parts.status.as_u16()),
        headers: wire_headers(&parts.headers),
    };
    (head, body)
}
