//! Hedges: duplicates of calls that are still in flight.

use basilgrade_policy::retry::hedge;

use crate::daemon;
use crate::event::Event;
use crate::simulation::Simulation;
use crate::strategy::Mechanism;

impl Simulation<'_> {
    /// Schedules the decision on a hedge at the 0.95 quantile of the stage time, if the stage is
    /// idempotent.
    pub(super) fn schedule_hedge(&mut self, request: usize, home: usize) {
        let pipeline = self.requests[request].pipeline;
        if !self.strategy.has(Mechanism::Hedge) || !self.deployment.pipelines[pipeline].idempotent {
            return;
        }
        let now = daemon::millis(self.now);
        let stage = self.progress[request].stage;
        if let Some(summary) = self.daemons[home].planner.summary(now, pipeline, stage) {
            let at = self.now + f64::from(summary.p95);
            self.events.push(at, Event::Hedge(request, stage));
        }
    }

    /// Sends a hedge if the first call is still in flight and the hedge is worth its cost.
    pub(super) fn hedge(&mut self, request: usize, stage: usize) {
        let progress = &self.progress[request];
        if progress.ended || progress.stage != stage || progress.calls.len() != 1 {
            return;
        }
        let home = self.home(request);
        let call = progress.calls[0];
        let first = self.calls[call].server;
        self.progress[request].excluded.push(first as u32);
        let found = self.choice(request);
        self.progress[request].excluded.pop();
        let Ok(choice) = found else {
            return;
        };
        let now = daemon::millis(self.now);
        let pipeline = self.requests[request].pipeline;
        let p95 = self.daemons[home]
            .planner
            .summary(now, pipeline, stage)
            .map_or(0.0, |summary| summary.p95);
        let time_left = daemon::millis(self.request_deadline(request)) - now;
        let elapsed = (self.now - self.daemons[home].views[first].sent_at(call)) as f32;
        self.servers[first].advance(self.now);
        // The progress of a call is visible only if the answer is a stream of tokens.
        let is_streamed = self.stage(request).output > 0.0;
        let done = if is_streamed {
            self.servers[first].done(call) as f32
        } else {
            0.0
        };
        let remaining = hedge::expected_remaining(elapsed, done, p95);
        if hedge::is_worthwhile(&self.settings(), remaining, time_left, &choice)
            && self.daemons[home].retries.withdraw_hedge()
        {
            self.progress[request].hedged = true;
            self.send_choice(request, home, choice);
        }
    }
}
