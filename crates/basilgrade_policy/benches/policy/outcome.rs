//! Figures of a simulation run.

use std::collections::BTreeMap;

use crate::scenario;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The request was answered, possibly degraded, before its deadline.
    Met,
    /// The deadline passed before the answer was complete.
    Missed,
    /// The request was refused and has not run.
    Refused,
    /// An upstream failed and no retry was possible.
    Failed,
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedRequest {
    pub(crate) arrival: f64,
    pub(crate) customer: usize,
    pub(crate) pipeline: usize,
    /// Number of stages that finished.
    pub(crate) stages: usize,
    pub(crate) end: End,
    pub(crate) degraded: bool,
    /// Whether a call that must not be repeated may have run without an answer to the request.
    pub(crate) uncertain: bool,
    /// Whether the pipeline of the request uses the engines.
    pub(crate) engines: bool,
}

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) ended: Vec<EndedRequest>,
    /// Stages that finished during the measured part of the run.
    pub(crate) stages: u64,
    /// Calls sent during the measured part of the run.
    pub(crate) calls: u64,
    /// Retries and hedges among the calls sent.
    pub(crate) extra: u64,
    /// Price of calls and traffic, in millionths of the currency.
    pub(crate) price: f64,
    /// Bytes sent between regions.
    pub(crate) billed: f64,
    /// Prompt tokens of all started calls, and the cached tokens among them.
    pub(crate) tokens: (f64, f64),
    /// Engine calls that finished during the measured part of the run.
    pub(crate) generated: u64,
}

/// Figures of one run, or the means over several runs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Figures {
    /// Share of the requests that met their deadline with a full or degraded answer.
    pub(crate) attainment: f64,
    /// Attainment of all customers except the one that exceeds its share.
    pub(crate) others: f64,
    /// Requests per second that met their deadline.
    pub(crate) goodput: f64,
    /// Price per stage, in millionths of the currency.
    pub(crate) cost: f64,
    /// MiB between regions per 1,000 requests that met their deadline.
    pub(crate) billed: f64,
    pub(crate) refused: f64,
    pub(crate) degraded: f64,
    /// Share of the requests for which the client cannot know whether a call has run.
    pub(crate) uncertain: f64,
    /// Requests per second that met their deadline, among the pipelines that use the engines.
    pub(crate) generated: f64,
    /// Ratio of all calls sent to first calls.
    pub(crate) amplification: f64,
    /// Share of the prompt tokens that were cached.
    pub(crate) hits: f64,
    /// Jain's fairness index of the attainments of the customers.
    pub(crate) jain: f64,
    /// Seconds from the end of the fault to the end of the last second below [`MIN_ATTAINMENT`].
    pub(crate) recovery: f64,
}

/// Attainment that one second of a run has to reach to count as recovered.
const MIN_ATTAINMENT: f64 = 0.95;

impl Outcome {
    pub(crate) fn figures(&self, customers: usize) -> Figures {
        let measured: Vec<_> = self
            .ended
            .iter()
            .filter(|ended| ended.arrival >= scenario::WARM_UP_MS)
            .collect();
        let fraction = |test: &dyn Fn(&EndedRequest) -> bool,
                        among: &dyn Fn(&EndedRequest) -> bool| {
            let among: Vec<_> = measured.iter().filter(|ended| among(ended)).collect();
            let found = among.iter().filter(|ended| test(ended)).count();
            found as f64 / (among.len() as f64).max(1.0)
        };
        let met = |ended: &EndedRequest| ended.end == End::Met;
        let count = measured.iter().filter(|ended| met(ended)).count() as f64;
        let attainments: Vec<f64> = (0..customers)
            .map(|customer| fraction(&met, &|ended| ended.customer == customer))
            .collect();
        let sum: f64 = attainments.iter().sum();
        let squares: f64 = attainments
            .iter()
            .map(|attainment| attainment * attainment)
            .sum();
        Figures {
            attainment: fraction(&met, &|_| true),
            others: fraction(&met, &|ended| ended.customer != 1),
            goodput: count * 1000.0 / (scenario::ARRIVALS_END_MS - scenario::WARM_UP_MS),
            cost: self.price / (self.stages as f64).max(1.0),
            billed: self.billed / f64::from(1 << 20) * 1000.0 / count.max(1.0),
            refused: fraction(&|ended| ended.end == End::Refused, &|_| true),
            uncertain: fraction(&|ended| ended.uncertain, &|_| true),
            generated: measured
                .iter()
                .filter(|ended| ended.engines && met(ended))
                .count() as f64
                * 1000.0
                / (scenario::ARRIVALS_END_MS - scenario::WARM_UP_MS),
            degraded: fraction(&|ended| ended.degraded, &|_| true),
            amplification: self.calls as f64 / (self.calls - self.extra).max(1) as f64,
            hits: self.tokens.1 / self.tokens.0.max(1.0),
            jain: sum * sum / (customers as f64 * squares).max(1e-9),
            recovery: self.recovery(),
        }
    }

