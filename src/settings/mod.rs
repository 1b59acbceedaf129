//! Settings of one process: where it listens, who it is, where the sources is.
//!
//! They are read once at start. What all routers share is published instead, see
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
use crate::document::schema_of;
use crate::document::shape;
use crate::document::shape::ADDRESS_FORMAT;
use crate::document::tree;
use crate::document::typed;
use crate::units::DomainName;
use crate::units::HostName;

/// Largest settings file, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 1_048_576;

/// Settings of one router process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// This host's name; no two routers have the same.
    pub host: HostName,
    /// The failure domain that this host is in.
    pub domain: DomainName,
    /// The listener for callers.
    pub callers: CallerSettings,
    /// The listener for other routers.
    pub peers: PeerSettings,
    /// The listener for operators.
    pub admin: AdminSettings,
    /// Where publications and the host list come from.
    pub sources: SourceSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// The decision core, one part a system.
    #[serde(default)]
    pub core: CoreConfig,
    /// Limits towards callers and endpoints.
    #[serde(default)]
    pub traffic: TrafficConfig,
    /// Sizes and times between routers.
    #[serde(default)]
    pub peer_config: PeersConfig,
}

/// The listener for callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// IP number and port on which callers are served, such as `10.0.0.1:8080`.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub listen: SocketAddr,
}

/// The listener for other routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// IP number and port on which other routers are answered.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub listen: SocketAddr,
    /// IP number and port that other routers dial. Default: `listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub advertised: Option<SocketAddr>,
    /// Files with the fleet's shared keys. The first proves this router; any of them proves a
    /// peer, so that keys can rotate.
    #[schemars(length(min = 1, max = 4))]
    pub key_files: Vec<PathBuf>,
    /// TLS between routers. Default: none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<PeerTlsSettings>,
}

/// TLS between routers; each proves itself to the other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerTlsSettings {
    /// PEM file with this router's certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with its private key.
    pub private_key_file: PathBuf,
    /// PEM file with the authorities that peers' certificates must come from.
    pub authority_file: PathBuf,
}

/// The listener for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// IP number and port on which operators are answered; keep it off the callers' network.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub listen: SocketAddr,
    /// File with the bearer credential that operators must show.
    pub credential_file: PathBuf,
}

/// Where publications and the host list come from: for each a URL or a file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct SourceSettings {
    /// URL (http) of the publication at the configuration service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub config_url: Option<SmolStr>,
    /// File with the publication, for small sites without a configuration service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub config_file: Option<PathBuf>,
    /// URL (http) of the host list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hosts_url: Option<SmolStr>,
    /// File with the host list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hosts_file: Option<PathBuf>,
    /// Timing of reads.
    pub timing: SourceTiming,
}

/// Timing of reads from the sources.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct SourceTiming {
    /// Seconds that the configuration service is asked to hold a watch open.
    #[schemars(range(min = 1, max = 600))]
    pub watch_s: u64,
    /// Milliseconds that an answer may take beyond the time a watch is held.
    #[schemars(range(min = 1, max = 600_000))]
    pub timeout_ms: u64,
    /// Milliseconds before a failed read or watch is tried again; a quarter of it is added or
    /// taken away at random.
    #[schemars(range(min = 1, max = 600_000))]
    pub retry_ms: u64,
    /// Milliseconds between two looks at a file.
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

/// Logs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The least level that is logged; can be changed at run time.
    pub level: LogLevel,
}

/// A level of logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that need somebody.
    Error,
    /// Faults that the router gets along with.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Each request.
    Debug,
    /// Each message.
    Trace,
}

/// Shutdown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownSettings {
    /// Seconds that requests in flight have after the first signal; then they are cut and named
    /// in the log.
    #[schemars(range(min = 1, max = 86_400))]
    pub deadline_s: u64,
    /// Milliseconds that the listener for callers stays open at least after the first signal, so
    /// that a balancer which looks at readiness now and then sends nothing to a closed door.
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
    /// The address that other routers dial.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.dialled()
    }
}

impl PeerSettings {
    fn dialled(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.listen)
    }
}

/// Reads and checks settings.
///
/// # Errors
/// Every fault of the text, each with the setting's path.
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
        typed(tree)
    } else {
        Err(FaultList::from(faults))
    }
}

/// A section whose shape is right, so that its rules are checked whatever is wrong elsewhere.
fn section<T: DeserializeOwned>(tree: &Value, name: &str, faults: &[DocumentFault]) -> Option<T> {
    if faults.iter().any(|fault| fault.path.starts_with(name)) {
        return None;
    }
    serde_json::from_value(tree.get(name)?.clone()).ok()
}

fn source_faults(sources: &SourceSettings) -> Vec<DocumentFault> {
    let config = one_source(
        "sources.config",
        sources.config_url.as_deref(),
        sources.config_file.is_some(),
    );
    let hosts = one_source(
        "sources.hosts",
        sources.hosts_url.as_deref(),
        sources.hosts_file.is_some(),
    );
    config.into_iter().chain(hosts).collect()
}

fn peer_fault(peers: &PeerSettings) -> Option<DocumentFault> {
    let dialled = peers.dialled();
    if !dialled.ip().is_unspecified() && dialled.port() != 0 {
        return None;
    }
    let message = format!("is {dialled}, which no peer can dial; set an IP number and a port");
    Some(DocumentFault::new("peers.advertised", message))
}

/// Each source is a URL or a file, and not both.
fn one_source(path: &str, url: Option<&str>, file: bool) -> Option<DocumentFault> {
    match (url, file) {
        (None, false) => Some(DocumentFault::new(
            format!("{path}_url"),
            format!("is missing; set it or {path}_file"),
        )),
        (Some(_), true) => Some(DocumentFault::new(
            format!("{path}_url"),
            format!("stands beside {path}_file; set one of them"),
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
