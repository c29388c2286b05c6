//! What a request needs at its current stage.

use basilgrade_policy::budget::plan;
use basilgrade_types::clock;
use basilgrade_types::size;

use crate::daemon;
use crate::deployment;
use crate::world::World;

impl World<'_> {
    pub(super) fn home(&self, request: usize) -> usize {
        let shape = &self.requests[request];
        shape.region * self.deployment.daemons + shape.entry
    }

    pub(super) fn deadline(&self, request: usize) -> f64 {
        let shape = &self.requests[request];
        shape.arrival + self.deployment.pipelines[shape.pipeline].deadline as f64
    }

    /// Instant by which the call should be done; a stage that is late has the rest of the request.
    pub(super) fn due(&self, request: usize) -> clock::Millis {
        let due = self.progress[request].due;
        if due > daemon::millis(self.now) {
            due
        } else {
            daemon::millis(self.deadline(request))
        }
    }

    pub(super) fn stage(&self, request: usize) -> deployment::Stage {
        let pipeline = &self.deployment.pipelines[self.requests[request].pipeline];
        pipeline.stages[self.progress[request].stage]
    }

    /// Factor on the generated tokens of the current stage.
    pub(super) fn shortening(&self, request: usize) -> f64 {
        match self.progress[request].action {
            plan::Action::Shorten(size::TokenCount(percent)) => percent as f64 / 100.0,
            _ => 1.0,
        }
    }

    /// Time of the current stage's call at an idle upstream, with the tokens that are expected.
    pub(super) fn alone(&self, request: usize) -> f64 {
        let stage = self.stage(request);
        let shape = &self.deployment.pools[stage.pool];
        let prompt = f64::from(self.requests[request].prompt);
        shape.service
            + shape.prefill * prompt
            + shape.decode * stage.output * self.shortening(request)
    }
}
