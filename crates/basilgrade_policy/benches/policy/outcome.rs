//! Figures of one run.

use std::collections::BTreeMap;

use crate::scenario;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// A whole answer before the deadline.
    Met,
    /// The deadline passed first.
    Missed,
    /// Refused as not run.
    Refused,
    /// An upstream failed and no retry was left.
    Failed,
}

/// A request that ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    pub(crate) arrival: f64,
    pub(crate) customer: usize,
    pub(crate) pipeline: usize,
    /// Stages finished.
    pub(crate) stages: usize,
    pub(crate) end: End,
    pub(crate) degraded: bool,
    /// Whether a call that must not be repeated may have run without an answer.
    pub(crate) unsure: bool,
    /// Whether the pipeline uses the engines.
    pub(crate) engines: bool,
}

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) ended: Vec<Ended>,
    /// Stages finished in the measured part.
    pub(crate) stages: u64,
    /// Calls sent, and those of them that were retries or hedges.
    pub(crate) calls: u64,
    pub(crate) extra: u64,
    /// Price of calls and traffic, in millionths of the currency.
    pub(crate) price: f64,
    /// Bytes between regions.
    pub(crate) billed: f64,
    /// Prompt tokens started, and those of them that were cached.
    pub(crate) tokens: (f64, f64),
    /// Engine calls finished in the measured part.
    pub(crate) generated: u64,
}

/// Figures of a run, or means of the figures of several.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) attainment: f64,
    /// Attainment of all customers but the greedy one.
    pub(crate) others: f64,
    /// Requests met per second.
    pub(crate) goodput: f64,
    /// Price per stage in millionths of the currency.
    pub(crate) cost: f64,
    /// MiB between regions per 1,000 requests met.
    pub(crate) billed: f64,
    pub(crate) refused: f64,
    pub(crate) degraded: f64,
    /// Requests whose caller cannot know whether they ran.
    pub(crate) unsure: f64,
    /// Requests met per second of the pipelines that use the engines.
    pub(crate) generated: f64,
    /// Calls sent per call needed.
    pub(crate) amplification: f64,
    pub(crate) hits: f64,
    pub(crate) jain: f64,
    /// Seconds from the end of the fault to the last bad second.
    pub(crate) recovery: f64,
}

/// A second with less attainment than this is a bad one.
const BAD: f64 = 0.95;

impl Outcome {
    pub(crate) fn figures(&self, customers: usize) -> Figures {
        let measured: Vec<_> = self
            .ended
            .iter()
            .filter(|ended| ended.arrival >= scenario::WARM)
            .collect();
        let share = |test: &dyn Fn(&Ended) -> bool, among: &dyn Fn(&Ended) -> bool| {
            let among: Vec<_> = measured.iter().filter(|ended| among(ended)).collect();
            let found = among.iter().filter(|ended| test(ended)).count();
            found as f64 / (among.len() as f64).max(1.0)
        };
        let met = |ended: &Ended| ended.end == End::Met;
        let count = measured.iter().filter(|ended| met(ended)).count() as f64;
        let rates: Vec<f64> = (0..customers)
            .map(|customer| share(&met, &|ended| ended.customer == customer))
            .collect();
        let sum: f64 = rates.iter().sum();
        let squares: f64 = rates.iter().map(|rate| rate * rate).sum();
        Figures {
            attainment: share(&met, &|_| true),
            others: share(&met, &|ended| ended.customer != 1),
            goodput: count * 1000.0 / (scenario::END - scenario::WARM),
            cost: self.price / (self.stages as f64).max(1.0),
            billed: self.billed / f64::from(1 << 20) * 1000.0 / count.max(1.0),
            refused: share(&|ended| ended.end == End::Refused, &|_| true),
            unsure: share(&|ended| ended.unsure, &|_| true),
            generated: measured
                .iter()
                .filter(|ended| ended.engines && met(ended))
                .count() as f64
                * 1000.0
                / (scenario::END - scenario::WARM),
            degraded: share(&|ended| ended.degraded, &|_| true),
            amplification: self.calls as f64 / (self.calls - self.extra).max(1) as f64,
            hits: self.tokens.1 / self.tokens.0.max(1.0),
            jain: sum * sum / (customers as f64 * squares).max(1e-9),
            recovery: self.recovery(),
        }
    }

    /// Requests of `pipeline` that ended in each way, by the number of stages finished.
    pub(crate) fn trace(&self, pipeline: usize) -> String {
        let mut counts = BTreeMap::new();
        for ended in &self.ended {
            if ended.arrival >= scenario::WARM && ended.pipeline == pipeline {
                *counts
                    .entry((format!("{:?}", ended.end), ended.stages))
                    .or_insert(0) += 1;
            }
        }
        format!("{counts:?}")
    }

    fn recovery(&self) -> f64 {
        let seconds = ((scenario::END - scenario::REPAIR) / 1000.0) as usize;
        let mut counts = vec![(0.0, 0.0); seconds];
        for ended in &self.ended {
            if ended.arrival < scenario::REPAIR {
                continue;
            }
            let second = ((ended.arrival - scenario::REPAIR) / 1000.0) as usize;
            let Some(count) = counts.get_mut(second) else {
                continue;
            };
            count.0 += 1.0;
            if ended.end == End::Met {
                count.1 += 1.0;
            }
        }
        let bad = |count: &(f64, f64)| count.1 < BAD * count.0;
        counts
            .iter()
            .rposition(bad)
            .map_or(0.0, |last| last as f64 + 1.0)
    }
}

impl Figures {
    /// The figures as columns, in the order of [`COLUMNS`].
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
            self.unsure,
            self.amplification,
            self.hits,
            self.jain,
            self.recovery,
        ]
    }

    /// Means over runs.
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
            unsure: mean(|run| run.unsure),
            generated: mean(|run| run.generated),
            amplification: mean(|run| run.amplification),
            hits: mean(|run| run.hits),
            jain: mean(|run| run.jain),
            recovery: mean(|run| run.recovery),
        }
    }
}

/// Names of the columns.
pub(crate) const COLUMNS: [&str; 13] = [
    "attain", "others", "goodput", "engines", "cost", "billed", "refused", "degraded", "unsure",
    "amplify", "hits", "jain", "recover",
];
