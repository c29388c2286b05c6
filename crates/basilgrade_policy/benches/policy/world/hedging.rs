//! Second calls while the first is in flight.

use basilgrade_policy::retry::hedge;

use crate::daemon;
use crate::event::Event;
use crate::strategy::Mechanism;
use crate::world::World;

impl World<'_> {
    /// Arranges a hedge at the 0.95 quantile of the stage, where a second run has no effect.
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

    /// Sends a second call if the first is still in flight.
    pub(super) fn hedge(&mut self, request: usize, stage: usize) {
        let progress = &self.progress[request];
        if progress.over || progress.stage != stage || progress.calls.len() != 1 {
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
        let tail = self.daemons[home]
            .planner
            .summary(now, pipeline, stage)
            .map_or(0.0, |summary| summary.p95);
        let left = daemon::millis(self.deadline(request)) - now;
        let elapsed = (self.now - self.daemons[home].views[first].sent_at(call)) as f32;
        self.servers[first].advance(self.now);
        // Only a stream of tokens shows how far a call is.
        let streams = self.stage(request).output > 0.0;
        let done = if streams {
            self.servers[first].done(call) as f32
        } else {
            0.0
        };
        let rest = hedge::expected_remaining(elapsed, done, tail);
        if hedge::is_worthwhile(&self.settings(), rest, left, &choice)
            && self.daemons[home].retries.withdraw_hedge()
        {
            self.progress[request].hedged = true;
            self.send_choice(request, home, choice);
        }
    }
}
