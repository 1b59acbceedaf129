//! Accepts callers' connections in turn with serving calls. While the router must refuse all calls,
//! because it lags or runs out of descriptors, requests that have arrived completely are refused
//! without a task of their own.

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

use super::call::record_refusal;
use super::front::TrafficState;
use super::front::serve_connection;
use super::http::BodyFraming;
use super::http::RequestHead;
use super::http::WireStream;
use super::late::ROUTER_FULL;
use super::late::full_router_refusal;
use super::load::must_refuse_all;
use super::protocol::CallFacts;
use super::protocol::CallProtocol;

/// Interval at which a router that shuts down checks whether its last connection has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Pause after a failed accept. Descriptors free up within that time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections accepted in one turn, that is, before the traffic thread runs its other tasks again.
/// A connection that is not refused at once takes two further turns until its request is read, so
/// this bounds how many wait in between.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// Requests of this size or more, in bytes, are read in the normal way before they are refused; a
/// usual head with a short body is smaller. Closing a connection with unread bytes resets it, and
/// the caller would lose the reply.
const INLINE_REFUSAL_BYTES: usize = 8_192;

/// Accepts callers until the router stops, or until none is left during its shutdown.
///
/// Guards against a flood of new connections: if they were accepted faster than their requests are
/// read, they would use up all descriptors, and callers would wait unserved until they time out.
pub async fn accept_callers<P: CallProtocol>(
    traffic: Rc<TrafficState<P>>,
    listener: AsyncFd<TcpListener>,
) {
    let stages = &traffic.shared.shutdown_stages;
    let mut scratch = vec![0; INLINE_REFUSAL_BYTES];
    loop {
        let turn = tokio::select! {
            biased;
            turn = accept_turn(&traffic, &listener, &mut scratch) => turn,
            () = drain_check(&traffic) => match accept_last(&traffic, &listener, &mut scratch) {
                Ok(true) => Ok(()),
                Ok(false) => break,
                Err(fault) => Err(fault),
            },
        };
        if let Err(fault) = turn {
            spdlog::warn!("gateway: step=accept fault=\"{fault}\"");
            sleep(ACCEPT_PAUSE).await;
        }
        yield_now().await;
    }
    drop(listener);
    stages.drained.cancel();
}

/// Resolves in the closing stage of a shutdown, a little later, if no connection is open.
async fn drain_check<P>(traffic: &TrafficState<P>) {
    traffic.shared.shutdown_stages.closing.cancelled().await;
    loop {
        sleep(DRAIN_POLL).await;
        if traffic.callers.count() == 0 {
            return;
        }
    }
}

/// Accepts a connection from the queue of a router that shuts down. Returns false if there is none.
///
/// Looks at the listener directly: after a pause of the process the runtime may fire timers before
/// it learns which connections have arrived meanwhile.
fn accept_last<P: CallProtocol>(
    traffic: &Rc<TrafficState<P>>,
    listener: &AsyncFd<TcpListener>,
    scratch: &mut [u8],
) -> io::Result<bool> {
    match listener.get_ref().accept() {
        Ok((stream, _)) => begin_connection(traffic, stream, scratch).map(|()| true),
        Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(fault) => Err(fault),
    }
}

/// Waits for a connection, then accepts all that are pending, up to the limit of one turn.
async fn accept_turn<P: CallProtocol>(
    traffic: &Rc<TrafficState<P>>,
    listener: &AsyncFd<TcpListener>,
    scratch: &mut [u8],
) -> io::Result<()> {
    let mut ready = listener.readable().await?;
    for _ in 0..MAX_ACCEPTS_PER_TURN {
        let Ok(accepted) = ready.try_io(|listener| listener.get_ref().accept()) else {
            traffic.callers.record_empty_queue();
            return Ok(());
        };
        let (stream, _) = accepted?;
        begin_connection(traffic, stream, scratch)?;
    }
    Ok(())
}

/// Refuses the request of an accepted connection at once, or starts the task that serves it.
fn begin_connection<P: CallProtocol>(
    traffic: &Rc<TrafficState<P>>,
    stream: TcpStream,
    scratch: &mut [u8],
) -> io::Result<()> {
    let now = Instant::now();
    traffic.callers.record_accepted_connection(now);
    let mut arrived = BytesMut::new();
    if must_refuse_all(traffic, now) {
        arrived = read_available(&stream, scratch);
        if try_refuse(traffic, &stream, &arrived) {
            return Ok(());
        }
    }
    let stream = tokio::net::TcpStream::from_std(stream.into())?;
    let mut caller = WireStream::new(stream);
    caller.buffer = arrived;
    let open = traffic.callers.open();
    spawn_local(serve_connection(Rc::clone(traffic), caller, open));
    Ok(())
}

/// Reads the bytes that have already arrived on a new connection.
fn read_available(mut stream: &TcpStream, scratch: &mut [u8]) -> BytesMut {
    // "Nothing yet", the end of the stream and errors all give 0 bytes here; the next read tells
    // them apart.
    let count = stream.read(scratch).unwrap_or_default();
    BytesMut::from(&scratch[..count])
}

/// Refuses the request of a new connection if it has arrived completely. Returns whether it was
/// refused.
///
/// Such a refusal needs no task and no further turn, so the router refuses more callers per second.
/// Callers that arrive even faster wait in the accept queue until they time out.
fn try_refuse<P: CallProtocol>(
    traffic: &TrafficState<P>,
    mut stream: &TcpStream,
    arrived: &BytesMut,
) -> bool {
    let Some(facts) = whole_request(traffic, arrived) else {
        return false;
    };
    traffic.shared.link.received(arrived.len());
    let call_id = &facts.call_id;
    let reply = full_router_refusal(traffic, &facts);
    record_refusal(traffic, call_id, &reply, ROUTER_FULL);
    let bytes = reply.bytes(&traffic.protocol, call_id, false);
    traffic.shared.link.sent(bytes.len());
    if let Err(fault) = stream.write_all(&bytes) {
        spdlog::debug!("gateway: step=refuse call={call_id} fault=\"{fault}\"");
    }
    true
}

/// Decodes the call if the bytes are exactly one complete request.
fn whole_request<P: CallProtocol>(
    traffic: &TrafficState<P>,
    arrived: &BytesMut,
) -> Option<CallFacts> {
    // A full buffer may mean that more bytes are still unread.
    if arrived.len() == INLINE_REFUSAL_BYTES {
        return None;
    }
    let mut rest = arrived.clone();
    let head = RequestHead::take(&mut rest, INLINE_REFUSAL_BYTES).ok()??;
    let BodyFraming::Length(length) = BodyFraming::of_request(&head).ok()? else {
        return None;
    };
    if u64::try_from(rest.len()) != Ok(length) {
        return None;
    }
    traffic.protocol.call_facts(&head).ok()
}
