//! Connections between routers: authentication, refused connections and forwarded requests.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use verbenaturn::configs::peers::PeersConfig;
use verbenaturn::peers::MeshSettings;
use verbenaturn::peers::error::PeerStep;
use verbenaturn::peers::forward::ForwardTarget;
use verbenaturn::peers::forward_server::BodyPiece;
use verbenaturn::peers::forward_server::ForwardedCall;
use verbenaturn::peers::keys::PeerKeys;
use verbenaturn::peers::mesh::PeerEvent;
use verbenaturn::peers::mesh::PeerMesh;
use verbenaturn::peers::tls::PeerTls;
use verbenaturn::peers::traffic::TrafficKind;
use verbenaturn::units::HostName;
use verbenaturn::units::RouterIncarnation;
use verbenaturn::wire::PeerBody;
use verbenaturn::wire::PeerMessage;
use verbenaturn::wire::forward::ForwardAnswerHead;
use verbenaturn::wire::forward::ForwardHead;
use verbenaturn::wire::handshake::HelloFrame;
use verbenaturn::wire::publication::PublicationRequest;

/// Timeout for anything that must happen; the test fails when it expires.
const LIMIT: Duration = Duration::from_secs(20);

struct Router {
    mesh: PeerMesh,
    events: mpsc::Receiver<PeerEvent>,
    calls: mpsc::Receiver<ForwardedCall>,
    cancel: CancellationToken,
    host: HostName,
}

impl Router {
    async fn start(name: &str, incarnation: u64, keys: &[u8], tls: Option<PeerTls>) -> Self {
        let host: HostName = name.parse().expect("test host name");
        let keys = keys.iter().map(|byte| vec![*byte; 32]).collect();
        let settings = MeshSettings {
            host: host.clone(),
            incarnation: RouterIncarnation(incarnation),
            listen: "127.0.0.1:0".parse().expect("loopback"),
            keys: PeerKeys::new(keys).expect("test keys"),
            tls,
            config: PeersConfig::default(),
        };
        let (sender, events) = mpsc::channel(1_000);
        let cancel = CancellationToken::new();
        let (mesh, calls) = PeerMesh::start(settings, cancel.clone(), sender)
            .await
            .expect("listener binds");
        Self {
            mesh,
            events,
            calls,
            cancel,
            host,
        }
    }

    fn address(&self) -> String {
        self.mesh.address().to_string()
    }

    fn dial(&self, other: &Self) {
        self.mesh.connect(&other.host, &other.address());
    }

    async fn next(&mut self) -> PeerEvent {
        timeout(LIMIT, self.events.recv())
            .await
            .expect("an event in time")
            .expect("mesh runs")
    }

    async fn call(&mut self) -> ForwardedCall {
        timeout(LIMIT, self.calls.recv())
            .await
            .expect("a call in time")
            .expect("mesh runs")
    }

    fn target(&self, incarnation: Option<u64>) -> ForwardTarget {
        ForwardTarget {
            host: self.host.clone(),
            address: self.address().into(),
            incarnation: incarnation.map(RouterIncarnation),
        }
    }
}

fn request(revision: u64) -> PeerMessage {
    PeerMessage::new(PeerBody::PublicationWanted(PublicationRequest { revision }))
}

fn post() -> ForwardHead {
    ForwardHead {
        method: "POST".to_owned(),
        path: "/portal/tag".to_owned(),
        deadline_ms: 1_000,
        ..ForwardHead::default()
    }
}

#[tokio::test]
async fn messages_pass_both_ways_over_one_connection_and_are_counted() {
    let mut left = Router::start("left", 1, &[7], None).await;
    let mut right = Router::start("right", 2, &[7], None).await;
    left.dial(&right);
    let PeerEvent::Opened { host, incarnation } = left.next().await else {
        panic!("opened comes first");
    };
    assert_eq!((host.as_str(), incarnation.0), ("right", 2));
    assert!(
        matches!(right.next().await, PeerEvent::Opened { incarnation, .. } if incarnation.0 == 1)
    );
    left.mesh.send(&right.host, request(3));
    assert!(
        matches!(right.next().await, PeerEvent::Message { message, .. } if message == request(3))
    );
    right.mesh.send(&left.host, request(4));
    assert!(matches!(left.next().await, PeerEvent::Message { from, .. } if from == right.host));
    let sent = right.mesh.counters().received(TrafficKind::Publication);
    assert_eq!(sent, request(3).encoded_len() as u64 + 20);
    assert!(left.mesh.counters().sent(TrafficKind::Handshake) > 0);
}

