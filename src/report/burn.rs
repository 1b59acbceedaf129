//! Burn rates of the service-level objectives: how fast a team uses up its error budget.
//!
//! A burn rate of 1 uses up exactly the error budget of the objective. An alert needs a high rate
//! over two windows: the long one shows that the loss is significant, the short one that it is
//! still going on.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::units::KindName;
use crate::units::TeamName;

use super::answers::AnswerCounts;

/// A pair of windows. An alert is raised if the burn rates of both reach the threshold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurnWindow {
    /// The long window, in seconds.
    pub long_s: u64,
    /// The short window, in seconds.
    pub short_s: u64,
    /// The burn rate from which on both windows raise the alert.
    pub threshold: f64,
    /// The alert to raise.
    pub alert: BurnAlert,
}

/// How urgently operators have to react to a burn rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BurnAlert {
    /// Investigate during working hours.
    Ticket,
    /// Investigate now.
    Page,
}

/// The windows recommended by the Site Reliability Workbook: 2% of a month's error budget in one
/// hour, 5% in six hours, 10% in three days.
pub const BURN_WINDOWS: [BurnWindow; 3] = [
    BurnWindow {
        long_s: 3_600,
        short_s: 300,
        threshold: 14.4,
        alert: BurnAlert::Page,
    },
    BurnWindow {
        long_s: 21_600,
        short_s: 1_800,
        threshold: 6.0,
        alert: BurnAlert::Page,
    },
    BurnWindow {
        long_s: 259_200,
        short_s: 21_600,
        threshold: 1.0,
        alert: BurnAlert::Ticket,
    },
];

/// Returns the lengths of all windows in seconds, sorted and without duplicates.
#[must_use]
pub fn spans() -> Vec<u64> {
    let mut spans: Vec<u64> = BURN_WINDOWS
        .iter()
        .flat_map(|window| [window.short_s, window.long_s])
        .collect();
    spans.sort_unstable();
    spans.dedup();
    spans
}

/// Answers of one team and kind, as counted by one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRow {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// Objective: the required number of good answers per thousand.
    pub objective_per_mille: u16,
    /// Counts by length of the window in seconds.
    pub spans: BTreeMap<u64, AnswerCounts>,
    /// Counts of the last hour, by the start of the step in seconds since 1970.
    pub series: BTreeMap<u64, AnswerCounts>,
}

/// Answers counted by one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// The router's host.
    pub host: String,
    /// Time of the report, in seconds since 1970.
    pub now_s: u64,
    /// Time from which the counts are complete, in seconds since 1970, by length of the window in
    /// seconds.
    pub since_s: BTreeMap<u64, u64>,
    /// One row per team and kind.
    pub rows: Vec<AnswerRow>,
}

/// Burn rates of one team and kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// Objective: the required number of good answers per thousand.
    pub objective_per_mille: u16,
    /// Burn rates by length of the window in seconds; `None` for windows without answers.
    pub rates: BTreeMap<u64, Option<f64>>,
    /// Counts by length of the window in seconds.
    pub spans: BTreeMap<u64, AnswerCounts>,
    /// The most urgent alert that is raised.
    pub alert: Option<BurnAlert>,
    /// Counts of the last hour, by the start of the step in seconds since 1970.
    pub series: BTreeMap<u64, AnswerCounts>,
}

/// Burn rates over all queried routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Routers that answered.
    pub hosts: Vec<String>,
    /// Routers that did not answer, with the reason.
    pub missing: BTreeMap<String, String>,
    /// The shortest time that any of the routers covers, in seconds.
    pub covered_s: u64,
    /// One row per team and kind: the most urgent alert first, then the highest burn rate.
    pub rows: Vec<BurnRow>,
}

/// Returns the burn rate of the error budget, or `None` without answers.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn burn_rate(counts: &AnswerCounts, objective_per_mille: u16) -> Option<f64> {
    if counts.total() == 0 {
        return None;
    }
    let bad = counts.bad() as f64 / counts.total() as f64;
    let allowance = f64::from(1_000 - objective_per_mille.min(999)) / 1_000.0;
    Some(bad / allowance)
}

