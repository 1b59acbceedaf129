//! Requests that crash the endpoints that run them.
//!
//! Every request that was running on an endpoint when it crashed is a suspect, fleet-wide and by
//! its fingerprint. A suspect runs apart from the other suspects of its crash, all its copies on
//! one and the same endpoint, so that innocents clear themselves and a guilty one takes down one
//! endpoint more. A request in two crashes is refused for a time, whichever router it comes to.

use std::collections::BTreeSet;

use crate::core::action::RefusalReason;
use crate::core::event::AttemptOutcome;
use crate::core::event::CoreEvent;
use crate::core::finish;
use crate::core::state::CoreState;
use crate::core::systems::admission;
use crate::core::systems::attempts;
use crate::core::systems::dispatch;
use crate::core::systems::limits;
use crate::core::tables::endpoints::LoadWatcher;
use crate::core::tables::entry_pool::NextRequest;
use crate::core::tables::requests::RequestStage;
use crate::core::tables::requests::RunningAttempt;
use crate::units::AttemptNumber;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::RequestFingerprint;
use crate::units::RequestId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::quarantine::QuarantineNotice;

/// Age that a lost attempt must have before a load report proves that its endpoint lives on.
const REPORT_GRACE: TimeSpan = TimeSpan::from_millis(50);

/// Takes in lost attempts, signs of crashes and what peers say; starts suspects apart.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::AttemptEnded {
            request,
            attempt,
            outcome,
            ..
        } => attempt_ended(state, *request, *attempt, *outcome),
        CoreEvent::EndpointRefused { endpoint } => endpoint_refused(state, *endpoint),
        CoreEvent::EndpointLoad { endpoint, life, .. } => life_seen(state, *endpoint, *life),
        CoreEvent::Message { from, message, .. } => {
            if let Some(PeerBody::Quarantine(notice)) = &message.body {
                take_notice(state, from, notice);
            }
        }
        CoreEvent::Tick => {
            tell_peers(state);
            start_isolated(state);
            forget_old(state);
        }
        _ => {}
    }
}

fn evidence_window(state: &CoreState) -> TimeSpan {
    TimeSpan::from_millis(state.config.quarantine.evidence_ms)
}

fn attempt_ended(
    state: &mut CoreState,
    request: RequestId,
    attempt: AttemptNumber,
    outcome: AttemptOutcome,
) {
    let Some(entry) = state.requests.get(request) else {
        return;
    };
    let Some(RunningAttempt { endpoint, .. }) = entry.running(attempt) else {
        return;
    };
    let fingerprint = entry.facts.fingerprint;
    match outcome {
        AttemptOutcome::Whole => state.crashes.clear(fingerprint),
        AttemptOutcome::LostBeforeAnswer | AttemptOutcome::CutAt(_) => {
            lost(state, endpoint, fingerprint);
        }
        _ => {}
    }
}

/// A lost attempt alone may be the link's fault. It counts only together with a sign that the
/// endpoint itself went down: nothing listens there any more, or it has begun another life.
fn lost(state: &mut CoreState, endpoint: EndpointId, fingerprint: RequestFingerprint) {
    let (now, window) = (state.now, evidence_window(state));
    let known = state.crashes.find_record(endpoint, 0, now, window);
    if let Some(number) = known {
        suspect(state, number, &[fingerprint].into());
    } else {
        state.crashes.note_loss(endpoint, fingerprint, now);
        limits::watch_load(state, endpoint, LoadWatcher::CrashCheck, true);
    }
}

fn endpoint_refused(state: &mut CoreState, endpoint: EndpointId) {
    let (now, window) = (state.now, evidence_window(state));
    let life = life_of(state, endpoint);
    let known = state.crashes.find_record(endpoint, life, now, window);
    if known.is_some() || state.crashes.has_losses(endpoint) {
        crashed(state, endpoint, life);
    }
}

/// Reads the life of an endpoint that is about to be used for the first time.
///
/// Guards against a crash that can't be told from a lost link: a router that reads the first life
/// only after a loss there finds the life that follows the crash.
pub fn learn_life(state: &mut CoreState, endpoint: EndpointId) {
    if life_of(state, endpoint) == 0 {
        limits::watch_load(state, endpoint, LoadWatcher::FirstLife, true);
    }
}

fn life_of(state: &CoreState, endpoint: EndpointId) -> u64 {
    state.endpoints.get(endpoint).map_or(0, |row| row.life)
}

fn life_seen(state: &mut CoreState, endpoint: EndpointId, life: u64) {
    let before = life_of(state, endpoint);
    limits::watch_load(state, endpoint, LoadWatcher::FirstLife, false);
    if before != 0 && before != life {
        crashed(state, endpoint, before);
    } else if before == life {
        // The endpoint lives on, so the link was at fault. A report that was under way when the
        // endpoint crashed would say the same; hence the grace.
        let lost_at = state.crashes.last_loss(endpoint);
        if lost_at.is_some_and(|at| state.now.since(at) >= REPORT_GRACE) {
            state.crashes.take_losses(endpoint, state.now);
        }
    }
}

