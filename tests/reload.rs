//! Reload of the settings while a router runs.

use std::time::Duration;

#[path = "../examples/shared/mod.rs"]
mod shared;

use self::shared::endpoint::EndpointRole;
use self::shared::endpoint::StandinEndpoint;
use self::shared::processes::ProcessFleet;
use self::shared::site::Site;

/// Guards against a router that ends on SIGHUP, which operators send to reload the settings. The
/// signal was not handled, and its default action ended the process and cut every answer in flight.
#[tokio::test]
async fn a_hang_up_signal_does_not_end_a_router() {
    let listen = "127.0.0.1:0".parse().unwrap();
    let role = EndpointRole::Plain {
        pool: "portal".to_owned(),
        work: Duration::ZERO,
    };
    let portal = StandinEndpoint::start(listen, role, 8).await.unwrap();
    let site = Site::default()
        .team("nadi", 1)
        .endpoint("portal-0", &portal, 8);
    let program = env!("CARGO_BIN_EXE_verbenaturnd");
    let mut fleet = ProcessFleet::start_with(program, 1, 5).await;
    fleet.sources.publish(site.publication(1).to_string());
    let address = fleet.routers[0].callers;
    fleet.wait_serving(&[address], "nadi").await;
    fleet.routers[0].signal_reload().await;
    let early = tokio::time::timeout(Duration::from_millis(500), fleet.routers[0].ended()).await;
    assert!(early.is_err(), "the router ended: {early:?}");
    fleet.wait_serving(&[address], "nadi").await;
    fleet.routers[0].terminate().await;
    assert!(fleet.routers[0].ended().await.success());
}
