//! Connections between routers: control messages and forwarded requests over TCP.
//!
//! Every connection begins with a handshake (see [`handshake`]) and then authenticates each
//! frame. Control messages may be lost (a full queue, a broken connection), so senders must
//! tolerate loss. [`mesh::PeerMesh`] manages the connections, [`forward`] forwards requests.

pub mod error;
pub mod forward;
pub mod forward_server;
pub mod frames;
pub mod handshake;
pub mod keys;
mod link;
pub mod mesh;
pub mod tls;
pub mod traffic;

use std::net::SocketAddr;

use crate::configs::peers::PeersConfig;
use crate::units::HostName;
use crate::units::RouterIncarnation;

use self::keys::PeerKeys;
use self::tls::PeerTls;

/// Settings of a router's connections to its peers.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// This router's host.
    pub host: HostName,
    /// This router's incarnation.
    pub incarnation: RouterIncarnation,
    /// Address of the peer listener.
    pub listen: SocketAddr,
    /// Keys that all routers share.
    pub keys: PeerKeys,
    /// Certificates for TLS; without them connections are authenticated but not encrypted.
    pub tls: Option<PeerTls>,
    /// Size limits and timeouts.
    pub config: PeersConfig,
}
