//! Writes the log line and the metrics of a call that ended.

use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;

use super::call_state::CallEnd;
use super::call_state::CallState;
use super::decide::AttemptTicket;
use super::front::TrafficState;
use super::metrics::RouteChange;
use super::protocol::CallProtocol;
use super::protocol::PartIds;

/// Time after the bound of a configuration change in which answers may still end early for it.
const AFTER_CHANGE: Duration = Duration::from_secs(1);

/// The figures behind a call's last placement or refusal, for its log line.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecisionFacts {
    /// Whether the call's team was over its share.
    pub is_over_share: bool,
    /// Predicted time to the first output, in ms.
    pub predicted_ms: f64,
    /// Prompt tokens queued ahead of the call at its endpoint.
    queued: f64,
    /// Prompt tokens that the endpoint did not have cached.
    uncached: f64,
    /// Uncached prompt tokens that belong to parts shared with other requests. The endpoint has to
    /// prefill them although another endpoint may have done so before.
    reread: f64,
}

impl DecisionFacts {
    /// Copies the figures by which an attempt was placed. The ticket's queue includes the call
    /// itself, which is subtracted.
    pub fn placed(&mut self, ticket: &AttemptTicket) {
        self.predicted_ms = ticket.first_ms;
        self.queued = ticket.queued - ticket.uncached;
        self.uncached = ticket.uncached;
        self.reread = ticket.reread;
    }
}

/// Writes the log line of a call that ended and updates the metrics.
pub fn record<P: CallProtocol>(traffic: &TrafficState<P>, call: &CallState, end: CallEnd) {
    let (status, cause) = match end {
        CallEnd::Answered(status) => (status, "answered"),
        CallEnd::Own(status, cause) => (status.line().0, cause),
        CallEnd::Cut(cause) => (0, cause),
        CallEnd::CallerLeft => (0, "caller left"),
    };
    let total = call.arrived.elapsed();
    traffic
        .shared
        .metrics
        .call(&call.route.name.0, status, cause, total);
    let first = call
        .first_output
        .map_or(0, |at| (at - call.arrived).as_millis());
    let team = call.team.as_ref().map_or("-", |team| team.0.as_str());
    let endpoint = call.tried.last().map_or("-", |key| key.0.as_str());
    let standing = if call.decided.is_over_share {
        "beyond"
    } else {
        "within"
    };
    let prompt = call.facts.prompt.as_ref();
    if let Some(prompt) = prompt {
        let tokens = prompt.share_tokens();
        let metrics = &traffic.shared.metrics;
        metrics.team_tokens(team, standing, call.sends > 0, tokens);
    }
    if let (Some(team), Some(_)) = (&call.team, prompt)
        && missed_objective(call, end)
    {
        traffic.shared.core().record_unserved(team);
    }
    if let CallEnd::Cut(cause) = end {
        record_cut(traffic, call, cause);
    }
    let (fingerprint, parts) = match end {
        CallEnd::Answered(_) => (SmolStr::new_static("-"), PartIds::default()),
        CallEnd::Own(..) | CallEnd::Cut(_) | CallEnd::CallerLeft => {
            (format_smolstr!("{}", call.fingerprint), PartIds::of(prompt))
        }
    };
    let DecisionFacts {
        predicted_ms,
        queued,
        uncached,
        reread,
        ..
    } = call.decided;
    spdlog::info!(
        "calls: id={} route={} team={team} version={} endpoint={endpoint} sends={} \
         tries={} status={status} cause=\"{cause}\" first_ms={first} total_ms={} \
         objective_ms={} standing={standing} predicted_ms={predicted_ms:.0} queued={queued:.0} \
         prompt={} uncached={uncached:.0} reread={reread:.0} fingerprint={fingerprint} \
         parts={parts} software={} began_at={} resumes={}",
        call.facts.call_id,
        call.route.name,
        call.table.version,
        call.sends,
        call.tried.len(),
        total.as_millis(),
        call.route.objective_ms,
        prompt.map_or(0, |prompt| prompt.prompt_tokens),
        call.tried_software,
        call.origin,
        call.facts.resumes.as_deref().unwrap_or("-"),
    );
}

/// Logs and counts an answer that ends early although the caller has a part of it.
fn record_cut<P: CallProtocol>(traffic: &TrafficState<P>, call: &CallState, cause: &'static str) {
    let shared = &traffic.shared;
    let since_change = shared.since_routes_changed();
    let change_bound = Duration::from_millis(shared.config.change_bound_ms) + AFTER_CHANGE;
    let change =
        RouteChange::of(since_change.is_some_and(|since| since.as_duration() < change_bound));
    shared.metrics.cut_answer(cause, change);
    let silence = call.last_output.map_or(Duration::ZERO, |at| at.elapsed());
    let left = call.deadline.saturating_duration_since(Instant::now());
    spdlog::warn!(
        "calls: id={} answer cut cause=\"{cause}\" sends={} last_event={} ran_ms={} silent_ms={} \
         left_ms={} change={} since_change_ms={}",
        call.facts.call_id,
        call.sends,
        call.last_event().unwrap_or_default(),
        call.arrived.elapsed().as_millis(),
        silence.as_millis(),
        left.as_millis(),
        change.label(),
        since_change.map_or(-1, |since| i128::from(since.0 / 1_000)),
    );
}

/// Returns whether a generation was refused, cut before its first output, or had no output within
/// its objective. A caller that left without output before the objective had passed is not counted.
fn missed_objective(call: &CallState, end: CallEnd) -> bool {
    let objective = Duration::from_millis(call.route.objective_ms);
    let waited = match (call.first_output, end) {
        (Some(first), _) => first - call.arrived,
        (None, CallEnd::CallerLeft) => call.arrived.elapsed(),
        (None, _) => return true,
    };
    waited > objective
}
