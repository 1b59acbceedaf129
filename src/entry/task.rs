//! The task of one request: carries out the core's commands for the request and reports the
//! results to the core.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::core::action::RefusalReason;
use crate::core::action::RunOutcome;
use crate::core::event::AttemptOutcome;
use crate::core::event::CoreEvent;
use crate::core::event::RepeatRule;
use crate::core::event::RequestFacts;
use crate::daemon::message::DispatchOrder;
use crate::daemon::message::RequestCommand;
use crate::endpoint::attempt::AnswerShape;
use crate::endpoint::attempt::AttemptPlan;
use crate::endpoint::attempt::AttemptRun;
use crate::endpoint::body::OutgoingBody;
use crate::units::ByteSize;
use crate::units::HostName;
use crate::units::RequestId;
use crate::units::ServiceUnits;
use crate::units::TimeSpan;

use super::admit::endpoint_headers;
use super::call::CallBody;
use super::caller::CallerSide;
use super::context::EntryContext;
use super::forwarding::Forwarding;
use super::refusal::CallFault;

/// The body of a call, as a source for attempts.
pub enum BodySource {
    /// Buffered in full; can be sent any number of times.
    Kept(Bytes),
    /// Streamed through; can be sent by one attempt only.
    Streamed {
        /// The part that was read, from which resends are recognised.
        kept: Bytes,
        /// The whole body, until an attempt takes it.
        body: Option<OutgoingBody>,
        /// Set if the body broke off, paused too long or was too large.
        broken: Arc<AtomicBool>,
    },
}

impl BodySource {
    /// Creates a body whose beginning was read and whose rest is streamed.
    #[must_use]
    pub fn streamed(kept: Bytes, rest: CallBody, length: Option<u64>) -> Self {
        let broken = Arc::<AtomicBool>::default();
        let body = OutgoingBody::streamed(kept.clone(), rest, length, Arc::clone(&broken));
        Self::Streamed {
            kept,
            body: Some(body),
            broken,
        }
    }

    /// Returns true if the body broke off, paused too long or was too large.
    #[must_use]
    pub fn has_broken(&self) -> bool {
        match self {
            Self::Kept(_) => false,
            Self::Streamed { broken, .. } => broken.load(Ordering::Relaxed),
        }
    }

    /// Returns the buffered part.
    #[must_use]
    pub fn kept(&self) -> &[u8] {
        match self {
            Self::Kept(kept) | Self::Streamed { kept, .. } => kept,
        }
    }

    /// Takes the body for an attempt; returns `None` if an earlier attempt has consumed it.
    pub fn take(&mut self) -> Option<OutgoingBody> {
        match self {
            Self::Kept(kept) => Some(OutgoingBody::whole(kept.clone())),
            Self::Streamed { body, .. } => body.take(),
        }
    }

    /// Puts back a body of which no byte was read.
    pub fn put_back(&mut self, unread: OutgoingBody) {
        if let Self::Streamed { body, .. } = self {
            *body = Some(unread);
        }
    }
}

/// A validated call, from which attempts and forwarded requests are built.
pub struct StoredCall {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: BodySource,
    /// The expected form of the answer.
    pub shape: AnswerShape,
}

/// A request that is not yet running.
pub struct RequestTask {
    /// State shared by all requests.
    pub context: Arc<EntryContext>,
    /// The request's facts, as passed to the core.
    pub facts: RequestFacts,
    /// The call.
    pub call: StoredCall,
}

struct RunningTask {
    context: Arc<EntryContext>,
    facts: RequestFacts,
    call: StoredCall,
    caller: CallerSide,
    commands: UnboundedReceiver<RequestCommand>,
    disconnect_reported: bool,
    may_have_run: bool,
    arrived: Instant,
}

impl RequestTask {
    /// Submits the request to the core and carries out the core's commands until the request ends.
    pub async fn run(self, caller: CallerSide) {
        let commands = self.context.control.arrived(self.facts.clone());
        let mut running = RunningTask {
            context: self.context,
            facts: self.facts,
            call: self.call,
            caller,
            commands,
            disconnect_reported: false,
            may_have_run: false,
            arrived: Instant::now(),
        };
        while let Some(command) = running.next_command().await {
            if running.handle_command(command).await {
                return;
            }
        }
    }
}

