//! Properties of a request at its current stage.

use basilgrade_policy::budget::plan;
use basilgrade_types::clock;
use basilgrade_types::size;

use crate::daemon;
use crate::deployment;
use crate::simulation::Simulation;

impl Simulation<'_> {
    /// Position of the daemon at which a request entered.
    pub(super) fn home(&self, request: usize) -> usize {
        let shape = &self.requests[request];
        shape.region * self.deployment.daemons + shape.entry
    }

    /// Instant of a request's deadline in virtual time.
    pub(super) fn request_deadline(&self, request: usize) -> f64 {
        let shape = &self.requests[request];
        shape.arrival + self.deployment.pipelines[shape.pipeline].deadline as f64
    }

    /// Instant by which the current call should finish. A stage that is late may use all the time
    /// left to the request.
    pub(super) fn stage_deadline(&self, request: usize) -> clock::Millis {
        let stage_deadline = self.progress[request].stage_deadline;
        if stage_deadline > daemon::millis(self.now) {
            stage_deadline
        } else {
            daemon::millis(self.request_deadline(request))
        }
    }

    pub(super) fn stage(&self, request: usize) -> deployment::Stage {
        let pipeline = &self.deployment.pipelines[self.requests[request].pipeline];
        pipeline.stages[self.progress[request].stage]
    }

    /// Factor on the generated tokens of the current stage.
    pub(super) fn shortening_factor(&self, request: usize) -> f64 {
        match self.progress[request].action {
            plan::Action::Shorten(size::TokenCount(percent)) => percent as f64 / 100.0,
            _ => 1.0,
        }
    }

    /// Time of the current stage's call at an idle upstream with the expected number of tokens, in
    /// milliseconds.
    pub(super) fn idle_time(&self, request: usize) -> f64 {
        let stage = self.stage(request);
        let shape = &self.deployment.pools[stage.pool];
        let prompt = f64::from(self.requests[request].prompt);
        shape.service
            + shape.prefill * prompt
            + shape.decode * stage.output * self.shortening_factor(request)
    }
}
