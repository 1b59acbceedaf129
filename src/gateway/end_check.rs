//! Finds out whether an endpoint's process has ended after a request was lost there, or after an
//! answer without a length or chunks, a stream or a plain one, ended with its connection.
//!
//! Load pattern: in a quiet hour, a request ends the process of each endpoint that runs it, and no
//! other call goes there before its registration lapses seconds later. By then the caller has sent
//! the request to several more endpoints. One connection tells in milliseconds: the address of a
//! process that has ended refuses it.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use super::attempt::NotRunCause;
use super::attempt::open_connection;
use super::decide::AttemptTicket;
use super::front::TrafficState;
use super::protocol::CallProtocol;
use super::routes::EndpointEntry;

/// Time from the loss, or the close, to the connection. A process that ends may break its
/// connections a little before it stops listening.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// Time after the close from which data shows that the process still runs. Before that it may have
/// been on its way when the process ended.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(25);

/// Time after that in which data from a running process usually arrives. With the former time it
/// makes as long a wait as before the connection after a loss.
const SURVIVAL_TIME: Duration = Duration::from_millis(25);

/// Longest wait for the connection with which the end of an answer is confirmed. The caller of a
/// stream has all events by then and waits for the end only; a plain answer without a length or
/// chunks is passed on after it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(250);

/// Whether an endpoint's process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessStatus {
    /// A connection to it is open, or it sent something else since.
    Running,
    /// Its address refuses connections.
    Ended,
    /// A connection failed in another way, which tells nothing about the process.
    Unknown,
}

/// Opens a connection to an endpoint at which a request was lost, unless an idle one is still open.
/// If it is refused, the decision core is told; if it is made, it serves the next call.
pub async fn check_end<P: CallProtocol>(traffic: Rc<TrafficState<P>>, entry: EndpointEntry) {
    sleep(CHECK_DELAY).await;
    probe(&traffic, &entry).await;
}

/// Finds out whether the process of an endpoint runs that has just closed the connection of a
/// stream. A connection is opened only if nothing else comes from the endpoint meanwhile and no idle
/// one is open.
///
/// This holds for endpoints that are leaving as well. One that ends in an orderly way right after
/// its last stream counts as having ended too soon: the stream then goes on elsewhere with nothing
/// left to send, or is cut, which is better than an end that looks whole and is not.
pub async fn find_process_status<P: CallProtocol>(
    traffic: &TrafficState<P>,
    ticket: &AttemptTicket,
) -> ProcessStatus {
    let shared = &traffic.shared;
    sleep(IN_FLIGHT_TIME).await;
    let arrived_by = shared.clock.now();
    sleep(SURVIVAL_TIME).await;
    if ticket.has_activity_since(arrived_by) {
        return ProcessStatus::Running;
    }
    confirm(traffic, ticket).await
}

/// Finds out whether the process of an endpoint runs that has just closed the connection of a plain
/// answer. As [`find_process_status`], but the connection is opened as soon as the news of an end
/// would have arrived: the caller has nothing of the answer yet, and the next call to the endpoint
/// needs a new connection anyway.
pub async fn find_process_status_early<P: CallProtocol>(
    traffic: &TrafficState<P>,
    ticket: &AttemptTicket,
) -> ProcessStatus {
    sleep(IN_FLIGHT_TIME).await;
    confirm(traffic, ticket).await
}

/// Opens a connection to the endpoint of an attempt, unless an idle one is still open.
async fn confirm<P: CallProtocol>(
    traffic: &TrafficState<P>,
    ticket: &AttemptTicket,
) -> ProcessStatus {
    let status = timeout(CONFIRMATION_TIMEOUT, probe(traffic, &ticket.entry));
    status.await.unwrap_or(ProcessStatus::Unknown)
}

async fn probe<P: CallProtocol>(traffic: &TrafficState<P>, entry: &EndpointEntry) -> ProcessStatus {
    // The connections of a process that has ended are closed, idle ones as well.
    if traffic.pool.has_open(&entry.life()) {
        return ProcessStatus::Running;
    }
    match open_connection(traffic, entry).await {
        Ok(stream) => {
            let idle_limit = Duration::from_millis(traffic.shared.config.idle_reuse_ms);
            traffic.pool.put(&entry.life(), stream, idle_limit);
            ProcessStatus::Running
        }
        Err(NotRunCause::Gone) => {
            let now = traffic.shared.clock.now();
            traffic.shared.core().connection_refused(now, entry);
            ProcessStatus::Ended
        }
        Err(_) => ProcessStatus::Unknown,
    }
}
