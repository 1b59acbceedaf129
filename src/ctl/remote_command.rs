//! Command line of the subcommands that connect to routers.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Builds all subcommands that connect to routers.
#[must_use]
pub fn subcommands() -> [Command; 6] {
    [status(), team(), drain(), log_level(), send(), report()]
}

/// Builds the arguments that name routers and the credential for their admin listeners.
#[must_use]
pub fn router_arguments() -> Vec<Arg> {
    vec![
        Arg::new("admin")
            .long("admin")
            .value_name("ADDRESS")
            .env("VERBENATURN_ADMIN")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help("Admin listener of a router; repeat it, or separate addresses by commas"),
        Arg::new("credential-file")
            .long("credential-file")
            .value_name("FILE")
            .env("VERBENATURN_CREDENTIAL_FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File with the credential for the admin listeners"),
    ]
}

fn status() -> Command {
    Command::new("status")
        .about(
            "Shows the fleet, its teams, endpoints or members; exits with 1 if a router is unwell",
        )
        .arg(
            Arg::new("part")
                .value_parser(["fleet", "teams", "endpoints", "members"])
                .default_value("fleet")
                .help("What to show"),
        )
        .args(router_arguments())
}

fn team() -> Command {
    let name = Arg::new("name").value_name("NAME").required(true);
    Command::new("team")
        .about("Shows a team and why it waits; exits with 1 if it does")
        .arg(name.help("The team"))
        .args(router_arguments())
}

fn drain() -> Command {
    Command::new("drain")
        .about("Drains a router: it takes no new work and finishes what is in flight")
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until nothing is left"),
        )
        .args(router_arguments())
}

fn log_level() -> Command {
    Command::new("log-level")
        .about("Changes the log level of routers until they exit")
        .arg(
            Arg::new("level")
                .required(true)
                .value_parser(["error", "warn", "info", "debug", "trace"])
                .help("The least level that is logged"),
        )
        .args(router_arguments())
}

fn send() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let path = Arg::new("path").value_name("PATH").required(true);
    Command::new("send")
        .about("Sends a request as a caller would, with a ticket if the router asks for one")
        .arg(path.help("Path and query"))
        .arg(
            option("to", "Caller listener of a router")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("key-file", "File with the team's key")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(option(
            "method",
            "Method; without it GET, or POST with --data",
        ))
        .arg(option("data", "Body; @FILE reads it from a file"))
        .arg(option("kind", "Kind of the request"))
        .arg(option("ticket", "Ticket of an earlier try"))
        .arg(
            option("timeout", "Seconds to wait for the whole answer")
                .default_value("600")
                .value_parser(value_parser!(u64)),
        )
}

fn report() -> Command {
    let page = Arg::new("html")
        .long("html")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Write a page with plots as well");
    let burn = Command::new("burn")
        .about("How fast teams use up their allowance of bad answers; exits with 1 on an alert")
        .arg(page.clone())
        .args(router_arguments());
    let fairness = Command::new("fairness")
        .about("Fairness gap, utilisation and control traffic of the last hour")
        .arg(page)
        .args(router_arguments());
    Command::new("report")
        .about("Reports over time")
        .subcommand_required(true)
        .subcommands([burn, fairness])
}
