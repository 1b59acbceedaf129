//! Subcommands for reports over time: service-level burn rates and fairness.

use std::path::PathBuf;

use clap::ArgMatches;

use crate::report::burn::AnswerReport;
use crate::report::burn::BurnAlert;
use crate::report::burn::BurnReport;
use crate::report::burn::burn_report;
use crate::report::burn::spans;
use crate::report::fairness::FairnessReport;
use crate::report::fairness::SampleReport;
use crate::report::fairness::fairness_report;
use crate::report::html::burn_page;
use crate::report::html::fairness_page;
use crate::report::html::percent_text;
use crate::report::html::rate_text;

use super::client::clients;
use super::client::missing_text;
use super::client::query_all;
use super::exit::CtlError;
use super::exit::ExitKind;
use super::output::CellStyle;
use super::output::OutputFormat;
use super::output::OutputWriter;
use super::output::TableCell;
use super::output::TextTable;

/// Shows how fast teams use up their error budgets.
///
/// # Errors
/// If no router answers or the page can't be written.
pub async fn burn(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let asked = query_all::<AnswerReport>(&clients(matches)?, "/history/answers").await?;
    let report = burn_report(&asked.answers, asked.missing);
    write_page(matches, || burn_page(&report))?;
    writer.value(&report, burn_text)?;
    let alerts = report.rows.iter().any(|row| row.alert.is_some());
    Ok(if alerts || !report.missing.is_empty() {
        ExitKind::Finding
    } else {
        ExitKind::Good
    })
}

fn burn_text(report: &BurnReport, format: OutputFormat) -> String {
    let mut table = TextTable::new(&[
        "team",
        "kind",
        "objective",
        "5m",
        "30m",
        "1h",
        "6h",
        "3d",
        "good",
        "late",
        "failed",
        "refused",
        "alert",
    ]);
    for row in &report.rows {
        let longest = row.spans.values().next_back().copied().unwrap_or_default();
        let mut cells: Vec<TableCell> = vec![
            row.team.to_string().into(),
            row.kind.to_string().into(),
            format!("{:.1}%", f64::from(row.objective_per_mille) / 10.0).into(),
        ];
        for span in spans() {
            cells.push(rate_text(row.rates.get(&span).copied().flatten()).into());
        }
        cells.push(longest.good.into());
        cells.push(longest.late.into());
        cells.push(longest.failed.into());
        cells.push(longest.refused.into());
        cells.push(match row.alert {
            None => "-".into(),
            Some(BurnAlert::Ticket) => TableCell::styled("ticket", CellStyle::Warning),
            Some(BurnAlert::Page) => TableCell::styled("page", CellStyle::Bad),
        });
        table.row(cells);
    }
    let covered = format!("counted for {} s\n", report.covered_s);
    table.text(format) + &covered + &missing_text(&report.missing)
}

/// Shows fairness gap, utilisation and control traffic of the last hour.
///
/// # Errors
/// If no router answers or the page can't be written.
pub async fn fairness(
    matches: &ArgMatches,
    writer: &mut OutputWriter,
) -> Result<ExitKind, CtlError> {
    let asked = query_all::<SampleReport>(&clients(matches)?, "/history/samples").await?;
    let report = fairness_report(&asked.answers, asked.missing);
    write_page(matches, || fairness_page(&report))?;
    writer.value(&report, fairness_text)?;
    Ok(if report.missing.is_empty() {
        ExitKind::Good
    } else {
        ExitKind::Finding
    })
}

fn fairness_text(report: &FairnessReport, format: OutputFormat) -> String {
    let mut pools = TextTable::new(&[
        "pool",
        "samples",
        "worst gap units",
        "utilisation",
        "idle while work waits",
    ]);
    for pool in &report.pools {
        pools.row(vec![
            pool.pool.to_string().into(),
            pool.series.len().into(),
            pool.worst_gap_units.into(),
            percent_text(pool.utilisation).into(),
            percent_text(pool.idle_while_waiting).into(),
        ]);
    }
    let mut routers = TextTable::new(&["router", "control bytes/s"]);
    for router in &report.routers {
        let mean = router.mean_bytes_per_s;
        let mean = mean.map_or_else(|| "-".to_owned(), |mean| format!("{mean:.0}"));
        routers.row(vec![router.host.as_str().into(), mean.into()]);
    }
    pools.text(format) + "\n" + &routers.text(format) + &missing_text(&report.missing)
}

fn write_page(matches: &ArgMatches, page: impl FnOnce() -> String) -> Result<(), CtlError> {
    let Some(path) = matches.get_one::<PathBuf>("html") else {
        return Ok(());
    };
    std::fs::write(path, page()).map_err(|error| CtlError::file(path, &error))
}