/// An endpoint's life has ended: all that was lost there lately is suspect.
fn crashed(state: &mut CoreState, endpoint: EndpointId, life: u64) {
    let (now, window) = (state.now, evidence_window(state));
    let oldest = Moment(now.0.saturating_sub(window.0));
    let losses = state.crashes.take_losses(endpoint, oldest);
    let number = open_record(state, endpoint, life);
    suspect(state, number, &losses);
}

fn open_record(state: &mut CoreState, endpoint: EndpointId, life: u64) -> u64 {
    let (now, window) = (state.now, evidence_window(state));
    let known = state.crashes.find_record(endpoint, life, now, window);
    let number = known.unwrap_or_else(|| state.crashes.add_record(endpoint, life, now));
    if let Some(record) = state.crashes.record_mut(number) {
        record.seen_at = now;
        record.life = record.life.max(life);
    }
    number
}

fn suspect(state: &mut CoreState, number: u64, fingerprints: &BTreeSet<RequestFingerprint>) {
    let now = state.now;
    if let Some(record) = state.crashes.record_mut(number) {
        let news = fingerprints.difference(&record.suspects);
        record.untold.extend(news.copied());
    }
    add_suspects(state, number, fingerprints, now);
}

fn add_suspects(
    state: &mut CoreState,
    number: u64,
    fingerprints: &BTreeSet<RequestFingerprint>,
    now: Moment,
) {
    for fingerprint in fingerprints {
        let config = &state.config.quarantine;
        if state.crashes.add_suspect(number, *fingerprint, now, config) {
            state.crashes.untold_refusals.insert(*fingerprint);
            refuse_waiting(state, *fingerprint);
        } else {
            set_apart(state, *fingerprint);
        }
    }
}

/// Ends what waits here under a fingerprint that is refused from now on.
fn refuse_waiting(state: &mut CoreState, fingerprint: RequestFingerprint) {
    let Some(until) = state.crashes.refused_until(fingerprint, state.now) else {
        return;
    };
    let later = until.since(state.now);
    for request in waiting_with(state, fingerprint) {
        let Some(entry) = state.requests.get(request) else {
            continue;
        };
        let outcome = attempts::outcome_so_far(entry);
        admission::dequeue(state, request);
        finish::refuse(state, request, RefusalReason::Quarantined, outcome, later);
    }
}

/// Takes what waits here under a suspect fingerprint out of the common queue.
fn set_apart(state: &mut CoreState, fingerprint: RequestFingerprint) {
    for request in waiting_with(state, fingerprint) {
        let queued = state
            .requests
            .get(request)
            .is_some_and(|entry| entry.stage == RequestStage::Waiting);
        if queued {
            admission::dequeue(state, request);
            state.crashes.isolated.insert(request);
        }
    }
}

/// Looks through all requests of this router; done only when an endpoint crashed.
fn waiting_with(state: &CoreState, fingerprint: RequestFingerprint) -> Vec<RequestId> {
    state
        .requests
        .iter()
        .filter(|(_, entry)| entry.facts.fingerprint == fingerprint)
        .filter(|(_, entry)| !matches!(entry.stage, RequestStage::Running { .. }))
        .map(|(request, _)| *request)
        .collect()
}

/// True while it is not known whether the endpoint that lost a request's last attempt crashed.
/// A retry that did not wait for it would crash the next endpoint before anybody is a suspect.
#[must_use]
pub fn awaits_sign(state: &CoreState, request: RequestId) -> bool {
    let entry = state.requests.get(request);
    let Some(endpoint) = entry.and_then(|entry| entry.last_endpoint) else {
        return false;
    };
    let Some(lost_at) = state.crashes.last_loss(endpoint) else {
        return false;
    };
    let wait = TimeSpan::from_millis(state.config.quarantine.check_ms);
    state.now.since(lost_at) < wait
}

/// Takes over a request that would be queued, if it is a suspect.
pub fn isolates(state: &mut CoreState, request: RequestId) -> bool {
    let suspect = state
        .requests
        .get(request)
        .map(|entry| entry.facts.fingerprint)
        .is_some_and(|print| state.crashes.is_suspect(print) || is_in_doubt(state, print));
    if suspect {
        state.crashes.isolated.insert(request);
    }
    suspect
}

