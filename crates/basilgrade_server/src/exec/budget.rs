//! Division of a request's deadline among the stages of its pipeline.

use basilgrade_policy::budget::plan;
use basilgrade_policy::refusal;
use basilgrade_types::clock;
use basilgrade_types::id;

use crate::exec::context;

/// Action and deadlines that the budget assigns to one stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageBudget {
    /// How the stage is run: in full, shortened, with a substitute, or not at all.
    pub action: plan::Action,
    /// Instant by which the stage should be done.
    pub soft_deadline: clock::Millis,
    /// Instant at which the stage is aborted.
    pub hard_deadline: clock::Millis,
    /// The 95th percentile of the stage's duration; `None` without enough observations.
    pub p95_latency: Option<clock::Millis>,
}

/// The deadline budget of one request to a pipeline.
pub struct Budget<'a> {
    context: &'a context::Context,
    pipeline: usize,
}

impl<'a> Budget<'a> {
    pub fn new(context: &'a context::Context, pipeline: &id::PipelineId) -> Self {
        let pipelines = &context.view.deployment.pipelines;
        let pipeline = pipelines.get_index_of(pipeline).unwrap_or(usize::MAX);
        Self { context, pipeline }
    }

    /// Computes the budget of the stage at `position` from the time left now.
    ///
    /// # Errors
    ///
    /// Fails if the deadline has passed, or, for the first stage, if the pipeline is expected to
    /// exceed the deadline even with all permitted degradations.
    pub fn stage_budget(&self, position: usize) -> Result<StageBudget, refusal::Refusal> {
        let now = self.context.core.now();
        let deadline = self.context.deadline;
        let planner = &self.context.view.planner;
        let plan = planner.plan(now, self.pipeline, position, deadline)?;
        let step = plan.steps.first().copied().unwrap_or(plan::Step {
            action: plan::Action::Run,
            deadline,
        });
        // Reserve the median duration of every later stage, so that a stage that hangs cannot use
        // up the whole deadline.
        let reserved: f32 = plan
            .steps
            .iter()
            .enumerate()
            .skip(1)
            .filter(|(_, step)| step.action != plan::Action::Skip)
            .filter_map(|(later, _)| planner.summary(now, self.pipeline, position + later))
            .map(|summary| summary.median)
            .sum();
        let hard_deadline = deadline - clock::Millis(reserved as u64);
        Ok(StageBudget {
            action: step.action,
            soft_deadline: step.deadline,
            hard_deadline: hard_deadline.max(step.deadline),
            p95_latency: planner
                .summary(now, self.pipeline, position)
                .map(|summary| clock::Millis(summary.p95 as u64)),
        })
    }

    /// Records the duration of a stage, including a stage that was aborted.
    pub fn observe(&self, position: usize, action: plan::Action, started: clock::Millis) {
        let now = self.context.core.now();
        let elapsed_ms = now.since(started).as_f64() as f32;
        self.context
            .view
            .planner
            .observe(now, self.pipeline, position, action, elapsed_ms);
    }
}
