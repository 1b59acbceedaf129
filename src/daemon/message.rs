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

/// A question about the core's state, answered on the control thread.
pub type StateQuestion = Box<dyn FnOnce(&CoreState) + Send>;

/// What traffic threads tell the control thread.
pub enum ControlInput {
    /// An event for the core.
    Event(CoreEvent),
    /// A request arrived; its task waits at the other end of `commands`.
    Arrived {
        /// What is known of it.
        facts: RequestFacts,
        /// Where to send what shall become of it.
        commands: UnboundedSender<RequestCommand>,
    },
    /// A look at the state.
    Inspect(StateQuestion),
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

/// What the control thread tells the task of one request. See the actions of the same names.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestCommand {
    /// Send it to an endpoint.
    Dispatch(DispatchOrder),
    /// Cancel this attempt and drop its late answer.
    Cancel(AttemptNumber),
    /// Tell the caller that it is refused.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// What is known of its execution.
        outcome: RunOutcome,
        /// When to come back; zero if coming back does not help.
        retry_after: TimeSpan,
    },
    /// The answer was passed on whole.
    Complete,
    /// Answer 428 with this ticket.
    OfferTicket(TicketName),
    /// Answer with what another request of the same ticket gets or got.
    JoinAnswer(RequestId),
    /// Let a peer answer.
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

/// One attempt to be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Its number.
    pub attempt: AttemptNumber,
    /// Where to.
    pub endpoint: EndpointId,
    /// Events or bytes of the answer that the caller already has.
    pub resume_at: u64,
    /// Last moment at which the first byte may be written.
    pub not_after: Moment,
}

/// What the control thread wants done that concerns no single request.
#[derive(Debug, Clone, PartialEq)]
#[allow(clippy::large_enum_variant)] // Messages are frequent: a box would cost on each.
pub enum OutsideCommand {
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
        /// IP number and port of its peer listener.
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
        /// Start or stop.
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
