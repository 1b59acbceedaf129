//! Events that the driver passes to the decision core.

use std::sync::Arc;

use bytes::Bytes;
use smol_str::SmolStr;

use crate::catalog::FleetCatalog;
use crate::units::AttemptNumber;
use crate::units::ByteSize;
use crate::units::ConfigRevision;
use crate::units::DomainName;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::KindName;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::RequestFingerprint;
use crate::units::RequestId;
use crate::units::RouterIncarnation;
use crate::units::ServiceUnits;
use crate::units::TeamId;
use crate::wire::PeerMessage;

/// Identity of a ticket: the router incarnation that minted it, and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketName {
    /// The incarnation that minted it, which is the only one that may run the request.
    pub minter: RouterIncarnation,
    /// Sequence number at the minter, starting at 1.
    pub number: u64,
}

/// Whether a request may be executed more than once, as declared by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// The request is idempotent.
    Repeatable,
    /// The request must be executed at most once. The first try carries no ticket.
    Unrepeatable(Option<TicketName>),
}

/// What the entry router, the router at which a request entered the fleet, knows of it on arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFacts {
    /// Its id, unique within this router.
    pub request: RequestId,
    /// Its team.
    pub team: TeamId,
    /// Its request kind.
    pub kind: KindName,
    /// The pool that can run it.
    pub pool: PoolId,
    /// Whether it may be repeated.
    pub repeat: RepeatRule,
    /// When its caller stops waiting.
    pub deadline: Moment,
    /// Hash of team, path and body; equal for resends of the same request.
    pub fingerprint: RequestFingerprint,
    /// Hash of the prompt's prefix, for prefix affinity; 0 if there is none.
    pub prefix: u64,
    /// True if another router forwarded it here.
    pub forwarded: bool,
    /// True if an interrupted answer can be resumed at an offset.
    pub resumable: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was passed on to the caller.
    Whole,
    /// No byte of the request was sent to the endpoint.
    NotSent,
    /// The endpoint refused it before doing any work (503 or 429).
    Refused,
    /// The connection broke after the request was sent; no part of the answer was passed on.
    LostBeforeAnswer,
    /// The connection broke during the answer, after this many events (of an event stream) or bytes
    /// (of another answer) were passed on.
    CutAt(u64),
    /// The answer violated the protocol; no part of it was passed on.
    Garbage,
    /// The caller disconnected and the attempt was cancelled.
    Cancelled,
}

/// An event for the decision core to handle.
#[derive(Debug, Clone)]
pub enum CoreEvent {
    /// A request arrived, and enough of it was read to decide about it.
    Arrived(RequestFacts),
    /// The caller of a request disconnected. The driver continues a running attempt until it ends
    /// or the core cancels it: an unrepeatable request keeps running so that a resend can get its
    /// answer.
    CallerLeft(RequestId),
    /// The first byte of the answer arrived.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Service used so far by a running attempt. Sent at most once every 100 ms per attempt.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Service used by this attempt since its start.
        service: ServiceUnits,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Service used by this attempt.
        service: ServiceUnits,
    },
    /// How much of the answer to a request with a ticket the driver stores for resends. Sent
    /// whenever the stored part has grown by at least 32 KiB, once more just before `AttemptEnded`
    /// reports the whole answer, and with `None` when the answer was discarded for its size.
    AnswerKept {
        /// The running request.
        request: RequestId,
        /// Bytes stored so far, from the start of the answer.
        bytes: Option<ByteSize>,
    },
    /// An endpoint's own load report, which lags behind its actual load.
    EndpointLoad {
        /// The endpoint.
        endpoint: EndpointId,
        /// Requests it is running, sent by any router.
        running: u32,
        /// Requests queued at the endpoint.
        waiting: u32,
        /// The pool whose model the endpoint serves now.
        active: PoolId,
        /// Identifies the endpoint's process; changes with each restart. Not to be confused with
        /// the endpoint's generation, which comes from the host list and increases each time the
        /// endpoint is put back after it left.
        life: u64,
        /// Highest fencing token of the orders it has followed; 0 if it ignores fencing tokens.
        fence: u64,
    },
    /// The endpoint's host refused a TCP connection: no process is listening. Not to be confused
    /// with [`AttemptOutcome::Refused`], an answer of the endpoint. Sent for attempts and for load
    /// polls; an attempt also ends as `NotSent`.
    EndpointRefused {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The host list, which lags behind the actual state.
    HostsListed {
        /// Routers on the list.
        routers: Vec<ListedRouter>,
        /// Endpoints that the list marks as leaving, with their generation.
        leaving: Vec<(EndpointId, u64)>,
    },
    /// Endpoints that the host list marks as live, with their generation. Follows `HostsListed`.
    EndpointsListed {
        /// The endpoints.
        live: Vec<(EndpointId, u64)>,
    },
    /// A valid publication as a catalog, with its text to pass on to peers.
    Published {
        /// The catalog.
        catalog: Arc<FleetCatalog>,
        /// The published text.
        text: Bytes,
    },
    /// A publication was rejected as invalid.
    PublicationRefused {
        /// Its revision.
        revision: ConfigRevision,
    },
    /// A request to the configuration service succeeded (true) or failed (false).
    SourceAnswered(bool),
    /// A control message arrived.
    Message {
        /// The sender's host.
        from: HostName,
        /// The sender's incarnation, as given in the connection's handshake.
        incarnation: RouterIncarnation,
        /// The message.
        message: PeerMessage,
    },
    /// A connection to a peer opened.
    PeerOpened {
        /// The peer's host.
        host: HostName,
        /// Its incarnation, as given in the handshake.
        incarnation: RouterIncarnation,
    },
    /// A connection to a peer closed or could not be opened.
    PeerClosed {
        /// The peer's host.
        host: HostName,
    },
    /// An operator asked this router to drain.
    DrainAsked,
    /// Time passed. The driver sends one every few milliseconds, and after a pause as soon as
    /// possible.
    Tick,
}

/// A router on the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRouter {
    /// Its host.
    pub host: HostName,
    /// IP address and port of its peer listener.
    pub address: SmolStr,
    /// Its host's failure domain.
    pub domain: DomainName,
    /// True if the list marks it as leaving.
    pub leaving: bool,
}
