//! Callers' new connections: taken in turn with the calls, and refused on the spot by a router
//! that is late.

use std::io;
use std::io::Read;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mio::net::TcpListener;
use mio::net::TcpStream;
use tokio::io::unix::AsyncFd;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep;

use super::call::tell_refused;
use super::front::Traffic;
use super::front::serve_connection;
use super::http::BodyFraming;
use super::http::RequestHead;
use super::http::WireStream;
use super::late::ROUTER_FULL;
use super::late::refusal_when_late;
use super::load::is_too_late;
use super::protocol::CallFacts;
use super::protocol::CallProtocol;

/// Pause after a connection could not be accepted, in ms: descriptors free up within that time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections accepted in one turn of the traffic thread. Each that is not refused on the spot
/// takes two further turns until its request is read, so that few wait in between.
const ACCEPTS_A_TURN: usize = 64;

/// Most bytes of a request that is refused on the spot: a usual head with a short body. What is
/// longer is read first, since closing before that would take the answer away.
const MOST_REFUSED_BYTES: usize = 8_192;

/// Accepts callers until the router ends.
///
/// Guards against a flood of new connections that are accepted faster than their requests are
/// read: they would take all descriptors, and callers would wait unread until they give up.
pub async fn accept_callers<P: CallProtocol>(
    traffic: Rc<Traffic<P>>,
    listener: AsyncFd<TcpListener>,
) {
    let mut scratch = vec![0; MOST_REFUSED_BYTES];
    loop {
        if let Err(fault) = accept_turn(&traffic, &listener, &mut scratch).await {
            spdlog::warn!("gateway: step=accept fault=\"{fault}\"");
            sleep(ACCEPT_PAUSE).await;
        }
        yield_now().await;
    }
}

/// Waits for a connection and accepts those that are there, up to the bound of a turn.
async fn accept_turn<P: CallProtocol>(
    traffic: &Rc<Traffic<P>>,
    listener: &AsyncFd<TcpListener>,
    scratch: &mut [u8],
) -> io::Result<()> {
    let mut ready = listener.readable().await?;
    for _ in 0..ACCEPTS_A_TURN {
        let Ok(accepted) = ready.try_io(|listener| listener.get_ref().accept()) else {
            traffic.callers.queue_emptied();
            return Ok(());
        };
        let (stream, _) = accepted?;
        let now = Instant::now();
        traffic.callers.queue_took(now);
        let mut arrived = BytesMut::new();
        if is_too_late(traffic, now) {
            arrived = read_at_once(&stream, scratch);
            if refused_at_once(traffic, &stream, &arrived) {
                continue;
            }
        }
        let stream = tokio::net::TcpStream::from_std(stream.into())?;
        let mut caller = WireStream::new(stream);
        caller.buffer = arrived;
        spawn_local(serve_connection(Rc::clone(traffic), caller));
    }
    Ok(())
}

/// What has come on a new connection.
fn read_at_once(mut stream: &TcpStream, scratch: &mut [u8]) -> BytesMut {
    // Nothing yet, an end and a broken connection are told apart by whoever reads on.
    let count = stream.read(scratch).unwrap_or_default();
    BytesMut::from(&scratch[..count])
}

/// Refuses the request of a new connection if it has come as a whole; whether it did.
///
/// Such a refusal takes no task and no turn. A router that gets more callers than it can refuse
/// leaves them waiting to be accepted until they give up.
fn refused_at_once<P: CallProtocol>(
    traffic: &Traffic<P>,
    mut stream: &TcpStream,
    arrived: &BytesMut,
) -> bool {
    let Some(facts) = whole_request(traffic, arrived) else {
        return false;
    };
    traffic.shared.link.received(arrived.len());
    let call_id = &facts.call_id;
    let reply = refusal_when_late(traffic, &facts);
    tell_refused(traffic, call_id, &reply, ROUTER_FULL);
    let bytes = reply.bytes(&traffic.protocol, call_id, false);
    traffic.shared.link.sent(bytes.len());
    if let Err(fault) = stream.write_all(&bytes) {
        spdlog::debug!("gateway: step=refuse call={call_id} fault=\"{fault}\"");
    }
    true
}

/// What the one request says that these bytes are, if they are just that.
fn whole_request<P: CallProtocol>(traffic: &Traffic<P>, arrived: &BytesMut) -> Option<CallFacts> {
    if arrived.len() == MOST_REFUSED_BYTES {
        return None;
    }
    let mut rest = arrived.clone();
    let head = RequestHead::take(&mut rest, MOST_REFUSED_BYTES).ok()??;
    let BodyFraming::Length(length) = BodyFraming::of_request(&head).ok()? else {
        return None;
    };
    if u64::try_from(rest.len()) != Ok(length) {
        return None;
    }
    traffic.protocol.call_facts(&head).ok()
}
