//! The gateway process: start, signals, drain and end.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::daemon::logs;
use crate::daemon::signals::ProcessSignals;
use crate::daemon::signals::unix_seconds;
use crate::units::RouterIncarnation;

use super::config::GatewayConfig;
use super::config::GatewaySettings;
use super::config::read_gateway_settings;
use super::decide::answer_memory::AnswerMemory;
use super::follow::StateSection;
use super::follow::StateStore;
use super::follow::follow_section;
use super::freshness;
use super::front::TrafficState;
use super::front::serve_callers;
use super::gossip::GossipPlan;
use super::gossip::run_gossip;
use super::handover::serve_state;
use super::load::CallerLoad;
use super::load::IDLE_DIVISOR;
use super::metrics::GatewayMetrics;
use super::pool::EndpointPool;
use super::protocol::CallProtocol;
use super::readiness::ListenerKind;
use super::readiness::serve_listener;
use super::shared::SharedState;

/// Time between the last answer and the end of the process, in which its last bytes are sent.
const LAST_BYTES_TIME: Duration = Duration::from_millis(50);

/// Longest time for the replies to calls that are given up at the end of the grace time.
const LAST_REPLIES_TIME: Duration = Duration::from_millis(250);

/// Length of the accept queue: as many connections as the smallest host can refuse in half a
/// second. The system of a client that finds the queue full retries after a second or gives up.
const LISTEN_BACKLOG: i32 = 2_048;

/// An error that keeps the gateway from starting.
#[derive(Debug)]
pub struct GatewayError {
    step: &'static str,
}

impl GatewayError {
    fn at(step: &'static str) -> Self {
        Self { step }
    }
}

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the gateway failed to start: {}", self.step)
    }
}

impl std::error::Error for GatewayError {}

/// The parts that a deployment provides: its headers and its store.
pub trait Deployment {
    /// The protocol of its headers.
    type Protocol: CallProtocol;
    /// The client of its store.
    type Store: StateStore;

    /// Returns the deployment's header protocol.
    fn protocol(&self) -> Self::Protocol;

    /// Returns the deployment's store client for these settings.
    fn store(&self, settings: &GatewaySettings) -> Self::Store;
}

/// Reads and validates a settings file.
///
/// # Errors
/// If it can't be read or is invalid; the report lists all faults.
pub fn load_settings(file: &Path) -> Result<GatewaySettings, Report<GatewayError>> {
    let text = fs::read(file)
        .change_context(GatewayError::at("read settings"))
        .attach_with(|| file.display().to_string())?;
    read_gateway_settings(&text).map_err(|faults| {
        Report::new(GatewayError::at("check settings")).attach(faults.to_string())
    })
}

struct Listeners {
    readiness: std::net::TcpListener,
    metrics: Option<std::net::TcpListener>,
    peers: std::net::TcpListener,
    gossip: std::net::UdpSocket,
}

impl Listeners {
    fn bind(settings: &GatewaySettings) -> io::Result<Self> {
        let metrics = settings.metrics.as_ref();
        Ok(Self {
            readiness: tcp(settings.readiness.listen)?,
            metrics: metrics.map(|metrics| tcp(metrics.listen)).transpose()?,
            peers: tcp(settings.peers.listen)?,
            gossip: udp(settings.peers.listen)?,
        })
    }
}

fn tcp(address: std::net::SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn udp(address: std::net::SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn single_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Runs a gateway until a signal ends it.
///
/// # Errors
/// If it does not start.
pub fn run<D: Deployment>(deployment: &D, file: &Path) -> Result<ExitCode, Report<GatewayError>> {
    let settings = load_settings(file)?;
    logs::to_standard_output().change_context(GatewayError::at("open logs"))?;
    logs::set_level(settings.log.level);
    let metrics = GatewayMetrics::new().change_context(GatewayError::at("set up metrics"))?;
    let domain = settings.domain.as_str().into();
    let shared = Arc::new(SharedState::new(settings.gateway.clone(), domain, metrics));
    let callers = tcp(settings.callers.listen).change_context(GatewayError::at("bind"))?;
    let listeners = Listeners::bind(&settings).change_context(GatewayError::at("bind"))?;
    let control = single_runtime().change_context(GatewayError::at("start control thread"))?;
    let store = Arc::new(deployment.store(&settings));
    let traffic = TrafficThread {
        shared: Arc::clone(&shared),
        protocol: deployment.protocol(),
        callers,
    };
    let traffic = thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || traffic.run())
        .change_context(GatewayError::at("start traffic thread"))?;
    let host = &settings.host;
    spdlog::info!("daemon: host={host} domain={} started", settings.domain);
    log_freshness(&settings.gateway);
    let ended = control.block_on(run_control(shared, &settings, listeners, store, file));
    if traffic.join().is_err() {
        spdlog::error!("daemon: step=stop the traffic thread panicked");
    }
    logs::flush();
    ended.change_context(GatewayError::at("control"))
}

/// Logs the longest time until a published change is in force at all routers (`news_ms`), with a
/// warning if it exceeds the operator's bound.
fn log_freshness(config: &GatewayConfig) {
    let bound = freshness::bound(config).as_millis();
    let news = freshness::max_propagation_time(config).as_millis();
    let watch = freshness::watch_wait(config).as_millis();
    if news > bound {
        spdlog::warn!(
            "daemon: bound_ms={bound} can't be met when readers lose the store, news_ms={news}"
        );
    }
    spdlog::info!("daemon: bound_ms={bound} news_ms={news} watch_ms={watch}");
}

struct TrafficThread<P> {
    shared: Arc<SharedState>,
    protocol: P,
    callers: std::net::TcpListener,
}

impl<P: CallProtocol> TrafficThread<P> {
    fn run(self) {
        let served = single_runtime().and_then(|runtime| {
            let tasks = LocalSet::new();
            tasks.block_on(&runtime, self.serve())
        });
        if let Err(fault) = served {
            spdlog::error!("daemon: step=serve callers fault=\"{fault}\"");
        }
    }

    async fn serve(self) -> io::Result<()> {
        let listener = mio::net::TcpListener::from_std(self.callers);
        #[expect(
            deprecated,
            reason = "the replacement is an unsafe function; a listener keeps its descriptor"
        )]
        let listener = AsyncFd::with_interest(listener, Interest::READABLE)?;
        let idle = self.shared.config.descriptors / IDLE_DIVISOR;
        let answers = AnswerMemory::new(self.shared.config.answer_memory_bytes);
        let traffic = Rc::new(TrafficState {
            shared: self.shared,
            protocol: self.protocol,
            pool: EndpointPool::new(idle),
            answers,
            callers: CallerLoad::default(),
        });
        serve_callers(traffic, listener).await;
        Ok(())
    }
}

