//! End-to-end tests in one process: callers, a router and stand-in endpoints on loopback.

use std::time::Duration;

use http::StatusCode;

#[path = "../examples/shared/mod.rs"]
mod shared;

use self::shared::caller::Call;
use self::shared::caller::expected_text;
use self::shared::caller::streamed_text;
use self::shared::single::SingleOptions;
use self::shared::single::SingleRouter;
use self::shared::site::key_of;

#[tokio::test]
async fn a_streamed_and_an_unstreamed_answer_come_whole() {
    let single = SingleRouter::start(SingleOptions::default()).await;
    let key = key_of("nadi");
    let streamed = Call::completion(&key, "luma", 40, true)
        .send(single.router.callers)
        .await;
    assert_eq!(streamed.status(), Some(StatusCode::OK));
    assert_eq!(streamed_text(&streamed.text()), Some(expected_text(40)));
    let whole = Call::completion(&key, "luma", 5, false)
        .send(single.router.callers)
        .await;
    assert_eq!(whole.status(), Some(StatusCode::OK));
    assert!(whole.text().contains(&expected_text(5)), "{whole:?}");
    single.router.stop().await;
}

#[tokio::test]
async fn a_plain_service_gets_any_method_and_bodies_of_any_size_both_ways() {
    let single = SingleRouter::start(SingleOptions::default()).await;
    let key = key_of("nadi");
    let body: Vec<u8> = (0..1_000_000_u32)
        .map(|index| index.to_le_bytes()[0])
        .collect();
    for size in [0, 10, 64 * 1024 + 1, body.len()] {
        let sent = &body[..size];
        let call = Call::new(&key, "PUT", "/portal/echo?night=1", sent.to_vec());
        let end = call.send(single.router.callers).await;
        assert_eq!(end.status(), Some(StatusCode::OK), "{size} bytes");
        assert!(matches!(end, shared::caller::CallEnd::Answered { body, .. } if body == sent));
    }
    single.router.stop().await;
}

#[tokio::test]
async fn refusals_of_unknown_keys_are_identical() {
    let single = SingleRouter::start(SingleOptions::default()).await;
    let mut answers = Vec::new();
    for (key, path) in [
        ("wrong", "/portal/x"),
        ("", "/portal/x"),
        ("wrong", "/nowhere"),
    ] {
        let end = Call::new(key, "GET", path, "")
            .send(single.router.callers)
            .await;
        assert_eq!(end.status(), Some(StatusCode::UNAUTHORIZED));
        assert_eq!(end.outcome(), "not-run");
        answers.push(end.text());
    }
    answers.dedup();
    assert_eq!(answers.len(), 1, "all refusals of unknown keys are alike");
    single.router.stop().await;
}

// The answer to an unrepeatable write is lost on the way and the caller sends the write again with
// the ticket of the first try: it must run only once, and the resend must get the answer of that
// run.
#[tokio::test]
async fn an_unrepeatable_call_runs_once_for_all_its_resends() {
    let single = SingleRouter::start(SingleOptions::default()).await;
    let call = Call::new(&key_of("nadi"), "POST", "/portal/log", "mix").header("standin-id", "m1");
    let offered = call.send(single.router.callers).await;
    assert_eq!(offered.status(), Some(StatusCode::PRECONDITION_REQUIRED));
    assert_eq!(offered.outcome(), "not-run");
    assert_eq!(single.portal.executions_of("m1"), 0);
    let call = call.header("verbenaturn-ticket", offered.ticket());
    let first = call.send(single.router.callers).await;
    let again = call.send(single.router.callers).await;
    assert_eq!(first.status(), Some(StatusCode::OK));
    assert_eq!(first, again);
    assert_eq!(single.portal.executions_of("m1"), 1);
    single.router.stop().await;
}

// A caller disconnects while an answer streams: the engine must not keep generating it.
#[tokio::test]
async fn a_caller_that_leaves_frees_the_engine() {
    let single = SingleRouter::start(SingleOptions::default()).await;
    let call = Call::completion(&key_of("nadi"), "luma", 1_000_000, true);
    let response = call.open(single.router.callers).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    drop(response);
    let shared = &single.engine.shared;
    let freed = async {
        while shared.cancelled.load(std::sync::atomic::Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), freed)
        .await
        .expect("the engine goes on");
    single.router.stop().await;
}
