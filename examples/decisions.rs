//! Measures the time of one gateway decision (arrival, placement, end) by number of endpoints.
//!
//! `cargo run --release --locked --example decisions` prints one line per size.

use std::time::Instant;

use smol_str::SmolStr;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::decide::Admission;
use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::protocol::PartId;
use verbenaturn::gateway::protocol::PromptPart;
use verbenaturn::gateway::protocol::PromptShape;
use verbenaturn::gateway::routes::TeamKey;
use verbenaturn::units::Moment;

#[path = "../tests/engines/mod.rs"]
mod engines;

use self::engines::ask;
use self::engines::endpoints;
use self::engines::engine_service;
use self::engines::route;

/// Decisions timed for each size.
const ROUNDS: u64 = 20_000;

/// Number of distinct prompt parts that requests share, such as a registry's cohorts.
const PARTS: u64 = 300;

fn prompt(round: u64) -> PromptShape {
    let part = |id: u64, tokens: u32| PromptPart {
        id: PartId(id),
        tokens,
    };
    PromptShape {
        prompt_tokens: 6_000,
        output_limit: 100,
        output_hint: None,
        parts: vec![
            part(1, 500),
            part(2 + round % PARTS, 4_900),
            part(1_000_000 + round, 600),
        ],
    }
}

fn main() {
    for count in [18, 60, 140, 400] {
        let mut core = GatewayCore::new(GatewayConfig::default(), SmolStr::new("suva-a"));
        core.set_endpoints(Moment(0), &endpoints("engine", count));
        let (route, shape) = (route("reviews", 800), engine_service());
        let service = "engine".parse().unwrap_or_default();
        let team = TeamKey(SmolStr::new("nadi"));
        let mut sent = 0;
        let begun = Instant::now();
        for round in 0..ROUNDS {
            let now = Moment(round * 1_000);
            let prompt = prompt(round);
            let call = ask(&route, &service, &shape, &team, &prompt);
            let standing = core.arrived(now, &call);
            if let Admission::Send(mut ticket) = core.admit(now, &call, standing) {
                sent += 1;
                core.first_output(now, &mut ticket);
                core.ended(now, ticket, AttemptEnd::Answered);
            }
        }
        let micros = begun.elapsed().as_secs_f64() * 1e6;
        #[allow(clippy::cast_precision_loss)]
        let each = micros / ROUNDS as f64;
        println!("endpoints={count} us_per_decision={each:.2} sent={sent}");
    }
}
