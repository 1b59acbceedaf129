//! Settings of one router process: its identity, listeners, sources and limits.
//!
//! They are read once at start. Configuration that all routers share is published instead, see
//! [`crate::publication`].

use std::net::SocketAddr;
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;

use crate::configs::CoreConfig;
use crate::configs::peers::PeersConfig;
use crate::configs::traffic::TrafficConfig;
use crate::document::DocumentFault;
use crate::document::FaultList;
use crate::document::deserialize_tree;
use crate::document::schema_of;
use crate::document::shape;
use crate::document::shape::ADDRESS_FORMAT;
use crate::document::tree;
use crate::units::DomainName;
use crate::units::HostName;

/// Maximum size of a settings file, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 1_048_576;

/// Settings of one router process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of this host; must be unique among the routers.
    pub host: HostName,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Listener for callers.
    pub callers: CallerSettings,
    /// Listener for other routers.
    pub peers: PeerSettings,
    /// Listener for operators.
    pub admin: AdminSettings,
    /// Sources of publications and the host list.
    pub sources: SourceSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// Settings of the decision core, one section per system.
    #[serde(default)]
    pub core: CoreConfig,
    /// Settings of connections to callers and endpoints.
    #[serde(default)]
    pub traffic: TrafficConfig,
    /// Settings of connections between routers.
    #[serde(default)]
    pub peer_config: PeersConfig,
}

/// Listener for callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// IP number and port on which the router listens for callers, such as `10.0.0.1:8080`.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub listen: SocketAddr,
}

/// Listener for other routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// IP number and port on which the router listens for other routers.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub listen: SocketAddr,
    /// IP number and port to which other routers connect. Default: `listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub advertised: Option<SocketAddr>,
    /// Files with the fleet's shared keys. This router authenticates with the first and accepts
    /// any of them from a peer, so that keys can be rotated.
    #[schemars(length(min = 1, max = 4))]
    pub key_files: Vec<PathBuf>,
    /// Mutual TLS between routers. Default: no TLS.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<PeerTlsSettings>,
}

/// Mutual TLS between routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerTlsSettings {
    /// PEM file with this router's certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with the private key of the certificate.
    pub private_key_file: PathBuf,
    /// PEM file with the certificate authorities that are trusted for peers' certificates.
    pub authority_file: PathBuf,
}

/// Listener for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// IP number and port on which the router listens for operators; should not be reachable from
    /// the callers' network.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub listen: SocketAddr,
    /// File with the bearer credential that operators must present.
    pub credential_file: PathBuf,
}

/// Sources of publications and the host list; each is a URL or a file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct SourceSettings {
    /// HTTP URL of the publication at the configuration service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub config_url: Option<SmolStr>,
    /// File with the publication, for small sites without a configuration service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub config_file: Option<PathBuf>,
    /// HTTP URL of the host list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hosts_url: Option<SmolStr>,
    /// File with the host list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hosts_file: Option<PathBuf>,
    /// Timing of reads from the sources.
    pub timing: SourceTiming,
}

/// Timing of reads from the sources.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct SourceTiming {
    /// Seconds that the configuration service is asked to hold a watch open.
    #[schemars(range(min = 1, max = 600))]
    pub watch_s: u64,
    /// Timeout of a read, in milliseconds; for a watch, in addition to the time that it is held
    /// open.
    #[schemars(range(min = 1, max = 600_000))]
    pub timeout_ms: u64,
    /// Backoff before a failed read or watch is retried, in milliseconds, with a jitter of plus or
    /// minus a quarter.
    #[schemars(range(min = 1, max = 600_000))]
    pub retry_ms: u64,
    /// Milliseconds between two checks of a file for changes.
    #[schemars(range(min = 1, max = 600_000))]
    pub file_poll_ms: u64,
    /// Milliseconds between two reads of the host list.
    #[schemars(range(min = 1, max = 600_000))]
    pub hosts_poll_ms: u64,
}

impl Default for SourceTiming {
    fn default() -> Self {
        Self {
            watch_s: 30,
            timeout_ms: 5_000,
            retry_ms: 1_000,
            file_poll_ms: 500,
            hosts_poll_ms: 2_000,
        }
    }
}