/// Sums the counts of all routers and computes the burn rates.
#[must_use]
pub fn burn_report(reports: &[AnswerReport], missing: BTreeMap<String, String>) -> BurnReport {
    let mut rows: BTreeMap<(TeamName, KindName), BurnRow> = BTreeMap::new();
    for row in reports.iter().flat_map(|report| &report.rows) {
        let key = (row.team.clone(), row.kind.clone());
        add(rows.entry(key).or_insert_with(|| empty(row)), row);
    }
    let mut rows: Vec<BurnRow> = rows.into_values().map(with_rates).collect();
    rows.sort_by(|one, other| {
        let rate = |row: &BurnRow| row.rates.values().flatten().copied().fold(0.0, f64::max);
        let by_rate = rate(other).total_cmp(&rate(one));
        other.alert.cmp(&one.alert).then(by_rate)
    });
    let covered = reports.iter().map(|report| {
        let since = report.since_s.values().min().copied();
        report.now_s.saturating_sub(since.unwrap_or(report.now_s))
    });
    BurnReport {
        hosts: reports.iter().map(|report| report.host.clone()).collect(),
        missing,
        covered_s: covered.min().unwrap_or(0),
        rows,
    }
}

fn empty(row: &AnswerRow) -> BurnRow {
    BurnRow {
        team: row.team.clone(),
        kind: row.kind.clone(),
        objective_per_mille: row.objective_per_mille,
        rates: BTreeMap::new(),
        spans: BTreeMap::new(),
        alert: None,
        series: BTreeMap::new(),
    }
}

fn add(sum: &mut BurnRow, row: &AnswerRow) {
    for (span, counts) in &row.spans {
        *sum.spans.entry(*span).or_default() += *counts;
    }
    for (step, counts) in &row.series {
        *sum.series.entry(*step).or_default() += *counts;
    }
}

fn with_rates(mut row: BurnRow) -> BurnRow {
    row.rates = row
        .spans
        .iter()
        .map(|(span, counts)| (*span, burn_rate(counts, row.objective_per_mille)))
        .collect();
    let rate = |span: u64| row.rates.get(&span).copied().flatten().unwrap_or(0.0);
    row.alert = BURN_WINDOWS
        .iter()
        .filter(|window| {
            rate(window.long_s) >= window.threshold && rate(window.short_s) >= window.threshold
        })
        .map(|window| window.alert)
        .max();
    row
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(host: &str, good: u64, failed: u64) -> AnswerReport {
        let counts = AnswerCounts {
            good,
            failed,
            ..AnswerCounts::default()
        };
        AnswerReport {
            host: host.to_owned(),
            now_s: 5_000,
            since_s: BTreeMap::from([(3_600, 4_000)]),
            rows: vec![AnswerRow {
                team: "nadi".parse().unwrap(),
                kind: "query".parse().unwrap(),
                objective_per_mille: 990,
                spans: spans().into_iter().map(|span| (span, counts)).collect(),
                series: BTreeMap::new(),
            }],
        }
    }

    #[test]
    fn answers_of_all_routers_are_added_up() {
        let all = burn_report(&[report("a", 90, 0), report("b", 0, 10)], BTreeMap::new());
        assert_eq!(all.rows.len(), 1);
        let rate = all.rows[0].rates[&300].unwrap();
        assert!((rate - 10.0).abs() < 1e-9, "{rate}");
        assert_eq!(all.rows[0].alert, Some(BurnAlert::Page));
        assert_eq!(all.covered_s, 1_000);
    }

    #[test]
    fn no_answers_give_no_burn_rate() {
        let all = burn_report(&[report("a", 0, 0)], BTreeMap::new());
        assert_eq!(all.rows[0].rates[&300], None);
        assert_eq!(all.rows[0].alert, None);
    }
}
