//! Counters and latency histograms in the Prometheus text format.

use std::fmt::Write as _;
use std::sync::atomic;

use basilgrade_types::clock;

/// Upper bounds of the latency histogram, in milliseconds.
const BOUNDS: [u64; 10] = [10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000];

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Counters of a daemon.
        #[derive(Debug, Default)]
        pub struct Metrics {
            $($(#[$doc])* pub $name: Counter,)*
            /// Time from a request to the first byte of its answer.
            pub first: Histogram,
            /// Time from a request to the end of its answer.
            pub whole: Histogram,
        }

        impl Metrics {
            /// The text that is served.
            pub fn render(&self) -> String {
                let mut text = String::new();
                $(let _ = writeln!(text, concat!("basilgrade_", $text, " {}"), self.$name.get());)*
                self.first.render("first_byte", &mut text);
                self.whole.render("answer", &mut text);
                text
            }
        }
    };
}

counters! {
    /// Requests of callers.
    requests = "requests_total",
    /// Answers of upstreams that were passed on whole.
    served = "served_total",
    /// Requests refused as not run.
    refused = "refused_total",
    /// Requests that failed and may have run.
    failed = "failed_total",
    /// Requests sent to another upstream.
    repeats = "repeats_total",
    /// Streams continued at another upstream.
    resumed = "resumed_total",
    /// Callers that left before their answer.
    left = "callers_left_total",
    /// Calls for pieces.
    calls = "piece_calls_total",
    /// Pieces in these calls.
    pieces = "pieces_total",
    /// Calls for pieces without a usable answer.
    broken_calls = "piece_calls_broken_total",
    /// Calls to the store.
    store_calls = "store_calls_total",
    /// Calls to the store that failed.
    store_failures = "store_failures_total",
    /// Records that cannot be read.
    unreadable = "unreadable_records_total",
}

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Counter(atomic::AtomicU64);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.add_many(1);
    }

    /// Adds `count`.
    pub fn add_many(&self, count: u64) {
        self.0.fetch_add(count, atomic::Ordering::Relaxed);
    }

    /// The number.
    pub fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// Spans by upper bound.
#[derive(Debug, Default)]
pub struct Histogram {
    buckets: [Counter; BOUNDS.len()],
    count: Counter,
    sum: Counter,
}

impl Histogram {
    /// Records a span.
    pub fn record(&self, span: clock::Millis) {
        for (bound, bucket) in BOUNDS.iter().zip(&self.buckets) {
            if span.0 <= *bound {
                bucket.add();
            }
        }
        self.count.add();
        self.sum.add_many(span.0);
    }

    fn render(&self, name: &str, text: &mut String) {
        for (bound, bucket) in BOUNDS.iter().zip(&self.buckets) {
            let count = bucket.get();
            let _ = writeln!(
                text,
                "basilgrade_{name}_ms_bucket{{le=\"{bound}\"}} {count}"
            );
        }
        let count = self.count.get();
        let _ = writeln!(text, "basilgrade_{name}_ms_bucket{{le=\"+Inf\"}} {count}");
        let _ = writeln!(text, "basilgrade_{name}_ms_sum {}", self.sum.get());
        let _ = writeln!(text, "basilgrade_{name}_ms_count {count}");
    }
}
