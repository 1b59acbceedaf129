//! Self-contained demo of a fleet that takes under a minute: stand-in engines, a stand-in plain
//! service and three routers in this process, on loopback.
//!
//! Two teams with shares 3 and 1 flood the engines. A third team with a light load sends queries
//! and logs mixings that must never be logged twice. One router is drained halfway. Exits with 1 if
//! any request was lost, doubled or cut.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio_util::sync::CancellationToken;

use verbenaturn::daemon::logs;
use verbenaturn::settings::LogLevel;

#[path = "shared/mod.rs"]
mod shared;

use self::shared::endpoint::EndpointRole;
use self::shared::endpoint::StandinEndpoint;
use self::shared::fleet::LocalFleet;
use self::shared::site::Site;
use self::shared::traffic::Balancer;
use self::shared::traffic::CallTally;
use self::shared::traffic::TeamCallers;

const ROUTERS: usize = 3;
const ENGINES: usize = 4;
const ENGINE_SLOTS: u32 = 8;
const TOKEN: Duration = Duration::from_millis(5);
/// Time before fairness is measured, in which routers join and queues fill.
const WARM_UP: Duration = Duration::from_secs(2);
const PHASE_DURATION: Duration = Duration::from_secs(10);
/// Concurrent requests of each flooding team.
const FLOOD: u64 = 60;
const LONGEST_STREAM: u64 = 60;
/// Time for which the balancer still sends calls to a draining router.
const BALANCER_LAG: Duration = Duration::from_millis(300);
const TEAMS: [(&str, u32); 3] = [("registry", 3), ("salons", 1), ("nurses", 1)];

struct DemoFleet {
    engines: Vec<StandinEndpoint>,
    portal: StandinEndpoint,
    fleet: LocalFleet,
}

async fn start() -> std::io::Result<DemoFleet> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut site = TEAMS.iter().fold(Site::default(), |site, (team, share)| {
        site.team(team, *share)
    });
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let role = EndpointRole::Engine {
            model: "luma".to_owned(),
            token: TOKEN,
            resumes: true,
            checks_fence: true,
        };
        let engine = StandinEndpoint::start(listen, role, ENGINE_SLOTS as usize).await?;
        site = site.endpoint(&format!("engine-{number}"), &engine, ENGINE_SLOTS);
        engines.push(engine);
    }
    let role = EndpointRole::Plain {
        pool: "portal".to_owned(),
        work: Duration::from_millis(2),
    };
    let portal = StandinEndpoint::start(listen, role, 8).await?;
    site = site.endpoint("portal-0", &portal, 8);
    let fleet = LocalFleet::start(ROUTERS, &site).await;
    Ok(DemoFleet {
        engines,
        portal,
        fleet,
    })
}

fn tokens_of(engines: &[StandinEndpoint], team: &str) -> u64 {
    engines
        .iter()
        .map(|engine| {
            let work = engine.shared.by_team.lock().unwrap();
            work.get(team).copied().unwrap_or(0)
        })
        .sum()
}

fn control_bytes(fleet: &LocalFleet) -> u64 {
    fleet
        .routers
        .iter()
        .filter_map(|router| router.mesh.as_ref())
        .map(|mesh| mesh.counters().control_sent())
        .sum()
}

/// Samples the busy engine slots until stopped; returns their mean share in parts per thousand.
async fn sample_busy(engines: Vec<StandinEndpoint>, stop: CancellationToken) -> u64 {
    let (mut busy, mut samples) = (0, 0);
    let mut interval = tokio::time::interval(Duration::from_millis(5));
    while !stop.is_cancelled() {
        interval.tick().await;
        let running = engines
            .iter()
            .map(|engine| u64::from(engine.shared.running.load(Ordering::Relaxed)));
        busy += running.sum::<u64>();
        samples += 1;
    }
    let all = samples * ENGINES as u64 * u64::from(ENGINE_SLOTS);
    busy * 1_000 / all.max(1)
}

/// Counts the requests that were executed more than once on all endpoints together.
fn doubled(demo: &DemoFleet) -> usize {
    let endpoints = demo.engines.iter().chain([&demo.portal]);
    let mut all = std::collections::BTreeMap::<String, u32>::new();
    for endpoint in endpoints {
        for (id, count) in endpoint.shared.executions.lock().unwrap().iter() {
            *all.entry(id.clone()).or_default() += count;
        }
    }
    all.values().filter(|count| **count > 1).count()
}

fn sum(tallies: &[Arc<CallTally>], counter: impl Fn(&CallTally) -> &AtomicU64) -> u64 {
    tallies
        .iter()
        .map(|tally| counter(tally).load(Ordering::Relaxed))
        .sum()
}

