//! Quarantine of requests that crash the endpoints that run them.
//!
//! Every request that was running on an endpoint when it crashed is a suspect, fleet-wide and
//! identified by its fingerprint. Suspects of the same crash are isolated from each other: all
//! copies of one suspect run on the same endpoint, one after the other, so that harmless requests
//! are cleared by completing and a harmful one crashes only one more endpoint. A request that was
//! running in `config.crashes` crashes, two by default, is refused for `refuse_ms`, at all routers.
//!
//! From the loss of a copy until it is known whether its endpoint crashed, all routers hold back
//! the other copies.

mod notices;
mod trials;

use std::collections::BTreeSet;

use crate::core::action::RefusalReason;
use crate::core::event::AttemptOutcome;
use crate::core::event::CoreEvent;
use crate::core::finish;
use crate::core::state::CoreState;
use crate::core::systems::admission;
use crate::core::systems::attempts;
use crate::core::systems::limits;
use crate::core::tables::crashes::CrashEvidence;
use crate::core::tables::endpoints::LoadWatcher;
use crate::core::tables::requests::RequestStage;
use crate::core::tables::requests::RunningAttempt;
use crate::units::AttemptNumber;
use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::RequestFingerprint;
use crate::units::RequestId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;

/// Minimum age of a lost attempt at which a load report proves that its endpoint still runs; a
/// report that was on its way when the endpoint crashed arrives earlier.
const REPORT_GRACE: TimeSpan = TimeSpan::from_millis(50);

/// Handles lost attempts, signs of crashes and notices from peers; starts isolated suspects.
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
                notices::handle_notice(state, from, notice);
            }
        }
        CoreEvent::Tick => {
            notices::send_notices(state);
            trials::report_ended_copies(state);
            trials::start_isolated(state);
            forget_old(state);
        }
        _ => {}
    }
}

fn evidence_window(state: &CoreState) -> TimeSpan {
    TimeSpan::from_millis(state.config.quarantine.evidence_ms)
}

/// Returns how long a lost attempt waits for a sign of whether its endpoint crashed. Leases of
/// isolated runs have the same duration.
fn check_window(state: &CoreState) -> TimeSpan {
    TimeSpan::from_millis(state.config.quarantine.check_ms)
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
        AttemptOutcome::Whole => cleared(state, fingerprint),
        AttemptOutcome::LostBeforeAnswer | AttemptOutcome::CutAt(_) => {
            lost(state, endpoint, fingerprint);
        }
        _ => {}
    }
}

fn cleared(state: &mut CoreState, fingerprint: RequestFingerprint) {
    if state.crashes.clear(fingerprint) {
        state.crashes.unannounced_clearances.insert(fingerprint);
    }
}

/// Records a lost attempt. On its own it may be a network failure; it counts only together with a
/// sign that the endpoint itself crashed: its port refuses connections, or it reports a new `life`.
fn lost(state: &mut CoreState, endpoint: EndpointId, fingerprint: RequestFingerprint) {
    let (now, window) = (state.now, evidence_window(state));
    let known = state.crashes.find_record(endpoint, 0, now, window);
    if let Some(number) = known {
        suspect(state, number, &[fingerprint].into());
    } else {
        state.crashes.note_loss(endpoint, fingerprint, now);
        state.crashes.unannounced_losses.insert(fingerprint);
        isolate_queued(state, &[fingerprint].into());
        limits::watch_load(state, endpoint, LoadWatcher::CrashCheck, true);
    }
}

fn endpoint_refused(state: &mut CoreState, endpoint: EndpointId) {
    let (now, window) = (state.now, evidence_window(state));
    let life = endpoint_life(state, endpoint);
    let known = state.crashes.find_record(endpoint, life, now, window);
    if known.is_some() || state.crashes.has_losses(endpoint) {
        crashed(state, endpoint, life, CrashEvidence::Confirmed);
    }
}

/// Starts polling the load of an endpoint whose `life`, the identity of its process, is not known
/// yet. Called before the endpoint is used for the first time.
///
/// A router that first reads the `life` after a loss there may get that of the process after the
/// crash, and then can't distinguish the crash from a network failure.
pub fn watch_first_life(state: &mut CoreState, endpoint: EndpointId) {
    if endpoint_life(state, endpoint) == 0 {
        limits::watch_load(state, endpoint, LoadWatcher::FirstLife, true);
    }
}

fn endpoint_life(state: &CoreState, endpoint: EndpointId) -> u64 {
    state.endpoints.get(endpoint).map_or(0, |row| row.life)
}

fn life_seen(state: &mut CoreState, endpoint: EndpointId, life: u64) {
    let before = endpoint_life(state, endpoint);
    limits::watch_load(state, endpoint, LoadWatcher::FirstLife, false);
    if before == 0 && state.crashes.has_losses(endpoint) {
        crashed(state, endpoint, 0, CrashEvidence::Unconfirmed);
    } else if before != 0 && before != life {
        crashed(state, endpoint, before, CrashEvidence::Confirmed);
    } else if before == life {
        // The endpoint still runs, so the loss was a network failure. A report that was already on
        // its way when the endpoint crashed looks the same; hence the grace period.
        let lost_at = state.crashes.last_loss(endpoint);
        if lost_at.is_some_and(|at| state.now.since(at) >= REPORT_GRACE) {
            state.crashes.take_losses(endpoint, state.now);
        }
    }
}

/// Records that an endpoint crashed, or may have: all requests lost there recently are suspects.
fn crashed(state: &mut CoreState, endpoint: EndpointId, life: u64, evidence: CrashEvidence) {
    let number = open_record(state, endpoint, life, evidence);
    suspect_losses(state, endpoint, number);
}

