//! Sends a request as a caller would, including the exchange of tickets.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use tokio::time::timeout;

use crate::entry::headers;

use super::exit::CtlError;
use super::exit::ExitKind;
use super::output::OutputWriter;

/// Maximum number of sends of a request: first without a ticket, then with it, and again if the
/// answer was lost.
const MAX_SENDS: u32 = 4;

/// Result of a request.
#[derive(Debug, Serialize)]
struct SendResult {
    status: Option<u16>,
    outcome: Option<String>,
    ticket: Option<String>,
    sends: u32,
    body: String,
}

/// A request to send.
#[derive(Debug, Clone)]
struct OutgoingCall {
    to: SocketAddr,
    method: Method,
    path: String,
    key: String,
    kind: Option<String>,
    body: Bytes,
    within: Duration,
}

/// Sends a request, and sends it again with a ticket if the router requires one. If the answer to a
/// request with a ticket was lost, the request is retried with the same ticket, which prevents it
/// from running twice.
///
/// # Errors
/// If the arguments are wrong, a file can't be read or the router can't be reached.
pub async fn send(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let call = OutgoingCall::from_matches(matches)?;
    let mut ticket = matches.get_one::<String>("ticket").cloned();
    let mut sends = 0;
    let result = loop {
        sends += 1;
        let answer = call.exchange(ticket.as_deref()).await;
        match answer {
            Ok((StatusCode::PRECONDITION_REQUIRED, offered, _, _))
                if offered.is_some() && ticket.is_none() && sends < MAX_SENDS =>
            {
                ticket = offered;
            }
            Ok((status, _, outcome, body)) => {
                break SendResult {
                    status: Some(status.as_u16()),
                    outcome,
                    ticket,
                    sends,
                    body: String::from_utf8_lossy(&body).into_owned(),
                };
            }
            Err(_) if ticket.is_some() && sends < MAX_SENDS => {}
            Err(error) if sends == 1 && ticket.is_none() => return Err(error),
            Err(error) => {
                break SendResult {
                    status: None,
                    outcome: Some("unknown".to_owned()),
                    ticket,
                    sends,
                    body: format!("{error}\n"),
                };
            }
        }
    };
    writer.value(&result, |result, _| send_text(result))?;
    Ok(exit_of(&result))
}

fn exit_of(result: &SendResult) -> ExitKind {
    let good = result
        .status
        .is_some_and(|status| (200..300).contains(&status));
    match result.outcome.as_deref() {
        _ if good => ExitKind::Good,
        Some("unknown") => ExitKind::Unknown,
        _ => ExitKind::Finding,
    }
}

fn send_text(result: &SendResult) -> String {
    let status = result
        .status
        .map_or_else(|| "none".to_owned(), |s| s.to_string());
    let outcome = result.outcome.as_deref().unwrap_or("-");
    let ticket = result.ticket.as_deref().unwrap_or("-");
    let end = if result.body.ends_with('\n') {
        ""
    } else {
        "\n"
    };
    format!(
        "status {status}, outcome {outcome}, ticket {ticket}\n{}{end}",
        result.body
    )
}

/// Status, offered ticket, outcome and body of an answer.
type CallAnswer = (StatusCode, Option<String>, Option<String>, Bytes);

impl OutgoingCall {
    fn from_matches(matches: &ArgMatches) -> Result<Self, CtlError> {
        let usage = |message: &str| CtlError::new(ExitKind::Usage, message);
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        let body = match text("data") {
            Some(data) => match data.strip_prefix('@') {
                Some(path) => {
                    let path = PathBuf::from(path);
                    std::fs::read(&path).map_err(|error| CtlError::file(&path, &error))?
                }
                None => data.into_bytes(),
            },
            None => Vec::new(),
        };
        let default_method = if body.is_empty() { "GET" } else { "POST" };
        let method = text("method").unwrap_or_else(|| default_method.to_owned());
        let file = matches.get_one::<PathBuf>("key-file");
        let file = file.ok_or_else(|| usage("--key-file is missing"))?;
        let key = std::fs::read_to_string(file).map_err(|error| CtlError::file(file, &error))?;
        Ok(Self {
            to: *matches
                .get_one::<SocketAddr>("to")
                .ok_or_else(|| usage("--to is missing"))?,
            method: method
                .parse()
                .map_err(|_| usage("--method is not an HTTP method"))?,
            path: text("path").ok_or_else(|| usage("the path is missing"))?,
            key: key.trim().to_owned(),
            kind: text("kind"),
            body: body.into(),
            within: Duration::from_secs(matches.get_one::<u64>("timeout").copied().unwrap_or(600)),
        })
    }

    fn request(&self, ticket: Option<&str>) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{}{}", self.to, self.path))
            .header(AUTHORIZATION, format!("Bearer {}", self.key));
        if !self.body.is_empty() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        if let Some(kind) = &self.kind {
            request = request.header(headers::KIND, kind);
        }
        if let Some(ticket) = ticket {
            request = request.header(headers::TICKET, ticket);
        }
        request.body(Full::new(self.body.clone()))
    }

    async fn exchange(&self, ticket: Option<&str>) -> Result<CallAnswer, CtlError> {
        let fault =
            |message: &str| CtlError::new(ExitKind::Unreachable, format!("{}: {message}", self.to));
        let request = self
            .request(ticket)
            .map_err(|error| CtlError::new(ExitKind::Usage, error.to_string()))?;
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let exchange = async {
            let answer = client.request(request).await;
            let answer = answer.map_err(|_| fault("no connection, or it broke"))?;
            let text = |name: HeaderName| {
                let value = answer.headers().get(name).map(HeaderValue::to_str);
                value.and_then(Result::ok).map(str::to_owned)
            };
            let (offered, outcome) = (text(headers::TICKET), text(headers::OUTCOME));
            let status = answer.status();
            let body = answer.into_body().collect().await;
            let body = body.map_err(|_| fault("the answer broke off"))?;
            Ok((status, offered, outcome, body.to_bytes()))
        };
        timeout(self.within, exchange)
            .await
            .map_err(|_| fault("no answer in time"))?
    }
}
