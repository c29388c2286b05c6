//! Plans the stages of a request under its deadline.

use std::sync::atomic;

use basilgrade_config::model::deployment;
use basilgrade_config::model::stage;
use basilgrade_types::clock;

use crate::budget::stage_plan;
use crate::budget::time_quantiles;
use crate::refusal;

/// One of this many requests that would be refused is let through.
///
/// Refused requests give no observations, so without these the quantiles of a stage that has
/// recovered would keep refusing until they decay. With one in 16, refusals outlasted a burst by
/// several seconds.
const PROBE: u32 = 4;

/// Stage times of one stage as declared and by its substitute.
#[derive(Debug)]
struct Times {
    degrade: stage::Degrade,
    tokens: u64,
    declared: time_quantiles::TimeQuantiles,
    substitute: time_quantiles::TimeQuantiles,
}

/// Expected time of one stage under one action.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    median: f32,
    high: f32,
}

impl Times {
    fn new(stage: &stage::Stage) -> Self {
        Self {
            degrade: stage.degrade.clone(),
            tokens: stage.tokens.0,
            declared: time_quantiles::TimeQuantiles::default(),
            substitute: time_quantiles::TimeQuantiles::default(),
        }
    }

    /// The action that the stage declares for when time is short.
    fn degraded(&self) -> Option<stage_plan::Action> {
        match &self.degrade {
            stage::Degrade::Never => None,
            stage::Degrade::Shorten(tokens) => Some(stage_plan::Action::Shorten(*tokens)),
            stage::Degrade::Skip => Some(stage_plan::Action::Skip),
            stage::Degrade::Substitute { .. } => Some(stage_plan::Action::Substitute),
        }
    }

    /// Expected time under `action`; zero while nothing is known, so that nothing is refused.
    fn share(&self, now: clock::Millis, action: stage_plan::Action) -> Share {
        let (times, factor) = match action {
            stage_plan::Action::Run => (&self.declared, 1.0),
            stage_plan::Action::Shorten(tokens) => (&self.declared, self.shortening(tokens.0)),
            stage_plan::Action::Skip => return Share::default(),
            stage_plan::Action::Substitute => (&self.substitute, 1.0),
        };
        let summary = times.summary(now).unwrap_or_default();
        Share {
            median: summary.median * factor,
            high: summary.p90 * factor,
        }
    }

    /// Ratio of the time of a shortened answer to that of a whole one.
    fn shortening(&self, tokens: u64) -> f32 {
        (tokens as f32 / self.tokens.max(1) as f32).min(1.0)
    }
}

/// Stage times of all pipelines and the plans that follow from them.
///
/// It keeps nothing per customer or request, so its cost does not grow with either.
#[derive(Debug)]
pub struct Planner {
    pipelines: Vec<Vec<Times>>,
    refused: atomic::AtomicU32,
}

impl Planner {
    /// A planner for the pipelines of `deployment` in their order, followed by its services as
    /// pipelines of one stage.
    pub fn new(deployment: &deployment::Deployment) -> Self {
        let pipelines = deployment
            .pipelines
            .values()
            .map(|pipeline| pipeline.stages.iter().map(Times::new).collect());
        let services = deployment.services.values().map(|_| {
            vec![Times {
                degrade: stage::Degrade::Never,
                tokens: 0,
                declared: time_quantiles::TimeQuantiles::default(),
                substitute: time_quantiles::TimeQuantiles::default(),
            }]
        });
        Self {
            pipelines: pipelines.chain(services).collect(),
            refused: atomic::AtomicU32::new(0),
        }
    }

    /// Records the time of a stage in milliseconds, also of one that was given up.
    pub fn observe(
        &self,
        now: clock::Millis,
        pipeline: usize,
        stage: usize,
        action: stage_plan::Action,
        time: f32,
    ) {
        let Some(times) = self.times(pipeline, stage) else {
            return;
        };
        match action {
            stage_plan::Action::Run => times.declared.observe(now, time),
            stage_plan::Action::Shorten(tokens) => {
                // Recorded as the time that the whole answer would have taken.
                let factor = times.shortening(tokens.0).max(0.01);
                times.declared.observe(now, time / factor);
            }
            stage_plan::Action::Skip => {}
            stage_plan::Action::Substitute => times.substitute.observe(now, time),
        }
    }

    /// Quantiles of the time of a stage, or `None` while too little is known.
    pub fn summary(
        &self,
        now: clock::Millis,
        pipeline: usize,
        stage: usize,
    ) -> Option<time_quantiles::Summary> {
        self.times(pipeline, stage)?.declared.summary(now)
    }

    /// Plans the stages from `stage` on.
    ///
    /// Each stage keeps its 0.9 quantile and gets a share of the slack in proportion to its spread.
    /// Degradation is used, one stage after another from the last, while the 0.9 quantiles do not
    /// fit.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::Deadline`] when nothing has run yet and the 0.5 quantiles do not fit.
    pub fn plan(
        &self,
        now: clock::Millis,
        pipeline: usize,
        stage: usize,
        deadline: clock::Millis,
    ) -> Result<stage_plan::Plan, refusal::Refusal> {
        let stages = self
            .pipelines
            .get(pipeline)
            .map_or(&[][..], |found| &found[..]);
        let rest = stages.get(stage..).unwrap_or_default();
        let left = (deadline - now).0 as f32;
        let mut actions = vec![stage_plan::Action::Run; rest.len()];
        let mut shares: Vec<_> = rest
            .iter()
            .map(|times| times.share(now, stage_plan::Action::Run))
            .collect();
        let high = |shares: &[Share]| shares.iter().map(|share| share.high).sum::<f32>();
        for index in (0..rest.len()).rev() {
            if high(&shares) <= left {
                break;
            }
            if let Some(action) = rest[index].degraded() {
                actions[index] = action;
                shares[index] = rest[index].share(now, action);
            }
        }
        let median: f32 = shares.iter().map(|share| share.median).sum();
        if left <= 0.0 || (stage == 0 && median > left && !self.probes()) {
            return Err(refusal::Refusal::Deadline);
        }
        let fits = high(&shares) <= left;
        let base = if fits { high(&shares) } else { median };
        let spread: f32 = shares.iter().map(|share| share.high - share.median).sum();
        let slack = (left - base).max(0.0);
        let mut end = 0.0;
        let steps = shares
            .iter()
            .zip(&actions)
            .map(|(share, action)| {
                let own = if fits { share.high } else { share.median };
                let part = if spread > 0.0 {
                    (share.high - share.median) / spread
                } else {
                    1.0 / shares.len() as f32
                };
                end += own + slack * part;
                stage_plan::Step {
                    action: *action,
                    deadline: now.plus(clock::Millis(1 + end as u64)).min(deadline),
                }
            })
            .collect();
        Ok(stage_plan::Plan { steps })
    }

    fn times(&self, pipeline: usize, stage: usize) -> Option<&Times> {
        self.pipelines.get(pipeline)?.get(stage)
    }

    fn probes(&self) -> bool {
        self.refused
            .fetch_add(1, atomic::Ordering::Relaxed)
            .is_multiple_of(PROBE)
    }
}
