//! The stand-in plain service: `.../echo` returns the request body, `.../bytes/N` returns N bytes,
//! and every other path returns the number of executions of its `standin-id`.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time;

use super::endpoint::EndpointRole;
use super::endpoint::EndpointShared;
use super::endpoint::InjectedFault;
use super::endpoint::SentBody;
use super::endpoint::injected_fault;
use super::endpoint::status;
use super::endpoint::text_of;

const CHUNK: usize = 16 * 1024;

/// Answers one request to a plain service.
pub async fn respond(
    shared: Arc<EndpointShared>,
    request: Request<Incoming>,
) -> Response<SentBody> {
    let EndpointRole::Plain { work, .. } = shared.role else {
        return status(StatusCode::NOT_FOUND, "no plain service");
    };
    let Ok(_slot) = shared.slots.acquire().await else {
        return status(StatusCode::SERVICE_UNAVAILABLE, "closed");
    };
    let execution = shared.count_execution(request.headers());
    match injected_fault(request.headers(), execution) {
        InjectedFault::Crash => {
            shared.crash();
            time::sleep(Duration::from_secs(1)).await;
        }
        InjectedFault::Slow(wait) => time::sleep(wait).await,
        InjectedFault::Cut(after) => {
            return fixed_length_response(&shared, u64::MAX / 2, Some(after));
        }
        InjectedFault::Short => return fixed_length_response(&shared, CHUNK as u64, Some(10)),
        InjectedFault::Refuse => return status(StatusCode::SERVICE_UNAVAILABLE, "busy"),
        _ => {}
    }
    if work > Duration::ZERO {
        time::sleep(work).await;
    }
    shared.served.fetch_add(1, Ordering::Relaxed);
    let team = text_of(request.headers(), "standin-team");
    *shared.by_team.lock().unwrap().entry(team).or_insert(0) += 1;
    let path = request.uri().path();
    if path.ends_with("/echo") {
        return Response::new(SentBody::Echo(request.into_body()));
    }
    if let Some((_, count)) = path.rsplit_once("/bytes/") {
        return fixed_length_response(&shared, count.parse().unwrap_or(0), None);
    }
    let answer = json!({"path": path, "execution": execution});
    let _ = request.into_body().collect().await;
    Response::new(SentBody::whole(answer.to_string()))
}

/// Builds an answer of `length` bytes with a content length, broken off after `cut` bytes.
fn fixed_length_response(
    shared: &Arc<EndpointShared>,
    length: u64,
    cut: Option<u64>,
) -> Response<SentBody> {
    let (sender, receiver) = mpsc::channel(2);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let mut left = cut.unwrap_or(length);
        while left > 0 {
            let size = usize::try_from(left).unwrap_or(CHUNK).min(CHUNK);
            if sender
                .send(Ok(Bytes::from(vec![b'x'; size])))
                .await
                .is_err()
            {
                return;
            }
            left -= size as u64;
            shared.sent_bytes.fetch_add(size as u64, Ordering::Relaxed);
        }
        if cut.is_some() {
            let _ = sender.send(Err(io::Error::other("cut"))).await;
        }
    });
    let mut response = Response::new(SentBody::Chunks(receiver));
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    response
}
