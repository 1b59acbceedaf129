//! State that all requests of a router share on the traffic side.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio_util::task::TaskTracker;

use crate::admin::records::RouterRecords;
use crate::configs::traffic::TrafficConfig;
use crate::daemon::control::ControlLink;
use crate::endpoint::connections::EndpointConnections;
use crate::peers::forward::ForwardClient;
use crate::tickets::TicketSigner;
use crate::units::RequestId;

/// State shared by all requests.
#[derive(Debug)]
pub struct EntryContext {
    /// Connection to the control thread.
    pub control: ControlLink,
    /// Connections to endpoints.
    pub connections: EndpointConnections,
    /// Limits and timeouts of traffic.
    pub config: TrafficConfig,
    /// Makes and checks tickets.
    pub signer: TicketSigner,
    /// Client that forwards requests to peers; absent in a router without peers.
    pub forwards: Option<ForwardClient>,
    /// Records that operators can query.
    pub records: Arc<RouterRecords>,
    /// Tasks of requests; a shutdown waits for them.
    pub tasks: TaskTracker,
    last_request: AtomicU64,
}

impl EntryContext {
    /// Creates the context of one router incarnation.
    #[must_use]
    pub fn new(
        control: ControlLink,
        config: TrafficConfig,
        forwards: Option<ForwardClient>,
        records: Arc<RouterRecords>,
    ) -> Self {
        Self {
            connections: EndpointConnections::new(&config),
            signer: TicketSigner::random(control.incarnation),
            control,
            config,
            forwards,
            records,
            tasks: TaskTracker::new(),
            last_request: AtomicU64::new(0),
        }
    }

    /// Returns the next request id, unique within this router incarnation.
    pub fn next_request(&self) -> RequestId {
        RequestId(self.last_request.fetch_add(1, Ordering::Relaxed) + 1)
    }
}
