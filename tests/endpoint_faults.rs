//! What callers see of endpoints that crash, refuse, break off or send invalid answers.

use http::StatusCode;

#[path = "../examples/shared/mod.rs"]
mod shared;

use self::shared::caller::Call;
use self::shared::caller::CallEnd;
use self::shared::caller::expected_text;
use self::shared::caller::streamed_text;
use self::shared::single::SingleOptions;
use self::shared::single::SingleRouter;
use self::shared::site::key_of;

fn completion(id: &str, fault: &str, streamed: bool) -> Call {
    Call::completion(&key_of("nadi"), "luma", 20, streamed)
        .header("standin-id", id)
        .header("standin-do", fault)
}

async fn start_router() -> SingleRouter {
    SingleRouter::start(SingleOptions::default()).await
}

// An engine that can resume breaks off in the middle of a streamed answer. The caller must get the
// rest from where it stopped, with nothing duplicated or missing, and the request must not be run
// again.
#[tokio::test]
async fn a_cut_stream_is_resumed_where_it_stopped() {
    let single = start_router().await;
    for cut in [1, 7, 19] {
        let id = format!("cut-{cut}");
        let call = completion(&id, &format!("cut={cut}"), true);
        let end = call.send(single.router.callers).await;
        assert_eq!(streamed_text(&end.text()), Some(expected_text(20)));
        assert_eq!(single.engine.executions_of(&id), 1);
    }
    single.router.stop().await;
}

// An engine that can't resume breaks off in the middle of a streamed answer: the caller must see
// that the answer is cut.
#[tokio::test]
async fn a_cut_stream_that_can_not_be_resumed_breaks_the_connection() {
    let single = SingleRouter::start(SingleOptions {
        resumes: false,
        ..SingleOptions::default()
    })
    .await;
    let call = completion("a", "cut=7", true);
    assert_eq!(call.send(single.router.callers).await, CallEnd::Broken);
    assert_eq!(single.engine.executions_of("a"), 1);
    single.router.stop().await;
}

// A plain service breaks off in a long answer after the caller has received part of it: the caller
// must see that the answer is cut.
#[tokio::test]
async fn a_cut_plain_answer_breaks_the_connection() {
    let single = start_router().await;
    let call = Call::new(&key_of("nadi"), "GET", "/portal/night", "")
        .header("standin-do", "cut=200000")
        .header("standin-id", "a");
    assert_eq!(call.send(single.router.callers).await, CallEnd::Broken);
    assert_eq!(single.portal.executions_of("a"), 1);
    single.router.stop().await;
}

// An engine fails once (an invalid answer, a crash, fewer bytes than stated): nothing of that
// answer may reach the caller, and a repeatable request is retried.
#[tokio::test]
async fn a_bad_answer_is_not_passed_on_and_the_request_tried_again() {
    // The only engine is down for 300 ms after its crash; the retries go on for longer than that.
    let mut options = SingleOptions::default();
    options.core.attempts.backoff_ms = 400;
    let single = SingleRouter::start(options).await;
    for (fault, streamed) in [
        ("once-garbage", true),
        ("once-garbage", false),
        ("once-crash", true),
        ("once-crash", false),
    ] {
        let id = format!("{fault}-{streamed}");
        let end = completion(&id, fault, streamed)
            .send(single.router.callers)
            .await;
        assert_eq!(end.status(), Some(StatusCode::OK), "{id}: {end:?}");
        assert!(!end.text().contains("html"), "{id}");
        assert_eq!(single.engine.executions_of(&id), 2, "{id}");
    }
    single.router.stop().await;
}

// An endpoint fails every time: the caller must get an error in the end, with the correct outcome.
#[tokio::test]
async fn persistent_faults_end_in_an_error_with_the_correct_outcome() {
    let single = start_router().await;
    let refused = completion("a", "refuse", true)
        .send(single.router.callers)
        .await;
    assert_eq!(refused.status(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(refused.outcome(), "not-run");
    assert_eq!(single.engine.executions_of("a"), 0);
    let garbage = completion("b", "garbage", false)
        .send(single.router.callers)
        .await;
    assert_eq!(garbage.status(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(garbage.outcome(), "unknown");
    let short =
        Call::new(&key_of("nadi"), "GET", "/portal/night", "").header("standin-do", "short");
    let short = short.send(single.router.callers).await;
    assert_eq!(short.status(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(short.outcome(), "unknown");
    single.router.stop().await;
}

// A plain service crashes while it runs an unrepeatable write. Whether the write took effect is
// unknown, so it must not be retried, and the caller must get the outcome "unknown", also on a
// resend with the same ticket.
#[tokio::test]
async fn an_unrepeatable_call_is_not_tried_again_after_a_crash() {
    let single = start_router().await;
    let call = Call::new(&key_of("nadi"), "POST", "/portal/log", "mix")
        .header("standin-id", "m1")
        .header("standin-do", "once-crash");
    let offered = call.send(single.router.callers).await;
    let call = call.header("verbenaturn-ticket", offered.ticket());
    for _ in 0..2 {
        let end = call.send(single.router.callers).await;
        assert_eq!(end.outcome(), "unknown", "{end:?}");
        assert!(end.status().is_some_and(|status| !status.is_success()));
    }
    assert_eq!(single.portal.executions_of("m1"), 1);
    single.router.stop().await;
}

// The only endpoint is down before anything is sent: the outcome must be "not-run".
#[tokio::test]
async fn a_call_to_an_endpoint_that_is_down_did_not_run() {
    let single = start_router().await;
    single.portal.stop();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let call = Call::new(&key_of("nadi"), "GET", "/portal/night", "");
    let end = call.send(single.router.callers).await;
    assert_eq!(end.status(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(end.outcome(), "not-run");
    single.router.stop().await;
}
