//! Isolated runs of suspects, called trials, outside the teams' queues. A copy of a request is an
//! occurrence of it with the same fingerprint, for example because the caller sent it again,
//! perhaps to another router. The fleet runs one copy of a request at a time, which is enforced by
//! leases as long as the router that grants them answers.
//!
//! One router, the home of a request's fingerprint, grants the lease to one router at a time. A
//! lease that isn't renewed expires, so a holder that dies blocks the others only for that long. A
//! home that doesn't answer for the duration of a lease blocks them no longer: a router then runs
//! its copy without a lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::RequestId;
use crate::units::TimeSpan;

/// How often a lease is requested or renewed within its duration, so that one lost message does not
/// end it.
const REQUESTS_PER_LEASE: u64 = 3;

/// Whether this router may run a copy of a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// Yes: this router holds the lease, or the home does not answer.
    Granted,
    /// Not yet: a request for the lease must be sent to the home.
    MustRequest,
    /// Not yet: the lease was requested a short time ago.
    Requested,
}

/// A copy that runs in isolation at this router.
#[derive(Debug, Clone, Copy)]
pub struct RunningTrial {
    /// The request.
    pub request: RequestId,
    /// The fingerprint that all copies of the request share.
    pub fingerprint: RequestFingerprint,
}

#[derive(Debug)]
struct GrantedLease {
    holder: HostName,
    until: Moment,
}

#[derive(Debug)]
struct RequestedLease {
    first_requested_at: Moment,
    requested_at: Moment,
    answered_at: Option<Moment>,
    until: Option<Moment>,
}

/// Suspects that wait or run in isolation at this router, the leases that it grants as a home, and
/// the leases that it holds or requests.
#[derive(Debug, Default)]
pub struct TrialTable {
    /// Requests at this router that wait for their isolated run, and since when.
    pub isolated: BTreeMap<RequestId, Moment>,
    running: BTreeMap<EndpointId, RunningTrial>,
    ended: BTreeSet<RequestFingerprint>,
    granted: BTreeMap<RequestFingerprint, GrantedLease>,
    requested: BTreeMap<RequestFingerprint, RequestedLease>,
}

impl TrialTable {
    /// Records a copy that starts to run.
    pub fn start(&mut self, endpoint: EndpointId, trial: RunningTrial) {
        self.running.insert(endpoint, trial);
    }

    /// Copies that run, or whose end has not been recorded yet.
    pub fn running(&self) -> impl Iterator<Item = (EndpointId, RunningTrial)> {
        self.running
            .iter()
            .map(|(endpoint, trial)| (*endpoint, *trial))
    }

    /// True if a copy of any request runs in isolation on the endpoint.
    #[must_use]
    pub fn is_taken(&self, endpoint: EndpointId) -> bool {
        self.running.contains_key(&endpoint)
    }

    /// True if a copy of this request runs in isolation at this router.
    #[must_use]
    pub fn runs(&self, fingerprint: RequestFingerprint) -> bool {
        self.running
            .values()
            .any(|trial| trial.fingerprint == fingerprint)
    }

    /// Records the end of the copy on an endpoint.
    pub fn end(&mut self, endpoint: EndpointId) {
        if let Some(trial) = self.running.remove(&endpoint) {
            self.requested.remove(&trial.fingerprint);
            self.ended.insert(trial.fingerprint);
        }
    }

    /// Takes the requests whose copies ended and whose homes were not notified yet.
    pub fn take_ended(&mut self) -> BTreeSet<RequestFingerprint> {
        std::mem::take(&mut self.ended)
    }

    /// Whether a copy of a request may run under a lease of duration `span`. If the result is
    /// `MustRequest`, the lease counts as requested now.
    pub fn check_or_request_lease(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Moment,
        span: TimeSpan,
    ) -> LeaseState {
        let is_new = !self.requested.contains_key(&fingerprint);
        let lease = self.requested.entry(fingerprint).or_insert(RequestedLease {
            first_requested_at: now,
            requested_at: now,
            answered_at: None,
            until: None,
        });
        let answered_at = lease.answered_at.unwrap_or(lease.first_requested_at);
        let is_silent = now.since(answered_at) >= span;
        if is_silent || lease.until.is_some_and(|until| until > now) {
            return LeaseState::Granted;
        }
        if is_new || lease.is_due(now, span) {
            lease.requested_at = now;
            return LeaseState::MustRequest;
        }
        LeaseState::Requested
    }

    /// Requests whose copies run here and whose leases must be renewed now; these count as
    /// renewed.
    pub fn renewals(&mut self, now: Moment, span: TimeSpan) -> Vec<RequestFingerprint> {
        let running: BTreeSet<RequestFingerprint> = self
            .running
            .values()
            .map(|trial| trial.fingerprint)
            .collect();
        self.requested
            .iter_mut()
            .filter(|(fingerprint, lease)| running.contains(fingerprint) && lease.is_due(now, span))
            .map(|(fingerprint, lease)| {
                lease.requested_at = now;
                *fingerprint
            })
            .collect()
    }

    /// Records the home's answer. The lease starts at the time of the request for it, so that it
    /// expires here no later than at the home.
    pub fn answered(
        &mut self,
        fingerprint: RequestFingerprint,
        is_granted: bool,
        now: Moment,
        span: TimeSpan,
    ) {
        if let Some(lease) = self.requested.get_mut(&fingerprint) {
            lease.answered_at = Some(now);
            lease.until = is_granted.then_some(lease.requested_at + span);
        }
    }

    /// As the home, grants or renews a lease; false while another router holds it.
    pub fn grant_lease(
        &mut self,
        fingerprint: RequestFingerprint,
        holder: &HostName,
        now: Moment,
        span: TimeSpan,
    ) -> bool {
        let held = self.granted.get(&fingerprint);
        if held.is_some_and(|lease| lease.holder != *holder && lease.until > now) {
            return false;
        }
        let lease = GrantedLease {
            holder: holder.clone(),
            until: now + span,
        };
        self.granted.insert(fingerprint, lease);
        true
    }

    /// As the home, ends the lease of a holder.
    pub fn end_lease(&mut self, fingerprint: RequestFingerprint, holder: &HostName) {
        let held = self.granted.get(&fingerprint);
        if held.is_some_and(|lease| lease.holder == *holder) {
            self.granted.remove(&fingerprint);
        }
    }

    /// Removes expired leases and requests for leases.
    pub fn shrink(&mut self, now: Moment, span: TimeSpan) {
        self.granted.retain(|_, lease| lease.until > now);
        self.requested
            .retain(|_, lease| now.since(lease.requested_at) <= span);
    }
}

impl RequestedLease {
    fn is_due(&self, now: Moment, span: TimeSpan) -> bool {
        now.since(self.requested_at).0 >= span.0 / REQUESTS_PER_LEASE
    }
}
