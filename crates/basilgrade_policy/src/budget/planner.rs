//! Plans the stages of a request so that they meet its deadline.

use std::sync::atomic;

use basilgrade_config::model::deployment;
use basilgrade_config::model::stage;
use basilgrade_types::clock;

use crate::budget::plan;
use crate::budget::quantiles;
use crate::refusal;

/// One of this many requests that would be refused is admitted as a probe.
///
/// Refused requests yield no observations. Without probes, the quantiles of a stage that has
/// recovered would cause refusals until the old observations decay. With one probe in 16, refusals
/// continued for several seconds after a burst had ended.
const PROBE_INTERVAL: u32 = 4;

/// Observed times of one stage, separately for the declared pool and for its substitute.
#[derive(Debug)]
struct StageTimes {
    degrade: stage::Degrade,
    tokens: u64,
    declared: quantiles::TimeQuantiles,
    substitute: quantiles::TimeQuantiles,
}

/// Expected time of one stage under one action, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    median: f32,
    p90: f32,
}

impl StageTimes {
    fn new(stage: &stage::Stage) -> Self {
        Self {
            degrade: stage.degrade.clone(),
            tokens: stage.tokens.0,
            declared: quantiles::TimeQuantiles::default(),
            substitute: quantiles::TimeQuantiles::default(),
        }
    }

    /// Action that the stage declares for requests that are short of time.
    fn degraded_action(&self) -> Option<plan::Action> {
        match &self.degrade {
            stage::Degrade::Never => None,
            stage::Degrade::Shorten(tokens) => Some(plan::Action::Shorten(*tokens)),
            stage::Degrade::Skip => Some(plan::Action::Skip),
            stage::Degrade::Substitute { .. } => Some(plan::Action::Substitute),
        }
    }

    /// Expected time under `action`; zero without observations, so that no request is refused for
    /// lack of them.
    fn estimate(&self, now: clock::Millis, action: plan::Action) -> Estimate {
        let (stage_times, factor) = match action {
            plan::Action::Run => (&self.declared, 1.0),
            plan::Action::Shorten(tokens) => (&self.declared, self.shortening_factor(tokens.0)),
            plan::Action::Skip => return Estimate::default(),
            plan::Action::Substitute => (&self.substitute, 1.0),
        };
        let summary = stage_times.summary(now).unwrap_or_default();
        Estimate {
            median: summary.median * factor,
            p90: summary.p90 * factor,
        }
    }

    /// Ratio of the time of an answer of at most `tokens` tokens to the time of a full answer.
    fn shortening_factor(&self, tokens: u64) -> f32 {
        (tokens as f32 / self.tokens.max(1) as f32).min(1.0)
    }
}

/// Observed stage times of all pipelines, and the plans derived from them.
///
/// The planner stores nothing per customer or request, so its memory does not grow with their
/// number.
#[derive(Debug)]
pub struct Planner {
    pipelines: Vec<Vec<StageTimes>>,
    refusals: atomic::AtomicU32,
}

impl Planner {
    /// A planner for the pipelines of `deployment` in their order, followed by its services, each
    /// of which counts as a pipeline of one stage.
    pub fn new(deployment: &deployment::Deployment) -> Self {
        let pipelines = deployment
            .pipelines
            .values()
            .map(|pipeline| pipeline.stages.iter().map(StageTimes::new).collect());
        let services = deployment.services.values().map(|_| {
            vec![StageTimes {
                degrade: stage::Degrade::Never,
                tokens: 0,
                declared: quantiles::TimeQuantiles::default(),
                substitute: quantiles::TimeQuantiles::default(),
            }]
        });
        Self {
            pipelines: pipelines.chain(services).collect(),
            refusals: atomic::AtomicU32::new(0),
        }
    }