impl RunningTask {
    /// Returns the next command, or `None` if the core has dropped the request. Meanwhile reports
    /// to the core if the caller disconnects.
    async fn next_command(&mut self) -> Option<RequestCommand> {
        let left = self.caller.left();
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv() => return command,
                () = left.cancelled(), if !self.disconnect_reported => self.report_disconnect(),
            }
        }
    }

    fn report_disconnect(&mut self) {
        self.disconnect_reported = true;
        self.context
            .control
            .send_event(CoreEvent::CallerLeft(self.facts.request));
    }

    /// Carries out a command; returns true if it was the request's last one.
    async fn handle_command(&mut self, command: RequestCommand) -> bool {
        match command {
            RequestCommand::Dispatch(order) => {
                if let Some(next) = self.attempt(order).await {
                    return Box::pin(self.handle_command(next)).await;
                }
                return false;
            }
            RequestCommand::Cancel(_) => return false,
            RequestCommand::Complete => {
                self.caller.end();
                self.count(None);
            }
            RequestCommand::Refuse {
                reason,
                outcome,
                retry_after,
            } => self.refuse(reason, outcome, retry_after),
            RequestCommand::OfferTicket(ticket) => {
                let text = self.context.signer.sign(ticket);
                self.caller.fail(CallFault::TicketNeeded(text));
            }
            RequestCommand::JoinAnswer(original) => Box::pin(self.join(original)).await,
            RequestCommand::Forward(host) => Box::pin(self.forward(host)).await,
        }
        true
    }

    fn refuse(&mut self, reason: RefusalReason, outcome: RunOutcome, retry_after: TimeSpan) {
        let request = self.facts.request;
        let team = self.facts.team;
        spdlog::debug!("entry: request {request} team {team} refused: {reason:?}, {outcome:?}.");
        self.context.control.answers.forget(request);
        self.count(Some(outcome));
        let fault = CallFault::Refused {
            reason,
            outcome,
            retry_after,
        };
        self.caller.fail(fault);
    }

    /// Counts the answer for the reports: a complete one if `refused` is `None`, else a refusal
    /// with that outcome. An answer from a peer is counted at the peer; a request whose caller
    /// disconnected is not counted.
    fn count(&self, refused: Option<RunOutcome>) {
        let catalog = Arc::clone(&self.context.control.catalog.borrow().fleet);
        let elapsed = self.arrived.elapsed();
        let records = &self.context.records;
        match refused {
            None => records.answered(&catalog, &self.facts, elapsed),
            Some(outcome) => records.refused(&catalog, &self.facts, outcome, elapsed),
        }
    }

    /// Makes an attempt. Returns the command that ended it early, unless that was a cancel.
    async fn attempt(&mut self, order: DispatchOrder) -> Option<RequestCommand> {
        let request = self.facts.request;
        self.open_record();
        let left = self.caller.left();
        let meter = AtomicU64::new(0);
        let plan = AttemptPlan {
            context: &self.context,
            request,
            order,
            method: &self.call.method,
            target: &self.call.target,
            headers: endpoint_headers(&self.call.headers),
            shape: self.call.shape,
            meter: &meter,
        };
        let mut can_resume = true;
        let ended = {
            let run = AttemptRun::new(plan, &mut self.call.body, &mut self.caller, &mut can_resume);
            // Boxed because this future would make up most of the task, which is moved when it is
            // spawned.
            let mut running = Box::pin(run.run());
            loop {
                tokio::select! {
                    biased;
                    outcome = &mut running => break Ok(outcome),
                    command = self.commands.recv() => match command {
                        Some(RequestCommand::Cancel(attempt)) if attempt != order.attempt => {}
                        other => break Err(other),
                    },
                    () = left.cancelled(), if !self.disconnect_reported => {
                        self.disconnect_reported = true;
                        self.context.control.send_event(CoreEvent::CallerLeft(request));
                    }
                }
            }
        };
        let service = ServiceUnits(meter.load(Ordering::Relaxed));
        match ended {
            Ok(outcome) => {
                self.report(order, outcome, service, can_resume);
                None
            }
            Err(command) => {
                self.report_attempt_ended(order, AttemptOutcome::Cancelled, service);
                command.filter(|command| !matches!(command, RequestCommand::Cancel(_)))
            }
        }
    }

    fn report(
        &mut self,
        order: DispatchOrder,
        outcome: AttemptOutcome,
        service: ServiceUnits,
        can_resume: bool,
    ) {
        let request = self.facts.request;
        if !matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Refused) {
            self.may_have_run = true;
        }
        if outcome == AttemptOutcome::Whole {
            self.caller.end();
            self.report_stored_bytes();
        } else {
            let (attempt, endpoint) = (order.attempt, order.endpoint);
            let team = self.facts.team;
            spdlog::info!(
                "endpoint: request {request} team {team} attempt {attempt} on {endpoint} ended: {outcome:?}."
            );
        }
        self.report_attempt_ended(order, outcome, service);
        if self.call.body.has_broken() && outcome != AttemptOutcome::Whole {
            self.caller.fail(CallFault::SlowBody(RunOutcome::Unknown));
            self.report_disconnect();
            return;
        }
        let lost = matches!(outcome, AttemptOutcome::CutAt(_)) && !can_resume;
        if lost && !self.disconnect_reported {
            // The caller has part of an answer that can't be resumed. The request must not be run
            // again without a recipient, and the caller must see the cut at once.
            let fault = CallFault::PeerLost(RunOutcome::Unknown);
            self.caller.fail(fault);
            self.report_disconnect();
        }
    }

    fn report_attempt_ended(
        &self,
        order: DispatchOrder,
        outcome: AttemptOutcome,
        service: ServiceUnits,
    ) {
        self.context.control.send_event(CoreEvent::AttemptEnded {
            request: self.facts.request,
            attempt: order.attempt,
            outcome,
            service,
        });
    }

    fn open_record(&mut self) {
        let minter = self.context.control.incarnation;
        let RepeatRule::Unrepeatable(Some(ticket)) = self.facts.repeat else {
            return;
        };
        if ticket.minter == minter && self.caller.record().is_none() {
            let limit = self.context.config.stored_answer_bytes;
            let answers = &self.context.control.answers;
            self.caller
                .store_in(answers.open(self.facts.request, limit));
        }
    }

    fn report_stored_bytes(&self) {
        let Some(record) = self.caller.record() else {
            return;
        };
        let request = self.facts.request;
        let bytes = record.kept_bytes().map(|bytes| ByteSize(bytes as u64));
        if bytes.is_none() {
            self.context.control.answers.forget(request);
        }
        self.context
            .control
            .send_event(CoreEvent::AnswerKept { request, bytes });
    }

    /// Forwards the request to a peer and passes on the peer's answer.
    async fn forward(&mut self, host: HostName) {
        let forwarding = Forwarding {
            context: &self.context,
            facts: &self.facts,
            call: &mut self.call,
            caller: &mut self.caller,
            may_have_run: self.may_have_run,
        };
        forwarding.run(host).await;
    }

    /// Answers with the stored answer of the request `original`, which has the same ticket and may
    /// still be running.
    async fn join(&mut self, original: RequestId) {
        let limit = self.context.config.stored_answer_bytes;
        let record = self.context.control.answers.open(original, limit);
        let mut ended = None;
        let head = loop {
            tokio::select! {
                biased;
                head = record.head() => break head,
                command = self.next_command(), if ended.is_none() => match command {
                    Some(RequestCommand::Complete) if record.is_whole() => {}
                    other => {
                        ended = Some(other);
                        break None;
                    }
                },
            }
        };
        if let Some(head) = head {
            self.caller.begin(head);
            self.caller.copy(&record).await;
            return;
        }
        match ended {
            Some(Some(RequestCommand::Refuse {
                reason,
                outcome,
                retry_after,
            })) => self.refuse(reason, outcome, retry_after),
            Some(None) => {}
            Some(Some(_)) => {
                self.context.control.answers.forget(original);
                let (reason, later) = (RefusalReason::TicketGone, TimeSpan(0));
                self.refuse(reason, RunOutcome::Ran, later);
            }
            None => {
                let (reason, later) = (RefusalReason::TicketGone, TimeSpan(0));
                self.refuse(reason, RunOutcome::Unknown, later);
            }
        }
    }
}
