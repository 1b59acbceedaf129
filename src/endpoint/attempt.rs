//! One attempt: sends the request to an endpoint, passes the answer on to the caller, and
//! classifies how the attempt ended as exactly as the transport allows.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::time;

use crate::core::event::AttemptOutcome;
use crate::core::event::CoreEvent;
use crate::daemon::message::DispatchOrder;
use crate::entry::caller::CallerSide;
use crate::entry::context::EntryContext;
use crate::entry::headers;
use crate::entry::task::BodySource;
use crate::units::RequestId;

use super::body::OutgoingBody;
use super::connections::ConnectStep;
use super::reader::AnswerReader;

/// Idle connections that may turn out to be closed; the try after that is the last one.
const MAX_STALE_CONNECTIONS: u32 = 3;

/// The expected form of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerShape {
    /// Server-sent events of an engine.
    Events,
    /// One JSON value of an engine.
    Json,
    /// Any answer of a plain service.
    Plain,
}

/// The parameters of an attempt.
pub struct AttemptPlan<'a> {
    /// State shared by all requests.
    pub context: &'a EntryContext,
    /// The request.
    pub request: RequestId,
    /// The core's decision: attempt number, endpoint, resume offset and latest send time.
    pub order: DispatchOrder,
    /// The call's method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a Uri,
    /// Headers for the endpoint.
    pub headers: HeaderMap,
    /// The expected form of the answer.
    pub shape: AnswerShape,
    /// Service used so far, in service units; can be read during the attempt and after it.
    pub meter: &'a AtomicU64,
}

/// An attempt in progress.
pub struct AttemptRun<'a> {
    plan: AttemptPlan<'a>,
    body: &'a mut BodySource,
    caller: &'a mut CallerSide,
    can_resume: &'a mut bool,
}

enum SendFault {
    /// No byte was sent. Holds the unread body if another try may be made.
    NotSent(Option<OutgoingBody>),
    /// The attempt ended with this outcome.
    Ended(AttemptOutcome),
}

impl<'a> AttemptRun<'a> {
    /// Creates an attempt. `can_resume` is set to false if the endpoint's answer can't be resumed.
    pub fn new(
        plan: AttemptPlan<'a>,
        body: &'a mut BodySource,
        caller: &'a mut CallerSide,
        can_resume: &'a mut bool,
    ) -> Self {
        Self {
            plan,
            body,
            caller,
            can_resume,
        }
    }

    /// Makes the attempt. Dropping the returned future cancels it and closes the connection.
    pub async fn run(mut self) -> AttemptOutcome {
        let Some(address) = self.address() else {
            return AttemptOutcome::NotSent;
        };
        for _ in 0..=MAX_STALE_CONNECTIONS {
            match self.send(address).await {
                Ok((sender, response)) => return self.read(address, sender, response).await,
                Err(SendFault::Ended(outcome)) => return outcome,
                Err(SendFault::NotSent(None)) => return AttemptOutcome::NotSent,
                Err(SendFault::NotSent(Some(unread))) => self.body.put_back(unread),
            }
        }
        AttemptOutcome::NotSent
    }

    fn address(&self) -> Option<SocketAddr> {
        let catalog = self.plan.context.control.catalog.borrow();
        let endpoint = catalog.fleet.endpoints.get(&self.plan.order.endpoint)?;
        Some(endpoint.address)
    }

