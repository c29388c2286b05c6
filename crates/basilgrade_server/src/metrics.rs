//! OpenTelemetry metrics, served for scraping in the Prometheus text format.

use std::sync;

use basilgrade_peer::traffic;
use basilgrade_types::id;
use basilgrade_types::verdict;
use basilgrade_upstream::client;
use compact_str::CompactString;
use indexmap::IndexMap;
use opentelemetry::KeyValue;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider;
use prometheus::Encoder;

use crate::caller::failure;

/// Metric instruments of one daemon.
pub struct Metrics {
    registry: prometheus::Registry,
    // Instruments stop recording when their provider is dropped.
    _provider: opentelemetry_sdk::metrics::SdkMeterProvider,
    requests: metrics::Counter<u64>,
    attained: metrics::Counter<u64>,
    refusals: metrics::Counter<u64>,
    retries: metrics::Counter<u64>,
    cost: metrics::Counter<f64>,
    billed: metrics::Counter<u64>,
    revision: metrics::Gauge<u64>,
    active: metrics::Gauge<u64>,
    duration: metrics::Histogram<f64>,
    meter: metrics::Meter,
}

/// Whether a request met its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attainment {
    /// A complete response was produced in time, or the stream of a streamed response was started.
    Attained,
    /// The request failed, which includes a deadline that passed.
    Missed,
}

impl Metrics {
    /// Creates the instruments with their own registry.
    ///
    /// # Errors
    ///
    /// Returns the error of the exporter, which fails if two instruments have the same name.
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
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        Ok(Self {
            registry,
            requests: counter("basilgrade_requests", "Requests by target and verdict"),
            attained: counter("basilgrade_deadlines", "Requests by target and attainment"),
            refusals: counter("basilgrade_refusals", "Failed requests, by reason"),
            retries: counter("basilgrade_retries", "Attempts beyond the first, by stage"),
            cost: meter
                .f64_counter("basilgrade_stage_cost")
                .with_description("Price paid by stage, in millionths of the currency")
                .build(),
            billed: counter(
                "basilgrade_billed_bytes",
                "Bytes sent to and received from upstreams in other regions",
            ),
            revision: gauge("basilgrade_revision", "Configuration revision in force"),
            active: gauge("basilgrade_active_requests", "Requests in progress"),
            duration: meter
                .f64_histogram("basilgrade_request_duration_ms")
                .with_description("Time from request head to response, in milliseconds")
                .build(),
            meter: meter.clone(),
            _provider: provider,
        })
    }

    /// Records a finished request and its duration.
    pub fn request(
        &self,
        target: &str,
        verdict: verdict::Verdict,
        attainment: Attainment,
        millis: f64,
    ) {
        let target = KeyValue::new("target", target.to_owned());
        let state = match attainment {
            Attainment::Attained => "attained",
            Attainment::Missed => "missed",
        };
        self.requests.add(
            1,
            &[target.clone(), KeyValue::new("verdict", verdict.as_str())],
        );
        self.attained
            .add(1, &[target.clone(), KeyValue::new("state", state)]);
        self.duration.record(millis, &[target]);
    }

    /// Counts a failed request by the label of its failure.
    pub fn refusal(&self, failure: &failure::Failure) {
        self.refusals
            .add(1, &[KeyValue::new("reason", failure.label())]);
    }

    /// Counts a retry, which is every attempt after the first.
    pub fn retry(&self, stage: &id::StageId) {
        self.retries
            .add(1, &[KeyValue::new("stage", stage.to_string())]);
    }

    /// Exports the client's counters of responses and bytes that it dropped.
    pub fn observe_client(&self, client: client::HttpUpstream) {
        let report = move |observer: &dyn metrics::AsyncInstrument<u64>| {
            let counters = client.counters();
            for (reason, count) in [
                ("foreign-answer", counters.mismatches),
                ("late-answer", counters.timeouts),
                ("repeated-token", counters.tokens_repeated),
                ("unexpected-bytes", counters.unexpected_bytes),
            ] {
                observer.observe(count, &[KeyValue::new("reason", reason)]);
            }
        };
        // The meter owns the counter, so its handle is not kept.
        self.meter
            .u64_observable_counter("basilgrade_dropped_answers")
            .with_description("Responses dropped as late, duplicate or meant for another call")
            .with_callback(report)
            .build();
    }

    /// Exports the bytes sent to and received from other daemons.
    pub fn observe_traffic(&self, traffic: sync::Arc<traffic::Traffic>) {
        let report = move |observer: &dyn metrics::AsyncInstrument<u64>| {
            observer.observe(traffic.sent(), &[KeyValue::new("direction", "sent")]);
            observer.observe(
                traffic.received(),
                &[KeyValue::new("direction", "received")],
            );
        };
        self.meter
            .u64_observable_counter("basilgrade_peer_bytes")
            .with_description("Bytes on links between daemons, by direction")
            .with_callback(report)
            .build();
    }

    /// Adds the price of a call and the bytes it transferred between regions.
    pub fn stage_cost(&self, stage: &id::StageId, price: f64, billed: u64) {
        let stage = KeyValue::new("stage", stage.to_string());
        self.cost.add(price, std::slice::from_ref(&stage));
        self.billed.add(billed, &[stage]);
    }

    /// Sets the configuration revision in force.
    pub fn revision(&self, revision: basilgrade_types::revision::Revision) {
        self.revision.record(revision.0, &[]);
    }

    /// All counters by name, each summed over its labels.
    pub fn counters(&self) -> IndexMap<CompactString, u64> {
        let families = self.registry.gather();
        let counters = families
            .iter()
            .filter(|family| family.get_field_type() == prometheus::proto::MetricType::COUNTER);
        counters
            .map(|family| {
                let values = family.get_metric().iter();
                let sum: f64 = values.map(|metric| metric.get_counter().get_value()).sum();
                (CompactString::new(family.name()), sum as u64)
            })
            .collect()
    }

    /// Renders all metrics as Prometheus text; `active` is the number of requests in progress.
    pub fn render(&self, active: usize) -> Vec<u8> {
        self.active.record(active as u64, &[]);
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = prometheus::TextEncoder::new().encode(&families, &mut text) {
            log::error!("event=metrics-failed error={:?}", error.to_string());
        }
        text
    }
}
