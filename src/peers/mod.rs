//! Connections between routers: control messages and forwarded requests over TCP.
//!
//! Every connection begins with a handshake (see [`handshake`]) and then authenticates each
//! frame. Control messages may be lost (a full queue, a broken connection); whoever sends them
//! must bear that. [`mesh::PeerMesh`] keeps the connections, [`forward`] carries requests.

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

/// What a router needs to speak with its peers.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// This router's host.
    pub host: HostName,
    /// Its incarnation.
    pub incarnation: RouterIncarnation,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Keys that all routers share.
    pub keys: PeerKeys,
    /// Certificates, if connections shall also be encrypted.
    pub tls: Option<PeerTls>,
    /// Sizes and times.
    pub config: PeersConfig,
}
