//! The deadline budget of one request.

use basilgrade_policy::budget::plan;
use basilgrade_policy::refusal;
use basilgrade_types::clock;
use basilgrade_types::id;

use crate::exec::context;

/// What the budget gives one stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageBudget {
    /// What is done at the stage.
    pub action: plan::Action,
    /// Instant by which the stage should be done.
    pub soft_deadline: clock::Millis,
    /// Instant at which the stage is given up.
    pub hard_deadline: clock::Millis,
    /// The 0.95 quantile of the stage's time, if enough is known.
    pub p95_latency: Option<clock::Millis>,
}

/// The budget of a request to one pipeline.
pub struct Budget<'a> {
    context: &'a context::Context,
    pipeline: usize,
}

impl<'a> Budget<'a> {
    /// The budget of a request to `pipeline`.
    pub fn new(context: &'a context::Context, pipeline: &id::PipelineId) -> Self {
        let pipelines = &context.view.deployment.pipelines;
        let pipeline = pipelines.get_index_of(pipeline).unwrap_or(usize::MAX);
        Self { context, pipeline }
    }

    /// The part of the stage at `position`, from what is left now.
    ///
    /// # Errors
    ///
    /// A refusal when no plan can meet the deadline and nothing has run yet.
    pub fn stage_budget(&self, position: usize) -> Result<StageBudget, refusal::Refusal> {
        let now = self.context.core.now();
        let deadline = self.context.deadline;
        let planner = &self.context.view.planner;
        let plan = planner.plan(now, self.pipeline, position, deadline)?;
        let step = plan.steps.first().copied().unwrap_or(plan::Step {
            action: plan::Action::Run,
            deadline,
        });
        // What follows keeps its median time, so a stage that hangs cannot use up everything.
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

    /// Records the time of a stage, also of one that was given up.
    pub fn observe(&self, position: usize, action: plan::Action, started: clock::Millis) {
        let now = self.context.core.now();
        let elapsed_ms = now.since(started).as_f64() as f32;
        self.context
            .view
            .planner
            .observe(now, self.pipeline, position, action, elapsed_ms);
    }
}