    async fn send(
        &mut self,
        address: SocketAddr,
    ) -> Result<(SendRequest<OutgoingBody>, Response<Incoming>), SendFault> {
        let context = self.plan.context;
        let connected = context.connections.take(address).await;
        let mut sender = connected.map_err(|report| {
            if report.current_context().step == ConnectStep::Open {
                let endpoint = self.plan.order.endpoint;
                context
                    .control
                    .send_event(CoreEvent::EndpointRefused { endpoint });
            }
            spdlog::debug!("endpoint: {report}.");
            SendFault::NotSent(None)
        })?;
        // If the process was paused after the core's decision, other routers may have decided
        // differently since, and work was sent to an endpoint that had left long before. The clock
        // is therefore read once the connection is open, just before the first byte is sent. A
        // pause after this check is not detected; at-most-once doesn't depend on it, since only
        // this router sends this request.
        if context.control.clock.now() > self.plan.order.not_after {
            context.connections.give_back(address, sender);
            return Err(SendFault::NotSent(None));
        }
        let body = self.body.take().ok_or(SendFault::NotSent(None))?;
        let request = self.request(address, body);
        let pause = Duration::from_millis(context.config.answer_pause_ms);
        let sent = time::timeout(pause, sender.try_send_request(request)).await;
        let Ok(sent) = sent else {
            return Err(SendFault::Ended(AttemptOutcome::LostBeforeAnswer));
        };
        match sent {
            Ok(response) => Ok((sender, response)),
            Err(mut fault) => match fault.take_message() {
                // The connection closed before it accepted the request: nothing was written.
                Some(unsent) => Err(SendFault::NotSent(Some(unsent.into_body()))),
                None if fault.error().is_parse() => Err(SendFault::Ended(AttemptOutcome::Garbage)),
                None => Err(SendFault::Ended(AttemptOutcome::LostBeforeAnswer)),
            },
        }
    }

    fn request(&self, address: SocketAddr, body: OutgoingBody) -> Request<OutgoingBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.plan.method.clone();
        *request.uri_mut() = self.plan.target.clone();
        let fields = request.headers_mut();
        *fields = self.plan.headers.clone();
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            fields.insert(header::HOST, host);
        }
        let incarnation = self.plan.context.control.incarnation;
        let DispatchOrder {
            attempt, resume_at, ..
        } = self.plan.order;
        let id = format!("{:016x}-{}-{attempt}", incarnation.0, self.plan.request);
        if let Ok(id) = HeaderValue::from_str(&id) {
            fields.insert(headers::REQUEST, id);
        }
        if resume_at > 0 {
            fields.insert(headers::RESUME_AT, HeaderValue::from(resume_at));
        }
        request
    }

    async fn read(
        self,
        address: SocketAddr,
        sender: SendRequest<OutgoingBody>,
        response: Response<Incoming>,
    ) -> AttemptOutcome {
        let AttemptPlan { request, order, .. } = self.plan;
        let context = self.plan.context;
        context.control.send_event(CoreEvent::FirstByte {
            request,
            attempt: order.attempt,
        });
        if self.plan.shape != AnswerShape::Plain && is_refusal_status(response.status()) {
            return AttemptOutcome::Refused;
        }
        let reader = AnswerReader {
            context,
            request,
            order,
            shape: self.plan.shape,
            request_bytes: self.body.kept().len(),
            meter: self.plan.meter,
            caller: self.caller,
            can_resume: self.can_resume,
        };
        let (outcome, rest) = reader.read(response).await;
        if outcome == AttemptOutcome::Whole {
            recycle(context, address, sender, rest);
        }
        outcome
    }
}

/// Returns true if an engine's status means that it did no work: by the published API, an engine
/// sends these statuses only before it admits a request. A plain service may have done part of the
/// work before it sends one, so its answer is passed on instead.
fn is_refusal_status(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Returns the connection to the pool once the end of the answer has been read.
fn recycle(
    context: &EntryContext,
    address: SocketAddr,
    sender: SendRequest<OutgoingBody>,
    rest: Option<Incoming>,
) {
    let connections = context.connections.clone();
    let Some(mut rest) = rest else {
        connections.give_back(address, sender);
        return;
    };
    tokio::spawn(async move {
        let end = http_body_util::BodyExt::frame(&mut rest);
        if let Ok(None) = time::timeout(Duration::from_secs(1), end).await {
            connections.give_back(address, sender);
        }
    });
}
