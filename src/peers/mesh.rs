//! The connections of one router to its peers.
//!
//! Either end may dial a connection, which then carries messages in both directions. Two routers
//! that dial each other keep both connections; a message is sent over the one that opened last.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use rand::RngExt;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::units::HostName;
use crate::units::RouterIncarnation;
use crate::wire::PeerMessage;

use super::MeshSettings;
use super::error::PeerError;
use super::error::PeerStep;
use super::error::one_line;
use super::forward::ForwardClient;
use super::forward_server::ForwardedCall;
use super::forward_server::serve_forwards;
use super::handshake::LinkPurpose;
use super::handshake::PeerFramed;
use super::handshake::RemotePeer;
use super::keys::PeerKeys;
use super::link::LinkContext;
use super::link::accept;
use super::link::carry_control;
use super::link::dial;
use super::traffic::TrafficCounters;

/// Maximum number of forwarded calls that wait for a handler.
const MAX_WAITING_CALLS: usize = 64;

/// An event that the mesh sends to the control thread. Each variant has its own `CoreEvent`.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)] // Nearly all events are messages, so boxing adds cost.
pub enum PeerEvent {
    /// The first connection to this incarnation of a peer opened.
    Opened {
        /// The peer's host.
        host: HostName,
        /// Its incarnation.
        incarnation: RouterIncarnation,
    },
    /// The last connection closed, or dialing failed.
    Closed {
        /// The peer's host.
        host: HostName,
    },
    /// A control message arrived.
    Message {
        /// The sender's host.
        from: HostName,
        /// The sender's incarnation.
        incarnation: RouterIncarnation,
        /// The message.
        message: PeerMessage,
    },
}

/// All connections of one router. Cheap to clone.
#[derive(Debug, Clone)]
pub struct PeerMesh {
    inner: Arc<MeshInner>,
}

#[derive(Debug)]
struct MeshInner {
    context: Arc<LinkContext>,
    address: SocketAddr,
    cancel: CancellationToken,
    events: mpsc::Sender<PeerEvent>,
    calls: mpsc::Sender<ForwardedCall>,
    table: Mutex<MeshTable>,
    /// Held while a link is added or removed and its event is sent, so that `Opened` and `Closed`
    /// of one host reach the control thread in the order in which they happened.
    event_order: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct MeshTable {
    dialers: BTreeMap<HostName, DialerEntry>,
    links: BTreeMap<HostName, Vec<LinkEntry>>,
    next_link: u64,
}

#[derive(Debug)]
struct DialerEntry {
    address: SmolStr,
    cancel: CancellationToken,
}

#[derive(Debug)]
struct LinkEntry {
    number: u64,
    incarnation: RouterIncarnation,
    queue: mpsc::Sender<PeerMessage>,
    cancel: CancellationToken,
}

impl PeerMesh {
    /// Binds the listener and starts to accept connections. Events are sent to `events`, forwarded
    /// calls to the returned receiver. All connections end when `cancel` fires.
    ///
    /// # Errors
    /// The listener can't be bound.
    pub async fn start(
        settings: MeshSettings,
        cancel: CancellationToken,
        events: mpsc::Sender<PeerEvent>,
    ) -> Result<(Self, mpsc::Receiver<ForwardedCall>), Report<PeerError>> {
        let fail = || PeerError::new(PeerStep::Listen, settings.listen.to_smolstr());
        let listener = TcpListener::bind(settings.listen)
            .await
            .change_context_lazy(fail)?;
        let address = listener.local_addr().change_context_lazy(fail)?;
        let (calls, call_receiver) = mpsc::channel(MAX_WAITING_CALLS);
        let context = LinkContext {
            keys: settings.keys.clone().into(),
            settings,
            counters: TrafficCounters::default(),
        };
        let inner = Arc::new(MeshInner {
            context: Arc::new(context),
            address,
            cancel,
            events,
            calls,
            table: Mutex::default(),
            event_order: tokio::sync::Mutex::default(),
        });
        tokio::spawn(accept_all(Arc::clone(&inner), listener));
        Ok((Self { inner }, call_receiver))
    }

