//! Metrics, exported in Prometheus' text format on the admin listener.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::prelude::*;

/// The metrics exporter could not be set up.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("metrics: {text}")]
pub struct MetricsError {
    text: String,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, MetricsError>;

/// The daemon's metric instruments.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    /// Callers that are connected.
    pub callers: UpDownCounter<i64>,
    /// Requests by class.
    pub requests: Counter<u64>,
    /// Reads by the kind of member that served them and the reason for that choice.
    pub reads: Counter<u64>,
    /// Refused requests by code.
    pub refusals: Counter<u64>,
    /// Commits by outcome.
    pub commits: Counter<u64>,
    /// Retries by outcome.
    pub retries: Counter<u64>,
    /// Time that a request waited for a connection, in milliseconds.
    pub queue_wait_ms: Histogram<f64>,
    /// Time that a commit waited for confirmation, in milliseconds.
    pub acknowledge_wait_ms: Histogram<f64>,
    /// Promotions by outcome.
    pub promotions: Counter<u64>,
    /// Statements handled by the relay, by kind and outcome.
    pub statements: Counter<u64>,
    /// Time from a statement's arrival to its answer by kind, in milliseconds.
    pub statement_ms: Histogram<f64>,
    /// Statements that another VM forwarded through this one, by outcome.
    pub forwarded: Counter<u64>,
    /// Attempts to open connections to members, by purpose.
    pub member_connections: Counter<u64>,
    /// Probes of members by outcome.
    pub probes: Counter<u64>,
    /// Refreshes of the floor that were given up, by service.
    pub floor_timeouts: Counter<u64>,
    /// Age of the floor, the minimum position that a read must see, when the read was
    /// granted, in milliseconds.
    pub floor_age_ms: Histogram<f64>,
    /// Answers of VMs that were asked for news of the store, by outcome.
    pub news_answers: Counter<u64>,
    /// Times that the store came back from an older copy.
    pub era_changes: Counter<u64>,
    /// Age of the VM's news by table when more arrives, in milliseconds.
    pub news_age_ms: Histogram<f64>,
    /// Time by which tasks of the process run late, in milliseconds.
    pub task_lag_ms: Histogram<f64>,
    /// Calls to the store about followed tables, by table, way and outcome.
    pub store_calls: Counter<u64>,
    /// Version of the configuration in force.
    pub config_version: Gauge<u64>,
    /// Requests that waited for news of the configuration, by its certainty afterwards.
    pub config_waits: Counter<u64>,
    /// Callers that were refused because too many are connected.
    pub callers_refused: Counter<u64>,
    /// Operations of client accounts that were refused, by reason.
    pub account_refusals: Counter<u64>,
    /// Bytes transferred in calls between VMs, by direction.
    pub peer_bytes: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be set up.
    pub fn new() -> Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| MetricsError {
                text: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("foxtailknot");
        let counter = |name: &'static str| create_counter(&meter, name);
        Ok(Metrics {
            registry,
            callers: meter.i64_up_down_counter("foxtailknot_callers").build(),
            requests: counter("foxtailknot_requests"),
            reads: counter("foxtailknot_reads"),
            refusals: counter("foxtailknot_refusals"),
            commits: counter("foxtailknot_commits"),
            retries: counter("foxtailknot_retries"),
            queue_wait_ms: meter.f64_histogram("foxtailknot_queue_wait_ms").build(),
            acknowledge_wait_ms: meter
                .f64_histogram("foxtailknot_acknowledge_wait_ms")
                .build(),
            promotions: counter("foxtailknot_promotions"),
            statements: counter("foxtailknot_statements"),
            statement_ms: meter.f64_histogram("foxtailknot_statement_ms").build(),
            forwarded: counter("foxtailknot_forwarded"),
            member_connections: counter("foxtailknot_member_connections"),
            probes: counter("foxtailknot_probes"),
            floor_timeouts: counter("foxtailknot_floor_timeouts"),
            floor_age_ms: meter.f64_histogram("foxtailknot_floor_age_ms").build(),
            news_answers: counter("foxtailknot_news_answers"),
            era_changes: counter("foxtailknot_era_changes"),
            news_age_ms: meter.f64_histogram("foxtailknot_news_age_ms").build(),
            task_lag_ms: meter.f64_histogram("foxtailknot_task_lag_ms").build(),
            store_calls: counter("foxtailknot_store_calls"),
            config_version: meter.u64_gauge("foxtailknot_config_version").build(),
            config_waits: counter("foxtailknot_config_waits"),
            callers_refused: counter("foxtailknot_callers_refused"),
            account_refusals: counter("foxtailknot_account_refusals"),
            peer_bytes: counter("foxtailknot_peer_bytes"),
            _provider: provider,
        })
    }

    /// Returns all metrics in Prometheus' text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // Writing to a `Vec` does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn create_counter(meter: &Meter, name: &'static str) -> Counter<u64> {
    meter.u64_counter(name).build()
}

/// Creates a metric label with a fixed value.
pub fn label(key: &'static str, value: impl Into<&'static str>) -> KeyValue {
    KeyValue::new(key, value.into())
}

/// Creates a metric label whose value is a configured name.
pub fn name_label(key: &'static str, value: &Name) -> KeyValue {
    KeyValue::new(key, value.clone())
}