    /// Numbers of requests of `pipeline` by how the requests ended and how many stages finished.
    pub(crate) fn trace(&self, pipeline: usize) -> String {
        let mut counts = BTreeMap::new();
        for ended in &self.ended {
            if ended.arrival >= scenario::WARM_UP_MS && ended.pipeline == pipeline {
                *counts
                    .entry((format!("{:?}", ended.end), ended.stages))
                    .or_insert(0) += 1;
            }
        }
        format!("{counts:?}")
    }

    fn recovery(&self) -> f64 {
        let seconds = ((scenario::ARRIVALS_END_MS - scenario::FAULT_END_MS) / 1000.0) as usize;
        let mut counts = vec![(0.0, 0.0); seconds];
        for ended in &self.ended {
            if ended.arrival < scenario::FAULT_END_MS {
                continue;
            }
            let second = ((ended.arrival - scenario::FAULT_END_MS) / 1000.0) as usize;
            let Some(count) = counts.get_mut(second) else {
                continue;
            };
            count.0 += 1.0;
            if ended.end == End::Met {
                count.1 += 1.0;
            }
        }
        let is_below_minimum = |count: &(f64, f64)| count.1 < MIN_ATTAINMENT * count.0;
        counts
            .iter()
            .rposition(is_below_minimum)
            .map_or(0.0, |last| last as f64 + 1.0)
    }
}

impl Figures {
    /// Figures in the order of [`COLUMNS`].
    pub(crate) fn columns(&self) -> [f64; 13] {
        [
            self.attainment,
            self.others,
            self.goodput,
            self.generated,
            self.cost,
            self.billed,
            self.refused,
            self.degraded,
            self.uncertain,
            self.amplification,
            self.hits,
            self.jain,
            self.recovery,
        ]
    }

    /// Means of the figures of several runs.
    pub(crate) fn mean(runs: &[Self]) -> Self {
        let mean = |field: fn(&Self) -> f64| {
            runs.iter().map(field).sum::<f64>() / runs.len().max(1) as f64
        };
        Self {
            attainment: mean(|run| run.attainment),
            others: mean(|run| run.others),
            goodput: mean(|run| run.goodput),
            cost: mean(|run| run.cost),
            billed: mean(|run| run.billed),
            refused: mean(|run| run.refused),
            degraded: mean(|run| run.degraded),
            uncertain: mean(|run| run.uncertain),
            generated: mean(|run| run.generated),
            amplification: mean(|run| run.amplification),
            hits: mean(|run| run.hits),
            jain: mean(|run| run.jain),
            recovery: mean(|run| run.recovery),
        }
    }
}

/// Column headings of the tables.
pub(crate) const COLUMNS: [&str; 13] = [
    "attain", "others", "goodput", "engines", "cost", "billed", "refused", "degraded", "unsure",
    "amplify", "hits", "jain", "recover",
];
