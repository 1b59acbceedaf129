//! An HTTP caller: sends requests over new or kept connections and reads complete answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time;

/// Longest wait for a complete answer.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Result of a call as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// A complete answer arrived.
    Answered {
        /// HTTP status.
        status: StatusCode,
        /// Outcome header; empty if absent.
        outcome: String,
        /// Ticket header; empty if absent.
        ticket: String,
        /// Body of the answer.
        body: Bytes,
    },
    /// The connection broke, or the call timed out, before the answer was complete.
    Broken,
    /// No connection could be opened.
    Unreachable,
}

impl CallEnd {
    /// Returns the status, or `None` without a complete answer.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Answered { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// Returns the outcome header, or an empty string if there is none.
    pub fn outcome(&self) -> &str {
        match self {
            Self::Answered { outcome, .. } => outcome,
            _ => "",
        }
    }

    /// Returns the ticket header, or an empty string if there is none.
    pub fn ticket(&self) -> &str {
        match self {
            Self::Answered { ticket, .. } => ticket,
            _ => "",
        }
    }

    /// Returns the body as text, or an empty string without a complete answer.
    pub fn text(&self) -> String {
        match self {
            Self::Answered { body, .. } => String::from_utf8_lossy(body).into_owned(),
            _ => String::new(),
        }
    }
}

/// A call that can be sent any number of times.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Creates a call with a team's key.
    pub fn new(key: &str, method: &'static str, path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: vec![("authorization".to_owned(), format!("Bearer {key}"))],
            body: body.into(),
        }
    }

    /// Creates a completion call for `tokens` tokens.
    pub fn completion(key: &str, model: &str, tokens: u64, streamed: bool) -> Self {
        let body = json!({
            "model": model,
            "prompt": "how was the night",
            "max_tokens": tokens,
            "stream": streamed,
        });
        let mut call = Self::new(key, "POST", "/v1/completions", body.to_string());
        call = call.header("content-type", "application/json");
        call
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.parse().unwrap();
        *request.uri_mut() = self.path.parse().unwrap();
        let fields = request.headers_mut();
        fields.insert(header::HOST, HeaderValue::from_static("router"));
        for (name, value) in &self.headers {
            let name: HeaderName = name.parse().unwrap();
            fields.insert(name, value.parse().unwrap());
        }
        request
    }

    /// Sends the call over a new connection and waits for the response head.
    pub async fn open(&self, address: SocketAddr) -> Result<Response<Incoming>, CallEnd> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|_| CallEnd::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|_| CallEnd::Broken)?;
        tokio::spawn(connection);
        let sent = sender.send_request(self.request()).await;
        sent.map_err(|_| CallEnd::Broken)
    }

    /// Sends the call over a new connection and reads the complete answer.
    pub async fn send(&self, address: SocketAddr) -> CallEnd {
        let work = async {
            let response = match self.open(address).await {
                Ok(response) => response,
                Err(end) => return end,
            };
            let (parts, body) = response.into_parts();
            let Ok(body) = body.collect().await else {
                return CallEnd::Broken;
            };
            let text = |name: &str| {
                let value = parts.headers.get(name);
                let value = value.and_then(|value| value.to_str().ok());
                value.unwrap_or_default().to_owned()
            };
            CallEnd::Answered {
                status: parts.status,
                outcome: text("verbenaturn-outcome"),
                ticket: text("verbenaturn-ticket"),
                body: body.to_bytes(),
            }
        };
        time::timeout(WAIT_TIMEOUT, work)
            .await
            .unwrap_or(CallEnd::Broken)
    }

    /// Sends the call; if the answer requires a ticket, sends it again with the offered one.
    pub async fn send_with_ticket(&self, address: SocketAddr) -> CallEnd {
        let first = self.send(address).await;
        if first.status() != Some(StatusCode::PRECONDITION_REQUIRED) {
            return first;
        }
        let call = self.clone().header("verbenaturn-ticket", first.ticket());
        call.send(address).await
    }
}

/// A connection that is reused for many calls.
pub struct KeptConnection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl KeptConnection {
    /// Opens a connection; returns `None` if that fails.
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self { sender })
    }

    /// Sends a call and reads its answer; returns true if it is complete with status 200.
    pub async fn send(&mut self, call: &Call) -> bool {
        if self.sender.ready().await.is_err() {
            return false;
        }
        let Ok(response) = self.sender.send_request(call.request()).await else {
            return false;
        };
        let good = response.status() == StatusCode::OK;
        good && response.into_body().collect().await.is_ok()
    }
}

/// Returns the text of a streamed answer, or `None` if an event is invalid or `[DONE]` is missing.
pub fn streamed_text(answer: &str) -> Option<String> {
    let mut text = String::new();
    let mut done = false;
    for event in answer.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.strip_prefix("data: ")?;
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).ok()?;
        text += value["choices"][0]["text"].as_str()?;
    }
    done.then_some(text)
}

/// Returns the text of a complete answer of `tokens` tokens.
pub fn expected_text(tokens: u64) -> String {
    (0..tokens).fold(String::new(), |text, index| format!("{text} {index}"))
}
