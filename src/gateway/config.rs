//! Settings of a gateway router: its identity, its listeners, and the parameters of its decisions.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::document::FaultList;
use crate::document::read_document;
use crate::document::shape::ADDRESS_FORMAT;
use crate::settings::LogSettings;
use crate::units::DomainName;
use crate::units::HostName;
use crate::units::TimeSpan;

use super::link::LinkSpeed;

/// Settings of one gateway process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// This host's name.
    pub host: HostName,
    /// The failure domain that this host is in.
    pub domain: DomainName,
    /// The listener for callers.
    pub callers: ListenSettings,
    /// The listener for the load balancer's readiness checks.
    pub readiness: ListenSettings,
    /// The listener for metrics, on `/metrics`. Default: none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<ListenSettings>,
    /// How other routers are reached.
    pub peers: GatewayPeers,
    /// The store with routes and endpoints.
    pub store: StoreSettings,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits and parameters of decisions.
    #[serde(default)]
    pub gateway: GatewayConfig,
}

/// A listener.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// IP number and port, such as `10.0.0.1:8080`.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub listen: SocketAddr,
}

/// How other routers are reached.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewayPeers {
    /// IP number and port for other routers (UDP and TCP). The port is the same on all hosts.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub listen: SocketAddr,
    /// Addresses of hosts through which other routers are found; any of them may be down. Only
    /// their IP addresses are used.
    #[serde(default)]
    pub seeds: Vec<SmolStr>,
}

/// The store with routes and endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// IP number and port.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub address: SocketAddr,
}

/// Limits and parameters of a gateway's decisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayConfig {
    /// Retries of a service that all routers together may send in the retry window, as a fraction
    /// of its requests; `retry_slack` is added.
    pub retry_ratio: f64,
    /// Retries of a service that all routers together may send in the retry window in addition to
    /// `retry_ratio` times its requests.
    pub retry_slack: f64,
    /// The retry window, in s.
    pub retry_window_s: f64,
    /// Whether the whole system starts for the first time, so that no former process of this host
    /// has spent retries, and no stream began before; false if that is not known.
    pub first_start: bool,
    /// Time over which teams' demand is measured, in s.
    pub share_window_s: f64,
    /// Prompt tokens that an engine is expected to prefill per ms while it also generates, until
    /// answers have provided a measurement.
    pub reading_tokens_per_ms: f64,
    /// Initial estimate of the time for which a generation occupies an engine, in ms, used until
    /// answers have provided a measurement.
    pub first_hold_ms: f64,
    /// Fraction of a route's objective up to which the predicted time to the first output is
    /// accepted.
    pub objective_part: f64,
    /// Fraction of a route's objective up to which the predicted time to the first output is
    /// accepted for requests of teams beyond their shares.
    pub over_share_part: f64,
    /// Fraction of a route's objective that a long prompt may wait in addition to its own prefill.
    /// Applies while prompts of its size are served too seldom compared with the whole route.
    pub long_wait_part: f64,
    /// Shortest time after which a refused caller is asked to retry, in ms.
    pub retry_after_ms: u64,
    /// Shortest time after which a caller is asked to retry when no endpoint takes work or no
    /// routes are known, in ms.
    pub no_endpoint_retry_ms: u64,
    /// Time after which a caller is asked to retry when only this router is full, in ms: another
    /// one can serve the call at once.
    pub elsewhere_retry_ms: u64,
    /// Time for which prompt parts sent to an endpoint are remembered, in ms.
    pub part_memory_ms: u64,
    /// Longest time for which a broken stream may be resumed, in ms, counted from its last event. Where
    /// streams began is remembered for as long.
    pub stream_memory_ms: u64,
    /// Time for which the store keeps its changes, in s; 0 if it keeps none. They tell a process which
    /// software versions endpoints had before its start.
    pub store_history_s: f64,
    /// Time limit for connecting to an endpoint, in ms.
    pub connect_timeout_ms: u64,
    /// Idle time after which a connection to an endpoint is not reused, in ms, unless the endpoint
    /// states its own limit.
    pub idle_reuse_ms: u64,
    /// Speed of the host's network link, in Mbit/s.
    pub link_mbps: LinkSpeed,
    /// File descriptors that the process may use.
    pub descriptors: usize,
    /// Lag that counts as 100 percent use, in ms: a moving average of the delay of the traffic
    /// thread's timers or of its accept queue, whichever is longer. Above 75 percent the router
    /// asks for fewer callers, until the use is at most 50 percent.
    pub overload_lag_ms: u64,
    /// Bytes of callers' bodies held in memory at the same time.
    pub body_memory_bytes: usize,
    /// Largest response of a plain service (one without model engines), in bytes; it is forwarded
    /// once it is complete.
    pub max_answer_bytes: usize,
    /// Bytes of responses that are held in memory at the same time until they are complete and
    /// forwarded. One response may use half of it, and less while others use much.
    pub answer_memory_bytes: usize,
    /// Time after an endpoint announced that it is leaving, or its registration ended, after which
    /// it must get no work, in ms.
    pub leave_bound_ms: u64,
    /// Time within which a published configuration must be in force, in ms.
    pub change_bound_ms: u64,
    /// Longest time that a watch of the store is held open, in ms; shorter if the bounds require
    /// it.
    pub watch_ms: u64,
    /// Time limit for reading a section of the store, routes or endpoints, in ms.
    pub store_timeout_ms: u64,
    /// Pause before a failed call to the store is retried, in ms; up to as much again is added at
    /// random.
    pub store_retry_ms: u64,
    /// Pause after changes of endpoints before the next watch, in ms, so that changes in quick
    /// succession are read in one call.
    pub endpoint_batch_ms: u64,
    /// Time for which endpoints that are missing from the store after its outage are still used, in
    /// ms, counted from the store's return. It always ends within `leave_bound_ms`.
    pub lapse_grace_ms: u64,
    /// Interval between two gossip messages to other routers, in ms.
    pub gossip_ms: u64,
    /// Silence after which another router counts as gone, in ms.
    pub peer_timeout_ms: u64,
    /// Time from SIGTERM within which everything in flight ends, in ms.
    pub grace_ms: u64,
    /// Time from SIGTERM for which new calls are still served, in ms: a load balancer needs time to
    /// notice that this router is no longer ready. Shorter than what the platform allows by the time
    /// that a busy process takes to notice the signal.
    pub linger_ms: u64,
}

