//! Callers' connections: one task per connection reads its requests and serves them in order.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use mio::net::TcpListener;
use tokio::io::unix::AsyncFd;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use super::accept::accept_callers;
use super::call::AfterCall;
use super::call::refuse;
use super::call::serve_call;
use super::decide::answer_memory::AnswerMemory;
use super::http::BodyDecoder;
use super::http::BodyFraming;
use super::http::HeadFault;
use super::http::RequestHead;
use super::http::WireStream;
use super::http::framing::expects_continue;
use super::http::head::has_connection_option;
use super::kept_connection::RequestWait;
use super::kept_connection::idle_limit;
use super::kept_connection::wait_for_request;
use super::load::CallerGuard;
use super::load::CallerLoad;
use super::load::watch_load;
use super::pool::EndpointPool;
use super::protocol::CallProtocol;
use super::reply::OwnReply;
use super::reply::OwnStatus;
use super::routes::CallerLimits;
use super::shared::MemoryGuard;
use super::shared::SharedState;

/// Interval between two sweeps of the idle connections to endpoints.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);

/// State that all tasks of the traffic thread share. That thread serves callers; the control thread
/// does all other work.
#[derive(Debug)]
pub struct TrafficState<P> {
    /// State shared with the control thread.
    pub shared: Arc<SharedState>,
    /// Decodes and writes the deployment's headers.
    pub protocol: P,
    /// Idle connections to endpoints.
    pub pool: EndpointPool,
    /// Memory for answers that are collected.
    pub answers: Rc<AnswerMemory>,
    /// Open connections of callers, lag of the timers and delay of the accept queue.
    pub callers: CallerLoad,
}

/// Accepts and serves callers until the router stops.
pub async fn serve_callers<P: CallProtocol>(
    traffic: Rc<TrafficState<P>>,
    listener: AsyncFd<TcpListener>,
) {
    let ended = traffic.shared.shutdown_stages.ended.clone();
    spawn_local(sweep_pool(Rc::clone(&traffic)));
    spawn_local(watch_load(Rc::clone(&traffic)));
    spawn_local(accept_callers(traffic, listener));
    ended.cancelled().await;
}

/// Drops pooled connections that expired or whose endpoint restarted, left or is unregistered.
async fn sweep_pool<P: CallProtocol>(traffic: Rc<TrafficState<P>>) {
    loop {
        sleep(SWEEP_PAUSE).await;
        let core = traffic.shared.core();
        traffic.pool.sweep(|process| {
            core.endpoints
                .get(&process.key)
                .is_some_and(|row| row.entry.born == process.born && !row.announced_leaving())
        });
    }
}

/// A request that was read as a whole.
struct ReadRequest {
    head: RequestHead,
    body: Bytes,
    keep: bool,
    _memory: Option<MemoryGuard>,
}

