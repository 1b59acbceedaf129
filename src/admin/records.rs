//! Records that a router keeps for operators: answers, samples, metrics and the status board.

use std::time::Duration;
use std::time::Instant;

use crate::catalog::FleetCatalog;
use crate::core::action::RunOutcome;
use crate::core::event::RequestFacts;
use crate::report::answers::AnswerHistory;
use crate::report::answers::AnswerKey;
use crate::report::answers::AnswerVerdict;
use crate::report::burn::AnswerReport;
use crate::report::burn::AnswerRow;
use crate::report::burn::spans;
use crate::report::samples::SampleHistory;
use crate::report::unix_seconds;
use crate::units::HostName;

use super::board::StatusBoard;
use super::metrics::RouterMetrics;

/// Time that the series in a burn report covers, in seconds.
const SERIES_SPAN_S: u64 = 3_600;

/// Number of points of the series in a burn report.
const SERIES_POINTS: u64 = 60;

/// All records since the router's start, shared by its traffic threads.
#[derive(Debug)]
pub struct RouterRecords {
    /// Counts of answers.
    pub answers: AnswerHistory,
    /// Samples of the core.
    pub samples: SampleHistory,
    /// Refused publications and failures of the sources.
    pub board: StatusBoard,
    /// Metrics.
    pub metrics: RouterMetrics,
    start: Instant,
}

impl RouterRecords {
    /// Creates empty records.
    ///
    /// # Errors
    /// If the metrics can't be registered.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        Ok(Self {
            answers: AnswerHistory::new(unix_seconds()),
            samples: SampleHistory::default(),
            board: StatusBoard::default(),
            metrics: RouterMetrics::new()?,
            start: Instant::now(),
        })
    }

    /// Seconds since the router's start.
    #[must_use]
    pub fn uptime_s(&self) -> u64 {
        self.start.elapsed().as_secs()
    }

    /// Counts a complete answer that took `elapsed` from the request's arrival.
    pub fn answered(&self, catalog: &FleetCatalog, facts: &RequestFacts, elapsed: Duration) {
        let goal = catalog
            .teams
            .get(&facts.team)
            .and_then(|team| team.kinds.get(&facts.kind))
            .map(|kind| kind.goal.as_duration());
        let verdict = if goal.is_none_or(|goal| elapsed <= goal) {
            AnswerVerdict::Good
        } else {
            AnswerVerdict::Late
        };
        self.count(catalog, facts, verdict, elapsed);
    }

    /// Counts a request that was given up: as refused if it did not run, else as failed.
    pub fn refused(
        &self,
        catalog: &FleetCatalog,
        facts: &RequestFacts,
        outcome: RunOutcome,
        elapsed: Duration,
    ) {
        let verdict = match outcome {
            RunOutcome::NotRun => AnswerVerdict::Refused,
            RunOutcome::Ran | RunOutcome::Unknown => AnswerVerdict::Failed,
        };
        self.count(catalog, facts, verdict, elapsed);
    }

    fn count(
        &self,
        catalog: &FleetCatalog,
        facts: &RequestFacts,
        verdict: AnswerVerdict,
        elapsed: Duration,
    ) {
        let key = AnswerKey {
            team: facts.team,
            kind: facts.kind.clone(),
        };
        self.answers.record(&key, verdict, unix_seconds());
        if let Some(team) = catalog.teams.get(&facts.team) {
            let seconds = elapsed.as_secs_f64();
            self.metrics
                .answer(&team.name, &facts.kind, verdict, seconds);
        }
    }

    /// Returns the counts for a burn report, of published teams and kinds.
    #[must_use]
    pub fn answer_report(&self, host: &HostName, catalog: &FleetCatalog) -> AnswerReport {
        let now_s = unix_seconds();
        let mut rows = self.answers.series(SERIES_SPAN_S, SERIES_POINTS, now_s);
        let sums: Vec<_> = spans()
            .into_iter()
            .map(|span| (span, self.answers.totals(span, now_s)))
            .collect();
        for key in sums.iter().flat_map(|(_, sums)| sums.keys()) {
            rows.entry(key.clone()).or_default();
        }
        let row = |key: &AnswerKey, series| {
            let team = catalog.teams.get(&key.team)?;
            Some(AnswerRow {
                team: team.name.clone(),
                kind: key.kind.clone(),
                objective_per_mille: team.kinds.get(&key.kind)?.objective_per_mille,
                spans: sums
                    .iter()
                    .map(|(span, sums)| (*span, sums.get(key).copied().unwrap_or_default()))
                    .collect(),
                series,
            })
        };
        AnswerReport {
            host: host.to_string(),
            now_s,
            since_s: spans()
                .into_iter()
                .map(|span| (span, self.answers.since_s(span, now_s)))
                .collect(),
            rows: rows
                .into_iter()
                .filter_map(|(key, series)| row(&key, series))
                .collect(),
        }
    }
}
