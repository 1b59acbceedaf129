//! Starts, drains and stops a router.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use error_stack::Report;
use error_stack::ResultExt;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admin::records::RouterRecords;
use crate::admin::sampler::sample;
use crate::admin::server::AdminContext;
use crate::admin::server::AdminServer;
use crate::configs::CoreConfig;
use crate::configs::peers::PeersConfig;
use crate::configs::traffic::TrafficConfig;
use crate::core::RouterIdentity;
use crate::core::event::CoreEvent;
use crate::entry::context::EntryContext;
use crate::entry::front::CallerFront;
use crate::peers::MeshSettings;
use crate::peers::forward_server::ForwardedCall;
use crate::peers::keys::PeerKeys;
use crate::peers::mesh::PeerEvent;
use crate::peers::mesh::PeerMesh;
use crate::peers::tls::PeerTls;
use crate::settings::SourceSettings;
use crate::sources::follow::WatchCommand;
use crate::units::DomainName;
use crate::units::HostName;
use crate::units::RequestId;
use crate::units::RouterIncarnation;
use crate::units::TeamId;

use super::control;
use super::control::ControlLink;
use super::mesh;
use super::router_commands::CommandRunner;
use super::sources;

/// Capacity of the channel of mesh events to the control thread.
const EVENT_CHANNEL_CAPACITY: usize = 1_024;

/// Settings and identity from which a router is started.
#[derive(Debug, Clone)]
pub struct RouterParts {
    /// Its host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Incarnation of this router process.
    pub incarnation: RouterIncarnation,
    /// IP address and port to listen on for callers.
    pub callers: SocketAddr,
    /// Settings of the connections to peers; `None` for a router without peers.
    pub peers: Option<PeerParts>,
    /// Where publications and the host list are read; `None` if publications are passed in.
    pub sources: Option<SourceSettings>,
    /// Settings of the decision core.
    pub core: CoreConfig,
    /// Settings of the traffic threads.
    pub traffic: TrafficConfig,
    /// Seed of the core's randomness.
    pub seed: u64,
}

/// Settings of the connections to peers.
#[derive(Debug, Clone)]
pub struct PeerParts {
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// IP address and port that peers dial, if not the one listened on.
    pub advertised: Option<SocketAddr>,
    /// Keys that all routers share.
    pub keys: PeerKeys,
    /// Certificates, if connections are encrypted.
    pub tls: Option<PeerTls>,
    /// Size limits and timings.
    pub config: PeersConfig,
}

/// Step of the start that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartStep {
    /// Starting the control thread.
    ControlThread,
    /// Listening for peers.
    PeerListener,
    /// Registering the metrics.
    Metrics,
    /// Listening for callers.
    CallerListener,
    /// Listening for operators.
    AdminListener,
}

/// The router could not start.
#[derive(Debug)]
pub struct StartError {
    /// The step that failed.
    pub step: StartStep,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self.step {
            StartStep::ControlThread => "the control thread could not start",
            StartStep::PeerListener => "the peer listener could not be opened",
            StartStep::Metrics => "the metrics could not be registered",
            StartStep::AdminListener => "the admin listener could not be opened",
            StartStep::CallerListener => "the caller listener could not be opened",
        })
    }
}

impl std::error::Error for StartError {}

/// A running router. Dropping it does not stop it; see [`Router::stop`].
#[derive(Debug)]
pub struct Router {
    /// Context shared by its requests.
    pub context: Arc<EntryContext>,
    /// Address of the caller listener.
    pub callers: SocketAddr,
    /// Connections to peers.
    pub mesh: Option<PeerMesh>,
    accepting: CancellationToken,
    closing: CancellationToken,
    accept_tasks: TaskTracker,
    tasks: TaskTracker,
    thread: JoinHandle<()>,
}

struct StartedMesh {
    mesh: PeerMesh,
    events: mpsc::Receiver<PeerEvent>,
    calls: mpsc::Receiver<ForwardedCall>,
}

