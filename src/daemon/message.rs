//! Typed messages between the traffic threads and the control thread.

use std::fmt;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::mpsc::UnboundedSender;

use crate::core::action::RefusalReason;
use crate::core::action::RunOutcome;
use crate::core::event::CoreEvent;
use crate::core::event::RequestFacts;
use crate::core::event::TicketName;
use crate::core::state::CoreState;
use crate::units::AttemptNumber;
use crate::units::ConfigRevision;
use crate::units::EndpointId;
use crate::units::FenceNumber;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::RequestId;
use crate::units::TimeSpan;
use crate::wire::PeerMessage;

/// A query on the core's state, run on the control thread.
pub type StateQuery = Box<dyn FnOnce(&CoreState) + Send>;

/// Inputs of the control thread, sent by the traffic threads.
pub enum ControlInput {
    /// An event for the core.
    Event(CoreEvent),
    /// A request arrived; its task receives from `commands`.
    Arrived {
        /// Properties of the request.
        facts: RequestFacts,
        /// Channel to the request's task.
        commands: UnboundedSender<RequestCommand>,
    },
    /// Run a query on the core's state.
    Inspect(StateQuery),
    /// End the control thread.
    Stop,
}

impl fmt::Debug for ControlInput {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Event(event) => event.fmt(formatter),
            Self::Arrived { facts, .. } => facts.fmt(formatter),
            Self::Inspect(_) => formatter.write_str("Inspect"),
            Self::Stop => formatter.write_str("Stop"),
        }
    }
}

/// Commands of the control thread to the task of one request. The actions of the same names in
/// [`crate::core::action::CoreAction`] describe them in full.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestCommand {
    /// Send it to an endpoint.
    Dispatch(DispatchOrder),
    /// Cancel this attempt and drop its late answer.
    Cancel(AttemptNumber),
    /// Answer the caller with a refusal.
    Refuse {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Whether the request ran, as far as is known.
        outcome: RunOutcome,
        /// Time until the caller may retry; zero if a retry does not help.
        retry_after: TimeSpan,
    },
    /// The whole answer was passed on.
    Complete,
    /// Answer 428 with this ticket.
    OfferTicket(TicketName),
    /// Answer with the answer, running or finished, of another request with the same ticket.
    JoinAnswer(RequestId),
    /// Forward the request to a peer, which answers it.
    Forward(HostName),
}

impl RequestCommand {
    /// True if no command for the request follows this one.
    #[must_use]
    pub fn is_last(&self) -> bool {
        !matches!(
            self,
            Self::Dispatch(_) | Self::Cancel(_) | Self::JoinAnswer(_)
        )
    }
}

/// An order to make one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Endpoint that gets the attempt.
    pub endpoint: EndpointId,
    /// Events or bytes of the answer that the caller already has.
    pub resume_at: u64,
    /// Latest time at which the first byte may be written.
    pub not_after: Moment,
}

/// Commands of the control thread that concern no single request.
#[derive(Debug, Clone, PartialEq)]
#[allow(clippy::large_enum_variant)] // Messages are frequent; boxing costs an allocation each.
pub enum RouterCommand {
    /// Send a control message.
    Send {
        /// The peer.
        host: HostName,
        /// The message.
        message: PeerMessage,
    },
    /// Open or keep a connection to a peer.
    Connect {
        /// The peer.
        host: HostName,
        /// IP address and port of its peer listener.
        address: SmolStr,
    },
    /// Close the connection to a peer.
    Disconnect(HostName),
    /// Start or stop watching the configuration service.
    WatchSource(bool),
    /// Parse, check and render a publication that a peer sent.
    AdoptText {
        /// Its revision.
        revision: ConfigRevision,
        /// The published text.
        text: Bytes,
    },
    /// Start or stop reading an endpoint's load.
    WatchLoad {
        /// The endpoint.
        endpoint: EndpointId,
        /// True to start, false to stop.
        on: bool,
    },
    /// Order an endpoint to serve another pool's model.
    OrderModel {
        /// The endpoint.
        endpoint: EndpointId,
        /// The pool.
        pool: PoolId,
        /// The fencing number.
        fence: FenceNumber,
    },
}
