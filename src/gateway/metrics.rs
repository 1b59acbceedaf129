//! Counters and histograms of a gateway, recorded with `opentelemetry` and exported as Prometheus
//! text.

use std::fmt;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the call duration histogram's buckets, in seconds: around the objectives of
/// plain calls (0.1 s) and first tokens (1 s), and up to the longest timeouts.
const CALL_SECONDS: [f64; 9] = [0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.2, 4.0, 15.0];

/// Whether something happened while other routes had just come into force.
#[derive(Debug, Clone, Copy)]
pub enum RouteChange {
    /// They had.
    Beside,
    /// They had not.
    Apart,
}

impl RouteChange {
    /// Returns [`Self::Beside`] if `is_beside`.
    #[must_use]
    pub fn of(is_beside: bool) -> Self {
        if is_beside { Self::Beside } else { Self::Apart }
    }

    /// Returns its label in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Beside => "beside",
            Self::Apart => "apart",
        }
    }
}

/// The metrics of one gateway.
pub struct GatewayMetrics {
    registry: Registry,
    calls: Counter<u64>,
    call_seconds: Histogram<f64>,
    team_tokens: Counter<u64>,
    endpoint_connections: Counter<u64>,
    endpoint_announcements: Counter<u64>,
    store_failures: Counter<u64>,
    retries: Counter<u64>,
    resumed_streams: Counter<u64>,
    cut_answers: Counter<u64>,
    closed_connections: Counter<u64>,
    _provider: SdkMeterProvider,
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("GatewayMetrics")
    }
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// If the exporter can't be built on the registry.
    pub fn new() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("verbenaturn");
        Ok(Self {
            calls: meter
                .u64_counter("verbenaturn_gateway_calls")
                .with_description("Calls by status and cause; status 0 is a cut connection.")
                .build(),
            call_seconds: meter
                .f64_histogram("verbenaturn_gateway_call_seconds")
                .with_description("Seconds from a call's arrival to its end, by route.")
                .with_boundaries(CALL_SECONDS.to_vec())
                .build(),
            team_tokens: meter
                .u64_counter("verbenaturn_gateway_team_tokens")
                .with_description(
                    "Tokens that teams asked, by standing and whether they were sent.",
                )
                .build(),
            endpoint_connections: meter
                .u64_counter("verbenaturn_gateway_endpoint_connections")
                .with_description("Connections opened to endpoints.")
                .build(),
            endpoint_announcements: meter
                .u64_counter("verbenaturn_gateway_endpoint_words")
                .with_description("Answers in which endpoints say something of themselves.")
                .build(),
            store_failures: meter
                .u64_counter("verbenaturn_gateway_store_failures")
                .with_description("Calls to the store that gave nothing.")
                .build(),
            retries: meter
                .u64_counter("verbenaturn_gateway_retries")
                .with_description("Retries that calls asked for, by service and outcome.")
                .build(),
            resumed_streams: meter
                .u64_counter("verbenaturn_gateway_resumed_streams")
                .with_description(
                    "Streams that went on, by who resumed them and how the endpoint's software \
                     compares with the one that began them.",
                )
                .build(),
            cut_answers: meter
                .u64_counter("verbenaturn_gateway_cut_answers")
                .with_description(
                    "Answers that the caller had a part of and that ended early, by cause, and by \
                     whether new routes had come into force shortly before.",
                )
                .build(),
            closed_connections: meter
                .u64_counter("verbenaturn_gateway_closed_connections")
                .with_description("Idle connections of callers that the router closed, by reason.")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a call that ended.
    pub fn call(&self, route: &str, status: u16, cause: &'static str, total: Duration) {
        let status = KeyValue::new("status", i64::from(status));
        self.calls.add(1, &[status, KeyValue::new("cause", cause)]);
        let route = KeyValue::new("route", route.to_owned());
        self.call_seconds.record(total.as_secs_f64(), &[route]);
    }

    /// Adds a generation's tokens, as they count against its team's share, to the team's series.
    /// The metrics library limits how many teams have a series of their own.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn team_tokens(&self, team: &str, standing: &'static str, was_sent: bool, tokens: f64) {
        let team = KeyValue::new("team", team.to_owned());
        let standing = KeyValue::new("standing", standing);
        let outcome = KeyValue::new("outcome", if was_sent { "sent" } else { "refused" });
        self.team_tokens
            .add(tokens as u64, &[team, standing, outcome]);
    }

    /// Counts an answer that ended early after the caller had a part of it.
    pub fn cut_answer(&self, cause: &'static str, change: RouteChange) {
        let cause = KeyValue::new("cause", cause);
        self.cut_answers
            .add(1, &[cause, KeyValue::new("change", change.label())]);
    }

    /// Counts a new connection to an endpoint.
    pub fn endpoint_connection(&self) {
        self.endpoint_connections.add(1, &[]);
    }

    /// Counts an answer in which an endpoint announces that it leaves or wants a pause.
    pub fn endpoint_announcement(&self, word: &'static str) {
        self.endpoint_announcements
            .add(1, &[KeyValue::new("word", word)]);
    }

    /// Counts a failed call to the store.
    pub fn store_failure(&self) {
        self.store_failures.add(1, &[]);
    }

    /// Counts a retry that a call asked for; `is_granted` is false if the budget was used up.
    pub fn retry(&self, service: &str, is_granted: bool) {
        let service = KeyValue::new("service", service.to_owned());
        let outcome = if is_granted { "sent" } else { "no_budget" };
        self.retries
            .add(1, &[service, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a stream that goes on at another endpoint. `resumption` is `answer` if the router
    /// resumed it within one answer and `caller` if the caller did; `software` tells whether the
    /// endpoint has the software version that began the stream.
    pub fn resumed_stream(&self, resumption: &'static str, software: &'static str) {
        let resumption = KeyValue::new("by", resumption);
        let software = KeyValue::new("software", software);
        self.resumed_streams.add(1, &[resumption, software]);
    }

    /// Counts an idle connection of a caller that the router closes.
    pub fn closed_connection(&self, reason: &'static str) {
        self.closed_connections
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// All metrics in Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(fault) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            spdlog::warn!("metrics: step=encode fault=\"{fault}\"");
        }
        text
    }
}
