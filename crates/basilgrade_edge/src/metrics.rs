//! OpenTelemetry counters and latency histograms, served in the Prometheus text format.

use basilgrade_types::clock;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider;
use prometheus::Encoder;

/// Bucket boundaries of the latency histograms, in milliseconds.
const BOUNDS_MS: [f64; 10] = [
    10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 2500.0, 5000.0, 10_000.0,
];

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Counters, gauges and histograms of a daemon.
        pub struct Metrics {
            $($(#[$doc])* pub $name: Counter,)*
            /// Version of the configuration in force.
            pub configuration_version: Gauge,
            /// Time from the arrival of a request to the first byte of the response.
            pub first_byte_time: Histogram,
            /// Time from the arrival of a request to the end of the response.
            pub answer_time: Histogram,
            registry: prometheus::Registry,
            // Kept alive, as instruments stop recording when their provider is dropped.
            _provider: opentelemetry_sdk::metrics::SdkMeterProvider,
        }

        impl Metrics {
            /// Creates all instruments with a new registry.
            ///
            /// # Errors
            ///
            /// A message of the exporter, for example if two instruments have the same name.
            pub fn new() -> Result<Self, String> {
                let registry = prometheus::Registry::new();
                let exporter = opentelemetry_prometheus::exporter()
                    .with_registry(registry.clone())
                    .build()
                    .map_err(|error| error.to_string())?;
                let provider = opentelemetry_sdk::metrics::SdkMeterProvider::builder()
                    .with_reader(exporter)
                    .build();
                let meter = provider.meter("basilgrade");
                Ok(Self {
                    $($name: Counter(meter.u64_counter(concat!("basilgrade_", $text)).build()),)*
                    configuration_version: Gauge(
                        meter.u64_gauge("basilgrade_configuration_version").build(),
                    ),
                    first_byte_time: Histogram::new(&meter, "basilgrade_first_byte_ms"),
                    answer_time: Histogram::new(&meter, "basilgrade_answer_ms"),
                    registry,
                    _provider: provider,
                })
            }
        }
    };
}

counters! {
    /// Requests received from callers.
    requests = "requests",
    /// Answers of upstreams that were relayed completely to the caller.
    served = "served",
    /// Requests that did not run and were answered with an error.
    refused = "refused",
    /// Requests refused because a part of their prompt crashes engines.
    blocked = "blocked",
    /// Requests refused because they exceed the memory of an engine.
    oversized = "oversized",
    /// Selections of an engine for a request that none had memory for.
    memory_holds = "memory_holds",
    /// New requests refused in favour of more urgent ones.
    refused_for_urgent = "refused_for_urgent",
    /// Requests that had been refused before, by the time that they have left.
    retried_requests = "retried_requests",
    /// Stages that were not begun, as their requests could no longer be served.
    dropped_stages = "dropped_stages",
    /// Changes of the limits on the rate of requests that upstreams name.
    limit_changes = "limit_changes",
    /// Silences of upstreams after which another upstream was sought.
    silences = "silences",
    /// Permits for requests to upstreams that name a limit.
    permits = "permits",
    /// Asks for such a permit that were denied.
    denied_permits = "denied_permits",
    /// Times that an upstream was found to be cold.
    cold_upstreams = "cold_upstreams",
    /// Upstreams that announced in an answer that they are leaving.
    leaving_notices = "leaving_notices",
    /// Times that an upstream asked for no requests for a while.
    pauses = "pauses",
    /// Requests that may have run and were answered with an error, and streams that failed.
    failed = "failed",
    /// Connections to upstreams that were opened through another daemon.
    tunnels = "tunnels",
    /// Connections to upstreams that were opened for another daemon.
    forwarded = "forwarded",
    /// Retries of requests at another upstream.
    repeats = "repeats",
    /// Batches of copies of streams that a daemon did not take.
    failed_copies = "copies_failed",
    /// Load reports sent to other daemons.
    load_reports = "load_reports",
    /// Load reports that a daemon did not take.
    failed_load_reports = "load_reports_failed",
    /// Streams taken up whose software version another daemon knew.
    found_copies = "copies_found",
    /// Streams resumed at another upstream.
    resumed = "resumed",
    /// Streams whose caller disconnected before the end.
    callers_left = "callers_left",
    /// Batch calls to upstreams that compute stage pieces.
    piece_calls = "piece_calls",
    /// Stage pieces in all batch calls to upstreams.
    pieces = "pieces",
    /// Dispatches of queues in which jobs did not all fit before their targets.
    queue_overloads = "queue_overloads",
    /// Dispatches of queues in which customers took turns.
    queue_turns = "queue_turns",
    /// Jobs that were kept from slow upstreams.
    kept_jobs = "kept_jobs",
    /// Jobs ended without a call, as they could not end in time.
    dropped_jobs = "dropped_jobs",
    /// Batch calls for stage pieces without a usable answer.
    broken_piece_calls = "piece_calls_broken",
    /// Answers of upstreams that were given up because those held at once exceeded their limit.
    given_up_answers = "answers_given_up",
    /// Requests that were given up because bodies exceeded their limit and the upstream read slowly.
    given_up_uploads = "uploads_given_up",
    /// Calls to the platform's store.
    store_calls = "store_calls",
    /// Calls to the platform's store that failed.
    store_failures = "store_failures",
    /// Store records that cannot be decoded.
    unreadable_records = "unreadable_records",
    /// Entries of configurations taken over that were left out, as they are unreadable.
    unreadable_entries = "configuration_entries_unreadable",
}

/// Monotonic counter.
#[derive(Clone, Debug)]
pub struct Counter(metrics::Counter<u64>);

impl Counter {
    pub fn inc(&self) {
        self.add(1);
    }

    pub fn add(&self, count: u64) {
        self.0.add(count, &[]);
    }
}

/// Value that can go up and down.
#[derive(Clone, Debug)]
pub struct Gauge(metrics::Gauge<u64>);

impl Gauge {
    pub fn set(&self, value: u64) {
        self.0.record(value, &[]);
    }
}

/// Histogram of durations in milliseconds.
pub struct Histogram(metrics::Histogram<f64>);

impl Histogram {
    fn new(meter: &metrics::Meter, name: &'static str) -> Self {
        let builder = meter
            .f64_histogram(name)
            .with_boundaries(BOUNDS_MS.to_vec());
        Self(builder.build())
    }

    pub fn record(&self, span: clock::Millis) {
        self.0.record(span.as_f64(), &[]);
    }
}

impl Metrics {
    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// A message of the encoder.
    pub fn render(&self) -> Result<String, String> {
        let mut text = Vec::new();
        prometheus::TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|error| error.to_string())?;
        String::from_utf8(text).map_err(|error| error.to_string())
    }
}
