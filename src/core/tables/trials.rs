//! Runs of suspects apart from the common order, of which the fleet makes one at a time for each
//! request.
//!
//! One router, the home of a request's fingerprint, lends the right to run a copy to one router
//! after the other. A lease that isn't renewed ends by itself, so a holder that dies keeps nobody
//! waiting for long; a home that is silent keeps nobody waiting longer than that either.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::RequestId;
use crate::units::TimeSpan;

/// A lease is asked for, and renewed, so many times in its span: one lost message does not end it.
const ASKS_PER_LEASE: u64 = 3;

/// Whether a copy may run here now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialStanding {
    /// This router holds the lease, or its home is silent.
    Lent,
    /// The home has to be asked.
    Asks,
    /// The home was asked a moment ago.
    Waits,
}

/// A copy that runs here.
#[derive(Debug, Clone, Copy)]
pub struct RunningTrial {
    /// The request.
    pub request: RequestId,
    /// What its copies are recognised by.
    pub fingerprint: RequestFingerprint,
}

#[derive(Debug)]
struct GivenLease {
    holder: HostName,
    until: Moment,
}

#[derive(Debug)]
struct WantedLease {
    first_asked: Moment,
    asked_at: Moment,
    heard_at: Option<Moment>,
    until: Option<Moment>,
}

/// What waits to run apart at this router, what runs so, and leases as their home and as one
/// who asks.
#[derive(Debug, Default)]
pub struct TrialTable {
    /// Requests that wait for an endpoint of their own, and since when.
    pub isolated: BTreeMap<RequestId, Moment>,
    running: BTreeMap<EndpointId, RunningTrial>,
    ended: BTreeSet<RequestFingerprint>,
    given: BTreeMap<RequestFingerprint, GivenLease>,
    wanted: BTreeMap<RequestFingerprint, WantedLease>,
}

impl TrialTable {
    /// Remembers a copy that runs from now on.
    pub fn start(&mut self, endpoint: EndpointId, trial: RunningTrial) {
        self.running.insert(endpoint, trial);
    }

    /// Copies that run, or were not seen to end yet.
    pub fn running(&self) -> impl Iterator<Item = (EndpointId, RunningTrial)> {
        self.running
            .iter()
            .map(|(endpoint, trial)| (*endpoint, *trial))
    }

    /// True if a copy of some request runs on an endpoint.
    #[must_use]
    pub fn is_taken(&self, endpoint: EndpointId) -> bool {
        self.running.contains_key(&endpoint)
    }

    /// True if a copy of this request runs here.
    #[must_use]
    pub fn runs(&self, fingerprint: RequestFingerprint) -> bool {
        self.running
            .values()
            .any(|trial| trial.fingerprint == fingerprint)
    }

    /// Takes note that the copy on an endpoint ended.
    pub fn end(&mut self, endpoint: EndpointId) {
        if let Some(trial) = self.running.remove(&endpoint) {
            self.wanted.remove(&trial.fingerprint);
            self.ended.insert(trial.fingerprint);
        }
    }

    /// Takes the requests whose copies ended and whose homes were not told of it.
    pub fn take_ended(&mut self) -> BTreeSet<RequestFingerprint> {
        std::mem::take(&mut self.ended)
    }

    /// How a request stands to its lease of `span`; one that asks counts as having asked.
    pub fn standing(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Moment,
        span: TimeSpan,
    ) -> TrialStanding {
        let asks = !self.wanted.contains_key(&fingerprint);
        let lease = self.wanted.entry(fingerprint).or_insert(WantedLease {
            first_asked: now,
            asked_at: now,
            heard_at: None,
            until: None,
        });
        let heard_at = lease.heard_at.unwrap_or(lease.first_asked);
        let is_silent = now.since(heard_at) >= span;
        if is_silent || lease.until.is_some_and(|until| until > now) {
            return TrialStanding::Lent;
        }
        if asks || lease.is_due(now, span) {
            lease.asked_at = now;
            return TrialStanding::Asks;
        }
        TrialStanding::Waits
    }

    /// Requests whose copies run here and whose leases have to be renewed now.
    pub fn renewals(&mut self, now: Moment, span: TimeSpan) -> Vec<RequestFingerprint> {
        let running: BTreeSet<RequestFingerprint> = self
            .running
            .values()
            .map(|trial| trial.fingerprint)
            .collect();
        self.wanted
            .iter_mut()
            .filter(|(fingerprint, lease)| running.contains(fingerprint) && lease.is_due(now, span))
            .map(|(fingerprint, lease)| {
                lease.asked_at = now;
                *fingerprint
            })
            .collect()
    }

    /// Takes in the home's answer. The lease counts from when it was asked for, and so ends here
    /// no later than at the home.
    pub fn answered(
        &mut self,
        fingerprint: RequestFingerprint,
        lease_granted: bool,
        now: Moment,
        span: TimeSpan,
    ) {
        if let Some(lease) = self.wanted.get_mut(&fingerprint) {
            lease.heard_at = Some(now);
            lease.until = lease_granted.then_some(lease.asked_at + span);
        }
    }

    /// As the home, lends the right to run a copy; false while another router holds it.
    pub fn lend(
        &mut self,
        fingerprint: RequestFingerprint,
        holder: &HostName,
        now: Moment,
        span: TimeSpan,
    ) -> bool {
        let held = self.given.get(&fingerprint);
        if held.is_some_and(|lease| lease.holder != *holder && lease.until > now) {
            return false;
        }
        let lease = GivenLease {
            holder: holder.clone(),
            until: now + span,
        };
        self.given.insert(fingerprint, lease);
        true
    }

    /// As the home, takes a lease back.
    pub fn give_back(&mut self, fingerprint: RequestFingerprint, holder: &HostName) {
        let held = self.given.get(&fingerprint);
        if held.is_some_and(|lease| lease.holder == *holder) {
            self.given.remove(&fingerprint);
        }
    }

    /// Forgets leases that ended.
    pub fn shrink(&mut self, now: Moment, span: TimeSpan) {
        self.given.retain(|_, lease| lease.until > now);
        self.wanted
            .retain(|_, lease| now.since(lease.asked_at) <= span);
    }
}

impl WantedLease {
    fn is_due(&self, now: Moment, span: TimeSpan) -> bool {
        now.since(self.asked_at).0 >= span.0 / ASKS_PER_LEASE
    }
}