impl Router {
    /// Starts a router on the current runtime.
    ///
    /// # Errors
    /// Names the step that failed.
    pub async fn start(parts: RouterParts) -> Result<Self, Report<StartError>> {
        let fault = |step| StartError { step };
        let closing = CancellationToken::new();
        let started = start_mesh(&parts, &closing).await?;
        let mesh = started.as_ref().map(|started| started.mesh.clone());
        let identity = RouterIdentity {
            host: parts.host.clone(),
            incarnation: parts.incarnation,
            domain: parts.domain.clone(),
            address: peer_address(&parts, mesh.as_ref()),
        };
        let thread = control::start(identity, parts.core, parts.seed)
            .change_context(fault(StartStep::ControlThread))?;
        let forwards = mesh.as_ref().map(PeerMesh::forward_client);
        let records = RouterRecords::new().change_context(fault(StartStep::Metrics))?;
        let records = Arc::new(records);
        let context = EntryContext::new(thread.link, parts.traffic, forwards, records);
        let context = Arc::new(context);
        let (front, callers) = bind_front(parts.callers, &context)
            .await
            .change_context(fault(StartStep::CallerListener))?;
        let (accept_tasks, tasks) = (TaskTracker::new(), TaskTracker::new());
        let accepting = CancellationToken::new();
        accept_tasks.spawn(front.serve(accepting.clone()));
        if let Some(StartedMesh { events, calls, .. }) = started {
            let taking = mesh::forward_events(context.control.clone(), events);
            tasks.spawn(closing.clone().run_until_cancelled_owned(taking));
            let taking = mesh::serve_calls(Arc::clone(&context), calls);
            tasks.spawn(closing.clone().run_until_cancelled_owned(taking));
        }
        let (watch, order) = watch::channel(WatchCommand {
            on: true,
            ..WatchCommand::default()
        });
        if let Some(settings) = &parts.sources {
            context.records.board.watches(true);
            sources::follow(settings, &context, order, &tasks, &closing);
        }
        let runner = CommandRunner {
            context: Arc::clone(&context),
            mesh: mesh.clone(),
            watch,
            closing: closing.clone(),
        };
        tasks.spawn(runner.run(thread.commands));
        let (control, records) = (context.control.clone(), Arc::clone(&context.records));
        tasks.spawn(sample(control, records, mesh.clone(), closing.clone()));
        Ok(Self {
            context,
            callers,
            mesh,
            accepting,
            closing,
            accept_tasks,
            tasks,
            thread: thread.handle,
        })
    }

    /// Serves the admin API to operators who send `credential`; returns the listener's address.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn serve_admin(
        &self,
        listen: SocketAddr,
        credential: &str,
    ) -> Result<SocketAddr, Report<StartError>> {
        let fault = StartError {
            step: StartStep::AdminListener,
        };
        let bound = bind_admin(listen).await.change_context(fault)?;
        let (server, address) = bound;
        let records = Arc::clone(&self.context.records);
        let mesh = self.mesh.clone();
        let context = AdminContext::new(self.control().clone(), records, mesh, credential);
        self.tasks
            .spawn(server.serve(context, self.closing.clone()));
        Ok(address)
    }

    /// Handle of its control thread.
    #[must_use]
    pub fn control(&self) -> &ControlLink {
        &self.context.control
    }

    /// Begins a drain and waits until no request is in flight.
    pub async fn drain(&self) {
        self.control().send_event(CoreEvent::DrainAsked);
        let mut drained = self.control().drained.clone();
        let _ = drained.wait_for(|drained| *drained).await;
    }

    /// Returns the requests that have not ended, with their teams.
    pub async fn in_flight(&self) -> Vec<(RequestId, TeamId)> {
        let requests = self.control().inspect(|state| {
            let rows = state.requests.iter();
            rows.map(|(request, entry)| (*request, entry.facts.team))
                .collect()
        });
        requests.await.unwrap_or_default()
    }

    /// Number of answers that are still passed on, including forwarded and joined ones.
    #[must_use]
    pub fn open_answers(&self) -> usize {
        self.context.tasks.len()
    }

    /// Stops accepting calls and waits until every answer has ended.
    pub async fn finish(&self) {
        // Peers stay connected meanwhile, because forwarded answers pass through them.
        self.accepting.cancel();
        self.accept_tasks.close();
        self.accept_tasks.wait().await;
        self.context.tasks.close();
        self.context.tasks.wait().await;
    }

    /// Stops accepting calls, waits until every answer has ended, and stops all tasks and the
    /// control thread.
    pub async fn stop(self) {
        self.finish().await;
        self.closing.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.context.control.stop();
        let _ = tokio::task::spawn_blocking(move || self.thread.join()).await;
    }
}

fn peer_address(parts: &RouterParts, mesh: Option<&PeerMesh>) -> SmolStr {
    let advertised = parts.peers.as_ref().and_then(|peers| peers.advertised);
    let address = advertised.or(mesh.map(PeerMesh::address));
    address.map_or_else(SmolStr::default, |address| address.to_smolstr())
}

async fn start_mesh(
    parts: &RouterParts,
    closing: &CancellationToken,
) -> Result<Option<StartedMesh>, Report<StartError>> {
    let Some(peers) = &parts.peers else {
        return Ok(None);
    };
    let settings = MeshSettings {
        host: parts.host.clone(),
        incarnation: parts.incarnation,
        listen: peers.listen,
        keys: peers.keys.clone(),
        tls: peers.tls.clone(),
        config: peers.config.clone(),
    };
    let (sender, events) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let started = PeerMesh::start(settings, closing.clone(), sender).await;
    let (mesh, calls) = started.change_context(StartError {
        step: StartStep::PeerListener,
    })?;
    Ok(Some(StartedMesh {
        mesh,
        events,
        calls,
    }))
}

async fn bind_admin(listen: SocketAddr) -> Result<(AdminServer, SocketAddr), io::Error> {
    let server = AdminServer::bind(listen).await?;
    let address = server.address()?;
    Ok((server, address))
}

async fn bind_front(
    address: SocketAddr,
    context: &Arc<EntryContext>,
) -> Result<(CallerFront, SocketAddr), io::Error> {
    let front = CallerFront::bind(address, Arc::clone(context)).await?;
    let address = front.address()?;
    Ok((front, address))
}
