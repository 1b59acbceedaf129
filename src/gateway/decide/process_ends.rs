//! Lost requests and signs that endpoint processes ended, and which of them belong together.
//!
//! Load pattern: a request ends the process of each endpoint that runs it, and its caller sends it
//! again through any router. The router that loses the request is seldom the one that sees why. A
//! loss is therefore kept until a sign from any router explains it, and the signs are sent to all
//! routers; the losses themselves, which are many, stay where they are.
//!
//! | sign | seen by | after the end | explains losses heard |
//! |---|---|---|---|
//! | a connection is refused | any router that connects, and each that lost a request | milliseconds | before it and after |
//! | a later start under the same key | all, in the endpoint list | a second | before it and after |
//! | the registration ended | all, in the endpoint list | three heartbeats | before it; later ones if the endpoint was silent before it |
//!
//! The last one also happens on planned departures, some of which are not announced: an endpoint
//! goes on serving for seconds and then cuts what still runs, so a loss heard later proves nothing
//! by itself. An endpoint that had been silent before its registration ended had crashed.
//!
//! The caller of this module leaves out signs and losses of endpoints that are known to be leaving.

use std::collections::BTreeMap;

use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::TimeSpan;

use super::super::protocol::PartIds;

/// Time for which a loss waits for a sign: the registration of a silent process ends after three
/// heartbeats, and the list that shows it arrives within seconds of that.
const LOSS_RETENTION: TimeSpan = TimeSpan::from_millis(8_000);

/// Shortest time between two checks of a process by one router. An endpoint that breaks off part of
/// its answers while it runs costs one connection in this time, which a later call uses.
const CHECK_PAUSE: TimeSpan = TimeSpan::from_millis(1_000);

/// Time for which an end is sent to other routers: longer than a router takes to hear of a broken
/// connection, and than a full link delays messages.
const END_REPORT_TIME: TimeSpan = TimeSpan::from_millis(10_000);

/// Time for which an end is remembered. Routers pass ends on and hear of them at different times: one
/// that forgot an end while others still send it would take it for news, and they would remind each
/// other of it for ever.
const END_RETENTION: TimeSpan = TimeSpan::from_millis(60_000);

/// Silence before the end of a registration that shows that the process had ended by then. An engine
/// in service sends an event every eighth of a second.
const SILENT_BEFORE_LAPSE: TimeSpan = TimeSpan::from_millis(1_000);

/// Time for which the end of a registration is remembered: callers wait for an answer up to fifteen
/// seconds.
const LAPSE_RETENTION: TimeSpan = TimeSpan::from_millis(20_000);

/// Maximum number of ends in one message: 128 bytes of it. If more processes end within
/// `END_REPORT_TIME`, the latest ones are sent.
const MAX_SENT_ENDS: usize = 16;

/// Maximum number of ends that are remembered. A foreign sender could report any number.
const MAX_ENDS: usize = 512;

/// A sign that an endpoint's process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndSign {
    /// Nothing listens at its address.
    Refused,
    /// A process with a later start registered under its key.
    Replaced,
    /// Its registration ended.
    Unregistered,
}

impl EndSign {
    /// Returns the sign's label in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::Unregistered => "unregistered",
        }
    }
}

/// A lost attempt that waits for a sign.
#[derive(Debug)]
struct LostAttempt {
    at: Moment,
    parts: PartIds,
}

/// Requests that were lost in a crash, with the parts of their prompts that are suspected of it.
pub type LostRequests = BTreeMap<RequestFingerprint, PartIds>;

#[derive(Debug, Default)]
struct ProcessLosses {
    endpoint: EndpointId,
    lost: BTreeMap<RequestFingerprint, LostAttempt>,
    /// When this router last opened a connection to find out whether the process has ended.
    checked_at: Option<Moment>,
}

/// Losses of this router that no sign explained yet, and processes known to have ended. Processes
/// are identified by their hashes.
#[derive(Debug, Default)]
pub struct ProcessEnds {
    losses: BTreeMap<u64, ProcessLosses>,
    ends: BTreeMap<u64, Moment>,
    /// When registrations ended.
    lapses: BTreeMap<u64, Moment>,
}

