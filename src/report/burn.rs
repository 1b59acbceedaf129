//! Service-level burn: how fast a team's allowance of bad answers is used up.
//!
//! A burn rate of 1 uses up exactly the allowance of the objective; an alert needs a high rate
//! over a long window, so that it matters, and over a short one, so that it still goes on.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::units::KindName;
use crate::units::TeamName;

use super::answers::AnswerCounts;

/// A pair of windows with the rate at which both together raise an alert.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurnWindow {
    /// The long window, in seconds.
    pub long_s: u64,
    /// The short window, in seconds.
    pub short_s: u64,
    /// The rate.
    pub threshold: f64,
    /// What the alert asks for.
    pub alert: BurnAlert,
}

/// What a burn asks of operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BurnAlert {
    /// Look into it in working hours.
    Ticket,
    /// Look into it now.
    Page,
}

/// The windows, from the workbook on site reliability: 2% of a month's allowance in an hour,
/// 5% in six hours, 10% in three days.
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

/// All spans that the windows need, in seconds, each once.
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

/// Answers of one team and kind as one router counted them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRow {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// Answers in a thousand that shall be good.
    pub objective_per_mille: u16,
    /// Counts by span, in seconds.
    pub spans: BTreeMap<u64, AnswerCounts>,
    /// Counts by step over the last hour, by the step's start in seconds since 1970.
    pub series: BTreeMap<u64, AnswerCounts>,
}

/// What one router counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// The router's host.
    pub host: String,
    /// When it was asked, in seconds since 1970.
    pub now_s: u64,
    /// From when on its counts are whole, by span, in seconds since 1970.
    pub since_s: BTreeMap<u64, u64>,
    /// Its teams and kinds.
    pub rows: Vec<AnswerRow>,
}

/// The burn of one team and kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The team.
    pub team: TeamName,
    /// The kind.
    pub kind: KindName,
    /// Answers in a thousand that shall be good.
    pub objective_per_mille: u16,
    /// Burn rates by span in seconds; none where nothing was answered.
    pub rates: BTreeMap<u64, Option<f64>>,
    /// Counts by span in seconds.
    pub spans: BTreeMap<u64, AnswerCounts>,
    /// The strongest alert.
    pub alert: Option<BurnAlert>,
    /// Counts by step over the last hour, by the step's start in seconds since 1970.
    pub series: BTreeMap<u64, AnswerCounts>,
}

/// The burn over the routers that were asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Routers that answered.
    pub hosts: Vec<String>,
    /// Routers that did not, with the reason.
    pub missing: BTreeMap<String, String>,
    /// The shortest time that any of the routers has counted, in seconds.
    pub covered_s: u64,
    /// Teams and kinds, worst first.
    pub rows: Vec<BurnRow>,
}

/// The rate at which the allowance is used up; nothing if nothing was answered.
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

/// Adds up what the routers counted.
#[must_use]
pub fn burn_report(reports: &[AnswerReport], missing: BTreeMap<String, String>) -> BurnReport {
    let mut rows: BTreeMap<(TeamName, KindName), BurnRow> = BTreeMap::new();
    for row in reports.iter().flat_map(|report| &report.rows) {
        let key = (row.team.clone(), row.kind.clone());
        add(rows.entry(key).or_insert_with(|| empty(row)), row);
    }
    let mut rows: Vec<BurnRow> = rows.into_values().map(rated).collect();
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

fn rated(mut row: BurnRow) -> BurnRow {
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
    fn routers_are_added_up() {
        let all = burn_report(&[report("a", 90, 0), report("b", 0, 10)], BTreeMap::new());
        assert_eq!(all.rows.len(), 1);
        let rate = all.rows[0].rates[&300].unwrap();
        assert!((rate - 10.0).abs() < 1e-9, "{rate}");
        assert_eq!(all.rows[0].alert, Some(BurnAlert::Page));
        assert_eq!(all.covered_s, 1_000);
    }

    #[test]
    fn no_answers_burn_nothing() {
        let all = burn_report(&[report("a", 0, 0)], BTreeMap::new());
        assert_eq!(all.rows[0].rates[&300], None);
        assert_eq!(all.rows[0].alert, None);
    }
}
