//! What the decision core asks its driver to do.

use bytes::Bytes;
use smol_str::SmolStr;

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

use super::event::TicketName;

/// Why a request was refused or given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The team's queue at this router is full.
    QueueFull,
    /// The retry budget of the team or endpoint is spent.
    RetryBudget,
    /// It would not end before its deadline: too much waits before it.
    Overloaded,
    /// The deadline passed.
    DeadlinePassed,
    /// The request crashed endpoints and is refused for a time.
    Quarantined,
    /// The router drains and no peer could take the request.
    Draining,
    /// No publication is known yet.
    NotReady,
    /// The endpoint or the link failed and the request may not be repeated.
    LinkLost,
    /// The ticket's minter is gone, or its answer is no longer kept.
    TicketGone,
    /// The pool has no endpoint.
    NoEndpoint,
    /// The ticket was minted for another team or another request.
    TicketMismatch,
}

/// What is known of a refused request's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// It ran.
    Ran,
    /// It did not run and will not run.
    NotRun,
    /// Whether it ran can't be proved.
    Unknown,
}

/// One action.
#[derive(Debug, Clone, PartialEq)]
#[allow(clippy::large_enum_variant)] // Messages are frequent: a box would cost on each.
pub enum CoreAction {
    /// Send the request to the endpoint as this attempt, if `not_after` has not passed when
    /// the first byte is about to be written; else report `AttemptOutcome::NotSent`.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Where to.
        endpoint: EndpointId,
        /// Bytes or events of the answer that the caller already has; 0 at first.
        resume_at: u64,
        /// Last moment at which the first byte may be written.
        not_after: Moment,
    },
    /// Cancel a running attempt and drop its late answer.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Tell the caller that its request is refused; the request is forgotten.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// What is known of its execution.
        outcome: RunOutcome,
        /// When to come back; zero if coming back does not help.
        retry_after: TimeSpan,
    },
    /// The answer was passed on whole; the request is forgotten. What is kept of the answer to
    /// a request with a ticket stays until `ForgetAnswer`.
    Complete {
        /// The request.
        request: RequestId,
    },
    /// Answer 428 with this new ticket.
    OfferTicket {
        /// The request.
        request: RequestId,
        /// The ticket.
        ticket: TicketName,
    },
    /// Attach the caller to the running attempt or kept answer of another request with the same
    /// ticket, from the answer's beginning. `Complete` or `Refuse` of the later request follows
    /// when the original ends, or at once if it has ended; a replay under way is finished even
    /// after `ForgetAnswer`. If the beginning is not kept, the driver tells the later caller
    /// "unknown".
    JoinAnswer {
        /// The later request.
        request: RequestId,
        /// The one that runs or ran.
        original: RequestId,
    },
    /// Forward the request to a peer over a forwarding connection; the peer answers for it. If
    /// the link breaks, the driver tells the caller "not run" only if no byte was sent and the
    /// request has no ticket, else "unknown".
    Forward {
        /// The request.
        request: RequestId,
        /// The peer.
        host: HostName,
    },
    /// Drop what is kept of a request's answer.
    ForgetAnswer {
        /// The request.
        request: RequestId,
    },
    /// Send a control message to a peer.
    Send {
        /// The peer.
        host: HostName,
        /// The message.
        message: PeerMessage,
    },
    /// Open (or keep open) a connection to a peer.
    Connect {
        /// The peer.
        host: HostName,
        /// IP number and port of its peer listener.
        address: SmolStr,
    },
    /// Close the connection to a peer that is gone.
    Disconnect {
        /// The peer.
        host: HostName,
    },
    /// Start or stop watching the source's configuration service.
    WatchPlatform(bool),
    /// Parse, check and render this publication; answer with `Published` if it is good.
    AdoptText {
        /// Its revision.
        revision: ConfigRevision,
        /// The published text.
        text: Bytes,
    },
    /// Read this endpoint's load at intervals (true) or no longer (false).
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
        /// The pool whose model it shall load.
        pool: PoolId,
        /// The fencing number.
        fence: FenceNumber,
    },
    /// The router has nothing left in flight after a drain.
    Drained,
}
