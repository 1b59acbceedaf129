//! Load test of the data path, through a router process and directly against the same stand-ins,
//! in one run: `cargo run --release --locked --example load` after
//! `cargo build --release --locked`.
//!
//! Prints one line per measure. Events carry the time at which the stand-in wrote them, so the
//! reader, which uses the same clock, can compute the delay of each event.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clap::Arg;
use clap::Command;
use clap::value_parser;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

#[path = "shared/mod.rs"]
mod shared;

use self::shared::caller::Call;
use self::shared::caller::KeptConnection;
use self::shared::endpoint::EndpointRole;
use self::shared::endpoint::StandinEndpoint;
use self::shared::endpoint::clock_nanos;
use self::shared::processes::ProcessFleet;
use self::shared::site::Site;
use self::shared::site::key_of;

/// Time between two tokens of a stream, equal to the target for the 95th percentile.
const TOKEN: Duration = Duration::from_millis(49);
const SLOTS: u32 = 1_024;
const PLAIN_CONNECTIONS: usize = 32;
/// Clock ticks per second in `/proc`.
const TICKS: u64 = 100;
const TEAM: &str = "nadi";

fn command() -> Command {
    Command::new("load")
        .about("Load on the data path, through a router and directly")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("5")
                .value_parser(value_parser!(u64).range(1..=60))
                .help("Seconds of each measurement"),
        )
        .arg(
            Arg::new("streams")
                .long("streams")
                .default_values(["1", "100", "600"])
                .num_args(1..)
                .value_parser(value_parser!(usize))
                .help("Numbers of open streams"),
        )
}

/// Creates a histogram of nanoseconds up to a minute.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("the bounds are right")
}

/// CPU time and memory of a process, read from `/proc`.
#[derive(Debug, Clone, Copy)]
struct ProcessUse {
    cpu_millis: u64,
    resident_kib: u64,
}

fn process_use(id: u32) -> ProcessUse {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = |index: usize| {
        let field = fields.get(index).and_then(|field| field.parse().ok());
        field.unwrap_or(0_u64)
    };
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
    ProcessUse {
        cpu_millis: (ticks(12) + ticks(13)) * 1_000 / TICKS,
        resident_kib: resident.unwrap_or(0),
    }
}

/// Event delays and times to the first event, in nanoseconds, and the number of complete streams.
struct StreamDelays {
    events: Histogram<u64>,
    first: Histogram<u64>,
    whole: u64,
}

/// Reads one stream and returns the nanoseconds to its first event, or `None` if it was incomplete.
async fn read_stream(address: SocketAddr, tokens: u64, events: &mut Histogram<u64>) -> Option<u64> {
    let call = Call::completion(&key_of(TEAM), "luma", tokens, true).header("standin-stamp", "1");
    let began = clock_nanos();
    let mut response = call.open(address).await.ok()?;
    let mut first = None;
    let mut done = false;
    while let Some(frame) = response.frame().await {
        let now = clock_nanos();
        let data = frame.ok()?.into_data().unwrap_or_default();
        first.get_or_insert(now - began);
        for event in data.split(|byte| *byte == b'\n') {
            let Some(event) = event.strip_prefix(b"data: ") else {
                continue;
            };
            done |= event == b"[DONE]";
            let event: Value = serde_json::from_slice(event).unwrap_or_default();
            if let Some(sent) = event["sent_ns"].as_u64() {
                let _ = events.record(now.saturating_sub(sent).max(1));
            }
        }
    }
    first.filter(|_| done)
}

/// Opens `width` concurrent streams for about `time`, with starts spread over one token interval.
async fn streams(address: SocketAddr, width: usize, time: Duration) -> StreamDelays {
    let tokens = u64::try_from(time.as_millis() / TOKEN.as_millis()).unwrap_or(1);
    let spread = TOKEN / u32::try_from(width).unwrap_or(1);
    let mut readers = Vec::new();
    for _ in 0..width {
        readers.push(tokio::spawn(async move {
            let mut events = histogram();
            let first = read_stream(address, tokens, &mut events).await;
            (events, first)
        }));
        tokio::time::sleep(spread).await;
    }
    let mut delays = StreamDelays {
        events: histogram(),
        first: histogram(),
        whole: 0,
    };
    for reader in readers {
        if let Ok((events, Some(first))) = reader.await {
            let _ = delays.events.add(events);
            let _ = delays.first.record(first);
            delays.whole += 1;
        }
    }
    delays
}

struct PlainResult {
    calls: u64,
    failed: u64,
    latency: Histogram<u64>,
}

/// Sends small plain calls over kept connections, each as soon as the previous one is answered.
async fn plain(address: SocketAddr, connections: usize, time: Duration) -> PlainResult {
    let stop = CancellationToken::new();
    let mut workers = Vec::new();
    for _ in 0..connections {
        let stop = stop.clone();
        workers.push(tokio::spawn(async move {
            let mut result = PlainResult {
                calls: 0,
                failed: 0,
                latency: histogram(),
            };
            let call = Call::new(&key_of(TEAM), "GET", "/portal/card", Bytes::new());
            let Some(mut connection) = KeptConnection::open(address).await else {
                result.failed += 1;
                return result;
            };
            while !stop.is_cancelled() {
                let began = Instant::now();
                if connection.send(&call).await {
                    result.calls += 1;
                    let nanos = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
                    let _ = result.latency.record(nanos.max(1));
                } else {
                    result.failed += 1;
                    return result;
                }
            }
            result
        }));
    }
    tokio::time::sleep(time).await;
    stop.cancel();
    let mut sum = PlainResult {
        calls: 0,
        failed: 0,
        latency: histogram(),
    };
    for worker in workers {
        if let Ok(result) = worker.await {
            sum.calls += result.calls;
            sum.failed += result.failed;
            let _ = sum.latency.add(result.latency);
        }
    }
    sum
}

