//! Transfer of the published state between routers, and what a router does that can't get it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use verbenaturn::gateway::catch_up::CatchUp;
use verbenaturn::gateway::catch_up::StateVersions;
use verbenaturn::gateway::follow::StateSection;
use verbenaturn::gateway::freshness;
use verbenaturn::gateway::handover::fetch_state;
use verbenaturn::gateway::handover::serve_state;
use verbenaturn::gateway::routes::RouteTable;
use verbenaturn::gateway::routes::TeamKey;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

mod engines;
mod stores;

use self::stores::exchanging;
use self::stores::router;

/// Guards against a router that keeps the former state for good since it can't fetch the newer one
/// that the readers have.
#[tokio::test]
async fn a_router_that_can_not_fetch_a_newer_state_reads_the_store() {
    let routers: Vec<_> = (0..4).map(|_| router()).collect();
    for shared in &routers {
        shared.offer_routes(Arc::new(routes(1)));
    }
    let readers = &routers[..3];
    for shared in readers {
        for section in StateSection::ALL {
            shared.set_in_touch(section, true);
        }
    }
    // None of them serves its state to the others.
    let _tasks = exchanging(&routers).await;
    let fetching = &routers[3];
    assert!(!fetching.is_reader());
    for shared in readers {
        shared.offer_routes(Arc::new(routes(2)));
    }
    let bound = freshness::bound(&fetching.config);
    let reading = timeout(bound, fetching.wait_until_reader()).await;
    assert!(reading.is_ok());
    fetching.offer_routes(Arc::new(routes(2)));
    sleep(Duration::from_millis(300)).await;
    assert!(!fetching.is_reader());
}

fn routes(version: u64) -> RouteTable {
    RouteTable {
        version,
        ..RouteTable::default()
    }
}

/// Guards against a reader of the store in place of a fetch that only takes a while.
#[test]
fn a_router_that_gets_newer_versions_one_after_the_other_is_not_stuck() {
    let limit = TimeSpan::from_millis(1_000);
    let versions = |routes, endpoints| StateVersions { routes, endpoints };
    let mut catch_up = CatchUp::default();
    for step in 0..20 {
        let now = Moment(0) + TimeSpan::from_millis(300 * step);
        let (own, newest) = (versions(7, step), versions(7, step + 1));
        assert!(!catch_up.is_stuck(now, own, newest, limit));
    }
    // New endpoints don't hide routes that never come.
    let mut catch_up = CatchUp::default();
    let stuck = (0..20).map(|step| {
        let now = Moment(0) + TimeSpan::from_millis(300 * step);
        catch_up.is_stuck(now, versions(7, step), versions(8, step + 1), limit)
    });
    assert_eq!(stuck.filter(|is_stuck| *is_stuck).count(), 16);
}

/// Returns routes with two keys of one team.
fn routes_with_keys() -> RouteTable {
    let keys = ["first", "second"].map(|key| (SmolStr::new(key), TeamKey(SmolStr::new("nadi"))));
    RouteTable {
        keys: keys.into_iter().collect(),
        ..routes(7)
    }
}

/// Guards against routers of an earlier program that get no state during a rolling upgrade: they ask
/// without saying that they take parts, and read each key with its team.
#[tokio::test]
async fn a_router_of_an_earlier_program_gets_the_state_as_it_reads_it() {
    let shared = router();
    shared.offer_routes(Arc::new(routes_with_keys()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_state(shared, listener));
    let stream = TcpStream::connect(address).await.unwrap();
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    // It has no routes and no endpoints, which its request encodes as nothing.
    frames.send(Bytes::new()).await.unwrap();
    let response = frames.next().await.unwrap().unwrap();
    let response: Value = serde_json::from_slice(&response).unwrap();
    let expected = json!({"first": "nadi", "second": "nadi"});
    assert_eq!(response["routes"]["keys"], expected);
    assert!(frames.next().await.is_none());
}

/// Guards against the reverse: a state that a router of an earlier program sends.
#[tokio::test]
async fn the_state_of_a_router_of_an_earlier_program_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
        frames.next().await.unwrap().unwrap();
        let mut table = serde_json::to_value(routes(7)).unwrap();
        table["keys"] = json!({"first": "nadi", "second": "nadi"});
        let response = json!({"routes": table, "endpoints": null}).to_string();
        frames.send(Bytes::from(response)).await.unwrap();
    });
    let fetching = router();
    fetch_state(Arc::clone(&fetching), address).await;
    assert_eq!(*fetching.routes().unwrap(), routes_with_keys());
}

#[test]
fn keys_are_exchanged_by_team() {
    let text = serde_json::to_value(routes_with_keys()).unwrap();
    assert_eq!(text["keys"], json!({"nadi": ["first", "second"]}));
    let read: RouteTable = serde_json::from_value(text).unwrap();
    assert_eq!(read, routes_with_keys());
}
