//! Shutdowns that don't wait for every answer.

use std::time::Duration;

use http_body_util::BodyExt;

#[path = "../examples/shared/mod.rs"]
mod shared;

use self::shared::caller::Call;
use self::shared::endpoint::EndpointRole;
use self::shared::endpoint::StandinEndpoint;
use self::shared::processes::ProcessFleet;
use self::shared::site::Site;
use self::shared::site::key_of;

const EXIT_CUT: i32 = 3;

async fn endpoint(role: EndpointRole) -> StandinEndpoint {
    let listen = "127.0.0.1:0".parse().unwrap();
    StandinEndpoint::start(listen, role, 8).await.unwrap()
}

/// Ends a router with `signals` signals during a stream that does not end by itself.
async fn shut_down_during_a_stream(deadline_s: u64, signals: usize) {
    let engine = endpoint(EndpointRole::Engine {
        model: "luma".to_owned(),
        token: Duration::from_millis(5),
        resumes: true,
        checks_fence: true,
    })
    .await;
    let portal = endpoint(EndpointRole::Plain {
        pool: "portal".to_owned(),
        work: Duration::ZERO,
    })
    .await;
    let site = Site::default()
        .team("nadi", 1)
        .endpoint("engine-0", &engine, 8)
        .endpoint("portal-0", &portal, 8);
    let program = env!("CARGO_BIN_EXE_verbenaturnd");
    let mut fleet = ProcessFleet::start_with(program, 1, deadline_s).await;
    fleet.sources.publish(site.publication(1).to_string());
    let address = fleet.routers[0].callers;
    fleet.wait_serving(&[address], "nadi").await;
    let call = Call::completion(&key_of("nadi"), "luma", 1_000_000_000, true);
    let response = call.open(address).await.unwrap();
    for _ in 0..signals {
        fleet.routers[0].terminate().await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let ended = fleet.routers[0].ended().await;
    assert_eq!(ended.code(), Some(EXIT_CUT));
    let whole = response.into_body().collect().await;
    assert!(whole.is_err(), "a cut answer was taken for whole");
}

// A second signal, or the deadline of the settings, ends the router before the last answer is
// complete. The exit code must report the cut, and the caller must not take the answer for whole.
#[tokio::test]
async fn a_second_signal_or_the_deadline_cuts_and_sets_the_exit_code() {
    shut_down_during_a_stream(60, 2).await;
    shut_down_during_a_stream(1, 1).await;
}
