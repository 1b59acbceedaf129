//! Error answers: problem+json (RFC 9457) with advice for the caller, and the outcome header.

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::core::action::RefusalReason;
use crate::core::action::RunOutcome;
use crate::tickets::TicketText;
use crate::units::TimeSpan;

use super::call::AnswerBody;
use super::call::CallAnswer;
use super::headers;

/// Why a call was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFault {
    /// The call has no key, or a key that belongs to no team.
    UnknownKey,
    /// No service is published under the path.
    UnknownPath,
    /// The named model is not published.
    UnknownModel,
    /// The team has no kind of this name.
    UnknownKind,
    /// The ticket header is malformed or forged.
    BadTicket,
    /// The body is not a valid completion request.
    BadBody,
    /// The body is larger than this limit in bytes.
    BodyTooLarge(u64),
    /// The body arrived too slowly or broke off.
    SlowBody(RunOutcome),
    /// The router has not received a publication yet.
    NotReady,
    /// The core refused the request.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether the request ran.
        outcome: RunOutcome,
        /// Time until a retry; zero if a retry doesn't help.
        retry_after: TimeSpan,
    },
    /// An unrepeatable request arrived without a ticket; this one is offered.
    TicketNeeded(TicketText),
    /// The peer that the request was forwarded to could not be reached or broke off, or the
    /// endpoint's answer was cut and can't be resumed.
    PeerLost(RunOutcome),
}

impl CallFault {
    fn status(&self) -> StatusCode {
        match self {
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownPath | Self::UnknownModel => StatusCode::NOT_FOUND,
            Self::UnknownKind | Self::BadTicket | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody(_) => StatusCode::REQUEST_TIMEOUT,
            Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Self::TicketNeeded(_) => StatusCode::PRECONDITION_REQUIRED,
            Self::PeerLost(_) => StatusCode::BAD_GATEWAY,
            Self::Refused { reason, .. } => match reason {
                RefusalReason::QueueFull | RefusalReason::Overloaded => {
                    StatusCode::TOO_MANY_REQUESTS
                }
                RefusalReason::RetryBudget
                | RefusalReason::Draining
                | RefusalReason::NotReady
                | RefusalReason::NoEndpoint => StatusCode::SERVICE_UNAVAILABLE,
                RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
                RefusalReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
                RefusalReason::LinkLost => StatusCode::BAD_GATEWAY,
                RefusalReason::TicketGone => StatusCode::GONE,
                RefusalReason::TicketMismatch => StatusCode::CONFLICT,
            },
        }
    }

    fn outcome(&self) -> RunOutcome {
        match self {
            Self::Refused { outcome, .. } | Self::PeerLost(outcome) | Self::SlowBody(outcome) => {
                *outcome
            }
            _ => RunOutcome::NotRun,
        }
    }

