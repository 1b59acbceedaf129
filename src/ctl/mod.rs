//! The command-line tool `verbenactl`.
//!
//! Each file holds a group of related subcommands. A subcommand returns an [`exit::ExitKind`] and
//! prints through [`output::OutputWriter`], which formats for a terminal, a pipe or JSON.

pub mod client;
pub mod command;
pub mod exit;
pub mod local;
pub mod logs;
pub mod output;
pub mod reference;
pub mod remote;
pub mod remote_command;
pub mod reports;
pub mod schemas;
pub mod send;

use std::ffi::OsString;
use std::process::ExitCode;

use clap::ArgMatches;
use tokio::runtime::Builder;

use self::exit::CtlError;
use self::exit::ExitKind;
use self::output::OutputWriter;

/// Runs the tool with these arguments, the first of which is the program's name.
#[must_use]
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let usage = error.use_stderr();
            let _ = error.print();
            return if usage {
                ExitKind::Usage
            } else {
                ExitKind::Good
            }
            .into();
        }
    };
    let mut writer = OutputWriter::from_matches(&matches);
    match dispatch(&matches, &mut writer) {
        Ok(kind) => kind.into(),
        Err(error) => {
            eprintln!("verbenactl: {error}");
            error.kind.into()
        }
    }
}

fn dispatch(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    match matches.subcommand() {
        Some(("check", part)) => local::check(part, writer),
        Some(("render", part)) => local::render(part, writer),
        Some(("diff", part)) if part.contains_id("after") => local::diff(part, writer),
        Some(("schema", part)) => schemas::schema(part, writer),
        Some(("key", _)) => local::key(writer),
        Some(("explain", part)) => logs::explain(part, writer),
        Some(("losses", part)) => logs::losses(part, writer),
        Some(("margins", part)) => logs::margins(part, writer),
        Some(("completions", part)) => command::completions(part, writer),
        _ => run_remote(matches, writer),
    }
}

/// Runs a subcommand that connects to routers.
fn run_remote(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CtlError::new(ExitKind::File, error.to_string()))?;
    runtime.block_on(async {
        match matches.subcommand() {
            Some(("status", part)) => remote::status(part, writer).await,
            Some(("diff", part)) => local::diff_running(part, writer).await,
            Some(("team", part)) => remote::team(part, writer).await,
            Some(("drain", part)) => remote::drain(part, writer).await,
            Some(("log-level", part)) => remote::log_level(part, writer).await,
            Some(("send", part)) => send::send(part, writer).await,
            Some(("report", part)) => match part.subcommand() {
                Some(("fairness", part)) => reports::fairness(part, writer).await,
                Some((_, part)) => reports::burn(part, writer).await,
                None => Err(CtlError::new(ExitKind::Usage, "name a report")),
            },
            _ => Err(CtlError::new(ExitKind::Usage, "no such command")),
        }
    })
}
