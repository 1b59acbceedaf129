//! Finds out whether an endpoint's process has ended after a request was lost there.
//!
//! Load pattern: in a quiet hour, a request ends the process of each endpoint that runs it, and no
//! other call goes there before its registration lapses seconds later. By then the caller has sent
//! the request to several more endpoints. One connection tells in milliseconds: the address of a
//! process that has ended refuses it.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::attempt::NotRunCause;
use super::attempt::open_connection;
use super::front::TrafficState;
use super::protocol::CallProtocol;
use super::routes::EndpointEntry;

/// Time from the loss to the connection. A process that ends may break its connections a little
/// before it stops listening.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// Opens a connection to an endpoint at which a request was lost, unless an idle one is still open.
/// If it is refused, the decision core is told; if it is made, it serves the next call.
pub async fn check_end<P: CallProtocol>(traffic: Rc<TrafficState<P>>, entry: EndpointEntry) {
    sleep(CHECK_DELAY).await;
    // The connections of a process that has ended are closed, idle ones as well.
    if traffic.pool.has_open(&entry.life()) {
        return;
    }
    match open_connection(&traffic, &entry).await {
        Ok(stream) => {
            let idle_limit = Duration::from_millis(traffic.shared.config.idle_reuse_ms);
            traffic.pool.put(&entry.life(), stream, idle_limit);
        }
        Err(NotRunCause::Gone) => {
            let now = traffic.shared.clock.now();
            traffic.shared.core().connection_refused(now, &entry);
        }
        // A connection that fails in another way tells nothing about the process.
        Err(_) => {}
    }
}
