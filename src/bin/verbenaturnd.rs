//! The router daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

use verbenaturn::daemon::logs;
use verbenaturn::daemon::process;

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("verbenaturnd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A router that shares model capacity fairly among teams")
        .arg(
            Arg::new("settings")
                .long("settings")
                .env("VERBENATURN_SETTINGS")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File with this process's settings (JSON)"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and the files that they name, then exit"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let file = matches.get_one::<PathBuf>("settings").cloned();
    let file = file.unwrap_or_default();
    let settings = match process::load_settings(&file) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("verbenaturnd: settings can't be used: {faults}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        return match process::router_parts(&settings) {
            Ok(_) => ExitCode::SUCCESS,
            Err(report) => {
                eprintln!("verbenaturnd: {report:?}");
                ExitCode::from(EXIT_SETTINGS)
            }
        };
    }
    if let Err(fault) = logs::to_standard_error() {
        eprintln!("verbenaturnd: logging can't be set up: {fault}");
    }
    logs::set_level(settings.log.level);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(fault) => {
            eprintln!("verbenaturnd: the async runtime can't be started: {fault}");
            return ExitCode::FAILURE;
        }
    };
    let ended = runtime.block_on(process::run(&settings, &file));
    // Doesn't wait for the tasks of requests that were cut.
    runtime.shutdown_background();
    ended.unwrap_or_else(|report| {
        eprintln!("verbenaturnd: {report:?}");
        ExitCode::FAILURE
    })
}
