//! A connection pool for endpoints, built on `hyper`'s connection API.
//!
//! The pool of `hyper-util` is not used for two reasons: it opens a connection and writes the
//! request in one step, which allows no check in between, and it hides whether a failed request
//! was sent. Both are needed to decide whether a request can be reported as "not run".

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

use crate::configs::traffic::TrafficConfig;

use super::body::OutgoingBody;

/// The step at which opening a connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectStep {
    /// The TCP connection could not be opened.
    Open,
    /// Opening the TCP connection timed out.
    Timeout,
    /// The HTTP handshake failed.
    Handshake,
}

/// The error of a connection that could not be opened.
#[derive(Debug)]
pub struct ConnectError {
    /// The step that failed.
    pub step: ConnectStep,
    /// The endpoint.
    pub address: SocketAddr,
}

impl std::fmt::Display for ConnectError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "connect to {}: {:?}", self.address, self.step)
    }
}

impl std::error::Error for ConnectError {}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<OutgoingBody>,
    idle_since: Instant,
}

/// The pool of idle connections to all endpoints.
#[derive(Debug, Clone)]
pub struct EndpointConnections {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    max_idle: usize,
}

impl EndpointConnections {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(config: &TrafficConfig) -> Self {
        Self {
            idle: Arc::default(),
            connect_timeout: Duration::from_millis(config.connect_ms),
            idle_timeout: Duration::from_millis(config.idle_ms),
            max_idle: config.idle_connections,
        }
    }

    /// Returns a connection that is ready for a request: an idle one or a new one.
    ///
    /// # Errors
    /// If no connection could be opened; no byte of a request has been sent then.
    pub async fn take(
        &self,
        address: SocketAddr,
    ) -> Result<SendRequest<OutgoingBody>, Report<ConnectError>> {
        if let Some(sender) = self.take_idle(address) {
            return Ok(sender);
        }
        self.open(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<OutgoingBody>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| {
            !connection.sender.is_closed() && connection.idle_since.elapsed() < self.idle_timeout
        });
        let newest = connections
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(connections.swap_remove(newest).sender)
    }

    async fn open(
        &self,
        address: SocketAddr,
    ) -> Result<SendRequest<OutgoingBody>, Report<ConnectError>> {
        let fault = |step| ConnectError { step, address };
        let stream = time::timeout(self.connect_timeout, TcpStream::connect(address))
            .await
            .change_context(fault(ConnectStep::Timeout))?
            .change_context(fault(ConnectStep::Open))?;
        // Disables Nagle's algorithm: small requests must not wait for the acknowledgement of
        // earlier ones.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .change_context(fault(ConnectStep::Handshake))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Returns a connection to the pool after its answer was read to the end. It is dropped if it
    /// is closed or the pool for this endpoint is full.
    pub fn give_back(&self, address: SocketAddr, sender: SendRequest<OutgoingBody>) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < self.max_idle {
            connections.push(IdleConnection {
                sender,
                idle_since: Instant::now(),
            });
        }
    }
}
