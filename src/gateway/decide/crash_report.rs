//! What routers report to each other about crashes of endpoints and the requests that may have
//! caused them.
//!
//! Load pattern: one crash loses dozens of requests, and a message holds a few. The items of a kind
//! take turns, so that each of them is told within a second. The kinds have a limit each, so that
//! the many suspects don't delay the few ends and refusals.

use crate::units::EndpointId;
use crate::units::RequestFingerprint;
use crate::units::TimeSpan;

use super::super::protocol::PartId;

/// Maximum numbers accepted from one message: the limits on sending bind only routers that run this
/// code, and a message could list any number.
const MAX_RECEIVED_SUSPECTS: usize = 64;
const MAX_RECEIVED_ENDS: usize = 64;
const MAX_RECEIVED_REFUSALS: usize = 16;
const MAX_RECEIVED_ANSWERED: usize = 64;

/// A request that was running in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashSuspect {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Hash of the endpoint process that ended.
    pub life: u64,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
}

/// A request that is refused since it was running in too many crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Time for which it is still refused, in whole seconds, rounded down.
    pub left: TimeSpan,
}

/// A part of a lost request's prompt that may have caused a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartSuspect {
    /// Hash of the endpoint process that ended.
    pub process: u64,
    /// The part.
    pub part: PartId,
    /// Its place in the prompt, counted from 0.
    pub place: u32,
}

/// A part that is refused since it was in too many crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedPart {
    /// The part.
    pub part: PartId,
    /// Time for which it is still refused, in whole seconds, rounded down.
    pub left: TimeSpan,
}

/// What one router reports of prompts' parts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartReport {
    /// Suspects of recent crashes.
    pub suspects: Vec<PartSuspect>,
    /// Parts that are refused.
    pub refused: Vec<RefusedPart>,
    /// Suspects on which an endpoint has answered since.
    pub answered: Vec<PartId>,
}

/// One router's report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// Requests that were running in recent crashes.
    pub suspects: Vec<CrashSuspect>,
    /// Hashes of endpoint processes that ended recently.
    pub ended: Vec<u64>,
    /// Requests that are refused.
    pub refused: Vec<RefusedRequest>,
    /// Suspects that were answered whole since.
    pub answered: Vec<RequestFingerprint>,
    /// The same of parts of prompts.
    pub parts: PartReport,
}

impl CrashReport {
    /// Returns the report without what exceeds the limits on received items.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        self.suspects.truncate(MAX_RECEIVED_SUSPECTS);
        self.ended.truncate(MAX_RECEIVED_ENDS);
        self.refused.truncate(MAX_RECEIVED_REFUSALS);
        self.answered.truncate(MAX_RECEIVED_ANSWERED);
        self.parts.suspects.truncate(MAX_RECEIVED_SUSPECTS);
        self.parts.refused.truncate(MAX_RECEIVED_REFUSALS);
        self.parts.answered.truncate(MAX_RECEIVED_ANSWERED);
        self
    }
}

/// Gives all items of a list their turn in messages that hold only some of them.
#[derive(Debug, Default)]
pub struct MessageTurns {
    /// Position of the next item.
    next: usize,
}

impl MessageTurns {
    /// Returns the next items, `count` at most.
    pub fn take<T: Copy>(&mut self, items: &[T], count: usize) -> Vec<T> {
        let count = items.len().min(count);
        let first = self.next % items.len().max(1);
        self.next = self.next.wrapping_add(count);
        let turned = items.iter().cycle().skip(first);
        turned.take(count).copied().collect()
    }
}
