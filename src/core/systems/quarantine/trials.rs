//! Running suspects apart: one at a time on an endpoint, and one copy of a request at a time in
//! the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::state::CoreState;
use crate::core::systems::dispatch;
use crate::core::tables::entry_pool::NextRequest;
use crate::core::tables::requests::RequestStage;
use crate::core::tables::trials::RunningTrial;
use crate::core::tables::trials::TrialStanding;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::RequestFingerprint;
use crate::units::RequestId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::quarantine::QuarantineNotice;

/// Tells homes which copies ended. What was lost with a copy is told a tick before, so that no
/// home lends the right to the next one without knowing of it.
pub fn tell_ended(state: &mut CoreState) {
    let ended = state.trials.take_ended();
    tell_homes(state, ended, |notice, fingerprint| {
        notice.ended.push(fingerprint.0);
    });
    for (endpoint, trial) in state.trials.running().collect::<Vec<_>>() {
        if !still_runs(state, endpoint, trial.request) {
            state.trials.end(endpoint);
        }
    }
}

fn still_runs(state: &CoreState, endpoint: EndpointId, request: RequestId) -> bool {
    state.requests.get(request).is_some_and(|entry| {
        matches!(entry.stage, RequestStage::Running { endpoint: place, .. } if place == endpoint)
    })
}

/// Starts each waiting suspect on its own endpoint, and asks homes for the right to. A suspect
/// takes no slot from the common order: an endpoint runs at most one request more for it.
pub fn start_isolated(state: &mut CoreState) {
    let span = super::check_window(state);
    let mut asked: BTreeSet<RequestFingerprint> =
        state.trials.renewals(state.now, span).into_iter().collect();
    for request in state.trials.isolated.keys().copied().collect::<Vec<_>>() {
        if let Some(fingerprint) = start_or_ask(state, request) {
            asked.insert(fingerprint);
        }
    }
    tell_homes(state, asked, |notice, fingerprint| {
        notice.wanted.push(fingerprint.0);
    });
}

/// Starts one if it may start; what its home has to be asked for.
fn start_or_ask(state: &mut CoreState, request: RequestId) -> Option<RequestFingerprint> {
    let Some(entry) = state.requests.get(request) else {
        state.trials.isolated.remove(&request);
        return None;
    };
    let (pool_id, team) = (entry.facts.pool, entry.facts.team);
    let fingerprint = entry.facts.fingerprint;
    // A copy that was still running when the verdict fell comes here after its own crash. It was
    // not among those that waited then, and would take down endpoint after endpoint.
    if state
        .crashes
        .refused_until(fingerprint, state.now)
        .is_some()
    {
        state.trials.isolated.remove(&request);
        super::refuse_waiting(state, fingerprint);
        return None;
    }
    let endpoint = place_for(state, pool_id, fingerprint)?;
    let is_known = knows_life(state, request, endpoint);
    if !is_known || super::is_in_doubt(state, fingerprint) {
        return None;
    }
    if state.trials.is_taken(endpoint) || state.trials.runs(fingerprint) {
        return None;
    }
    let span = super::check_window(state);
    match state.trials.standing(fingerprint, state.now, span) {
        TrialStanding::Waits => None,
        TrialStanding::Asks => Some(fingerprint),
        TrialStanding::Lent => {
            state.trials.isolated.remove(&request);
            let trial = RunningTrial {
                request,
                fingerprint,
            };
            state.trials.start(endpoint, trial);
            dispatch::start(state, pool_id, NextRequest { request, team }, endpoint);
            state.woken.insert(pool_id);
            None
        }
    }
}

/// True once this router has read a life of a suspect's place: a crash there could not be told
/// from a lost link before. One that tells no life holds nobody up for longer than a check.
fn knows_life(state: &mut CoreState, request: RequestId, endpoint: EndpointId) -> bool {
    if super::life_of(state, endpoint) != 0 {
        return true;
    }
    super::learn_life(state, endpoint);
    let since = state.trials.isolated.get(&request);
    let waited = since.map_or(TimeSpan(0), |since| state.now.since(*since));
    waited >= super::check_window(state)
}

fn place_for(
    state: &CoreState,
    pool_id: PoolId,
    fingerprint: RequestFingerprint,
) -> Option<EndpointId> {
    let pool = state.catalog.pools.get(&pool_id)?;
    let serving: Vec<EndpointId> = pool
        .endpoints
        .iter()
        .copied()
        .filter(|endpoint| serves(state, *endpoint, pool_id))
        .collect();
    state
        .crashes
        .places_for(fingerprint, &serving)
        .into_iter()
        .find(|endpoint| state.endpoints.is_open(*endpoint, state.now))
}

fn serves(state: &CoreState, endpoint: EndpointId, pool_id: PoolId) -> bool {
    let Some(row) = state.catalog.endpoints.get(&endpoint) else {
        return false;
    };
    let known = state.endpoints.get(endpoint).and_then(|row| row.active);
    let active = known.or(row.pools.first().copied());
    active == Some(pool_id) && !row.leaving
}

/// Sends each home one notice about its requests.
fn tell_homes(
    state: &mut CoreState,
    fingerprints: BTreeSet<RequestFingerprint>,
    add: impl Fn(&mut QuarantineNotice, RequestFingerprint),
) {
    let mut notices: BTreeMap<HostName, QuarantineNotice> = BTreeMap::new();
    for fingerprint in fingerprints {
        if let Some(home) = state.members.home_of(fingerprint) {
            let notice = notices.entry(home.clone()).or_default();
            add(notice, fingerprint);
        }
    }
    for (home, notice) in notices {
        state.send(&home, PeerBody::Quarantine(notice));
    }
}

/// As their home, takes back and lends the right to run copies.
pub fn take_asks(state: &mut CoreState, from: &HostName, notice: &QuarantineNotice) {
    let span = super::check_window(state);
    for fingerprint in notice.ended.iter().copied().map(RequestFingerprint) {
        state.trials.give_back(fingerprint, from);
    }
    let mut answer = QuarantineNotice::default();
    for fingerprint in notice.wanted.iter().copied().map(RequestFingerprint) {
        let is_held = super::is_in_doubt(state, fingerprint)
            || state
                .crashes
                .refused_until(fingerprint, state.now)
                .is_some();
        if !is_held && state.trials.lend(fingerprint, from, state.now, span) {
            answer.lease_granted.push(fingerprint.0);
        } else {
            answer.lease_denied.push(fingerprint.0);
        }
    }
    if !notice.wanted.is_empty() {
        state.send(from, PeerBody::Quarantine(answer));
    }
}

/// Takes in what homes answered.
pub fn take_answers(state: &mut CoreState, notice: &QuarantineNotice) {
    let span = super::check_window(state);
    let lease_granted = notice
        .lease_granted
        .iter()
        .map(|lease_granted| (*lease_granted, true));
    let lease_denied = notice.lease_denied.iter().map(|held| (*held, false));
    for (fingerprint, is_lent) in lease_granted.chain(lease_denied) {
        let fingerprint = RequestFingerprint(fingerprint);
        state.trials.answered(fingerprint, is_lent, state.now, span);
    }
}
