//! Runs scenarios on the real decision cores and on the naive version and prints one JSON object
//! per measure. Exits with 1 if a measure exceeds its bound.

mod checks;
mod faults;
mod fleet;
mod load;
mod naive;
mod scenarios;
mod slope_sizes;
mod slopes;
mod state_bytes;
mod tally;

use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use self::checks::FleetCheck;
use self::scenarios::FleetScenario;
use self::scenarios::FleetSize;
use self::scenarios::REGISTRY;
use self::scenarios::SCENARIOS;
use self::scenarios::WICKRAMASINGHE;

/// Name of the scenario that varies the size of the fleet.
const SLOPES: &str = "slopes";

fn command() -> Command {
    let number = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .value_name("N")
    };
    Command::new("measure")
        .about("Measures the decision cores against the naive version")
        .arg(Arg::new("scenario").long("scenario").value_name("NAME"))
        .arg(number("seed").default_value("1"))
        .arg(
            number("seeds")
                .default_value("1")
                .help("Run so many seeds, counting up from --seed"),
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .help("registry or wickramasinghe; both if absent"),
        )
        .arg(number("routers"))
        .arg(number("teams"))
        .arg(number("endpoints"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON lines (always done)"),
        )
        .arg(
            Arg::new("list")
                .long("list")
                .action(ArgAction::SetTrue)
                .help("List the scenarios"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    if matches.get_flag("list") {
        for scenario in SCENARIOS {
            println!("{}", scenario.name);
        }
        println!("{SLOPES}");
        return ExitCode::SUCCESS;
    }
    let only = matches.get_one::<String>("scenario");
    let chosen: Vec<FleetScenario> = SCENARIOS
        .into_iter()
        .filter(|scenario| only.is_none_or(|only| only == scenario.name))
        .collect();
    let slopes = only.is_none_or(|only| only == SLOPES);
    if chosen.is_empty() && !slopes {
        eprintln!("measure: no such scenario; see --list");
        return ExitCode::from(2);
    }
    let mut within_bounds = true;
    let seed = matches.get_one("seed").copied().unwrap_or(1);
    let seeds: u64 = matches.get_one("seeds").copied().unwrap_or(1);
    for seed in seed..seed + seeds {
        for size in sizes(&matches) {
            for scenario in &chosen {
                within_bounds &= run(*scenario, size, seed);
            }
        }
    }
    if slopes {
        within_bounds &= slopes::run(seed);
    }
    if within_bounds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn sizes(matches: &ArgMatches) -> Vec<FleetSize> {
    let only = matches.get_one::<String>("deployment");
    let number = |name: &str, usual: usize| {
        let given: Option<&u64> = matches.get_one(name);
        given.map_or(usual, |given| usize::try_from(*given).unwrap_or(usual))
    };
    [REGISTRY, WICKRAMASINGHE]
        .into_iter()
        .filter(|size| only.is_none_or(|only| only == size.name))
        .map(|size| FleetSize {
            routers: number("routers", size.routers),
            teams: number("teams", size.teams),
            engines: number("endpoints", size.engines),
            ..size
        })
        .collect()
}

fn run(scenario: FleetScenario, size: FleetSize, seed: u64) -> bool {
    let checks = checks::run(scenario, size, seed);
    for check in &checks {
        println!("{}", check.to_json(scenario, size, seed));
    }
    checks.iter().all(FleetCheck::holds)
}