// A router process dies and another starts on its host. Peers must get an event for the closed
// connection, and one for the next connection with the new incarnation. Otherwise they would keep
// counting the slots of the dead process.
#[tokio::test]
async fn a_restarted_peer_is_seen_as_closed_and_opened_with_its_new_incarnation() {
    let mut left = Router::start("left", 1, &[7], None).await;
    let right = Router::start("right", 2, &[7], None).await;
    left.dial(&right);
    assert!(matches!(left.next().await, PeerEvent::Opened { .. }));
    right.cancel.cancel();
    assert!(matches!(left.next().await, PeerEvent::Closed { .. }));
    let restarted = Router::start("right", 3, &[7], None).await;
    left.dial(&restarted);
    loop {
        match left.next().await {
            PeerEvent::Opened { incarnation, .. } => {
                assert_eq!(incarnation.0, 3);
                break;
            }
            PeerEvent::Closed { .. } => {}
            PeerEvent::Message { .. } => panic!("nobody sent a message"),
        }
    }
}

#[tokio::test]
async fn a_peer_without_the_key_is_refused_as_dialer_and_as_acceptor() {
    let mut left = Router::start("left", 1, &[7], None).await;
    let mut stranger = Router::start("stranger", 9, &[8], None).await;
    stranger.dial(&left);
    assert!(matches!(stranger.next().await, PeerEvent::Closed { .. }));
    left.dial(&stranger);
    assert!(matches!(left.next().await, PeerEvent::Closed { host } if host == stranger.host));
}

#[tokio::test]
async fn keys_rotate_while_two_are_accepted() {
    let mut old = Router::start("old", 1, &[7, 8], None).await;
    let mut new = Router::start("new", 2, &[8, 7], None).await;
    old.dial(&new);
    assert!(matches!(old.next().await, PeerEvent::Opened { .. }));
    assert!(matches!(new.next().await, PeerEvent::Opened { .. }));
    old.mesh.send(&new.host, request(5));
    assert!(matches!(new.next().await, PeerEvent::Message { .. }));
    new.mesh
        .set_keys(PeerKeys::new(vec![vec![8; 32]]).expect("one key"));
    let mut late = Router::start("late", 3, &[7], None).await;
    late.dial(&new);
    let seen = late.next().await;
    assert!(
        matches!(seen, PeerEvent::Closed { .. }),
        "the old key is out"
    );
}

#[tokio::test]
async fn another_host_at_the_dialed_address_is_refused() {
    let mut left = Router::start("left", 1, &[7], None).await;
    let right = Router::start("right", 2, &[7], None).await;
    left.mesh
        .connect(&"somebody".parse().expect("name"), &right.address());
    assert!(matches!(left.next().await, PeerEvent::Closed { host } if host.as_str() == "somebody"));
}

