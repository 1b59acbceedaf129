//! What the decision core is told.

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

/// A ticket as read from a request: who minted it and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketName {
    /// The incarnation that minted it and the only one that may run it.
    pub minter: RouterIncarnation,
    /// Counted from 1 by the minter.
    pub number: u64,
}

/// What a caller said about repeating a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// A second execution does no harm.
    Repeatable,
    /// At most one execution; the ticket is absent on a first try.
    Unrepeatable(Option<TicketName>),
}

/// A request as the entry router sees it on arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFacts {
    /// Its id in this router.
    pub request: RequestId,
    /// Its team.
    pub team: TeamId,
    /// Its kind.
    pub kind: KindName,
    /// The pool that can run it.
    pub pool: PoolId,
    /// Whether it may be repeated.
    pub repeat: RepeatRule,
    /// When its caller gives up.
    pub deadline: Moment,
    /// Recognises resends; of team, path and body.
    pub fingerprint: RequestFingerprint,
    /// Hash of the prompt's beginning, for prefix affinity; 0 if none.
    pub prefix: u64,
    /// True if another router forwarded it here.
    pub forwarded: bool,
    /// True if an answer cut in the middle can be continued at an offset.
    pub resumable: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was passed on to the caller.
    Whole,
    /// No byte of the request left for the endpoint.
    NotSent,
    /// The endpoint refused it before admission (503 or 429 with no work done).
    Refused,
    /// The connection broke after the request left; nothing of the answer was passed on.
    LostBeforeAnswer,
    /// The connection broke in the answer, after this many bytes or events were passed on.
    CutAt(u64),
    /// The answer broke the protocol; nothing of it was passed on.
    Garbage,
    /// The caller left and the attempt was cancelled.
    Cancelled,
}

/// One event.
#[derive(Debug, Clone)]
pub enum CoreEvent {
    /// A request arrived and was read far enough to decide.
    Arrived(RequestFacts),
    /// The caller of a request left. The driver goes on with a running attempt until it ends
    /// or the core cancels it: an unrepeatable request runs on, so that a resend finds its answer.
    CallerLeft(RequestId),
    /// The first byte of the answer arrived.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Service used so far by a running attempt; sent at most every 100 ms per attempt.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Service of this attempt since its start.
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
        /// Service of this attempt.
        service: ServiceUnits,
    },
    /// What the driver keeps of the answer to a request with a ticket, for callers that send it
    /// again: told each time it grew by much, once more just before `AttemptEnded` reports the
    /// whole answer, and with `None` when it was given up for its size.
    AnswerKept {
        /// The request that runs.
        request: RequestId,
        /// Bytes kept so far, from the answer's beginning.
        bytes: Option<ByteSize>,
    },
    /// An endpoint's own load report. It lags.
    EndpointLoad {
        /// The endpoint.
        endpoint: EndpointId,
        /// Requests it runs, of all routers.
        running: u32,
        /// Requests it holds back.
        waiting: u32,
        /// The pool (model) it serves now.
        active: PoolId,
        /// Changes with each restart of the endpoint.
        life: u64,
        /// Highest fencing number it has obeyed; 0 if it ignores them.
        fence: u64,
    },
    /// The endpoint's host refused a connection: nothing listens there. Told whenever it happens,
    /// for attempts and for load reports alike; an attempt also ends as `NotSent`.
    EndpointRefused {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The source's host list, which lags.
    HostsListed {
        /// Routers on the list.
        routers: Vec<ListedRouter>,
        /// Endpoints that the list calls leaving, with their generation.
        leaving: Vec<(EndpointId, u64)>,
    },
    /// Endpoints that the host list calls live, with their generation. Follows `HostsListed`.
    EndpointsListed {
        /// The endpoints.
        live: Vec<(EndpointId, u64)>,
    },
    /// A checked and rendered publication, with the text to pass on to peers.
    Published {
        /// The catalog.
        catalog: Arc<FleetCatalog>,
        /// The published text.
        text: Bytes,
    },
    /// A publication was refused for its faults.
    PublicationRefused {
        /// Its revision.
        revision: ConfigRevision,
    },
    /// The configuration service answered (true) or failed (false).
    SourceAnswered(bool),
    /// A control message arrived.
    Message {
        /// The sender's host.
        from: HostName,
        /// The sender's incarnation, from the connection's handshake.
        incarnation: RouterIncarnation,
        /// The message.
        message: PeerMessage,
    },
    /// A peer's connection opened; its handshake named this incarnation.
    PeerOpened {
        /// The peer's host.
        host: HostName,
        /// Its incarnation.
        incarnation: RouterIncarnation,
    },
    /// A peer's connection closed or could not be opened.
    PeerClosed {
        /// The peer's host.
        host: HostName,
    },
    /// Operators asked this router to drain.
    DrainAsked,
    /// Time passed. The driver sends one every `tick_micros`, and after a pause as soon as it can.
    Tick,
}

/// A router on the source's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRouter {
    /// Its host.
    pub host: HostName,
    /// Its peer address.
    pub address: SmolStr,
    /// Its failure domain.
    pub domain: DomainName,
    /// True if the list calls it leaving.
    pub leaving: bool,
}