fn print_shares(tokens: &[u64]) {
    let (first, second) = (tokens[0], tokens[1]);
    let both = (first + second).max(1);
    println!("team       share  tokens served  part of the two  fair part");
    for ((team, share), served) in TEAMS.iter().zip(tokens) {
        if *team == "nurses" {
            println!("{team:<10} {share:>5} {served:>14}  (asks now and then, never backlogged)");
            continue;
        }
        let part = served * 1_000 / both;
        let fair = u64::from(*share) * 1_000 / 4;
        let (part, fair) = (percent(part), percent(fair));
        println!("{team:<10} {share:>5} {served:>14} {part:>16} {fair:>10}");
    }
}

fn percent(per_mille: u64) -> String {
    format!("{}.{}%", per_mille / 10, per_mille % 10)
}

async fn run() -> std::io::Result<bool> {
    let began = Instant::now();
    println!("Starting {ENGINES} engines, 1 plain service and {ROUTERS} routers on loopback.");
    let mut demo = start().await?;
    let routers = demo.fleet.routers.iter().map(|router| router.callers);
    let balancer = Balancer::new(routers.collect());
    let stop = CancellationToken::new();
    let callers: Vec<_> = TEAMS
        .iter()
        .map(|(team, _)| TeamCallers::new(team, &balancer, &stop))
        .collect();
    let tallies: Vec<_> = callers.iter().map(|team| Arc::clone(&team.tally)).collect();
    let mut work = vec![
        tokio::spawn(callers[0].clone().flood(FLOOD, LONGEST_STREAM)),
        tokio::spawn(callers[1].clone().flood(FLOOD, LONGEST_STREAM)),
        tokio::spawn(callers[2].clone().ask(Duration::from_millis(50), 8)),
    ];
    let logging = TeamCallers::new("nurses", &balancer, &stop);
    let log_tally = Arc::clone(&logging.tally);
    let logging = tokio::spawn(logging.log(Duration::from_millis(20)));
    tokio::time::sleep(WARM_UP).await;

    println!("Teams registry and salons flood; nurses ask; mixings are logged.");
    let window = CancellationToken::new();
    let busy = tokio::spawn(sample_busy(demo.engines.clone(), window.clone()));
    let tokens = |demo: &DemoFleet| TEAMS.map(|(team, _)| tokens_of(&demo.engines, team));
    let (before, bytes, since) = (tokens(&demo), control_bytes(&demo.fleet), Instant::now());
    tokio::time::sleep(PHASE_DURATION).await;
    let bytes = control_bytes(&demo.fleet) - bytes;
    let seconds = since.elapsed().as_secs().max(1);

    println!("Draining router entry-{}.", ROUTERS - 1);
    demo.fleet.list_hosts(Some(ROUTERS - 1));
    let Some(leaving) = demo.fleet.routers.pop() else {
        return Ok(false);
    };
    let address = leaving.callers;
    let drained = Instant::now();
    // The load balancer notices with a delay that the router is no longer ready.
    let balancing = async {
        tokio::time::sleep(BALANCER_LAG).await;
        balancer.remove(address);
    };
    tokio::join!(leaving.drain(), balancing);
    leaving.stop().await;
    println!("It was drained in {} ms.", drained.elapsed().as_millis());
    tokio::time::sleep(PHASE_DURATION.saturating_sub(drained.elapsed())).await;
    let after = tokens(&demo);
    window.cancel();
    let busy = busy.await.unwrap_or(0);
    stop.cancel();
    for part in work.drain(..) {
        let _ = part.await;
    }
    let logged = logging.await.unwrap_or_default().len();

    println!();
    let served: Vec<u64> = after
        .iter()
        .zip(before)
        .map(|(now, then)| now - then)
        .collect();
    print_shares(&served);
    let quiet = &tallies[2];
    let answered = quiet.answered.load(Ordering::Relaxed).max(1);
    let mean = quiet.micros.load(Ordering::Relaxed) / answered / 1_000;
    let longest = quiet.longest.load(Ordering::Relaxed) / 1_000;
    println!("nurses' queries: {answered} answered, mean {mean} ms, longest {longest} ms");
    println!("utilisation: {} of engine slots busy", percent(busy));
    let per_router = bytes / seconds / ROUTERS as u64;
    println!("control traffic: {per_router} bytes/s per router");
    let mut all = tallies.clone();
    all.push(log_tally);
    let answered = sum(&all, |tally| &tally.answered);
    let refused = sum(&all, |tally| &tally.refused);
    let unknown = sum(&all, |tally| &tally.unknown);
    println!(
        "requests: {answered} answered whole, {refused} refused (told), {unknown} unknown (told); {logged} mixings logged"
    );
    let lost = sum(&all, |tally| &tally.lost);
    let cut = sum(&all, |tally| &tally.cut);
    let doubled = doubled(&demo);
    println!("lost {lost}, doubled {doubled}, cut {cut}");
    println!("Ended after {} s.", began.elapsed().as_secs());
    demo.fleet.stop().await;
    Ok(lost == 0 && doubled == 0 && cut == 0)
}

#[tokio::main]
async fn main() -> ExitCode {
    logs::set_level(LogLevel::Error);
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("demo: {fault}");
            ExitCode::FAILURE
        }
    }
}