impl ProcessEnds {
    /// Returns true if what is known of a process explains a loss that is heard now. `silent_since`
    /// is since when nothing has come from the process.
    #[must_use]
    pub fn explains_loss(&self, process: u64, silent_since: Moment) -> bool {
        let lapsed_at = self.lapses.get(&process);
        self.ends.contains_key(&process)
            || lapsed_at.is_some_and(|at| silent_since + SILENT_BEFORE_LAPSE <= *at)
    }

    /// Keeps a loss until a sign explains it.
    pub fn keep_loss(
        &mut self,
        now: Moment,
        process: u64,
        endpoint: EndpointId,
        (fingerprint, parts): (RequestFingerprint, PartIds),
    ) {
        let losses = self.losses.entry(process).or_default();
        losses.endpoint = endpoint;
        let lost = LostAttempt { at: now, parts };
        losses.lost.insert(fingerprint, lost);
    }

    /// Returns true if it should be found out whether a process has ended: losses wait for a sign,
    /// and the last check was `CHECK_PAUSE` ago.
    pub fn take_check(&mut self, now: Moment, process: u64) -> bool {
        let Some(losses) = self.losses.get_mut(&process) else {
            return false;
        };
        let is_due = losses
            .checked_at
            .is_none_or(|at| now.since(at) >= CHECK_PAUSE);
        if is_due {
            losses.checked_at = Some(now);
        }
        is_due
    }

    /// Records a sign that a process ended. Returns the requests that were lost there.
    pub fn record_sign(&mut self, now: Moment, process: u64, sign: EndSign) -> LostRequests {
        match sign {
            EndSign::Refused | EndSign::Replaced => {
                self.record_end(now, process);
            }
            EndSign::Unregistered => {
                self.lapses.insert(process, now);
            }
        }
        self.take_losses(now, process).1
    }

    /// Records an end that another router reports. Returns the requests that were lost there and
    /// their endpoint; none if the end was known before.
    pub fn record_reported_end(&mut self, now: Moment, process: u64) -> (EndpointId, LostRequests) {
        if !self.record_end(now, process) {
            return Default::default();
        }
        self.take_losses(now, process)
    }

    /// Returns false if the end was known before.
    fn record_end(&mut self, now: Moment, process: u64) -> bool {
        if self.ends.contains_key(&process) {
            return false;
        }
        self.ends.insert(process, now);
        while self.ends.len() > MAX_ENDS {
            let oldest = self.ends.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(process, _)| *process) else {
                break;
            };
            self.ends.remove(&oldest);
        }
        true
    }

    fn take_losses(&mut self, now: Moment, process: u64) -> (EndpointId, LostRequests) {
        let ProcessLosses { endpoint, lost, .. } = self.losses.remove(&process).unwrap_or_default();
        let recent = lost.into_iter();
        let recent = recent.filter(|(_, lost)| now.since(lost.at) <= LOSS_RETENTION);
        let requests = recent.map(|(fingerprint, lost)| (fingerprint, lost.parts));
        (endpoint, requests.collect())
    }

    /// Forgets the losses of a request that was answered whole since.
    pub fn forget_losses(&mut self, fingerprint: RequestFingerprint) {
        self.losses.retain(|_, losses| {
            losses.lost.remove(&fingerprint);
            !losses.lost.is_empty()
        });
    }

    /// Drops old losses and ends. Returns the number of losses that no sign explained.
    pub fn shrink(&mut self, now: Moment) -> usize {
        let mut unexplained = 0;
        self.losses.retain(|_, losses| {
            let before = losses.lost.len();
            losses
                .lost
                .retain(|_, lost| now.since(lost.at) <= LOSS_RETENTION);
            unexplained += before - losses.lost.len();
            !losses.lost.is_empty()
        });
        self.ends.retain(|_, at| now.since(*at) <= END_RETENTION);
        self.lapses
            .retain(|_, at| now.since(*at) <= LAPSE_RETENTION);
        unexplained
    }

    /// Returns the ends for the next message to other routers, latest first.
    #[must_use]
    pub fn ends_to_send(&self, now: Moment) -> Vec<u64> {
        let ends = self.ends.iter().map(|(process, at)| (*at, *process));
        let recent = ends.filter(|(at, _)| now.since(*at) <= END_REPORT_TIME);
        let mut latest: Vec<(Moment, u64)> = recent.collect();
        latest.sort_unstable_by(|left, right| right.cmp(left));
        latest.truncate(MAX_SENT_ENDS);
        latest.into_iter().map(|(_, process)| process).collect()
    }
}