/// Starts each waiting suspect on its own endpoint, one at a time there. It takes no slot from
/// the common order: an endpoint runs at most one request more for it.
fn start_isolated(state: &mut CoreState) {
    for request in state.crashes.isolated.clone() {
        let Some(entry) = state.requests.get(request) else {
            state.crashes.isolated.remove(&request);
            continue;
        };
        let (pool_id, team) = (entry.facts.pool, entry.facts.team);
        let fingerprint = entry.facts.fingerprint;
        // A copy that was still running when the verdict fell comes here after its own crash. It
        // was not among those that waited then, and would take down endpoint after endpoint.
        if state
            .crashes
            .refused_until(fingerprint, state.now)
            .is_some()
        {
            state.crashes.isolated.remove(&request);
            refuse_waiting(state, fingerprint);
            continue;
        }
        let Some(endpoint) = place_for(state, pool_id, fingerprint) else {
            continue;
        };
        if is_taken(state, endpoint) || is_in_doubt(state, fingerprint) {
            continue;
        }
        state.crashes.isolated.remove(&request);
        state.crashes.running.insert(endpoint, request);
        dispatch::start(state, pool_id, NextRequest { request, team }, endpoint);
        state.woken.insert(pool_id);
    }
}

/// True while a lost copy of the request may turn out to have crashed its endpoint: another
/// copy started now could crash the next one.
fn is_in_doubt(state: &CoreState, fingerprint: RequestFingerprint) -> bool {
    let wait = TimeSpan::from_millis(state.config.quarantine.check_ms);
    let oldest = Moment(state.now.0.saturating_sub(wait.0));
    state.crashes.is_in_doubt(fingerprint, oldest)
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

/// True if a suspect of this router runs on the endpoint.
fn is_taken(state: &CoreState, endpoint: EndpointId) -> bool {
    let Some(request) = state.crashes.running.get(&endpoint) else {
        return false;
    };
    state.requests.get(*request).is_some_and(|entry| {
        matches!(entry.stage, RequestStage::Running { endpoint: place, .. } if place == endpoint)
    })
}

/// One notice for each crash and tick with news goes to each live router. It is not passed on,
/// so one crash costs at most as many notices as there are pairs of routers for each tick in
/// which attempts were lost.
fn tell_peers(state: &mut CoreState) {
    let refused: Vec<u64> = std::mem::take(&mut state.crashes.untold_refusals)
        .into_iter()
        .map(|fingerprint| fingerprint.0)
        .collect();
    let mut notices: Vec<QuarantineNotice> = state
        .crashes
        .records_mut()
        .filter(|record| !record.untold.is_empty())
        .map(|record| QuarantineNotice {
            endpoint: record.endpoint.0,
            crash: record.life,
            fingerprints: std::mem::take(&mut record.untold)
                .into_iter()
                .map(|fingerprint| fingerprint.0)
                .collect(),
            refused: Vec::new(),
        })
        .collect();
    if !refused.is_empty() {
        notices.push(QuarantineNotice {
            refused,
            ..QuarantineNotice::default()
        });
    }
    for notice in notices {
        for host in live_peers(state) {
            state.send(&host, PeerBody::Quarantine(notice.clone()));
        }
    }
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

fn take_notice(state: &mut CoreState, from: &HostName, notice: &QuarantineNotice) {
    let now = state.now;
    let suspects: BTreeSet<RequestFingerprint> = notice
        .fingerprints
        .iter()
        .copied()
        .map(RequestFingerprint)
        .collect();
    remind(state, from, &suspects);
    if !suspects.is_empty() {
        let endpoint = EndpointId(notice.endpoint);
        let number = open_record(state, endpoint, notice.crash);
        let oldest = Moment(now.0.saturating_sub(evidence_window(state).0));
        let losses = state.crashes.take_losses(endpoint, oldest);
        add_suspects(state, number, &suspects, now);
        suspect(state, number, &losses);
    }
    for fingerprint in notice.refused.iter().copied().map(RequestFingerprint) {
        let config = &state.config.quarantine;
        if state.crashes.refuse(fingerprint, now, config) {
            refuse_waiting(state, fingerprint);
        }
    }
}

/// A router that calls a refused request a mere suspect has restarted, or was cut off, when the
/// refusal was told. It would let the request crash further endpoints; so it is told again.
fn remind(state: &mut CoreState, from: &HostName, suspects: &BTreeSet<RequestFingerprint>) {
    let refused: Vec<u64> = suspects
        .iter()
        .filter(|suspect| state.crashes.refused_until(**suspect, state.now).is_some())
        .map(|suspect| suspect.0)
        .collect();
    if refused.is_empty() {
        return;
    }
    let reminder = QuarantineNotice {
        refused,
        ..QuarantineNotice::default()
    };
    state.send(from, PeerBody::Quarantine(reminder));
}

fn forget_old(state: &mut CoreState) {
    let before = state.crashes.lossy_endpoints();
    let now = state.now;
    state.crashes.shrink(now, &state.config.quarantine);
    for endpoint in before {
        if !state.crashes.has_losses(endpoint) {
            limits::watch_load(state, endpoint, LoadWatcher::CrashCheck, false);
        }
    }
}
