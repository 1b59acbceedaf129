//! The command line of `verbenactl`, except for the subcommands in [`remote_command`].

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;
use clap_complete::generate;

use crate::report::calls::LossGroup;

use super::exit::CtlError;
use super::exit::ExitKind;
use super::output::OutputWriter;
use super::reference::REFERENCE_DOCUMENTS;
use super::remote_command;

const DIFF_AFTER: &str = "The publication after; without it the first file is compared with what \
                          the router at --admin has in force";

/// Builds the command line with all subcommands and options.
#[must_use]
pub fn command() -> Command {
    Command::new("verbenactl")
        .about("Checks and compares publications, and queries and controls routers")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(exit_help())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments())
        .subcommands([
            check(),
            render(),
            diff(),
            schema(),
            key(),
            explain(),
            losses(),
            margins(),
            completions_command(),
        ])
        .subcommands(remote_command::subcommands())
}

fn exit_help() -> String {
    ExitKind::ALL
        .iter()
        .fold("Exit codes:".to_owned(), |text, kind| {
            format!("{text}\n  {}  {}", kind.code(), kind.meaning())
        })
}

fn global_arguments() -> Vec<Arg> {
    vec![
        Arg::new("json")
            .long("json")
            .global(true)
            .action(ArgAction::SetTrue)
            .help("Print JSON; the same as --format json"),
        Arg::new("format")
            .long("format")
            .global(true)
            .value_parser(["auto", "table", "plain", "json"])
            .default_value("auto")
            .help("auto: aligned tables at a terminal, columns separated by tabs in a pipe"),
        Arg::new("color")
            .long("color")
            .global(true)
            .value_parser(["auto", "always", "never"])
            .default_value("auto")
            .help("Colour in tables; auto heeds NO_COLOR"),
    ]
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(std::path::PathBuf))
        .required(true)
        .help(help)
}

fn check() -> Command {
    Command::new("check")
        .about(
            "Checks a publication, settings, a host list or gateway settings and names every fault",
        )
        .arg(file("file", "The file; - reads standard input"))
        .arg(
            Arg::new("as")
                .long("as")
                .value_parser(["publication", "settings", "hosts", "gateway"])
                .default_value("publication")
                .help("What the file holds"),
        )
}

fn render() -> Command {
    Command::new("render")
        .about("Shows a publication with every template and default filled in, as JSON")
        .arg(file("file", "The publication; - reads standard input"))
        .arg(
            Arg::new("team")
                .long("team")
                .value_name("NAME")
                .help("Only this team"),
        )
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows what a publication would change; exits with 1 if anything")
        .arg(file(
            "before",
            "The publication before, or the only one; - reads standard input",
        ))
        .arg(file("after", DIFF_AFTER).required(false))
        .args(remote_command::router_arguments())
}

fn schema() -> Command {
    Command::new("schema")
        .about("Prints the JSON schema of a document")
        .arg(
            Arg::new("document")
                .required(true)
                .value_parser(REFERENCE_DOCUMENTS)
                .help("Which document"),
        )
        .arg(
            Arg::new("markdown")
                .long("markdown")
                .action(ArgAction::SetTrue)
                .help("The reference page in place of the schema"),
        )
}

fn key() -> Command {
    Command::new("key").about("Makes a new key and the hash to publish for it")
}

fn log_files() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .value_parser(value_parser!(std::path::PathBuf))
        .num_args(1..)
        .required(true)
        .help("Logs of gateways, one file per router; - reads standard input")
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explains a call from gateways' logs: its log lines and why it ended as it did")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("The call's id"),
        )
        .arg(log_files())
}

fn losses() -> Command {
    Command::new("losses")
        .about("Counts calls in gateways' logs by how they ended, the worst group first")
        .arg(log_files())
        .arg(
            Arg::new("by")
                .long("by")
                .value_parser(LossGroup::NAMES)
                .default_value("cause")
                .help("What the calls of a row have in common"),
        )
}

fn margins() -> Command {
    Command::new("margins")
        .about("Shows from logs how close teams came to less than half of what they were owed")
        .arg(log_files())
        .arg(
            Arg::new("span")
                .long("span-s")
                .value_parser(value_parser!(u32).range(1..=3600))
                .default_value("6")
                .help("Seconds over which teams are compared"),
        )
        .arg(
            Arg::new("begun")
                .long("begun")
                .action(ArgAction::SetTrue)
                .help("Compare the tokens of requests whose output began, not of those sent"),
        )
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Prints the completions for a shell.
///
/// # Errors
/// If standard output is closed.
pub fn completions(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let Some(shell) = matches.get_one::<Shell>("shell") else {
        return Ok(ExitKind::Usage);
    };
    let mut text = Vec::new();
    generate(*shell, &mut command(), "verbenactl", &mut text);
    writer.print(&String::from_utf8_lossy(&text))?;
    Ok(ExitKind::Good)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_is_consistent() {
        command().debug_assert();
    }
}
