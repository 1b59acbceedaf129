//! The router's own small requests to endpoints: load reports and orders.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time;

use super::body::OutgoingBody;
use super::connections::EndpointConnections;

/// Largest answer to an exchange, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Timeout of a whole exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The error of an exchange that failed.
#[derive(Debug)]
pub struct ExchangeError {
    /// The endpoint.
    pub address: SocketAddr,
    /// The requested path.
    pub path: &'static str,
    /// The step that failed.
    pub step: ExchangeStep,
}

/// A step of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeStep {
    /// Opening a connection.
    Connect,
    /// Sending the request and waiting for the head of the answer.
    Send,
    /// Reading the answer.
    Read,
    /// The exchange as a whole timed out.
    Timeout,
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            address,
            path,
            step,
        } = self;
        write!(
            formatter,
            "request for {path} to {address}: {step:?} failed"
        )
    }
}

impl std::error::Error for ExchangeError {}

/// Sends a request with a small body and returns the answer's status and body.
///
/// # Errors
/// [`ExchangeError`] with the step that failed.
pub async fn exchange(
    connections: &EndpointConnections,
    address: SocketAddr,
    method: Method,
    path: &'static str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), Report<ExchangeError>> {
    let fault = |step| ExchangeError {
        address,
        path,
        step,
    };
    let work = async {
        let taken = connections.take(address).await;
        let mut sender = taken.change_context_lazy(|| fault(ExchangeStep::Connect))?;
        let mut request = Request::new(OutgoingBody::whole(body));
        *request.method_mut() = method;
        *request.uri_mut() = Uri::from_static(path);
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let sent = sender.send_request(request).await;
        let response = sent.change_context_lazy(|| fault(ExchangeStep::Send))?;
        let status = response.status();
        let read = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let Ok(read) = read.collect().await else {
            return Err(Report::new(fault(ExchangeStep::Read)));
        };
        connections.give_back(address, sender);
        Ok((status, read.to_bytes()))
    };
    time::timeout(EXCHANGE_TIMEOUT, work)
        .await
        .map_err(|_| Report::new(fault(ExchangeStep::Timeout)))?
}