    /// Records the time of a stage in milliseconds, including a stage that was abandoned.
    pub fn observe(
        &self,
        now: clock::Millis,
        pipeline: usize,
        stage: usize,
        action: plan::Action,
        time: f32,
    ) {
        let Some(stage_times) = self.stage_times(pipeline, stage) else {
            return;
        };
        match action {
            plan::Action::Run => stage_times.declared.observe(now, time),
            plan::Action::Shorten(tokens) => {
                // The time is scaled up to that of a full answer.
                let factor = stage_times.shortening_factor(tokens.0).max(0.01);
                stage_times.declared.observe(now, time / factor);
            }
            plan::Action::Skip => {}
            plan::Action::Substitute => stage_times.substitute.observe(now, time),
        }
    }

    /// Quantiles of the time of a stage, or `None` without enough observations.
    pub fn summary(
        &self,
        now: clock::Millis,
        pipeline: usize,
        stage: usize,
    ) -> Option<quantiles::Summary> {
        self.stage_times(pipeline, stage)?.declared.summary(now)
    }

    /// Plans the stages of a pipeline from position `stage` on.
    ///
    /// While the sum of the 0.9 quantiles exceeds the time left, stages are degraded one after
    /// another, from the last to the first. Each stage is then granted its 0.9 quantile, or its
    /// median if the 0.9 quantiles still exceed the time left, and a part of the slack in
    /// proportion to the spread of its time.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::Deadline`] when the deadline has passed, or when the plan starts with
    /// the first stage, even the medians exceed the time left and the request is not a probe.
    pub fn plan(
        &self,
        now: clock::Millis,
        pipeline: usize,
        stage: usize,
        deadline: clock::Millis,
    ) -> Result<plan::Plan, refusal::Refusal> {
        let stages = self
            .pipelines
            .get(pipeline)
            .map_or(&[][..], |stages| &stages[..]);
        let remaining = stages.get(stage..).unwrap_or_default();
        let time_left = (deadline - now).0 as f32;
        let mut actions = vec![plan::Action::Run; remaining.len()];
        let mut estimates: Vec<_> = remaining
            .iter()
            .map(|stage_times| stage_times.estimate(now, plan::Action::Run))
            .collect();
        let total_p90 =
            |estimates: &[Estimate]| estimates.iter().map(|estimate| estimate.p90).sum::<f32>();
        for index in (0..remaining.len()).rev() {
            if total_p90(&estimates) <= time_left {
                break;
            }
            if let Some(action) = remaining[index].degraded_action() {
                actions[index] = action;
                estimates[index] = remaining[index].estimate(now, action);
            }
        }
        let median: f32 = estimates.iter().map(|estimate| estimate.median).sum();
        if time_left <= 0.0 || (stage == 0 && median > time_left && !self.admits_probe()) {
            return Err(refusal::Refusal::Deadline);
        }
        let fits = total_p90(&estimates) <= time_left;
        let reserved = if fits { total_p90(&estimates) } else { median };
        let spread: f32 = estimates
            .iter()
            .map(|estimate| estimate.p90 - estimate.median)
            .sum();
        let slack = (time_left - reserved).max(0.0);
        let mut end = 0.0;
        let steps = estimates
            .iter()
            .zip(&actions)
            .map(|(estimate, action)| {
                let stage_time = if fits { estimate.p90 } else { estimate.median };
                let slack_share = if spread > 0.0 {
                    (estimate.p90 - estimate.median) / spread
                } else {
                    1.0 / estimates.len() as f32
                };
                end += stage_time + slack * slack_share;
                plan::Step {
                    action: *action,
                    deadline: now.plus(clock::Millis(1 + end as u64)).min(deadline),
                }
            })
            .collect();
        Ok(plan::Plan { steps })
    }

    fn stage_times(&self, pipeline: usize, stage: usize) -> Option<&StageTimes> {
        self.pipelines.get(pipeline)?.get(stage)
    }

    /// Whether this request, which would be refused, is admitted as a probe.
    fn admits_probe(&self) -> bool {
        self.refusals
            .fetch_add(1, atomic::Ordering::Relaxed)
            .is_multiple_of(PROBE_INTERVAL)
    }
}