fn micros(nanos: u64) -> String {
    format!("{}.{} us", nanos / 1_000, nanos % 1_000 / 100)
}

fn print_pair(what: &str, direct: &Histogram<u64>, routed: &Histogram<u64>) {
    for (name, quantile) in [("median", 0.5), ("p99", 0.99)] {
        let direct = direct.value_at_quantile(quantile);
        let routed = routed.value_at_quantile(quantile);
        let added = micros(routed.saturating_sub(direct));
        let (direct, routed) = (micros(direct), micros(routed));
        println!("{what} {name}: direct {direct}, routed {routed}, added {added}");
    }
}

async fn measure_streams(
    direct: SocketAddr,
    routed: SocketAddr,
    id: u32,
    widths: &[usize],
    time: Duration,
) {
    let idle = process_use(id);
    println!("router memory before streams: {} KiB", idle.resident_kib);
    for width in widths {
        let direct_run = streams(direct, *width, time).await;
        let before = process_use(id);
        let began = Instant::now();
        let open = tokio::spawn(streams(routed, *width, time));
        tokio::time::sleep(time * 2 / 3).await;
        let at_most = process_use(id);
        let Ok(routed_run) = open.await else {
            return;
        };
        let cpu = process_use(id).cpu_millis - before.cpu_millis;
        println!(
            "{width} streams: {} direct and {} routed whole",
            direct_run.whole, routed_run.whole
        );
        print_pair(
            &format!("{width} streams, event delay"),
            &direct_run.events,
            &routed_run.events,
        );
        print_pair(
            &format!("{width} streams, first event"),
            &direct_run.first,
            &routed_run.first,
        );
        let wall = u64::try_from(began.elapsed().as_millis()).unwrap_or(1);
        println!("{width} streams: router used {cpu} ms of processor time in {wall} ms");
        let grown = at_most.resident_kib.saturating_sub(idle.resident_kib);
        let each = grown * 1_024 / u64::try_from(*width).unwrap_or(1);
        let resident = at_most.resident_kib;
        println!("{width} streams: router memory {resident} KiB, {each} bytes a stream over idle");
    }
}

async fn measure_plain(direct: SocketAddr, routed: SocketAddr, id: u32, time: Duration) {
    for connections in [1, PLAIN_CONNECTIONS] {
        let direct_run = plain(direct, connections, time).await;
        let before = process_use(id);
        let routed_run = plain(routed, connections, time).await;
        let cpu = process_use(id).cpu_millis.saturating_sub(before.cpu_millis);
        print_pair(
            &format!("plain, {connections} connections"),
            &direct_run.latency,
            &routed_run.latency,
        );
        let per_core = routed_run.calls * 1_000 / cpu.max(1);
        let (calls, seconds) = (routed_run.calls, time.as_secs());
        println!(
            "plain, {connections} connections: direct {}/s, routed {}/s, {per_core} calls per core-second of the router, {} failed",
            direct_run.calls / seconds,
            calls / seconds,
            direct_run.failed + routed_run.failed,
        );
    }
}

async fn run(widths: Vec<usize>, time: Duration) -> std::io::Result<()> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = EndpointRole::Engine {
        model: "luma".to_owned(),
        token: TOKEN,
        resumes: true,
        checks_fence: true,
    };
    // Many more slots than published, so that the stand-in's steps do not slow down under load.
    let engine = StandinEndpoint::start(listen, engine, 1_000_000).await?;
    let portal = EndpointRole::Plain {
        pool: "portal".to_owned(),
        work: Duration::ZERO,
    };
    let portal = StandinEndpoint::start(listen, portal, SLOTS as usize).await?;
    let site = Site::default()
        .team(TEAM, 1)
        .endpoint("engine-0", &engine, SLOTS)
        .endpoint("portal-0", &portal, SLOTS);
    let daemon = std::env::current_exe()?
        .parent()
        .and_then(|folder| folder.parent())
        .map_or_else(PathBuf::new, |folder| folder.join("verbenaturnd"));
    let began = Instant::now();
    let mut fleet = ProcessFleet::start(&daemon.to_string_lossy(), 1).await;
    fleet.sources.publish(site.publication(1).to_string());
    let routed = fleet.routers[0].callers;
    fleet.wait_serving(&[routed], TEAM).await;
    println!("start to first answer: {} ms", began.elapsed().as_millis());
    let id = fleet.routers[0].id();
    measure_plain(portal.address, routed, id, time).await;
    measure_streams(engine.address, routed, id, &widths, time).await;
    fleet.routers[0].terminate().await;
    fleet.routers[0].ended().await;
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(5);
    let widths = matches.get_many("streams").into_iter().flatten().copied();
    match run(widths.collect(), Duration::from_secs(seconds)).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("load: {fault}");
            ExitCode::FAILURE
        }
    }
}
