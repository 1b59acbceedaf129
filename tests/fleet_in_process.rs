//! Several routers in one process: membership, forwarding and draining over real connections.

use std::time::Duration;

use http::StatusCode;

#[path = "../examples/shared/mod.rs"]
mod shared;

use self::shared::caller::Call;
use self::shared::caller::expected_text;
use self::shared::caller::streamed_text;
use self::shared::endpoint::EndpointRole;
use self::shared::endpoint::StandinEndpoint;
use self::shared::fleet::LocalFleet;
use self::shared::site::Site;
use self::shared::site::key_of;

async fn engine(token_ms: u64, slots: usize) -> StandinEndpoint {
    let role = EndpointRole::Engine {
        model: "luma".to_owned(),
        token: Duration::from_millis(token_ms),
        resumes: true,
        checks_fence: true,
    };
    let listen = "127.0.0.1:0".parse().unwrap();
    StandinEndpoint::start(listen, role, slots).await.unwrap()
}

async fn portal() -> StandinEndpoint {
    let role = EndpointRole::Plain {
        pool: "portal".to_owned(),
        work: Duration::ZERO,
    };
    let listen = "127.0.0.1:0".parse().unwrap();
    StandinEndpoint::start(listen, role, 8).await.unwrap()
}

#[tokio::test]
async fn every_router_serves_every_pool() {
    let engine = engine(1, 8).await;
    let site = Site::default()
        .team("nadi", 1)
        .endpoint("engine-1", &engine, 8);
    let fleet = LocalFleet::start(3, &site).await;
    for router in &fleet.routers {
        let call = Call::completion(&key_of("nadi"), "luma", 10, true);
        let end = call.send(router.callers).await;
        assert_eq!(streamed_text(&end.text()), Some(expected_text(10)));
    }
    fleet.stop().await;
}

// One router offers a ticket for a request; the balancer sends the retries to other routers. They
// must forward them to the router that issued the ticket, and the request must run only once.
#[tokio::test]
async fn any_router_forwards_a_ticket_to_its_issuer() {
    let portal = portal().await;
    let site = Site::default()
        .team("nadi", 1)
        .endpoint("portal-1", &portal, 8);
    let fleet = LocalFleet::start(3, &site).await;
    let call = Call::new(&key_of("nadi"), "POST", "/portal/log", "mix").header("standin-id", "m1");
    let offered = call.send(fleet.routers[0].callers).await;
    assert_eq!(offered.status(), Some(StatusCode::PRECONDITION_REQUIRED));
    let call = call.header("verbenaturn-ticket", offered.ticket());
    let mut answers = Vec::new();
    for router in [1, 2, 0, 1] {
        let end = call.send(fleet.routers[router].callers).await;
        assert_eq!(end.status(), Some(StatusCode::OK), "{end:?}");
        answers.push(end.text());
    }
    answers.dedup();
    assert_eq!(answers.len(), 1);
    assert_eq!(portal.executions_of("m1"), 1);
    fleet.stop().await;
}

// A router is drained while it streams a long answer and other requests wait there. The stream must
// be complete, a peer must answer the waiting requests, and then the router must stop.
#[tokio::test]
async fn a_drain_cuts_nothing_and_hands_over_what_waits() {
    let engine = engine(3, 1).await;
    let site = Site::default()
        .team("nadi", 1)
        .endpoint("engine-1", &engine, 1);
    let mut fleet = LocalFleet::start(2, &site).await;
    let address = fleet.routers[0].callers;
    let mut calls = Vec::new();
    for _ in 0..4 {
        let call = Call::completion(&key_of("nadi"), "luma", 100, true);
        calls.push(tokio::spawn(async move { call.send(address).await }));
    }
    while fleet.routers[0].in_flight().await.len() < 4 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let drained = fleet.routers.remove(0);
    drained.drain().await;
    drained.stop().await;
    for call in calls {
        let end = call.await.unwrap();
        assert_eq!(streamed_text(&end.text()), Some(expected_text(100)));
    }
    fleet.stop().await;
}