// A peer of a newer version, a port scanner or a faulty process connects. The router must close the
// connection and keep serving its other peers.
#[tokio::test]
async fn malformed_and_oversized_frames_and_other_versions_are_refused() {
    let mut left = Router::start("left", 1, &[7], None).await;
    let hello = HelloFrame {
        version: 99,
        host: "future".to_owned(),
        nonce: vec![1; 32].into(),
        ..HelloFrame::default()
    };
    let stream = TcpStream::connect(left.mesh.address()).await;
    let mut future = Framed::new(stream.expect("connects"), LengthDelimitedCodec::new());
    let hello = Bytes::from(hello.encode_to_vec());
    future.send(hello).await.expect("writes");
    let answer = timeout(LIMIT, future.next()).await.expect("in time");
    let answer = answer
        .expect("the router tells its version")
        .expect("reads");
    let answer = HelloFrame::decode(answer).expect("a hello");
    assert_eq!(answer.version, verbenaturn::wire::WIRE_VERSION);
    let rest = timeout(LIMIT, future.next()).await.expect("in time");
    assert!(rest.is_none(), "then it closes");
    for junk in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0xff; 64],
        &[0, 0, 0, 2, 0xff, 0xff],
    ] {
        let stream = TcpStream::connect(left.mesh.address()).await;
        let mut stream = stream.expect("connects");
        stream.write_all(junk).await.expect("writes");
        let mut rest = Vec::new();
        let ended = timeout(LIMIT, stream.read_to_end(&mut rest)).await;
        assert!(ended.is_ok(), "the router closes");
    }
    let right = Router::start("right", 2, &[7], None).await;
    right.dial(&left);
    assert!(matches!(left.next().await, PeerEvent::Opened { host, .. } if host == right.host));
}

fn certified(names: &[&str]) -> Vec<PeerTls> {
    let mut params = rcgen::CertificateParams::new(Vec::new()).expect("params");
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let key = rcgen::KeyPair::generate().expect("key");
    let authority = rcgen::CertifiedIssuer::self_signed(params, key).expect("authority");
    let mut all = Vec::new();
    for name in names {
        let key = rcgen::KeyPair::generate().expect("key");
        let params = rcgen::CertificateParams::new(vec![(*name).to_owned()]).expect("params");
        let leaf = params.signed_by(&key, &authority).expect("signed");
        let (leaf, key) = (leaf.pem(), key.serialize_pem());
        let tls = PeerTls::from_pem(leaf.as_bytes(), key.as_bytes(), authority.pem().as_bytes());
        all.push(tls.expect("certificates fit"));
    }
    all
}

#[tokio::test]
async fn mutual_tls_carries_messages_and_refuses_other_authorities_and_plain_peers() {
    let mut tls = certified(&["left", "right"]).into_iter();
    let mut left = Router::start("left", 1, &[7], tls.next()).await;
    let mut right = Router::start("right", 2, &[7], tls.next()).await;
    left.dial(&right);
    assert!(matches!(left.next().await, PeerEvent::Opened { .. }));
    assert!(matches!(right.next().await, PeerEvent::Opened { .. }));
    left.mesh.send(&right.host, request(3));
    assert!(matches!(right.next().await, PeerEvent::Message { .. }));
    let other = certified(&["other"]).pop();
    let mut other = Router::start("other", 3, &[7], other).await;
    other.dial(&right);
    assert!(matches!(other.next().await, PeerEvent::Closed { .. }));
    let mut plain = Router::start("plain", 4, &[7], None).await;
    plain.dial(&right);
    assert!(matches!(plain.next().await, PeerEvent::Closed { .. }));
    assert!(right.events.try_recv().is_err(), "nothing opened");
}

async fn read_body(call: &mut ForwardedCall) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    loop {
        match timeout(LIMIT, call.body.recv()).await.expect("in time") {
            Some(BodyPiece::Bytes(piece)) => bytes.extend_from_slice(&piece),
            Some(BodyPiece::Whole) => return (bytes, true),
            None => return (bytes, false),
        }
    }
}

fn answer_head(status: u32) -> ForwardAnswerHead {
    ForwardAnswerHead {
        status,
        headers: Vec::new(),
    }
}

