//! Subcommands that read gateways' logs: explain, losses, margins.

use std::fmt::Write;
use std::path::Path;
use std::path::PathBuf;

use clap::ArgMatches;
use smol_str::SmolStr;

use crate::report::calls::CallExplanation;
use crate::report::calls::LogLine;
use crate::report::calls::LossGroup;
use crate::report::calls::LossRow;
use crate::report::calls::explain_call;
use crate::report::calls::losses as count_losses;
use crate::report::shares::ServiceCount;
use crate::report::shares::ShareMargin;
use crate::report::shares::share_margins;

use super::exit::CtlError;
use super::exit::ExitKind;
use super::local::read;
use super::output::OutputFormat;
use super::output::OutputWriter;
use super::output::TextTable;

/// Prints the log lines about one call and explains its outcome.
///
/// # Errors
/// If a log can't be read or no log has the call's id.
pub fn explain(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let id = matches.get_one::<String>("id").cloned().unwrap_or_default();
    let explanation = explain_call(&lines(matches)?, &id);
    if explanation.lines.is_empty() {
        let message = format!("no line names {id}; it came to another router, or was left out");
        return Err(CtlError::new(ExitKind::Finding, message));
    }
    writer.value(&explanation, |explanation, _| explanation_text(explanation))?;
    Ok(ExitKind::Good)
}

fn explanation_text(explanation: &CallExplanation) -> String {
    let mut text = String::new();
    push_lines(&mut text, "the call:", &explanation.lines);
    if !explanation.nearby.is_empty() {
        push_lines(
            &mut text,
            "its router and endpoint then:",
            &explanation.nearby,
        );
    }
    if let Some(meaning) = explanation.meaning {
        let _ = writeln!(text, "{meaning}");
    }
    text
}

fn push_lines(text: &mut String, title: &str, lines: &[LogLine]) {
    let _ = writeln!(text, "{title}");
    for line in lines {
        let LogLine {
            source,
            time,
            part,
            text: line_text,
        } = line;
        let _ = writeln!(text, "  {time} {source} {part}: {line_text}");
    }
}

/// Prints a table of call counts by group.
///
/// # Errors
/// If a log can't be read.
pub fn losses(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let name = matches.get_one::<String>("by").map(String::as_str);
    let group = name.and_then(LossGroup::named).unwrap_or(LossGroup::Cause);
    let rows = count_losses(&lines(matches)?, group);
    writer.value(&rows, |rows, format| losses_text(rows, format))?;
    Ok(ExitKind::Good)
}

fn losses_text(rows: &[LossRow], format: OutputFormat) -> String {
    let mut table = TextTable::new(&[
        "group",
        "calls",
        "in time",
        "late",
        "refused",
        "beyond share",
        "failed",
        "prompt tokens",
        "read again",
    ]);
    for row in rows {
        table.row(vec![
            row.group.as_str().into(),
            row.calls.into(),
            row.in_time.into(),
            row.late.into(),
            row.refused.into(),
            row.refused_beyond.into(),
            row.failed.into(),
            row.prompt_tokens.into(),
            row.reread_tokens.into(),
        ]);
    }
    table.text(format)
}

/// Prints how close each team came to less than half of what it was owed.
///
/// # Errors
/// If a log can't be read.
pub fn margins(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let span_s = matches.get_one::<u32>("span").copied().unwrap_or(6);
    let count = if matches.get_flag("begun") {
        ServiceCount::Begun
    } else {
        ServiceCount::Sent
    };
    let margins = share_margins(&lines(matches)?, span_s, count);
    writer.value(&margins, |margins, format| margins_text(margins, format))?;
    Ok(ExitKind::Good)
}

fn margins_text(margins: &[ShareMargin], format: OutputFormat) -> String {
    let mut table = TextTable::new(&[
        "team",
        "against",
        "from",
        "asked",
        "got",
        "other got",
        "owed",
        "margin",
    ]);
    for row in margins {
        table.row(vec![
            row.team.as_str().into(),
            row.against.as_str().into(),
            clock_text(row.from_s).into(),
            format!("{:.0}", row.asked).into(),
            format!("{:.0}", row.got).into(),
            format!("{:.0}", row.other_got).into(),
            format!("{:.0}", row.owed).into(),
            format!("{:.2}", row.margin).into(),
        ]);
    }
    table.text(format)
}

/// Formats seconds since midnight as `HH:MM:SS`.
fn clock_text(second: i64) -> String {
    let (hours, minutes) = (second / 3_600, second / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}", second % 60)
}

fn lines(matches: &ArgMatches) -> Result<Vec<LogLine>, CtlError> {
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let mut lines = Vec::new();
    for file in files {
        let text = read(file)?;
        let source = source_of(file);
        let text = String::from_utf8_lossy(&text);
        lines.extend(text.lines().filter_map(|line| LogLine::read(&source, line)));
    }
    Ok(lines)
}

/// Returns the name of a log: its file name without directory and extension.
fn source_of(file: &Path) -> SmolStr {
    let name = file.file_stem().unwrap_or(file.as_os_str());
    SmolStr::new(name.to_string_lossy())
}