/// Why no request was read. In both cases the connection is closed.
enum ReadEnd {
    /// The connection ended, was idle for too long, or is idle while descriptors are scarce or the
    /// router shuts down; no reply is sent.
    NoReply,
    /// The router replies and closes the connection; the second value is the logged cause.
    Reply(OwnReply, &'static str),
}

impl ReadEnd {
    fn of(status: OwnStatus, cause: &'static str) -> Self {
        Self::Reply(OwnReply::plain(status), cause)
    }
}

/// Serves the calls of one connection. Its buffer may already hold the start of the first request.
pub async fn serve_connection<P: CallProtocol>(
    traffic: Rc<TrafficState<P>>,
    caller: WireStream,
    _open: CallerGuard,
) {
    let mut caller = caller.metered(&traffic.shared.link);
    let mut former_limit = None;
    loop {
        let request = match read_request(&traffic, &mut caller, former_limit).await {
            Ok(request) => request,
            Err(ReadEnd::NoReply) => return,
            Err(ReadEnd::Reply(reply, cause)) => {
                refuse(&traffic, &mut caller, "", reply, cause, false).await;
                return;
            }
        };
        former_limit = Some(idle_limit(&traffic.shared));
        let ReadRequest {
            head,
            body,
            keep,
            _memory,
        } = request;
        match serve_call(&traffic, &mut caller, head, body, keep).await {
            AfterCall::Keep => {}
            AfterCall::End => return,
        }
    }
}

/// Returns the limits of the routes in force, or the defaults before any routes are known.
#[must_use]
pub fn current_limits(shared: &SharedState) -> CallerLimits {
    shared
        .routes()
        .map(|table| table.limits.clone())
        .unwrap_or_default()
}

/// Reads one request: waits for it to begin, then reads its head and its body.
async fn read_request<P: CallProtocol>(
    traffic: &TrafficState<P>,
    caller: &mut WireStream,
    former_limit: Option<Duration>,
) -> Result<ReadRequest, ReadEnd> {
    let shared = &traffic.shared;
    if caller.buffer.is_empty() {
        match wait_for_request(traffic, caller, former_limit).await {
            RequestWait::Begun => {}
            RequestWait::CallerLeft => return Err(ReadEnd::NoReply),
            RequestWait::Close(reason) => {
                shared.metrics.closed_connection(reason.label());
                return Err(ReadEnd::NoReply);
            }
        }
    }
    let limits = current_limits(shared);
    let until = Instant::now() + Duration::from_millis(limits.head_timeout_ms);
    let head = read_head(caller, &limits, until).await?;
    let framing = BodyFraming::of_request(&head)
        .map_err(|_| ReadEnd::of(OwnStatus::BadRequest, "ambiguous length"))?;
    let keep = !has_connection_option(&head.fields, "close");
    let (body, memory) = read_body(shared, caller, &head, framing, &limits).await?;
    Ok(ReadRequest {
        head,
        body,
        keep,
        _memory: memory,
    })
}

async fn read_head(
    caller: &mut WireStream,
    limits: &CallerLimits,
    until: Instant,
) -> Result<RequestHead, ReadEnd> {
    loop {
        match RequestHead::take(&mut caller.buffer, limits.max_head_bytes) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(HeadFault::Malformed) => {
                return Err(ReadEnd::of(OwnStatus::BadRequest, "malformed head"));
            }
            Err(HeadFault::TooLarge) => {
                return Err(ReadEnd::of(OwnStatus::HeadTooLarge, "head is too large"));
            }
        }
        match caller.fill_until(until).await {
            Some(Ok(0) | Err(_)) => return Err(ReadEnd::NoReply),
            Some(Ok(_)) => {}
            None => return Err(ReadEnd::of(OwnStatus::RequestTimeout, "slow head")),
        }
    }
}

async fn read_body(
    shared: &Arc<SharedState>,
    caller: &mut WireStream,
    head: &RequestHead,
    framing: BodyFraming,
    limits: &CallerLimits,
) -> Result<(Bytes, Option<MemoryGuard>), ReadEnd> {
    let stated = match framing {
        BodyFraming::Length(0) => return Ok((Bytes::new(), None)),
        BodyFraming::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        BodyFraming::Chunked | BodyFraming::UntilClose => 0,
    };
    if stated > limits.max_body_bytes {
        return Err(ReadEnd::of(OwnStatus::TooLarge, "body is too large"));
    }
    let Some(mut memory) = shared.take_memory(stated) else {
        return Err(no_memory(shared));
    };
    if expects_continue(head) && caller.send(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return Err(ReadEnd::NoReply);
    }
    let pause = Duration::from_millis(limits.idle_timeout_ms);
    let mut decoder = BodyDecoder::new(framing);
    let mut body = BytesMut::with_capacity(stated);
    loop {
        let before = body.len();
        if decoder.decode(&mut caller.buffer, &mut body).is_err() {
            return Err(ReadEnd::of(OwnStatus::BadRequest, "malformed body"));
        }
        if body.len() > limits.max_body_bytes {
            return Err(ReadEnd::of(OwnStatus::TooLarge, "body is too large"));
        }
        if framing == BodyFraming::Chunked && !memory.grow(body.len() - before) {
            return Err(no_memory(shared));
        }
        if decoder.is_complete() {
            return Ok((body.freeze(), Some(memory)));
        }
        match caller.fill_until(Instant::now() + pause).await {
            Some(Ok(0) | Err(_)) => return Err(ReadEnd::NoReply),
            Some(Ok(_)) => {}
            None => return Err(ReadEnd::of(OwnStatus::RequestTimeout, "slow body")),
        }
    }
}

/// Refuses a body that does not fit the memory reserved for bodies. Running out of memory would end
/// the process and with it every call in flight.
fn no_memory(shared: &SharedState) -> ReadEnd {
    let wait = Duration::from_millis(shared.config.retry_after_ms);
    ReadEnd::Reply(
        OwnReply::with_retry_after(OwnStatus::Unavailable, wait),
        "no memory for bodies",
    )
}