/// Finds the record of a crash or adds one, adds the new evidence to it, and returns its number.
fn open_record(
    state: &mut CoreState,
    endpoint: EndpointId,
    life: u64,
    evidence: CrashEvidence,
) -> u64 {
    let (now, window) = (state.now, evidence_window(state));
    let known = state.crashes.find_record(endpoint, life, now, window);
    let number = known.unwrap_or_else(|| state.crashes.add_record(endpoint, life, evidence, now));
    if let Some(record) = state.crashes.record_mut(number) {
        record.seen_at = now;
        // One of the two is 0, unknown, or they are the same.
        record.life = record.life.max(life);
    }
    if evidence == CrashEvidence::Confirmed {
        let config = &state.config.quarantine;
        for fingerprint in state.crashes.confirm(number, now, config) {
            refuse_fleet_wide(state, fingerprint);
        }
    }
    number
}

/// Marks the requests that were lost on an endpoint recently as suspects.
fn suspect_losses(state: &mut CoreState, endpoint: EndpointId, number: u64) {
    let oldest = Moment(state.now.0.saturating_sub(evidence_window(state).0));
    let losses = state.crashes.take_losses(endpoint, oldest);
    suspect(state, number, &losses);
}

fn suspect(state: &mut CoreState, number: u64, fingerprints: &BTreeSet<RequestFingerprint>) {
    if let Some(record) = state.crashes.record_mut(number) {
        let news = fingerprints.difference(&record.suspects);
        record.unannounced.extend(news.copied());
    }
    add_suspects(state, number, fingerprints);
}

fn add_suspects(state: &mut CoreState, number: u64, fingerprints: &BTreeSet<RequestFingerprint>) {
    for fingerprint in fingerprints {
        let config = &state.config.quarantine;
        let now = state.now;
        if state.crashes.add_suspect(number, *fingerprint, now, config) {
            refuse_fleet_wide(state, *fingerprint);
        }
    }
    isolate_queued(state, fingerprints);
}

fn refuse_fleet_wide(state: &mut CoreState, fingerprint: RequestFingerprint) {
    state.crashes.unannounced_quarantines.insert(fingerprint);
    refuse_waiting(state, fingerprint);
}

/// Refuses the requests waiting here whose fingerprint is in quarantine.
fn refuse_waiting(state: &mut CoreState, fingerprint: RequestFingerprint) {
    let Some(until) = state.crashes.quarantined_until(fingerprint, state.now) else {
        return;
    };
    let later = until.since(state.now);
    for request in waiting_with(state, &[fingerprint].into()) {
        let Some(entry) = state.requests.get(request) else {
            continue;
        };
        let outcome = attempts::outcome_so_far(entry);
        admission::dequeue(state, request);
        finish::refuse(state, request, RefusalReason::Quarantined, outcome, later);
    }
}

/// Moves the requests queued here with these fingerprints out of their team's queue into isolation.
fn isolate_queued(state: &mut CoreState, fingerprints: &BTreeSet<RequestFingerprint>) {
    if fingerprints.is_empty() {
        return;
    }
    for request in waiting_with(state, fingerprints) {
        let queued = state
            .requests
            .get(request)
            .is_some_and(|entry| entry.stage == RequestStage::Waiting);
        if queued && !state.trials.isolated.contains_key(&request) {
            admission::dequeue(state, request);
            state.trials.isolated.insert(request, state.now);
        }
    }
}

/// Returns the requests here with these fingerprints that are not running. It scans all requests
/// of this router, which is done only when attempts were lost.
fn waiting_with(state: &CoreState, fingerprints: &BTreeSet<RequestFingerprint>) -> Vec<RequestId> {
    state
        .requests
        .iter()
        .filter(|(_, entry)| fingerprints.contains(&entry.facts.fingerprint))
        .filter(|(_, entry)| !matches!(entry.stage, RequestStage::Running { .. }))
        .map(|(request, _)| *request)
        .collect()
}

/// Returns true while it is not known whether the endpoint that lost a request's last attempt
/// crashed. A retry before that could crash the next endpoint before any request is a suspect.
#[must_use]
pub fn awaits_crash_check(state: &CoreState, request: RequestId) -> bool {
    let entry = state.requests.get(request);
    let Some(endpoint) = entry.and_then(|entry| entry.last_endpoint) else {
        return false;
    };
    let Some(lost_at) = state.crashes.last_loss(endpoint) else {
        return false;
    };
    state.now.since(lost_at) < check_window(state)
}

/// Isolates a request that is about to be queued if it is a suspect or a copy of it was just lost;
/// returns true if so.
pub fn isolate_if_suspect(state: &mut CoreState, request: RequestId) -> bool {
    let suspect = state
        .requests
        .get(request)
        .map(|entry| entry.facts.fingerprint)
        .is_some_and(|print| state.crashes.is_suspect(print) || has_unexplained_loss(state, print));
    if suspect {
        state.trials.isolated.insert(request, state.now);
    }
    suspect
}

/// Returns true while a lost copy of the request may turn out to have crashed its endpoint. Another
/// copy started now could crash the next endpoint.
fn has_unexplained_loss(state: &CoreState, fingerprint: RequestFingerprint) -> bool {
    let oldest = Moment(state.now.0.saturating_sub(check_window(state).0));
    state.crashes.has_unexplained_loss(fingerprint, oldest)
}

fn forget_old(state: &mut CoreState) {
    let before = state.crashes.endpoints_with_losses();
    let now = state.now;
    state.crashes.shrink(now, &state.config.quarantine);
    let span = check_window(state);
    state.trials.shrink(now, span);
    for endpoint in before {
        if !state.crashes.has_losses(endpoint) {
            limits::watch_load(state, endpoint, LoadWatcher::CrashCheck, false);
        }
    }
}
