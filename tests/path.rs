//! The whole path in one process: callers, a router and stand-in endpoints on loopback.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;

use verbenaturn::configs::CoreConfig;
use verbenaturn::configs::traffic::TrafficConfig;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::daemon::router::Router;
use verbenaturn::daemon::router::RouterParts;
use verbenaturn::publication;
use verbenaturn::units::ConfigRevision;
use verbenaturn::units::RouterIncarnation;

#[path = "../examples/shared/mod.rs"]
mod shared;

use self::shared::caller::Call;
use self::shared::caller::expected_text;
use self::shared::caller::streamed_text;
use self::shared::endpoint::EndpointRole;
use self::shared::endpoint::StandinEndpoint;
use self::shared::site::Site;
use self::shared::site::key_of;

struct Bench {
    router: Router,
    engine: StandinEndpoint,
    portal: StandinEndpoint,
}

fn parts(traffic: TrafficConfig) -> RouterParts {
    RouterParts {
        host: "entry-1".parse().unwrap(),
        incarnation: RouterIncarnation(7),
        domain: "suva-1".parse().unwrap(),
        callers: "127.0.0.1:0".parse().unwrap(),
        peers: None,
        platform: None,
        core: CoreConfig::default(),
        traffic,
        seed: 1,
    }
}

async fn bench() -> Bench {
    bench_with(TrafficConfig::default(), true).await
}

async fn bench_with(traffic: TrafficConfig, resumes: bool) -> Bench {
    let listen = "127.0.0.1:0".parse().unwrap();
    let engine = EndpointRole::Engine {
        model: "luma".to_owned(),
        token: Duration::from_millis(2),
        resumes,
        checks_fence: true,
    };
    let engine = StandinEndpoint::start(listen, engine, 8).await.unwrap();
    let portal = EndpointRole::Plain {
        pool: "portal".to_owned(),
        work: Duration::ZERO,
    };
    let portal = StandinEndpoint::start(listen, portal, 8).await.unwrap();
    let router = Router::start(parts(traffic)).await.unwrap();
    let site = Site::default()
        .team("nadi", 1)
        .endpoint("engine-1", &engine, 8)
        .endpoint("portal-1", &portal, 8);
    let text = site.publication(1).to_string();
    let catalog = publication::adopt(ConfigRevision(1), text.as_bytes()).unwrap();
    router.control().tell(CoreEvent::Published {
        catalog: Arc::new(catalog),
        text: text.into(),
    });
    let mut known = router.control().catalog.clone();
    known
        .wait_for(|catalog| catalog.revision() == ConfigRevision(1))
        .await
        .unwrap();
    Bench {
        router,
        engine,
        portal,
    }
}

#[tokio::test]
async fn a_streamed_and_an_unstreamed_answer_come_whole() {
    let bench = bench().await;
    let key = key_of("nadi");
    let streamed = Call::completion(&key, "luma", 40, true)
        .send(bench.router.callers)
        .await;
    assert_eq!(streamed.status(), Some(StatusCode::OK));
    assert_eq!(streamed_text(&streamed.text()), Some(expected_text(40)));
    let whole = Call::completion(&key, "luma", 5, false)
        .send(bench.router.callers)
        .await;
    assert_eq!(whole.status(), Some(StatusCode::OK));
    assert!(whole.text().contains(&expected_text(5)), "{whole:?}");
    bench.router.stop().await;
}

#[tokio::test]
async fn a_plain_service_gets_any_method_and_bodies_of_any_size_both_ways() {
    let bench = bench().await;
    let key = key_of("nadi");
    let body: Vec<u8> = (0..1_000_000_u32)
        .map(|index| index.to_le_bytes()[0])
        .collect();
    for size in [0, 10, 64 * 1024 + 1, body.len()] {
        let sent = &body[..size];
        let call = Call::new(&key, "PUT", "/portal/echo?night=1", sent.to_vec());
        let end = call.send(bench.router.callers).await;
        assert_eq!(end.status(), Some(StatusCode::OK), "{size} bytes");
        assert!(matches!(end, shared::caller::CallEnd::Answered { body, .. } if body == sent));
    }
    bench.router.stop().await;
}

#[tokio::test]
async fn an_unknown_key_learns_nothing() {
    let bench = bench().await;
    let mut answers = Vec::new();
    for (key, path) in [
        ("wrong", "/portal/x"),
        ("", "/portal/x"),
        ("wrong", "/nowhere"),
    ] {
        let end = Call::new(key, "GET", path, "")
            .send(bench.router.callers)
            .await;
        assert_eq!(end.status(), Some(StatusCode::UNAUTHORIZED));
        assert_eq!(end.outcome(), "not-run");
        answers.push(end.text());
    }
    answers.dedup();
    assert_eq!(answers.len(), 1, "all refusals of unknown keys are alike");
    bench.router.stop().await;
}

// A nurse's tag is sent, its answer is lost on the way, and she sends it again: the tag must be
// written once and she must get the answer of that one run. The resend carries the ticket that
// the router gave her for the first try.
#[tokio::test]
async fn an_unrepeatable_call_runs_once_for_all_its_resends() {
    let bench = bench().await;
    let call = Call::new(&key_of("nadi"), "POST", "/portal/log", "mix").header("standin-id", "m1");
    let offered = call.send(bench.router.callers).await;
    assert_eq!(offered.status(), Some(StatusCode::PRECONDITION_REQUIRED));
    assert_eq!(offered.outcome(), "not-run");
    assert_eq!(bench.portal.executions_of("m1"), 0);
    let call = call.header("verbenaturn-ticket", offered.ticket());
    let first = call.send(bench.router.callers).await;
    let again = call.send(bench.router.callers).await;
    assert_eq!(first.status(), Some(StatusCode::OK));
    assert_eq!(first, again);
    assert_eq!(bench.portal.executions_of("m1"), 1);
    bench.router.stop().await;
}

// A caller closes its screen while an answer streams: the engine must not go on for nobody.
#[tokio::test]
async fn a_caller_that_leaves_frees_the_engine() {
    let bench = bench().await;
    let call = Call::completion(&key_of("nadi"), "luma", 1_000_000, true);
    let response = call.open(bench.router.callers).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    drop(response);
    let shared = &bench.engine.shared;
    let freed = async {
        while shared.cancelled.load(std::sync::atomic::Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), freed)
        .await
        .expect("the engine goes on");
    bench.router.stop().await;
}
