//! The command-line tool `verbenactl`.
//!
//! One file a group of subcommands. Each returns an [`exit::ExitKind`]; text goes through
//! [`output::OutputWriter`], which knows whether a person, a pipe or a program reads it.

pub mod command;
pub mod exit;
pub mod local;
pub mod output;
pub mod reference;
pub mod schemas;

use std::ffi::OsString;
use std::process::ExitCode;

use clap::ArgMatches;

use self::exit::CtlError;
use self::exit::ExitKind;
use self::output::OutputWriter;

/// Runs the tool with the arguments of the process.
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
        Some(("diff", part)) => local::diff(part, writer),
        Some(("schema", part)) => schemas::schema(part, writer),
        Some(("key", _)) => local::key(writer),
        Some(("completions", part)) => command::completions(part, writer),
        _ => Err(CtlError::new(ExitKind::Usage, "no such command")),
    }
}
