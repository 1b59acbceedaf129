//! Actions that the decision core returns to its driver.

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
    /// No retry is left: the retry budget of the team is used up, or the request has used its
    /// maximum number of attempts.
    RetryBudget,
    /// It would miss its deadline because too many requests are queued before it.
    Overloaded,
    /// The deadline passed.
    DeadlinePassed,
    /// The request was running in endpoint crashes and is quarantined for a limited time.
    Quarantined,
    /// The router is draining and no peer could take the request.
    Draining,
    /// The publication in force does not list the team. Counts as "not ready", with a delay for
    /// a retry, since a newer publication may list it.
    NotReady,
    /// The endpoint or the link failed, and the request may not be repeated or its answer has begun
    /// and can't be resumed.
    LinkLost,
    /// The router that minted the ticket is gone, or the answer is no longer stored.
    TicketGone,
    /// The pool was in no publication that this router has had, or there was none yet.
    NoEndpoint,
    /// The ticket was minted for a different team or request.
    TicketMismatch,
}

/// What is known about the execution of a refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// It was executed.
    Ran,
    /// It was not executed and will not be.
    NotRun,
    /// It is not known whether it was executed.
    Unknown,
}

/// An action for the driver to carry out.
#[derive(Debug, Clone, PartialEq)]
#[allow(clippy::large_enum_variant)] // Boxing would cost an allocation per message.
pub enum CoreAction {
    /// Send the request to the endpoint as this attempt. If `not_after` has passed when the first
    /// byte is about to be written, don't send it and report `AttemptOutcome::NotSent`.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// Position at which the answer continues: the number of events (of an event stream) or
        /// bytes (of another answer) that the caller already has.
        resume_at: u64,
        /// Last moment at which the first byte may be written.
        not_after: Moment,
    },
    /// Cancel a running attempt and discard its answer if one still arrives.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Refuse the request with an error answer; the core forgets the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason for the refusal.
        reason: RefusalReason,
        /// Whether it was executed.
        outcome: RunOutcome,
        /// Delay before a retry; zero if a retry would not help.
        retry_after: TimeSpan,
    },
    /// The request is answered; the core forgets the request. A stored answer to a request with a
    /// ticket stays until `ForgetAnswer`.
    ///
    /// For a request that was joined to another one with `JoinAnswer`, this means that the original
    /// has ended with its whole answer. It can follow `JoinAnswer` at once, before any byte was
    /// passed on; the driver then finishes passing on the stored answer.
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
    /// Attach the caller to the running attempt or stored answer of another request with the same
    /// ticket, from the start of the answer. `Complete` or `Refuse` of the later request follows
    /// when the original ends, or at once if it has ended; passing on the stored answer to the
    /// later caller, once begun, is finished even after `ForgetAnswer`. If the start of the answer
    /// is not stored, the driver answers the later caller "unknown".
    JoinAnswer {
        /// The later request.
        request: RequestId,
        /// The request that runs or ran.
        original: RequestId,
    },
    /// Forward the request to a peer over a forwarding connection; the peer decides about it. If
    /// the connection breaks, the driver answers "not run" only if no byte was sent and the
    /// request has no ticket, otherwise "unknown".
    Forward {
        /// The request.
        request: RequestId,
        /// The peer.
        host: HostName,
    },
    /// Delete the stored answer of a request.
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
        /// IP address and port of its peer listener.
        address: SmolStr,
    },
    /// Close the connection to a peer that is dead or no longer needed.
    Disconnect {
        /// The peer.
        host: HostName,
    },
    /// Start (true) or stop (false) watching the configuration service.
    WatchSource(bool),
    /// Parse, check and convert this publication to a catalog. Answer with `Published` if it is
    /// valid, otherwise with `PublicationRefused`.
    AdoptText {
        /// Its revision.
        revision: ConfigRevision,
        /// The published text.
        text: Bytes,
    },
    /// Start or stop polling this endpoint's load.
    WatchLoad {
        /// The endpoint.
        endpoint: EndpointId,
        /// True to start, false to stop.
        on: bool,
    },
    /// Order an endpoint to load the model of another pool.
    OrderModel {
        /// The endpoint.
        endpoint: EndpointId,
        /// The pool whose model it must load.
        pool: PoolId,
        /// The order's fencing token.
        fence: FenceNumber,
    },
    /// The drain is complete: no request is in flight any more.
    Drained,
}
