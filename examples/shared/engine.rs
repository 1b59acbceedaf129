//! The stand-in model engine: completions, streamed or not, paced like continuous batching.
//!
//! Token `n` of an answer is the text ` n`, so that a reader detects missing, duplicated and
//! reordered tokens.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time;

use super::endpoint::EndpointRole;
use super::endpoint::EndpointShared;
use super::endpoint::InjectedFault;
use super::endpoint::SentBody;
use super::endpoint::clock_nanos;
use super::endpoint::injected_fault;
use super::endpoint::status;
use super::endpoint::text_of;

const TOKENS_BY_DEFAULT: u64 = 16;

/// Answers one request to an engine.
pub async fn respond(
    shared: Arc<EndpointShared>,
    request: Request<Incoming>,
) -> Response<SentBody> {
    let (parts, body) = request.into_parts();
    let Ok(text) = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
    else {
        return status(StatusCode::BAD_REQUEST, "no body");
    };
    let Ok(body) = serde_json::from_slice::<Value>(&text) else {
        return status(StatusCode::BAD_REQUEST, "no JSON");
    };
    match parts.uri.path() {
        "/orders" => order(&shared, &body).await,
        "/v1/completions" | "/v1/chat/completions" => {
            let job = Job::new(Arc::clone(&shared), parts.headers, &body);
            job.respond().await
        }
        _ => status(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn order(shared: &EndpointShared, body: &Value) -> Response<SentBody> {
    let EndpointRole::Engine { checks_fence, .. } = &shared.role else {
        return status(StatusCode::NOT_FOUND, "no engine");
    };
    let fence = body["fence"].as_u64().unwrap_or(0);
    if *checks_fence {
        let seen = shared.fence.fetch_max(fence, Ordering::Relaxed);
        if fence < seen {
            return status(StatusCode::CONFLICT, "old fencing number");
        }
    }
    time::sleep(Duration::from_millis(20)).await;
    let model = body["model"].as_str().unwrap_or_default();
    model.clone_into(&mut shared.model.lock().unwrap());
    status(StatusCode::OK, "loaded")
}

struct Job {
    shared: Arc<EndpointShared>,
    headers: http::HeaderMap,
    tokens: u64,
    first: u64,
    streamed: bool,
    model: String,
}

/// Decrements the count of running requests on drop, also when the connection breaks.
struct RunningGuard {
    shared: Arc<EndpointShared>,
    since: Instant,
    ended: bool,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let busy = u64::try_from(self.since.elapsed().as_micros()).unwrap_or(0);
        self.shared.busy_micros.fetch_add(busy, Ordering::Relaxed);
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        if !self.ended {
            self.shared.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Job {
    fn new(shared: Arc<EndpointShared>, headers: http::HeaderMap, body: &Value) -> Self {
        let resumes = matches!(shared.role, EndpointRole::Engine { resumes: true, .. });
        let at = text_of(&headers, "verbenaturn-resume-at")
            .parse()
            .unwrap_or(0);
        Self {
            tokens: body["max_tokens"].as_u64().unwrap_or(TOKENS_BY_DEFAULT),
            first: if resumes { at } else { 0 },
            streamed: body["stream"].as_bool().unwrap_or(false),
            model: body["model"].as_str().unwrap_or_default().to_owned(),
            shared,
            headers,
        }
    }

    async fn respond(self) -> Response<SentBody> {
        if text_of(&self.headers, "standin-do") == "refuse" {
            return status(StatusCode::SERVICE_UNAVAILABLE, "busy");
        }
        if *self.shared.model.lock().unwrap() != self.model {
            return status(StatusCode::SERVICE_UNAVAILABLE, "another model is loaded");
        }
        if self.streamed {
            let (sender, receiver) = mpsc::channel(4);
            let mut response = Response::new(SentBody::Chunks(receiver));
            let fields = response.headers_mut();
            let kind = HeaderValue::from_static("text/event-stream");
            fields.insert(header::CONTENT_TYPE, kind);
            if matches!(self.shared.role, EndpointRole::Engine { resumes: true, .. }) {
                fields.insert("verbenaturn-resumed-at", HeaderValue::from(self.first));
            }
            tokio::spawn(self.run(sender));
            return response;
        }
        self.whole().await
    }

    async fn whole(self) -> Response<SentBody> {
        let tokens = self.tokens;
        let (sender, mut receiver) = mpsc::channel(4);
        let short = text_of(&self.headers, "standin-do").ends_with("short");
        tokio::spawn(self.run(sender));
        let mut text = String::new();
        let mut count = 0;
        while let Some(chunk) = receiver.recv().await {
            let Ok(chunk) = chunk else {
                return cut_off();
            };
            let Some(event) = chunk.strip_prefix(b"data: ") else {
                return Response::new(SentBody::whole("<html>"));
            };
            let event: Value = serde_json::from_slice(event).unwrap_or_default();
            text += event["choices"][0]["text"].as_str().unwrap_or_default();
            count += 1;
        }
        if count < tokens {
            // The endpoint has crashed and its connections are about to break.
            std::future::pending::<()>().await;
        }
        let body = json!({
            "choices": [{"index": 0, "text": text, "finish_reason": "length"}],
            "usage": {"completion_tokens": tokens},
        });
        let mut response = Response::new(SentBody::whole(body.to_string()));
        let kind = HeaderValue::from_static("application/json");
        let fields = response.headers_mut();
        fields.insert(header::CONTENT_TYPE, kind);
        if short {
            return cut_off();
        }
        response
    }

    /// Waits for a slot and then sends the generated tokens to `sender`.
    async fn run(self, sender: mpsc::Sender<Result<Bytes, io::Error>>) {
        let shared = Arc::clone(&self.shared);
        shared.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = tokio::select! {
            slot = shared.slots.acquire() => slot.ok(),
            () = sender.closed() => None,
        };
        shared.waiting.fetch_sub(1, Ordering::Relaxed);
        let Some(_slot) = slot else {
            return;
        };
        shared.running.fetch_add(1, Ordering::Relaxed);
        let mut guard = RunningGuard {
            shared: Arc::clone(&shared),
            since: Instant::now(),
            ended: false,
        };
        let injected_fault = match self.first {
            0 => injected_fault(&self.headers, shared.count_execution(&self.headers)),
            _ => InjectedFault::None,
        };
        guard.ended = self.generate(injected_fault, &sender).await;
    }

    /// Returns true if the answer was sent completely, false if it was cancelled or broken off.
    async fn generate(
        &self,
        injected_fault: InjectedFault,
        sender: &mpsc::Sender<Result<Bytes, io::Error>>,
    ) -> bool {
        let EndpointRole::Engine { token, .. } = self.shared.role else {
            return false;
        };
        match injected_fault {
            InjectedFault::Crash => {
                self.shared.crash();
                return false;
            }
            InjectedFault::Garbage => {
                let garbage = Bytes::from_static(b"<html>not an answer</html>");
                return sender.send(Ok(garbage)).await.is_ok();
            }
            InjectedFault::Slow(wait) => time::sleep(wait).await,
            _ => {}
        }
        let team = text_of(&self.headers, "standin-team");
        let stamped = self.headers.contains_key("standin-stamp");
        let slots = f64::from(u32::try_from(self.shared.slot_count).unwrap_or(u32::MAX));
        let mut next = time::Instant::now();
        for index in self.first..self.tokens {
            if injected_fault == InjectedFault::Cut(index) {
                // Gives the events sent so far time to leave before the connection breaks.
                time::sleep(Duration::from_millis(20)).await;
                let _ = sender.send(Err(io::Error::other("cut"))).await;
                return false;
            }
            // Each step takes longer as the batch fills, by a quarter when all slots are taken.
            let running = f64::from(self.shared.running.load(Ordering::Relaxed));
            next += token.mul_f64(1.0 + running / slots / 4.0);
            time::sleep_until(next).await;
            let mut event = json!({"choices": [{"index": 0, "text": format!(" {index}")}]});
            if stamped {
                event["sent_ns"] = clock_nanos().into();
            }
            let chunk = Bytes::from(format!("data: {event}\n\n"));
            if sender.send(Ok(chunk)).await.is_err() {
                return false;
            }
            self.shared.served.fetch_add(1, Ordering::Relaxed);
            *self
                .shared
                .by_team
                .lock()
                .unwrap()
                .entry(team.clone())
                .or_insert(0) += 1;
        }
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        !self.streamed || sender.send(Ok(done)).await.is_ok()
    }
}

/// Builds an answer with a content length greater than the bytes that are sent.
fn cut_off() -> Response<SentBody> {
    let (sender, receiver) = mpsc::channel(1);
    let _ = sender.try_send(Ok(Bytes::from_static(b"{\"choices\": [")));
    let mut response = Response::new(SentBody::Chunks(receiver));
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_LENGTH, HeaderValue::from(4_096));
    let kind = HeaderValue::from_static("application/json");
    fields.insert(header::CONTENT_TYPE, kind);
    response
}
