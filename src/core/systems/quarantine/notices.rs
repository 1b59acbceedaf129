//! Notices between routers about crashes, lost copies, suspects and refusals.

use std::collections::BTreeSet;

use crate::core::state::CoreState;
use crate::core::tables::crashes::CrashEvidence;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::RequestFingerprint;
use crate::wire::PeerBody;
use crate::wire::quarantine::QuarantineNotice;

use super::trials;

/// Lost requests named in one notice at most, so that the message stays bounded when a link breaks
/// while an endpoint runs many requests. The rest follows in the next ticks.
const MAX_LOSSES_PER_NOTICE: usize = 64;

/// Sends one notice for each crash with new suspects, and one for all other changes, to each live
/// router. Their receivers do not pass them on. A crash thus costs each pair of routers at most two
/// notices per tick in which attempts were lost.
pub fn send_notices(state: &mut CoreState) {
    let mut notices = crash_notices(state);
    let others = QuarantineNotice {
        refused: numbers(std::mem::take(&mut state.crashes.unannounced_quarantines)),
        innocent: numbers(std::mem::take(&mut state.crashes.unannounced_clearances)),
        lost: take_batch(&mut state.crashes.unannounced_losses),
        ..QuarantineNotice::default()
    };
    if others != QuarantineNotice::default() {
        notices.push(others);
    }
    for notice in notices {
        for host in live_peers(state) {
            state.send(&host, PeerBody::Quarantine(notice.clone()));
        }
    }
}

fn crash_notices(state: &mut CoreState) -> Vec<QuarantineNotice> {
    state
        .crashes
        .records_mut()
        .filter(|record| !record.unannounced.is_empty())
        .map(|record| QuarantineNotice {
            endpoint: record.endpoint.0,
            crash: record.life,
            unproven: record.evidence == CrashEvidence::Unconfirmed,
            fingerprints: numbers(std::mem::take(&mut record.unannounced)),
            ..QuarantineNotice::default()
        })
        .collect()
}

fn numbers(fingerprints: BTreeSet<RequestFingerprint>) -> Vec<u64> {
    fingerprints
        .into_iter()
        .map(|fingerprint| fingerprint.0)
        .collect()
}

fn take_batch(fingerprints: &mut BTreeSet<RequestFingerprint>) -> Vec<u64> {
    let rest = fingerprints.iter().nth(MAX_LOSSES_PER_NOTICE).copied();
    let rest = rest.map_or_else(BTreeSet::new, |first| fingerprints.split_off(&first));
    numbers(std::mem::replace(fingerprints, rest))
}

fn live_peers(state: &CoreState) -> Vec<HostName> {
    state
        .members
        .iter()
        .map(|(host, _)| host)
        .filter(|host| **host != state.identity.host && state.members.is_live(host))
        .cloned()
        .collect()
}

fn fingerprints(numbers: &[u64]) -> BTreeSet<RequestFingerprint> {
    numbers.iter().copied().map(RequestFingerprint).collect()
}

/// Handles a notice from another router, or from this one in its role as the home of a fingerprint.
pub fn handle_notice(state: &mut CoreState, from: &HostName, notice: &QuarantineNotice) {
    let suspects = fingerprints(&notice.fingerprints);
    resend_refusals(state, from, &suspects);
    resend_refusals(state, from, &fingerprints(&notice.wanted));
    take_crash(state, notice, &suspects);
    for fingerprint in fingerprints(&notice.innocent) {
        state.crashes.clear(fingerprint);
    }
    for fingerprint in fingerprints(&notice.refused) {
        let config = &state.config.quarantine;
        if state
            .crashes
            .put_in_quarantine(fingerprint, state.now, config)
        {
            super::refuse_waiting(state, fingerprint);
        }
    }
    take_losses(state, &fingerprints(&notice.lost));
    trials::handle_lease_requests(state, from, notice);
    trials::handle_lease_answers(state, notice);
}

fn take_crash(
    state: &mut CoreState,
    notice: &QuarantineNotice,
    suspects: &BTreeSet<RequestFingerprint>,
) {
    if suspects.is_empty() {
        return;
    }
    let endpoint = EndpointId(notice.endpoint);
    let evidence = if notice.unproven {
        CrashEvidence::Unconfirmed
    } else {
        CrashEvidence::Confirmed
    };
    let number = super::open_record(state, endpoint, notice.crash, evidence);
    super::add_suspects(state, number, suspects);
    super::suspect_losses(state, endpoint, number);
}

/// Holds back copies of requests that another router lost until it is known why they were lost.
fn take_losses(state: &mut CoreState, lost: &BTreeSet<RequestFingerprint>) {
    for fingerprint in lost {
        state.crashes.record_remote_loss(*fingerprint, state.now);
    }
    super::isolate_queued(state, lost);
}

/// Sends the refusal again to a router that still treats a refused request as a suspect. That
/// router had restarted, or was disconnected, when the refusal was sent, and would let the request
/// crash more endpoints.
fn resend_refusals(
    state: &mut CoreState,
    from: &HostName,
    suspects: &BTreeSet<RequestFingerprint>,
) {
    let refused: Vec<u64> = suspects
        .iter()
        .filter(|suspect| {
            state
                .crashes
                .quarantined_until(**suspect, state.now)
                .is_some()
        })
        .map(|suspect| suspect.0)
        .collect();
    if refused.is_empty() || *from == state.identity.host {
        return;
    }
    let reminder = QuarantineNotice {
        refused,
        ..QuarantineNotice::default()
    };
    state.send(from, PeerBody::Quarantine(reminder));
}
