//! Runs a stand-in endpoint as a separate process, for trying out a router.
//!
//! `standin --listen 127.0.0.1:9001 --model luma` starts a model engine,
//! `standin --listen 127.0.0.1:9002 --pool portal` a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

#[path = "shared/mod.rs"]
mod shared;

use self::shared::endpoint::EndpointRole;
use self::shared::endpoint::StandinEndpoint;

fn command() -> Command {
    Command::new("standin")
        .about("A stand-in model engine or plain service")
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:9001")
                .value_parser(value_parser!(SocketAddr))
                .help("IP number and port"),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .default_value("luma")
                .help("Model that the engine serves"),
        )
        .arg(
            Arg::new("pool")
                .long("pool")
                .help("Run a plain service for this pool instead"),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .default_value("32")
                .value_parser(value_parser!(usize))
                .help("Concurrent requests"),
        )
        .arg(
            Arg::new("token-ms")
                .long("token-ms")
                .default_value("10")
                .value_parser(value_parser!(u64))
                .help("Milliseconds between two tokens"),
        )
}

fn role(matches: &ArgMatches) -> EndpointRole {
    if let Some(pool) = matches.get_one::<String>("pool") {
        return EndpointRole::Plain {
            pool: pool.clone(),
            work: Duration::ZERO,
        };
    }
    let model = matches.get_one::<String>("model");
    let token = matches.get_one::<u64>("token-ms").copied().unwrap_or(10);
    EndpointRole::Engine {
        model: model.cloned().unwrap_or_default(),
        token: Duration::from_millis(token),
        resumes: true,
        checks_fence: true,
    }
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let matches = command().get_matches();
    let (Some(listen), Some(slots)) = (
        matches.get_one::<SocketAddr>("listen"),
        matches.get_one::<usize>("slots"),
    ) else {
        return Ok(());
    };
    let endpoint = StandinEndpoint::start(*listen, role(&matches), *slots).await?;
    println!("standin listens on {}", endpoint.address);
    tokio::signal::ctrl_c().await
}
