//! Mutual TLS between routers, used when certificates are configured.

use std::sync::Arc;

use error_stack::Report;
use error_stack::ResultExt;
use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::ServerName;
use rustls_pki_types::pem::PemObject;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::TlsConnector;
use tokio_rustls::TlsStream;
use tokio_util::either::Either;

use crate::units::HostName;

use super::error::PeerError;
use super::error::PeerStep;

/// A connection with or without TLS.
pub type PeerStream = Either<TcpStream, TlsStream<TcpStream>>;

/// TLS exporter label of the secret that binds the key proof to one TLS connection.
const BINDING_LABEL: &[u8] = b"EXPORTER-verbenaturn-peer";

/// TLS configuration with this router's certificate and the authorities that sign the certificates
/// of all routers.
#[derive(Debug, Clone)]
pub struct PeerTls {
    client: Arc<ClientConfig>,
    server: Arc<ServerConfig>,
}

impl PeerTls {
    /// Reads PEM texts: this router's certificate chain, its private key, and the authorities of
    /// all routers. A certificate must have its router's host as a DNS name.
    ///
    /// # Errors
    /// Unreadable PEM, or a key that does not fit the certificate.
    pub fn from_pem(
        chain: &[u8],
        key: &[u8],
        authorities: &[u8],
    ) -> Result<Self, Report<PeerError>> {
        let bad = || PeerError::new(PeerStep::Settings, "self");
        let chain = certificates(chain)?;
        let key = PrivateKeyDer::from_pem_slice(key).change_context_lazy(bad)?;
        let mut roots = RootCertStore::empty();
        for certificate in certificates(authorities)? {
            roots.add(certificate).change_context_lazy(bad)?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let client = ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .change_context_lazy(bad)?
            .with_root_certificates(Arc::clone(&roots))
            .with_client_auth_cert(chain.clone(), key.clone_key())
            .change_context_lazy(bad)?;
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .change_context_lazy(bad)?;
        let server = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .change_context_lazy(bad)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, key)
            .change_context_lazy(bad)?;
        Ok(Self {
            client: Arc::new(client),
            server: Arc::new(server),
        })
    }
}

/// Runs the TLS handshake on a dialed connection if TLS is configured; the peer's certificate must
/// name `host`.
pub(super) async fn wrap_dialed(
    tls: Option<&PeerTls>,
    stream: TcpStream,
    host: &HostName,
) -> Result<PeerStream, Report<PeerError>> {
    let Some(tls) = tls else {
        return Ok(Either::Left(stream));
    };
    let bad = || PeerError::new(PeerStep::Tls, host.as_str());
    let name = ServerName::try_from(host.as_str().to_owned()).change_context_lazy(bad)?;
    let connector = TlsConnector::from(Arc::clone(&tls.client));
    let wrapped = connector
        .connect(name, stream)
        .await
        .change_context_lazy(bad)?;
    Ok(Either::Right(TlsStream::Client(wrapped)))
}

/// Runs the TLS handshake on an accepted connection if TLS is configured.
pub(super) async fn wrap_accepted(
    tls: Option<&PeerTls>,
    stream: TcpStream,
    peer: &str,
) -> Result<PeerStream, Report<PeerError>> {
    let Some(tls) = tls else {
        return Ok(Either::Left(stream));
    };
    let wrapped = TlsAcceptor::from(Arc::clone(&tls.server))
        .accept(stream)
        .await
        .change_context_lazy(|| PeerError::new(PeerStep::Tls, peer))?;
    Ok(Either::Right(TlsStream::Server(wrapped)))
}

/// Returns a secret that only the two ends of this TLS connection know; empty without TLS.
pub(super) fn channel_binding(stream: &PeerStream) -> Result<Vec<u8>, rustls::Error> {
    let Either::Right(stream) = stream else {
        return Ok(Vec::new());
    };
    let secret = [0_u8; 32];
    match stream {
        TlsStream::Client(end) => {
            end.get_ref()
                .1
                .export_keying_material(secret, BINDING_LABEL, None)
        }
        TlsStream::Server(end) => {
            end.get_ref()
                .1
                .export_keying_material(secret, BINDING_LABEL, None)
        }
    }
    .map(Vec::from)
}

fn certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, Report<PeerError>> {
    CertificateDer::pem_slice_iter(pem)
        .collect::<Result<Vec<_>, _>>()
        .change_context_lazy(|| PeerError::new(PeerStep::Settings, "self"))
}
