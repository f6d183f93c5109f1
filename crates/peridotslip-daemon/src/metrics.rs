//! OpenTelemetry metrics, scraped in the Prometheus text format.

use std::sync::atomic::{AtomicU64, Ordering};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use peridotslip::prelude::*;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 13] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// A metric whose current value is read on each scrape.
#[derive(Debug, Default)]
pub(crate) struct Gauge(AtomicU64);

impl Gauge {
    pub(crate) fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    pub(crate) fn add(&self, value: u64) {
        self.0.fetch_add(value, Ordering::Relaxed);
    }

    pub(crate) fn sub(&self, value: u64) {
        self.0.fetch_sub(value, Ordering::Relaxed);
    }

    pub(crate) fn value(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! gauges {
    ($($(#[$doc:meta])* $name:ident => $metric:literal;)*) => {
        /// All gauges of the process.
        #[derive(Debug, Default)]
        pub(crate) struct Gauges {
            $($(#[$doc])* pub(crate) $name: Gauge,)*
        }

        impl Gauges {
            fn register(self: &std::sync::Arc<Self>, meter: &Meter) {
                $({
                    let gauges = self.clone();
                    meter
                        .u64_observable_gauge($metric)
                        .with_callback(move |out| out.observe(gauges.$name.value(), &[]))
                        .build();
                })*
            }
        }
    };
}

gauges! {
    /// Active revision of the tables.
    revision => "config_revision";
    /// When the store or a peer last confirmed the tables, in milliseconds
    /// since the epoch.
    config_confirmed_ms => "config_confirmed_ms";
    /// Open requests.
    open_requests => "open_requests";
    /// Tokens reserved for running requests.
    reserved_tokens => "reserved_tokens";
    /// Settlements that the store has not confirmed.
    unconfirmed_settlements => "unconfirmed_settlements";
    /// Tokens settled or granted beyond the paid amount, in records that this
    /// router wrote.
    overspend_tokens => "budget_overspend_tokens";
    /// Tokens granted to routers that the VM list no longer contains.
    in_doubt_tokens => "in_doubt_tokens";
    /// Routers believed to be live, including this one.
    live_members => "live_members";
    /// Bytes of responses retained for replay.
    replay_bytes => "replay_bytes";
}

/// All metric instruments of the process.
pub(crate) struct Metrics {
    registry: Registry,
    /// Held because dropping the provider shuts the instruments down.
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    requests: Counter<u64>,
    billed_tokens: Counter<u64>,
    store_calls: Counter<u64>,
    events: Counter<u64>,
    first_byte: Histogram<f64>,
    settle_wait: Histogram<f64>,
    pub(crate) gauges: std::sync::Arc<Gauges>,
}

impl Metrics {
    /// Creates the instruments, with every refusal and retry reason at 0.
    pub(crate) fn open() -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .with_namespace("peridotslip")
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("peridotslipd");
        let gauges = std::sync::Arc::new(Gauges::default());
        gauges.register(&meter);
        let latency = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build()
        };
        let metrics = Self {
            refusals: meter.u64_counter("refusals").build(),
            retries: meter.u64_counter("retries").build(),
            requests: meter.u64_counter("requests").build(),
            billed_tokens: meter.u64_counter("billed_tokens").build(),
            store_calls: meter.u64_counter("store_calls").build(),
            events: meter.u64_counter("events").build(),
            first_byte: latency("first_byte_seconds"),
            settle_wait: latency("settle_wait_seconds"),
            registry,
            _provider: provider,
            gauges,
        };
        for refusal in Refusal::ALL {
            metrics.refusals.add(0, &reason_label(refusal.as_str()));
        }
        for retry in RetryReason::ALL {
            metrics.retries.add(0, &reason_label(retry.as_str()));
        }
        Ok(metrics)
    }

    pub(crate) fn refused(&self, refusal: Refusal) {
        self.refusals.add(1, &reason_label(refusal.as_str()));
    }

    pub(crate) fn retried(&self, retry: RetryReason) {
        self.retries.add(1, &reason_label(retry.as_str()));
    }

    pub(crate) fn request_finished(&self, pool: &PoolName, outcome: &'static str) {
        let labels = [
            KeyValue::new("pool", pool.to_string()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    pub(crate) fn billed(&self, pool: &PoolName, tokens: u64) {
        let labels = [KeyValue::new("pool", pool.to_string())];
        self.billed_tokens.add(tokens, &labels);
    }

    pub(crate) fn store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Adds `count` to the counter of the named event. Events are rare
    /// occurrences of interest to operators.
    pub(crate) fn event(&self, name: &'static str, count: u64) {
        self.events.add(count, &[KeyValue::new("event", name)]);
    }

    pub(crate) fn first_byte(&self, elapsed: std::time::Duration) {
        self.first_byte.record(elapsed.as_secs_f64(), &[]);
    }

    pub(crate) fn settle_wait(&self, elapsed: std::time::Duration) {
        self.settle_wait.record(elapsed.as_secs_f64(), &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn scrape(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::error!("failed to encode the metrics: {err}");
        }
        buf
    }
}

fn reason_label(reason: &'static str) -> [KeyValue; 1] {
    [KeyValue::new("reason", reason)]
}
