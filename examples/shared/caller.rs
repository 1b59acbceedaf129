//! A caller: one HTTP request over a connection of its own or a kept one, and the whole answer.

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

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_mins(1);

/// How a call ended, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer.
    Answered {
        /// Its status.
        status: StatusCode,
        /// The outcome header; empty if absent.
        outcome: String,
        /// The ticket header; empty if absent.
        ticket: String,
        /// The body.
        body: Bytes,
    },
    /// The connection broke before or within the answer.
    Broken,
    /// No connection.
    Unreachable,
}

impl CallEnd {
    /// The status; `None` without a whole answer.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Answered { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// The outcome header; empty if there is none.
    pub fn outcome(&self) -> &str {
        match self {
            Self::Answered { outcome, .. } => outcome,
            _ => "",
        }
    }

    /// The ticket header; empty if there is none.
    pub fn ticket(&self) -> &str {
        match self {
            Self::Answered { ticket, .. } => ticket,
            _ => "",
        }
    }

    /// The body as text; empty without a whole answer.
    pub fn text(&self) -> String {
        match self {
            Self::Answered { body, .. } => String::from_utf8_lossy(body).into_owned(),
            _ => String::new(),
        }
    }
}

/// A call that can be sent as often as wanted.
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
    /// A call of a team.
    pub fn new(key: &str, method: &'static str, path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: vec![("authorization".to_owned(), format!("Bearer {key}"))],
            body: body.into(),
        }
    }

    /// A completion of so many tokens.
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

    /// With one more header.
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

    /// Sends it and waits for the head of the answer.
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

    /// Sends it and reads the whole answer.
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
        time::timeout(PATIENCE, work)
            .await
            .unwrap_or(CallEnd::Broken)
    }

    /// Sends it, gets a ticket if one is asked for, and sends it with the ticket.
    pub async fn send_with_ticket(&self, address: SocketAddr) -> CallEnd {
        let first = self.send(address).await;
        if first.status() != Some(StatusCode::PRECONDITION_REQUIRED) {
            return first;
        }
        let call = self.clone().header("verbenaturn-ticket", first.ticket());
        call.send(address).await
    }
}

/// A connection that is kept for many calls.
pub struct KeptConnection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl KeptConnection {
    /// Opens it; `None` if that fails.
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self { sender })
    }

    /// Sends a call and reads its answer; true if that was whole and good.
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

/// The text of a streamed answer; `None` if it does not end as it shall.
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

/// What a whole answer of so many tokens says.
pub fn expected_text(tokens: u64) -> String {
    (0..tokens).fold(String::new(), |text, index| format!("{text} {index}"))
}
