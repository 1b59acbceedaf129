//! Metrics, exported by `opentelemetry` as Prometheus text.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::report::answers::AnswerVerdict;
use crate::units::KindName;
use crate::units::TeamName;

use super::status::PoolStatus;
use super::status::RouterStatus;

type SharedStatus = Arc<Mutex<Option<RouterStatus>>>;

/// The metrics of one router.
///
/// Only the metrics of answers have teams and kinds as labels. Beyond 2,000 pairs the library
/// counts the rest under `otel_metric_overflow`, which bounds the memory on a large site.
pub struct RouterMetrics {
    registry: Registry,
    status: SharedStatus,
    answers: Counter<u64>,
    answer_seconds: Histogram<f64>,
    _provider: SdkMeterProvider,
}

impl fmt::Debug for RouterMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("RouterMetrics")
    }
}

impl RouterMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// If the exporter refuses its registry.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("verbenaturn");
        let status = SharedStatus::default();
        observe_router(&meter, &status);
        observe_pools(&meter, &status);
        observe_traffic(&meter, &status);
        Ok(Self {
            registry,
            answers: meter
                .u64_counter("verbenaturn_answers")
                .with_description("Answers by team, kind and verdict.")
                .build(),
            answer_seconds: meter
                .f64_histogram("verbenaturn_answer_seconds")
                .with_description("Seconds from a request's arrival to the end of its answer.")
                .with_boundaries(vec![
                    0.005, 0.02, 0.1, 0.33, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0,
                ])
                .build(),
            status,
            _provider: provider,
        })
    }

    /// Counts an answer that took `seconds` from the request's arrival.
    pub fn answer(&self, team: &TeamName, kind: &KindName, verdict: AnswerVerdict, seconds: f64) {
        let verdict = match verdict {
            AnswerVerdict::Good => "good",
            AnswerVerdict::Late => "late",
            AnswerVerdict::Failed => "failed",
            AnswerVerdict::Refused => "refused",
        };
        let kind = KeyValue::new("kind", kind.as_str().to_owned());
        let team = KeyValue::new("team", team.as_str().to_owned());
        let verdict = KeyValue::new("verdict", verdict);
        self.answer_seconds
            .record(seconds, &[kind.clone(), verdict.clone()]);
        self.answers.add(1, &[team, kind, verdict]);
    }

    /// Returns all metrics as text, with `status` as the current state of the router.
    ///
    /// # Errors
    /// If a metric can't be encoded as text.
    pub fn text(&self, status: RouterStatus) -> Result<String, prometheus::Error> {
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = Some(status);
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

fn with_status(status: &SharedStatus, observe: impl FnOnce(&RouterStatus)) {
    let status = status.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(status) = status.as_ref() {
        observe(status);
    }
}

/// Registers a gauge of one value of the router's status.
fn gauge(
    meter: &Meter,
    status: &SharedStatus,
    name: &'static str,
    description: &'static str,
    read: fn(&RouterStatus) -> u64,
) {
    let status = Arc::clone(status);
    meter
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |observer| {
            with_status(&status, |status| observer.observe(read(status), &[]));
        })
        .build();
}

fn observe_router(meter: &Meter, status: &SharedStatus) {
    gauge(
        meter,
        status,
        "verbenaturn_ready",
        "1 if the balancer shall send requests.",
        |status| u64::from(status.readiness.ready),
    );
    gauge(
        meter,
        status,
        "verbenaturn_publication_revision",
        "Revision of the publication in force.",
        |status| status.publication.revision,
    );
    gauge(
        meter,
        status,
        "verbenaturn_publication_refused",
        "1 while a newer publication is refused for its faults.",
        |status| u64::from(status.publication.refused.is_some()),
    );
    gauge(
        meter,
        status,
        "verbenaturn_source_failing",
        "1 while the configuration service or the host list fails.",
        |status| {
            let publication = &status.publication;
            u64::from(publication.source_fault.is_some() || publication.hosts_fault.is_some())
        },
    );
    gauge(
        meter,
        status,
        "verbenaturn_waiting",
        "Requests that came in here and wait.",
        |status| status.waiting,
    );
    gauge(
        meter,
        status,
        "verbenaturn_running",
        "Requests that came in here and run.",
        |status| status.running,
    );
    gauge(
        meter,
        status,
        "verbenaturn_members_connected",
        "Routers with an open connection, this one included.",
        |status| {
            let connected = status.members.iter().filter(|member| member.connected);
            connected.count() as u64
        },
    );
}

/// Registers a gauge with one value per pool; pools without a value are left out.
fn pool_gauge(
    meter: &Meter,
    status: &SharedStatus,
    name: &'static str,
    description: &'static str,
    read: fn(&PoolStatus) -> Option<u64>,
) {
    let status = Arc::clone(status);
    meter
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |observer| {
            with_status(&status, |status| {
                for pool in &status.pools {
                    if let Some(value) = read(pool) {
                        let label = KeyValue::new("pool", pool.name.as_str().to_owned());
                        observer.observe(value, &[label]);
                    }
                }
            });
        })
        .build();
}

fn observe_pools(meter: &Meter, status: &SharedStatus) {
    pool_gauge(
        meter,
        status,
        "verbenaturn_pool_waiting",
        "Requests of the pool that wait at this router.",
        |pool| Some(u64::from(pool.waiting)),
    );
    pool_gauge(
        meter,
        status,
        "verbenaturn_pool_slots_held",
        "Slots of the pool leased to this router.",
        |pool| Some(u64::from(pool.held)),
    );
    pool_gauge(
        meter,
        status,
        "verbenaturn_pool_fleet_slots",
        "Slots of the pool in the fleet, told by its owner.",
        |pool| pool.fleet.map(|fleet| u64::from(fleet.slots)),
    );
    pool_gauge(
        meter,
        status,
        "verbenaturn_pool_fleet_running",
        "Requests of the pool that run in the fleet, told by its owner.",
        |pool| pool.fleet.map(|fleet| u64::from(fleet.running)),
    );
    pool_gauge(
        meter,
        status,
        "verbenaturn_pool_fleet_waiting",
        "Requests of the pool that wait in the fleet, told by its owner.",
        |pool| pool.fleet.map(|fleet| u64::from(fleet.waiting)),
    );
    pool_gauge(
        meter,
        status,
        "verbenaturn_pool_fleet_gap_units",
        "Fairness gap between backlogged teams in service units, told by the pool's owner.",
        |pool| pool.fleet.map(|fleet| fleet.gap_units),
    );
}

fn observe_traffic(meter: &Meter, status: &SharedStatus) {
    let status = Arc::clone(status);
    meter
        .u64_observable_counter("verbenaturn_peer_bytes")
        .with_description("Bytes between routers, by what they are for.")
        .with_callback(move |observer| {
            with_status(&status, |status| {
                for (label, traffic) in &status.traffic {
                    let labels = |direction: &'static str| {
                        [
                            KeyValue::new("for", label.to_string()),
                            KeyValue::new("control", traffic.control),
                            KeyValue::new("direction", direction),
                        ]
                    };
                    observer.observe(traffic.sent, &labels("sent"));
                    observer.observe(traffic.received, &labels("received"));
                }
            });
        })
        .build();
}
