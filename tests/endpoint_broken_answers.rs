//! Plain services whose answers are no HTTP, or are reset while the request is still being sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use verbenaturn::core::event::CoreEvent;
use verbenaturn::publication::adopt;
use verbenaturn::units::ConfigRevision;

#[path = "../examples/shared/mod.rs"]
mod shared;

use self::shared::caller::Call;
use self::shared::caller::CallEnd;
use self::shared::single::SingleOptions;
use self::shared::single::SingleRouter;
use self::shared::site::Site;
use self::shared::site::key_of;

/// Size of a request's body that doesn't fit the buffers of a connection whose other end doesn't read,
/// in bytes.
const LONG_BODY_BYTES: usize = 8_388_608;

/// Time from an answer to the reset of its connection.
const RESET_PAUSE: Duration = Duration::from_millis(20);

/// Reads a part of a request, sends these bytes and resets the connection.
async fn answer_and_reset(mut router: TcpStream, answer: Arc<[u8]>) -> Option<()> {
    let mut part = [0; 2_048];
    let _first_part = router.read(&mut part).await.ok()?;
    router.write_all(&answer).await.ok()?;
    sleep(RESET_PAUSE).await;
    router.set_zero_linger().ok()
}

async fn start_endpoint(answer: &[u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer: Arc<[u8]> = answer.into();
    tokio::spawn(async move {
        while let Ok((router, _)) = listener.accept().await {
            tokio::spawn(answer_and_reset(router, Arc::clone(&answer)));
        }
    });
    address
}

/// Starts a router whose plain service sends this answer to each request.
async fn start_router(answer: &[u8]) -> SingleRouter {
    let single = SingleRouter::start(SingleOptions::default()).await;
    let address = start_endpoint(answer).await;
    let site = Site::default()
        .team("nadi", 1)
        .endpoint("engine-1", &single.engine, 8)
        .endpoint("portal-1", &single.portal, 8);
    let mut publication = site.publication(2);
    publication["endpoints"]["portal-1"]["address"] = address.to_string().into();
    let text = publication.to_string();
    let catalog = adopt(ConfigRevision(2), text.as_bytes()).unwrap();
    single.router.control().send_event(CoreEvent::Published {
        catalog: Arc::new(catalog),
        text: text.into(),
    });
    let mut known = single.router.control().catalog.clone();
    known
        .wait_for(|catalog| catalog.revision() == ConfigRevision(2))
        .await
        .unwrap();
    single
}

/// Returns how a call with this body ends if the plain service sends this answer.
async fn call_end(answer: &[u8], body_bytes: usize) -> CallEnd {
    let single = start_router(answer).await;
    let body = "p".repeat(body_bytes);
    let call = Call::new(&key_of("nadi"), "GET", "/portal/night", body);
    let end = call.send(single.router.callers).await;
    single.router.stop().await;
    end
}

/// Guards against a head that is none and reaches a caller as an answer.
#[tokio::test]
async fn an_answer_with_a_head_that_is_none_is_not_passed_on() {
    let heads: [&[u8]; 8] = [
        b"HTTP/1.1 000 X\r\n",
        b"HTTP/1.1 099 X\r\n",
        b"HTTP/1.1 600 X\r\n",
        b"HTTP/1.1 999 X\r\n",
        b"HTTP/1.1 200 OK\r\nX Broken: 1\r\n",
        b"HTTP/1.1 200 OK\r\nX\x01Broken: 1\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding\x00: chunked\r\n",
    ];
    for head in heads {
        let answer = [head, b"Content-Length: 4\r\n\r\nwhat"].concat();
        let end = call_end(&answer, 1).await;
        let seen = format!("{:?}: {end:?}", String::from_utf8_lossy(head));
        let is_error = end.status().is_some_and(|status| status.is_server_error());
        assert!(is_error, "{seen}");
        assert_eq!(end.outcome(), "unknown", "{seen}");
    }
}

/// Guards against a part of an answer that looks whole because its connection was reset while the
/// request was still being sent.
#[tokio::test]
async fn an_answer_reset_while_its_request_is_sent_does_not_look_whole() {
    let answer = b"HTTP/1.1 200 OK\r\n\r\na part of";
    for _ in 0..3 {
        let end = call_end(answer, LONG_BODY_BYTES).await;
        assert!(
            end == CallEnd::Broken || end.outcome() == "unknown",
            "{end:?}"
        );
    }
}
