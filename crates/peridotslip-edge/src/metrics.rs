//! OpenTelemetry metrics, exported in the Prometheus text format.

use std::{sync::Arc, time::Duration};

use http::{Response, StatusCode};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::{logging, reason::RejectionReason};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 13] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// The process's metrics.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    responses: Counter<u64>,
    rejections: Counter<u64>,
    shortage_rejections: Counter<u64>,
    retries: Counter<u64>,
    warmup_denials: Counter<u64>,
    second_attempts: Counter<u64>,
    cancelled_attempts: Counter<u64>,
    cancelled_prompt_tokens: Counter<u64>,
    store_calls: Counter<u64>,
    store_failures: Counter<u64>,
    origin_records: Counter<u64>,
    connections: Counter<u64>,
    closed_connections: Counter<u64>,
    refused_connections: Counter<u64>,
    evacuated_data_centres: Gauge<u64>,
    first_byte: Histogram<f64>,
    reserve_wait: Histogram<f64>,
    engine_rate: Gauge<f64>,
}

impl Metrics {
    pub(crate) fn open() -> Result<Arc<Self>, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .with_namespace("peridotslip")
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("peridotslip-edge");
        let latency = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build()
        };
        meter
            .u64_observable_gauge("log_lines_dropped")
            .with_callback(|out| out.observe(logging::dropped(), &[]))
            .build();
        Ok(Arc::new(Self {
            responses: meter.u64_counter("answers").build(),
            rejections: meter.u64_counter("refusals").build(),
            shortage_rejections: meter.u64_counter("shortage_rejections").build(),
            retries: meter.u64_counter("retries").build(),
            warmup_denials: meter.u64_counter("warmup_denials").build(),
            second_attempts: meter.u64_counter("second_attempts").build(),
            cancelled_attempts: meter.u64_counter("cancelled_attempts").build(),
            cancelled_prompt_tokens: meter.u64_counter("cancelled_prompt_tokens").build(),
            store_calls: meter.u64_counter("store_calls").build(),
            store_failures: meter.u64_counter("store_failures").build(),
            origin_records: meter.u64_counter("origin_records").build(),
            connections: meter.u64_counter("server_connections").build(),
            closed_connections: meter.u64_counter("closed_connections").build(),
            refused_connections: meter.u64_counter("refused_connections").build(),
            evacuated_data_centres: meter.u64_gauge("evacuated_data_centres").build(),
            first_byte: latency("first_byte_seconds"),
            engine_rate: meter.f64_gauge("engine_tokens_per_ms").build(),
            reserve_wait: latency("reserve_wait_seconds"),
            registry,
            _provider: provider,
        }))
    }

    pub(crate) fn record_response(&self, status: StatusCode) {
        let status = i64::from(status.as_u16());
        self.responses.add(1, &[KeyValue::new("status", status)]);
    }

    pub(crate) fn record_rejection(&self, reason: RejectionReason) {
        self.rejections
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Records a request that was rejected because a resource is short. `beyond_share`:
    /// whether its organisation had got its share.
    pub(crate) fn record_shortage(&self, resource: &'static str, priority: u8, beyond_share: bool) {
        let labels = [
            KeyValue::new("resource", resource),
            KeyValue::new("priority", i64::from(priority)),
            KeyValue::new("beyond_share", beyond_share),
        ];
        self.shortage_rejections.add(1, &labels);
    }

    pub(crate) fn record_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_warmup_denial(&self, cause: &'static str) {
        self.warmup_denials.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Records what became of a second attempt for a slow response.
    pub(crate) fn record_second_attempt(&self, event: &'static str, reason: &'static str) {
        let labels = [
            KeyValue::new("event", event),
            KeyValue::new("reason", reason),
        ];
        self.second_attempts.add(1, &labels);
    }

    /// Records an attempt that was cancelled after it had been sent, with the tokens of
    /// its prompt.
    pub(crate) fn record_cancelled(&self, reason: &'static str, prompt_tokens: u64) {
        let labels = [KeyValue::new("reason", reason)];
        self.cancelled_attempts.add(1, &labels);
        self.cancelled_prompt_tokens.add(prompt_tokens, &labels);
    }

    pub(crate) fn store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn store_failed(&self) {
        self.store_failures.add(1, &[]);
    }

    /// Records what became of origins of streams for the store.
    pub(crate) fn record_origins(&self, event: &'static str, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.origin_records
            .add(count, &[KeyValue::new("event", event)]);
    }

    pub(crate) fn record_connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Records callers' connections that are closed because others need their room.
    pub(crate) fn record_closed_connections(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.closed_connections.add(count, &[]);
    }

    /// Records a connection that was closed at once because all others are in use.
    pub(crate) fn record_refused_connection(&self) {
        self.refused_connections.add(1, &[]);
    }

    pub(crate) fn set_evacuated_data_centres(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.evacuated_data_centres.record(count, &[]);
    }

    pub(crate) fn record_first_byte(&self, elapsed: Duration) {
        self.first_byte.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the prompt tokens that an engine of a service processes in a
    /// millisecond, as learnt.
    pub(crate) fn record_engine_rate(&self, service: &str, tokens_per_ms: f64) {
        let service = service.to_owned();
        self.engine_rate
            .record(tokens_per_ms, &[KeyValue::new("service", service)]);
    }

    pub(crate) fn record_reserve_wait(&self, elapsed: Duration) {
        self.reserve_wait.record(elapsed.as_secs_f64(), &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn scrape(&self) -> Response<bytes::Bytes> {
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::error!("can't encode the metrics; the response is incomplete: {err}");
        }
        Response::new(buf.into())
    }
}