    /// The address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Queues a control message. It is dropped and counted if there is no connection to the peer or
    /// the queue is full.
    pub fn send(&self, host: &HostName, message: PeerMessage) {
        let table = self.inner.table();
        let sent = table
            .links
            .get(host)
            .and_then(|links| links.last())
            .is_some_and(|link| link.queue.try_send(message).is_ok());
        if !sent {
            self.inner.context.counters.add_dropped();
        }
    }

    /// Dials a host, and redials it when the connection ends, until [`Self::disconnect`].
    pub fn connect(&self, host: &HostName, address: &str) {
        let mut table = self.inner.table();
        if table
            .dialers
            .get(host)
            .is_some_and(|dialer| dialer.address == address)
        {
            return;
        }
        let cancel = self.inner.cancel.child_token();
        let entry = DialerEntry {
            address: address.into(),
            cancel: cancel.clone(),
        };
        if let Some(old) = table.dialers.insert(host.clone(), entry) {
            old.cancel.cancel();
        }
        drop(table);
        tokio::spawn(keep_connected(
            Arc::clone(&self.inner),
            host.clone(),
            address.into(),
            cancel,
        ));
    }

    /// Closes all connections to a host and stops dialing it.
    pub fn disconnect(&self, host: &HostName) {
        let mut table = self.inner.table();
        if let Some(dialer) = table.dialers.remove(host) {
            dialer.cancel.cancel();
        }
        for link in table.links.get(host).into_iter().flatten() {
            link.cancel.cancel();
        }
    }

    /// Replaces the peer keys for connections that open from now on.
    pub fn set_keys(&self, keys: PeerKeys) {
        let mut current = self
            .inner
            .context
            .keys
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = keys;
    }

    /// Traffic counters of all connections.
    #[must_use]
    pub fn counters(&self) -> &TrafficCounters {
        &self.inner.context.counters
    }

    /// Creates a client that forwards requests to peers over its own connection pool.
    #[must_use]
    pub fn forward_client(&self) -> ForwardClient {
        ForwardClient::new(Arc::clone(&self.inner.context))
    }
}

impl MeshInner {
    fn table(&self) -> MutexGuard<'_, MeshTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link and returns true if it is the host's only one. Links of another incarnation of
    /// the host are closed: that process is gone, even if its connection hasn't failed yet.
    fn add_link(&self, remote: &RemotePeer, link: LinkEntry) -> bool {
        let mut table = self.table();
        let links = table.links.entry(remote.host.clone()).or_default();
        for old in links.iter() {
            if old.incarnation != remote.incarnation {
                old.cancel.cancel();
            }
        }
        links.retain(|old| old.incarnation == remote.incarnation);
        links.push(link);
        links.len() == 1
    }

    /// Removes a link and returns true if it was the host's last.
    fn remove_link(&self, host: &HostName, number: u64) -> bool {
        let mut table = self.table();
        let Some(links) = table.links.get_mut(host) else {
            return false;
        };
        let before = links.len();
        links.retain(|link| link.number != number);
        let last = links.is_empty() && before > 0;
        if links.is_empty() {
            table.links.remove(host);
        }
        last
    }

    fn has_link(&self, host: &HostName) -> bool {
        self.table().links.contains_key(host)
    }

    /// Runs one control connection until it ends.
    async fn run_link(
        &self,
        framed: PeerFramed,
        remote: RemotePeer,
        parent: &CancellationToken,
    ) -> Result<(), Report<PeerError>> {
        let (queue, queued) = mpsc::channel(self.context.settings.config.queue_messages);
        let cancel = parent.child_token();
        let number = {
            let mut table = self.table();
            table.next_link += 1;
            table.next_link
        };
        let entry = LinkEntry {
            number,
            incarnation: remote.incarnation,
            queue,
            cancel: cancel.clone(),
        };
        let event_order = self.event_order.lock().await;
        if self.add_link(&remote, entry) {
            let opened = PeerEvent::Opened {
                host: remote.host.clone(),
                incarnation: remote.incarnation,
            };
            let _ = self.events.send(opened).await;
        }
        drop(event_order);
        let ended = carry_control(
            &self.context,
            framed,
            &remote,
            queued,
            &self.events,
            &cancel,
        )
        .await;
        let _event_order = self.event_order.lock().await;
        if self.remove_link(&remote.host, number) {
            self.send_closed(&remote.host).await;
        }
        ended
    }