impl Default for GatewayConfig {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            retry_slack: 16.0,
            retry_window_s: 10.0,
            first_start: false,
            share_window_s: 4.0,
            reading_tokens_per_ms: 50.0,
            first_hold_ms: 3_000.0,
            objective_part: 0.8,
            over_share_part: 0.3,
            long_wait_part: 0.5,
            retry_after_ms: 100,
            no_endpoint_retry_ms: 300,
            elsewhere_retry_ms: 20,
            part_memory_ms: 10_000,
            stream_memory_ms: 30_000,
            store_history_s: 20.0,
            connect_timeout_ms: 300,
            idle_reuse_ms: 300,
            link_mbps: LinkSpeed(1_000.0),
            descriptors: 4_096,
            overload_lag_ms: 60,
            body_memory_bytes: 25_165_824,
            max_answer_bytes: 4_194_304,
            answer_memory_bytes: 25_165_824,
            leave_bound_ms: 2_000,
            change_bound_ms: 2_000,
            watch_ms: 1_500,
            store_timeout_ms: 1_000,
            store_retry_ms: 150,
            endpoint_batch_ms: 150,
            lapse_grace_ms: 2_200,
            gossip_ms: 100,
            peer_timeout_ms: 1_500,
            grace_ms: 7_400,
            linger_ms: 2_900,
        }
    }
}

/// Reads and validates settings.
///
/// # Errors
/// All faults of the text, each with the setting's path.
pub fn read_gateway_settings(text: &[u8]) -> Result<GatewaySettings, FaultList> {
    read_document(text)
}

/// Returns a setting in seconds as a time span.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn seconds(seconds: f64) -> TimeSpan {
    TimeSpan((seconds * 1e6) as u64)
}
