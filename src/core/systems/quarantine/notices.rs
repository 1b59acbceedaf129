//! What routers tell each other of crashes, lost copies, suspects and refusals.

use std::collections::BTreeSet;

use crate::core::state::CoreState;
use crate::core::tables::crashes::CrashEvidence;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::RequestFingerprint;
use crate::wire::PeerBody;
use crate::wire::quarantine::QuarantineNotice;

use super::trials;

/// Requests told of in one notice as lost, so that a link that breaks under all of an endpoint's
/// requests costs a bounded message. Those beyond are told in the next ticks.
const MOST_LOST_TOLD: usize = 64;

/// One notice for each crash and tick with news, and one for all other news, goes to each live
/// router. It is not passed on, so one crash costs at most two notices for each pair of routers
/// and tick in which attempts were lost.
pub fn tell_peers(state: &mut CoreState) {
    let mut notices = crash_notices(state);
    let others = QuarantineNotice {
        refused: numbers(std::mem::take(&mut state.crashes.unannounced_refusals)),
        innocent: numbers(std::mem::take(&mut state.crashes.unannounced_clearances)),
        lost: take_some(&mut state.crashes.unannounced_losses),
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

fn take_some(fingerprints: &mut BTreeSet<RequestFingerprint>) -> Vec<u64> {
    let rest = fingerprints.iter().nth(MOST_LOST_TOLD).copied();
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

/// Takes in what another router, or this one as a home, tells.
pub fn take_notice(state: &mut CoreState, from: &HostName, notice: &QuarantineNotice) {
    let suspects = fingerprints(&notice.fingerprints);
    remind(state, from, &suspects);
    remind(state, from, &fingerprints(&notice.wanted));
    take_crash(state, notice, &suspects);
    for fingerprint in fingerprints(&notice.innocent) {
        state.crashes.clear(fingerprint);
    }
    for fingerprint in fingerprints(&notice.refused) {
        let config = &state.config.quarantine;
        if state.crashes.refuse(fingerprint, state.now, config) {
            super::refuse_waiting(state, fingerprint);
        }
    }
    take_losses(state, &fingerprints(&notice.lost));
    trials::take_asks(state, from, notice);
    trials::take_answers(state, notice);
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

/// Copies of a request that another router lost are held until it is known why.
fn take_losses(state: &mut CoreState, lost: &BTreeSet<RequestFingerprint>) {
    for fingerprint in lost {
        state.crashes.record_remote_loss(*fingerprint, state.now);
    }
    super::set_apart(state, lost);
}

/// A router that calls a refused request a mere suspect has restarted, or was cut off, when the
/// refusal was told. It would let the request crash further endpoints; so it is told again.
fn remind(state: &mut CoreState, from: &HostName, suspects: &BTreeSet<RequestFingerprint>) {
    let refused: Vec<u64> = suspects
        .iter()
        .filter(|suspect| state.crashes.refused_until(**suspect, state.now).is_some())
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
