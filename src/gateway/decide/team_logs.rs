//! Counts and log lines of what teams asked for, got and were refused.

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::protocol::PromptShape;
use super::super::routes::TeamKey;
use super::core::AdmissionRequest;
use super::core::GatewayCore;
use super::outcomes::RequestOutcome;
use super::shares::LimitedTeam;

/// Interval between two log lines with the teams' counts.
const TEAM_LOG_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// Maximum number of teams over their share that are logged, those with the highest demand first.
/// Only a few flood at a time.
const MAX_LIMITED_TEAMS_LOGGED: usize = 4;

impl GatewayCore {
    /// Counts a model call that this router refused because its own tasks were delayed. The call is
    /// logged but does not count as demand when shares are set: a router would be assigned a part
    /// of the team's share for it, which it can't use and other routers then lack.
    pub fn record_refused_late(&mut self, now: Moment, team: &TeamKey, prompt: &PromptShape) {
        let tokens = prompt.share_tokens();
        self.shares.count_unseen(now, team, tokens);
        self.accounts.ask(team, tokens);
        self.accounts.count_unserved(team);
        self.outcomes
            .count(team, RequestOutcome::RouterFull, tokens);
    }

    /// Counts the reason for which a model call was refused, for the logs.
    pub fn record_refused(&mut self, request: &AdmissionRequest<'_>, outcome: RequestOutcome) {
        if let Some((team, tokens)) = request.team_tokens() {
            self.outcomes.count(team, outcome, tokens);
        }
    }

    /// Counts a team's request that was refused or had no output in time.
    pub fn record_unserved(&mut self, team: &TeamKey) {
        self.accounts.count_unserved(team);
    }

    /// Writes the log lines on teams if the last ones are [`TEAM_LOG_INTERVAL`] old. `rate` is the rate
    /// that is shared out, in tokens a second.
    pub(super) fn log_teams_when_due(&mut self, now: Moment, rate: f64) {
        let passed = now.since(self.teams_logged_at);
        if passed < TEAM_LOG_INTERVAL {
            return;
        }
        self.teams_logged_at = now;
        self.log_teams(passed);
        self.log_limited_teams(now, rate);
    }

    /// Logs the teams' demand, sent tokens and failed requests since the last log line.
    fn log_teams(&mut self, passed: TimeSpan) {
        if let Some(line) = self.accounts.take() {
            spdlog::info!("teams: span_ms={} {line}", passed.as_millis());
        }
        if let Some(line) = self.outcomes.take() {
            spdlog::info!("outcomes: span_ms={} {line}", passed.as_millis());
        }
    }

    /// Logs the demand, service and allowance of teams that are limited to their shares.
    fn log_limited_teams(&self, now: Moment, rate: f64) {
        let limited = self.shares.limited();
        let (count, level) = (limited.len(), self.shares.level());
        for held in limited.iter().take(MAX_LIMITED_TEAMS_LOGGED) {
            let LimitedTeam {
                team,
                flow,
                asked_here,
                allowed_here,
                beyond_here,
                unseen_here,
                since,
            } = held;
            let held_ms = now.since(*since).as_millis();
            let beyond_here =
                beyond_here.map_or(String::from("unbounded"), |rate| format!("{rate:.0}"));
            spdlog::info!(
                "shares: team={team} held_ms={held_ms} level={level:.0} asked={:.0} served={:.0} \
                 asked_here={asked_here:.0} unseen_here={unseen_here:.0} \
                 allowed_here={allowed_here:.0} beyond_here={beyond_here} held={count} \
                 rate={rate:.0}",
                flow.asked,
                flow.served,
            );
        }
    }
}
