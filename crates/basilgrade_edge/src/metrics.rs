//! Counters and latency histograms by OpenTelemetry, served in the Prometheus text format.

use basilgrade_types::clock;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider;
use prometheus::Encoder;

/// Upper bounds of the latency histograms, in milliseconds.
const BOUNDS_MS: [f64; 10] = [
    10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 2500.0, 5000.0, 10_000.0,
];

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Instruments of a daemon.
        pub struct Metrics {
            $($(#[$doc])* pub $name: Counter,)*
            /// Time from a request to the first byte of its answer.
            pub first_byte_time: Histogram,
            /// Time from a request to the end of its answer.
            pub answer_time: Histogram,
            registry: prometheus::Registry,
            // Instruments stop recording when their provider is dropped.
            _provider: opentelemetry_sdk::metrics::SdkMeterProvider,
        }

        impl Metrics {
            /// Instruments with a registry of their own.
            ///
            /// # Errors
            ///
            /// An error of the exporter, which means that two instruments have the same name.
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
    /// Requests of callers.
    requests = "requests",
    /// Answers of upstreams that were passed on whole.
    served = "served",
    /// Requests refused as not run.
    refused = "refused",
    /// Requests that failed and may have run.
    failed = "failed",
    /// Requests sent to another upstream.
    repeats = "repeats",
    /// Streams continued at another upstream.
    resumed = "resumed",
    /// Callers that left before their answer.
    callers_left = "callers_left",
    /// Calls for pieces.
    piece_calls = "piece_calls",
    /// Pieces in these calls.
    pieces = "pieces",
    /// Calls for pieces without a usable answer.
    broken_piece_calls = "piece_calls_broken",
    /// Calls to the store.
    store_calls = "store_calls",
    /// Calls to the store that failed.
    store_failures = "store_failures",
    /// Records that cannot be read.
    unreadable_records = "unreadable_records",
}

/// A number that only grows.
pub struct Counter(metrics::Counter<u64>);

impl Counter {
    /// Adds one.
    pub fn inc(&self) {
        self.add(1);
    }

    /// Adds `count`.
    pub fn add(&self, count: u64) {
        self.0.add(count, &[]);
    }
}

/// Spans by upper bound.
pub struct Histogram(metrics::Histogram<f64>);

impl Histogram {
    fn new(meter: &metrics::Meter, name: &'static str) -> Self {
        let builder = meter
            .f64_histogram(name)
            .with_boundaries(BOUNDS_MS.to_vec());
        Self(builder.build())
    }

    /// Records a span.
    pub fn record(&self, span: clock::Millis) {
        self.0.record(span.as_f64(), &[]);
    }
}

impl Metrics {
    /// The text that is served.
    ///
    /// # Errors
    ///
    /// An error of the encoder.
    pub fn render(&self) -> Result<String, String> {
        let mut text = Vec::new();
        prometheus::TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|error| error.to_string())?;
        String::from_utf8(text).map_err(|error| error.to_string())
    }
}