async fn run_control<S: StateStore>(
    shared: Arc<SharedState>,
    settings: &GatewaySettings,
    listeners: Listeners,
    store: Arc<S>,
    file: &Path,
) -> io::Result<ExitCode> {
    let mut signals = ProcessSignals::listen()?;
    let readiness = TcpListener::from_std(listeners.readiness)?;
    tokio::spawn(serve_listener(
        Arc::clone(&shared),
        readiness,
        ListenerKind::Readiness,
    ));
    if let Some(metrics) = listeners.metrics {
        let metrics = TcpListener::from_std(metrics)?;
        tokio::spawn(serve_listener(
            Arc::clone(&shared),
            metrics,
            ListenerKind::Metrics,
        ));
    }
    tokio::spawn(serve_state(
        Arc::clone(&shared),
        TcpListener::from_std(listeners.peers)?,
    ));
    for section in StateSection::ALL {
        let store = Arc::clone(&store);
        tokio::spawn(follow_section(store, Arc::clone(&shared), section));
    }
    let plan = GossipPlan {
        listen: settings.peers.listen,
        seeds: settings.peers.seeds.clone(),
        incarnation: RouterIncarnation::from_start_time(unix_seconds(), rand::random()).0,
    };
    let socket = UdpSocket::from_std(listeners.gossip)?;
    tokio::spawn(run_gossip(Arc::clone(&shared), plan, socket));
    signals.until_stop(|| reload(file)).await;
    drain(&shared).await;
    spdlog::info!("daemon: host={} ended", settings.host);
    Ok(ExitCode::SUCCESS)
}

/// Shuts down in stages: not ready at once, calls served for a while, then what is in flight ends,
/// and what still is at the end of the grace time is given up.
///
/// The last stage waits for callers' connections and not for calls, since a request that is being
/// read or lies in a socket is not yet a call.
async fn drain(shared: &SharedState) {
    let begun = Instant::now();
    let linger = begun + Duration::from_millis(shared.config.linger_ms);
    let grace = begun + Duration::from_millis(shared.config.grace_ms);
    spdlog::info!("daemon: drain begins in_flight={}", shared.in_flight());
    shared.shutdown_stages.draining.cancel();
    sleep_until(linger).await;
    shared.shutdown_stages.closing.cancel();
    let drained = shared.shutdown_stages.drained.cancelled();
    let in_time = timeout_at(grace, drained).await.is_ok();
    let cut = shared.in_flight();
    spdlog::info!("daemon: drain ends cut={cut} in_time={in_time}");
    if !in_time {
        shared.shutdown_stages.giving_up.cancel();
        let drained = shared.shutdown_stages.drained.cancelled();
        if timeout(LAST_REPLIES_TIME, drained).await.is_err() {
            spdlog::warn!("daemon: step=give up in_flight={}", shared.in_flight());
        }
    }
    sleep(LAST_BYTES_TIME).await;
    shared.shutdown_stages.ended.cancel();
}

/// Reloads the settings. Only the log level takes effect; addresses and limits need a restart, and
/// a file with faults changes nothing.
fn reload(file: &Path) {
    match load_settings(file) {
        Ok(settings) => {
            logs::set_level(settings.log.level);
            spdlog::info!("daemon: settings read again");
        }
        Err(report) => spdlog::error!("daemon: settings not changed: {report:?}"),
    }
}