#[tokio::test]
async fn forwarded_requests_come_back_whole_and_reuse_their_connection() {
    let left = Router::start("left", 1, &[7], None).await;
    let mut right = Router::start("right", 2, &[7], None).await;
    let client = left.mesh.forward_client();
    let body = Bytes::from(vec![5; 300_000]);
    let mut handshakes = Vec::new();
    for _ in 0..3 {
        let opened = client.open(&right.target(Some(2)), post()).await;
        let (mut sink, mut answer) = opened.expect("opens");
        let sent = body.clone();
        let sending = tokio::spawn(async move {
            sink.send(sent).await.expect("sends");
            sink.finish().await.expect("finishes");
        });
        let mut call = right.call().await;
        assert_eq!(call.head.path, "/portal/tag");
        assert_eq!(call.remote.host, left.host);
        assert_eq!(read_body(&mut call).await, (body.to_vec(), true));
        let answering = tokio::spawn(async move {
            call.answer.head(answer_head(201)).await?;
            call.answer.send(vec![6; 200_000].into()).await?;
            call.answer.finish().await
        });
        assert_eq!(answer.head().await.expect("head").status, 201);
        let mut read = 0;
        while let Some(piece) = answer.next_piece().await.expect("whole") {
            read += piece.len();
        }
        assert_eq!(read, 200_000);
        sending.await.expect("sender ends");
        assert_eq!(answering.await.expect("handler ends"), Ok(()));
        handshakes.push(left.mesh.counters().sent(TrafficKind::Handshake));
    }
    assert_eq!(handshakes[0], handshakes[2], "one handshake for all");
}

// The router that forwards an answer dies before the answer's end. The caller must not take the
// truncated answer for a complete one.
#[tokio::test]
async fn an_answer_that_breaks_before_its_end_is_an_error() {
    let left = Router::start("left", 1, &[7], None).await;
    let mut right = Router::start("right", 2, &[7], None).await;
    let client = left.mesh.forward_client();
    let opened = client.open(&right.target(None), post()).await;
    let (sink, mut answer) = opened.expect("opens");
    sink.finish().await.expect("finishes");
    let call = right.call().await;
    call.answer
        .head(answer_head(200))
        .await
        .expect("peer is there");
    let half = Bytes::from_static(b"half");
    call.answer.send(half.clone()).await.expect("peer is there");
    assert_eq!(answer.head().await.expect("head").status, 200);
    assert_eq!(answer.next_piece().await.expect("piece"), Some(half));
    drop(call);
    let report = answer.next_piece().await.expect_err("cut");
    assert_eq!(report.current_context().step, PeerStep::AnswerCut);
}

// A caller disconnects while a peer serves its forwarded request. The peer must be notified, so
// that it stops the work at the endpoint.
#[tokio::test]
async fn a_disconnected_caller_cancels_the_forwarded_call() {
    let left = Router::start("left", 1, &[7], None).await;
    let mut right = Router::start("right", 2, &[7], None).await;
    let client = left.mesh.forward_client();
    let opened = client.open(&right.target(None), post()).await;
    let mut call = right.call().await;
    drop(opened);
    let cancelled = timeout(LIMIT, call.cancelled.cancelled()).await;
    cancelled.expect("cancelled in time");
    assert_eq!(read_body(&mut call).await, (Vec::new(), false));
}

// The router that issued a ticket restarts. Its new incarnation must not get the request, because
// it can't know if the previous one ran it.
#[tokio::test]
async fn a_request_for_a_previous_incarnation_is_not_sent() {
    let left = Router::start("left", 1, &[7], None).await;
    let mut right = Router::start("right", 2, &[7], None).await;
    let client = left.mesh.forward_client();
    let opened = client.open(&right.target(Some(1)), post()).await;
    let report = opened.expect_err("refused");
    assert_eq!(report.current_context().step, PeerStep::Identity);
    assert!(right.calls.try_recv().is_err());
}

// The handler at the peer does not read. Buffers between the ends are bounded, so the sender of a
// long body must be blocked.
#[tokio::test]
async fn a_handler_that_does_not_read_blocks_the_sender() {
    let left = Router::start("left", 1, &[7], None).await;
    let mut right = Router::start("right", 2, &[7], None).await;
    let client = left.mesh.forward_client();
    let opened = client.open(&right.target(None), post()).await;
    let (mut sink, _answer) = opened.expect("opens");
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sent);
    let sending = tokio::spawn(async move {
        let piece = Bytes::from(vec![0; 65_536]);
        while sink.send(piece.clone()).await.is_ok() {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    let call = right.call().await;
    let mut last = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let now = sent.load(Ordering::Relaxed);
        if now == last {
            break;
        }
        last = now;
    }
    assert!(last < 1_000, "{last} pieces of 64 KiB left the sender");
    drop(call);
    sending.await.expect("sender ends");
}
