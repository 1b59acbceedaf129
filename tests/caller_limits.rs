//! Limits on callers that send too much, send too slowly or read too slowly.

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[path = "../examples/shared/mod.rs"]
mod shared;

use self::shared::caller::Call;
use self::shared::single::SingleOptions;
use self::shared::single::SingleRouter;
use self::shared::site::key_of;

async fn with_limits(limits: serde_json::Value) -> SingleRouter {
    SingleRouter::start(SingleOptions {
        limits,
        ..SingleOptions::default()
    })
    .await
}

/// Sends raw bytes and returns the status line of the answer.
async fn raw(single: &SingleRouter, text: &str) -> String {
    let mut stream = TcpStream::connect(single.router.callers).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let mut part = [0; 1_024];
    while !answer.contains(&b'\n') {
        let read = stream.read(&mut part).await.unwrap_or(0);
        if read == 0 {
            break;
        }
        answer.extend_from_slice(&part[..read]);
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn oversized_bodies_and_headers_are_refused_without_running() {
    let single = with_limits(json!({"body_bytes": 100_000})).await;
    let key = key_of("nadi");
    for path in ["/portal/echo", "/v1/completions"] {
        let call = Call::new(&key, "POST", path, vec![b' '; 100_001]);
        let end = call.send(single.router.callers).await;
        assert_eq!(end.status(), Some(StatusCode::PAYLOAD_TOO_LARGE), "{path}");
        assert_eq!(end.outcome(), "not-run");
    }
    let header = "x".repeat(64 * 1024);
    let text = format!("GET /portal/x HTTP/1.1\r\nhost: r\r\nx-long: {header}\r\n\r\n");
    assert!(raw(&single, &text).await.contains("431"));
    single.router.stop().await;
}

// A caller sends part of its body and then nothing: its request must not occupy memory forever.
#[tokio::test]
async fn a_slow_sender_is_cut_with_408() {
    let single = with_limits(json!({"body_idle_ms": 100})).await;
    let key = key_of("nadi");
    for path in ["/portal/echo", "/v1/completions"] {
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {key}\r\n\
             content-length: 50\r\n\r\nonly this"
        );
        assert!(raw(&single, &text).await.contains("408"), "{path}");
    }
    single.router.stop().await;
}

// A caller reads nothing of a large answer: backpressure must reach the endpoint, so that the
// router does not buffer the answer in memory. The caller then reads on and gets all of it.
#[tokio::test]
async fn a_slow_reader_puts_backpressure_on_its_endpoint() {
    const LENGTH: u64 = 300_000_000;
    let single = with_limits(json!({})).await;
    let path = format!("/portal/bytes/{LENGTH}");
    let call = Call::new(&key_of("nadi"), "GET", &path, "");
    let mut response = call.open(single.router.callers).await.unwrap();
    let sent = &single.portal.shared.sent_bytes;
    let mut before = u64::MAX;
    while before != sent.load(Ordering::Relaxed) {
        before = sent.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert!(before < LENGTH / 4, "{before} bytes are under way");
    let mut read = 0;
    while let Some(frame) = response.frame().await {
        read += frame
            .unwrap()
            .into_data()
            .map_or(0, |data| data.len() as u64);
    }
    assert_eq!(read, LENGTH);
    single.router.stop().await;
}

// A caller that stops reading would occupy a slot of its endpoint forever.
#[tokio::test]
async fn a_caller_that_stops_reading_is_disconnected() {
    let single = with_limits(json!({"answer_idle_ms": 200})).await;
    let call = Call::new(&key_of("nadi"), "GET", "/portal/bytes/300000000", "");
    let response = call.open(single.router.callers).await.unwrap();
    let freed = async {
        while !single.router.in_flight().await.is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let freed = tokio::time::timeout(Duration::from_secs(30), freed).await;
    assert!(freed.is_ok(), "the request is still held");
    let whole = response.collect().await;
    assert!(whole.is_err(), "a part was taken for the whole");
    single.router.stop().await;
}

// A team sends more requests than its queue holds: the excess is refused at once with Retry-After.
#[tokio::test]
async fn a_full_queue_refuses_at_once_with_a_time_to_come_back() {
    let single = SingleRouter::start(SingleOptions {
        queue_limit: 4,
        ..SingleOptions::default()
    })
    .await;
    let address = single.router.callers;
    let running = &single.engine.shared.running;
    let mut calls = Vec::new();
    let mut begin = |index: u32| {
        let call = Call::completion(&key_of("nadi"), "luma", 1_000, true)
            .header("standin-id", &format!("flood-{index}"));
        calls.push(tokio::spawn(async move { call.open(address).await }));
    };
    for index in 0..8 {
        begin(index);
        while running.load(Ordering::Relaxed) <= index {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    for index in 8..12 {
        begin(index);
    }
    while single.router.in_flight().await.len() < 12 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let refused = Call::completion(&key_of("nadi"), "luma", 10, true);
    let response = refused.open(address).await.unwrap();
    assert_eq!(response.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(response.headers()["verbenaturn-outcome"], "not-run");
    assert_eq!(response.headers()["retry-after"], "1");
    for call in calls {
        call.abort();
    }
    single.router.stop().await;
}