    async fn send_closed(&self, host: &HostName) {
        let closed = PeerEvent::Closed { host: host.clone() };
        let _ = self.events.send(closed).await;
    }
}

async fn accept_all(inner: Arc<MeshInner>, listener: TcpListener) {
    let strangers = Arc::new(Semaphore::new(inner.context.settings.config.strangers));
    loop {
        let accepted = tokio::select! {
            () = inner.cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, address) = match accepted {
            Ok(pair) => pair,
            Err(error) => {
                spdlog::warn!("peers: accepting a connection failed: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        // Clients that connect and send nothing could use up all file descriptors. Above this many
        // unauthenticated connections, further ones are closed at once.
        let Ok(permit) = Arc::clone(&strangers).try_acquire_owned() else {
            spdlog::warn!("peers: too many unauthenticated connections, {address} closed");
            continue;
        };
        let inner = Arc::clone(&inner);
        tokio::spawn(async move {
            let cancel = inner.cancel.clone();
            tokio::select! {
                () = cancel.cancelled() => {}
                () = serve_accepted(&inner, stream, address, permit) => {}
            }
        });
    }
}

async fn serve_accepted(
    inner: &Arc<MeshInner>,
    stream: TcpStream,
    address: SocketAddr,
    permit: tokio::sync::OwnedSemaphorePermit,
) {
    let peer = address.to_string();
    let (framed, remote) = match accept(&inner.context, stream, &peer).await {
        Ok(pair) => pair,
        Err(report) => {
            spdlog::warn!(
                "peers: connection from {peer} dropped: {}",
                one_line(&report)
            );
            return;
        }
    };
    drop(permit);
    let host = remote.host.clone();
    let ended = match remote.purpose {
        LinkPurpose::Control => inner.run_link(framed, remote, &inner.cancel).await,
        LinkPurpose::Forward => serve_forwards(&inner.context, framed, &remote, &inner.calls).await,
    };
    if let Err(report) = ended {
        spdlog::warn!(
            "peers: connection from {host} dropped: {}",
            one_line(&report)
        );
    }
}

/// Dials a host and redials it whenever the connection ends, with exponential backoff. The pause is
/// drawn at random between half and all of the backoff, so that routers that restart together don't
/// redial at the same times.
async fn keep_connected(
    inner: Arc<MeshInner>,
    host: HostName,
    address: SmolStr,
    cancel: CancellationToken,
) {
    let config = &inner.context.settings.config;
    let mut wait_ms = config.redial_ms;
    while !cancel.is_cancelled() {
        let dialed = tokio::select! {
            () = cancel.cancelled() => return,
            dialed = dial(&inner.context, &host, &address, LinkPurpose::Control) => dialed,
        };
        match dialed {
            Ok((framed, remote)) => {
                let opened = Instant::now();
                if let Err(report) = inner.run_link(framed, remote, &cancel).await {
                    spdlog::warn!("peers: connection to {host} dropped: {}", one_line(&report));
                }
                // The backoff isn't reset after a short connection, so that a peer that accepts and
                // closes at once is redialed ever more slowly.
                if opened.elapsed().as_millis() > u128::from(config.redial_most_ms) {
                    wait_ms = config.redial_ms;
                }
            }
            Err(report) => {
                spdlog::info!("peers: dialing {host} failed: {}", one_line(&report));
                let _event_order = inner.event_order.lock().await;
                if !inner.has_link(&host) {
                    inner.send_closed(&host).await;
                }
            }
        }
        let pause = rand::rng().random_range(wait_ms / 2..=wait_ms);
        wait_ms = (wait_ms * 2).min(config.redial_most_ms);
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(pause)) => {}
        }
    }
}