    fn title(&self) -> &'static str {
        match self {
            Self::UnknownKey => "Unknown key",
            Self::UnknownPath => "Unknown path",
            Self::UnknownModel => "Unknown model",
            Self::UnknownKind => "Unknown kind",
            Self::BadTicket => "Not a ticket",
            Self::BadBody => "Body not understood",
            Self::BodyTooLarge(_) => "Body too large",
            Self::SlowBody(_) => "Body too slow",
            Self::NotReady => "Not ready",
            Self::TicketNeeded(_) => "Ticket needed",
            Self::PeerLost(_) => "Peer lost",
            Self::Refused { reason, .. } => match reason {
                RefusalReason::Overloaded => "Too busy to answer in time",
                RefusalReason::QueueFull => "Too many requests waiting",
                RefusalReason::RetryBudget => "Retries used up",
                RefusalReason::DeadlinePassed => "Deadline passed",
                RefusalReason::Quarantined => "Request crashes endpoints",
                RefusalReason::Draining => "Router shuts down",
                RefusalReason::NotReady => "Not ready",
                RefusalReason::LinkLost => "Answer lost",
                RefusalReason::TicketGone => "Ticket no longer known",
                RefusalReason::NoEndpoint => "No endpoint",
                RefusalReason::TicketMismatch => "Ticket of another request",
            },
        }
    }

    fn advice(&self) -> SmolStr {
        let advice = match self {
            Self::UnknownKey => "Send \"Authorization: Bearer KEY\" with a key of your team.",
            Self::UnknownPath => "Use /v1/completions, /v1/chat/completions or a published prefix.",
            Self::UnknownModel => "Name a published model in \"model\".",
            Self::UnknownKind => "Name a kind of your team in verbenaturn-kind, or leave it out.",
            Self::BadTicket => "Send the ticket as it came in the 428 answer.",
            Self::BadBody => "Send a JSON object with \"model\" as the completion API asks.",
            Self::BodyTooLarge(limit) => {
                return format_smolstr!("Send at most {limit} bytes of body.");
            }
            Self::SlowBody(_) => "Send the whole body without long pauses.",
            Self::NotReady => "Try again soon: this router has no configuration yet.",
            Self::TicketNeeded(_) => {
                "Send the request again with the header verbenaturn-ticket of this answer; \
                 use the same ticket for every resend."
            }
            Self::PeerLost(_) => "Send it again with the same ticket; it will not run twice.",
            Self::Refused {
                reason, outcome, ..
            } => return refusal_advice(*reason, *outcome),
        };
        SmolStr::new_static(advice)
    }

    fn retry_after(&self) -> Option<u64> {
        match self {
            Self::NotReady => Some(1),
            Self::Refused { retry_after, .. } if retry_after.0 > 0 => {
                Some(retry_after.as_millis().div_ceil(1_000).max(1))
            }
            _ => None,
        }
    }

    /// Builds the error answer for the caller.
    #[must_use]
    pub fn into_answer(self) -> CallAnswer {
        let status = self.status();
        let outcome = headers::outcome_value(self.outcome());
        let body = json!({
            "type": "about:blank",
            "title": self.title(),
            "status": status.as_u16(),
            "detail": self.advice().as_str(),
            "outcome": outcome.to_str().unwrap_or_default(),
        });
        let text = body.to_string();
        let mut answer = Response::new(AnswerBody::full(text.clone()));
        *answer.status_mut() = status;
        let fields = answer.headers_mut();
        fields.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        fields.insert(header::CONTENT_LENGTH, HeaderValue::from(text.len()));
        fields.insert(headers::OUTCOME, outcome);
        if let Some(seconds) = self.retry_after() {
            fields.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Self::TicketNeeded(ticket) = self
            && let Ok(value) = HeaderValue::from_str(&ticket.to_string())
        {
            fields.insert(headers::TICKET, value);
        }
        answer
    }
}

fn refusal_advice(reason: RefusalReason, outcome: RunOutcome) -> SmolStr {
    let repeat = match outcome {
        RunOutcome::NotRun => "It did not run: it is safe to send it again.",
        RunOutcome::Unknown => "It may have run: check before you send it again.",
        RunOutcome::Ran => "It ran: do not send it again.",
    };
    let cause = match reason {
        RefusalReason::QueueFull => "Wait as Retry-After says.",
        RefusalReason::Overloaded => {
            "It would not have been answered before its deadline. Wait as Retry-After says."
        }
        RefusalReason::RetryBudget => "Endpoints failed several times. Wait as Retry-After says.",
        RefusalReason::DeadlinePassed => "No endpoint was free in time.",
        RefusalReason::Quarantined => "Endpoints crashed while they ran it. Change the request.",
        RefusalReason::Draining => "Send it through another router.",
        RefusalReason::NotReady => "This router has no configuration yet.",
        RefusalReason::LinkLost => "The endpoint or the way to it failed.",
        RefusalReason::TicketGone => "The router that knew this ticket is gone.",
        RefusalReason::NoEndpoint => "No endpoint serves this now.",
        RefusalReason::TicketMismatch => "Use each ticket for the request it was given for only.",
    };
    format_smolstr!("{cause} {repeat}")
}