/// Logging.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level that is logged; can be changed at run time.
    pub level: LogLevel,
}

/// Log level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults that the router handles itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Every request.
    Debug,
    /// Every message.
    Trace,
}

/// Graceful shutdown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownSettings {
    /// Seconds after the first signal in which requests in flight may complete; after that they
    /// are aborted and logged.
    #[schemars(range(min = 1, max = 86_400))]
    pub deadline_s: u64,
    /// Minimum time for which the listener for callers stays open after the first signal, in
    /// milliseconds. Should exceed a load balancer's readiness interval, so that it stops sending
    /// requests before the listener closes.
    #[schemars(range(min = 0, max = 600_000))]
    pub linger_ms: u64,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            deadline_s: 600,
            linger_ms: 5_000,
        }
    }
}

impl ProcessSettings {
    /// Returns the address to which other routers connect.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.advertised_address()
    }
}

impl PeerSettings {
    fn advertised_address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.listen)
    }
}

/// Reads and validates settings.
///
/// # Errors
/// Returns every fault, each with the path of its setting. For a text that is too long or not
/// valid JSON, that is the only fault.
pub fn read_settings(text: &[u8]) -> Result<ProcessSettings, FaultList> {
    if text.len() > MAX_SETTINGS_BYTES {
        let message = format!(
            "has {} bytes; settings have at most {MAX_SETTINGS_BYTES}",
            text.len()
        );
        return Err(FaultList::from(vec![DocumentFault::new("", message)]));
    }
    let tree = tree::parse(text)?;
    let mut faults = shape::check(&schema_of::<ProcessSettings>(), &tree);
    if let Some(sources) = section(&tree, "sources", &faults) {
        faults.extend(source_faults(&sources));
    }
    if let Some(peers) = section(&tree, "peers", &faults) {
        faults.extend(peer_fault(&peers));
    }
    if faults.is_empty() {
        deserialize_tree(tree)
    } else {
        Err(FaultList::from(faults))
    }
}

/// Deserialises a section that matches its schema, so that its rules are checked even if other
/// sections have faults.
fn section<T: DeserializeOwned>(tree: &Value, name: &str, faults: &[DocumentFault]) -> Option<T> {
    if faults.iter().any(|fault| fault.path.starts_with(name)) {
        return None;
    }
    serde_json::from_value(tree.get(name)?.clone()).ok()
}

fn source_faults(sources: &SourceSettings) -> Vec<DocumentFault> {
    let config = check_source(
        "sources.config",
        sources.config_url.as_deref(),
        sources.config_file.is_some(),
    );
    let hosts = check_source(
        "sources.hosts",
        sources.hosts_url.as_deref(),
        sources.hosts_file.is_some(),
    );
    config.into_iter().chain(hosts).collect()
}

fn peer_fault(peers: &PeerSettings) -> Option<DocumentFault> {
    let advertised_address = peers.advertised_address();
    if !advertised_address.ip().is_unspecified() && advertised_address.port() != 0 {
        return None;
    }
    let message =
        format!("is {advertised_address}; use an IP number and a port to which peers can connect");
    Some(DocumentFault::new("peers.advertised", message))
}

/// Checks that a source is either a URL or a file, and that a URL is valid.
fn check_source(path: &str, url: Option<&str>, file: bool) -> Option<DocumentFault> {
    match (url, file) {
        (None, false) => Some(DocumentFault::new(
            format!("{path}_url"),
            format!("is missing; set it or {path}_file"),
        )),
        (Some(_), true) => Some(DocumentFault::new(
            format!("{path}_url"),
            format!("conflicts with {path}_file; set only one of them"),
        )),
        (Some(url), false) => {
            let parsed = url.parse::<http::Uri>().ok();
            let known = parsed.is_some_and(|uri| {
                uri.scheme_str() == Some("http") && uri.host().is_some_and(|host| !host.is_empty())
            });
            let message =
                format!("is \"{url}\"; use a URL such as \"http://10.0.0.1:8500/config\"");
            (!known).then(|| DocumentFault::new(format!("{path}_url"), message))
        }
        (None, true) => None,
    }
}
