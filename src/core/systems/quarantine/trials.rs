//! Isolated runs of suspects: one suspect at a time on an endpoint, and one copy of a request at a
//! time in the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::state::CoreState;
use crate::core::systems::dispatch;
use crate::core::tables::entry_pool::NextRequest;
use crate::core::tables::requests::RequestStage;
use crate::core::tables::trials::LeaseState;
use crate::core::tables::trials::RunningTrial;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::RequestFingerprint;
use crate::units::RequestId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::quarantine::QuarantineNotice;

/// Reports to the homes which copies ended. First sends the ends recorded so far, then records the
/// copies that were found to have ended. An end is thus reported one tick after the loss of the
/// copy, which `send_notices` sends, so that no home grants the lease for the next copy before it
/// knows of the loss.
pub fn report_ended_copies(state: &mut CoreState) {
    let ended = state.trials.take_ended();
    notify_homes(state, ended, |notice, fingerprint| {
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

/// Starts waiting suspects on their own endpoints, and requests the leases for that from their
/// homes. A suspect needs no granted slot: an endpoint runs at most one request beyond its granted
/// slots for it. If this router holds a free slot of that endpoint, the suspect occupies it, as it
/// counts as a running attempt.
pub fn start_isolated(state: &mut CoreState) {
    let span = super::check_window(state);
    let mut asked: BTreeSet<RequestFingerprint> =
        state.trials.renewals(state.now, span).into_iter().collect();
    for request in state.trials.isolated.keys().copied().collect::<Vec<_>>() {
        if let Some(fingerprint) = start_or_request_lease(state, request) {
            asked.insert(fingerprint);
        }
    }
    notify_homes(state, asked, |notice, fingerprint| {
        notice.wanted.push(fingerprint.0);
    });
}

/// Starts a suspect if it may start; returns its fingerprint if its home must be asked for a lease.
fn start_or_request_lease(state: &mut CoreState, request: RequestId) -> Option<RequestFingerprint> {
    let Some(entry) = state.requests.get(request) else {
        state.trials.isolated.remove(&request);
        return None;
    };
    let (pool_id, team) = (entry.facts.pool, entry.facts.team);
    let fingerprint = entry.facts.fingerprint;
    // A copy that was still running when its request was refused gets here after its own crash. It
    // was not among the waiting copies refused then, and would crash one endpoint after another.
    if state
        .crashes
        .quarantined_until(fingerprint, state.now)
        .is_some()
    {
        state.trials.isolated.remove(&request);
        super::refuse_waiting(state, fingerprint);
        return None;
    }
    let endpoint = endpoint_for(state, pool_id, fingerprint)?;
    let is_known = knows_life(state, request, endpoint);
    if !is_known || super::has_unexplained_loss(state, fingerprint) {
        return None;
    }
    if state.trials.is_taken(endpoint) || state.trials.runs(fingerprint) {
        return None;
    }
    let span = super::check_window(state);
    match state
        .trials
        .check_or_request_lease(fingerprint, state.now, span)
    {
        LeaseState::Requested => None,
        LeaseState::MustRequest => Some(fingerprint),
        LeaseState::Granted => {
            state.trials.isolated.remove(&request);
            let trial = RunningTrial {
                request,
                fingerprint,
            };
            state.trials.start(endpoint, trial);
            dispatch::start(state, pool_id, NextRequest { request, team }, endpoint);
            state.changed_pools.insert(pool_id);
            None
        }
    }
}

/// Returns true once this router knows a `life` of the endpoint chosen for a suspect; before that
/// it could not distinguish a crash there from a network failure. An endpoint that reports no
/// `life` delays a suspect for `check_ms` at most.
fn knows_life(state: &mut CoreState, request: RequestId, endpoint: EndpointId) -> bool {
    if super::endpoint_life(state, endpoint) != 0 {
        return true;
    }
    super::watch_first_life(state, endpoint);
    let since = state.trials.isolated.get(&request);
    let waited = since.map_or(TimeSpan(0), |since| state.now.since(*since));
    waited >= super::check_window(state)
}

fn endpoint_for(
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
        .isolation_endpoints(fingerprint, &serving)
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

/// Sends one notice to each home about the fingerprints that it manages.
fn notify_homes(
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

/// Handles returned and requested leases to run copies, as the home of their fingerprints.
pub fn handle_lease_requests(state: &mut CoreState, from: &HostName, notice: &QuarantineNotice) {
    let span = super::check_window(state);
    for fingerprint in notice.ended.iter().copied().map(RequestFingerprint) {
        state.trials.end_lease(fingerprint, from);
    }
    let mut answer = QuarantineNotice::default();
    for fingerprint in notice.wanted.iter().copied().map(RequestFingerprint) {
        let is_withheld = super::has_unexplained_loss(state, fingerprint)
            || state
                .crashes
                .quarantined_until(fingerprint, state.now)
                .is_some();
        if !is_withheld && state.trials.grant_lease(fingerprint, from, state.now, span) {
            answer.lease_granted.push(fingerprint.0);
        } else {
            answer.lease_denied.push(fingerprint.0);
        }
    }
    if !notice.wanted.is_empty() {
        state.send(from, PeerBody::Quarantine(answer));
    }
}

/// Records which leases homes granted or withheld.
pub fn handle_lease_answers(state: &mut CoreState, notice: &QuarantineNotice) {
    let span = super::check_window(state);
    let granted = notice.lease_granted.iter().map(|number| (*number, true));
    let denied = notice.lease_denied.iter().map(|number| (*number, false));
    for (number, is_granted) in granted.chain(denied) {
        let fingerprint = RequestFingerprint(number);
        state
            .trials
            .answered(fingerprint, is_granted, state.now, span);
    }
}
