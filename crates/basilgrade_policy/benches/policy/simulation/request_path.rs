//! Path of a request: admission, plan, calls, responses and end.

use basilgrade_policy::budget::plan;
use basilgrade_policy::refusal;
use basilgrade_policy::retry::backoff;
use basilgrade_policy::router;

use crate::daemon;
use crate::event::Event;
use crate::outcome;
use crate::simulation::Call;
use crate::simulation::Simulation;
use crate::strategy::Mechanism;

/// Milliseconds for which a daemon does not choose an upstream that refused a connection.
const BACKOFF_MS: f64 = 1000.0;

/// Maximum number of retries of one stage when no retry budget is used.
const MAX_RETRIES: u32 = 2;

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        let shape = &self.requests[request];
        let deadline = self.deployment.pipelines[shape.pipeline].deadline as f64;
        self.events
            .push(self.now + deadline, Event::Expire(request));
        if self.strategy.has(Mechanism::Share) {
            let home = self.home(request);
            let pressure = self.pressure(request, home);
            let shares = &self.daemons[home].shares;
            let now = daemon::millis(self.now);
            if shares.admit(now, shape.customer, pressure).is_err() {
                self.end(request, outcome::End::Refused);
                return;
            }
        }
        self.begin(request);
    }

    /// Plans the remaining stages, skips stages if planned, and sends the call of the current
    /// stage.
    pub(super) fn begin(&mut self, request: usize) {
        let pipeline = self.requests[request].pipeline;
        let count = self.deployment.pipelines[pipeline].stages.len();
        let deadline = daemon::millis(self.request_deadline(request));
        self.progress[request].started = self.now;
        self.progress[request].stage_deadline = deadline;
        self.progress[request].action = plan::Action::Run;
        if self.strategy.has(Mechanism::Budget) {
            let stage = self.progress[request].stage;
            let home = self.home(request);
            let now = daemon::millis(self.now);
            let planned = self.daemons[home]
                .planner
                .plan(now, pipeline, stage, deadline);
            let Ok(plan) = planned else {
                self.end(request, outcome::End::Refused);
                return;
            };
            let skipped = plan
                .steps
                .iter()
                .take_while(|step| step.action == plan::Action::Skip);
            let skipped = skipped.count();
            let progress = &mut self.progress[request];
            progress.stage += skipped;
            progress.degraded |= skipped > 0;
            if let Some(step) = plan.steps.get(skipped) {
                progress.action = step.action;
                progress.stage_deadline = step.deadline;
                progress.degraded |= step.action != plan::Action::Run;
            }
        }
        if self.progress[request].stage == count {
            self.end(request, outcome::End::Met);
        } else {
            self.dispatch(request);
        }
    }

    /// Records the time of the current stage, which has finished or was abandoned.
    pub(super) fn observe_stage(&mut self, request: usize) {
        let home = self.home(request);
        let progress = &self.progress[request];
        let time = (self.now - progress.started) as f32;
        let now = daemon::millis(self.now);
        let pipeline = self.requests[request].pipeline;
        self.daemons[home]
            .planner
            .observe(now, pipeline, progress.stage, progress.action, time);
    }

    /// Chooses an upstream for the current stage and sends the call.
    pub(super) fn dispatch(&mut self, request: usize) {
        let home = self.home(request);
        match self.choice(request) {
            Ok(choice) => {
                self.send_choice(request, home, choice);
                self.schedule_hedge(request, home);
            }
            Err(refusal::Refusal::Unserved) => self.end(request, outcome::End::Failed),
            Err(_) => self.end(request, outcome::End::Refused),
        }
    }

    /// Chooses an upstream for the current stage.
    pub(super) fn choice(&mut self, request: usize) -> Result<router::Choice, refusal::Refusal> {
        let home = self.home(request);
        let stage = self.stage(request);
        let call = self.call_shape(request, home, stage);
        let mut candidates = std::mem::take(&mut self.daemons[home].candidates);
        self.candidates(request, home, stage, &mut candidates);
        let now = daemon::millis(self.now);
        let chosen = self.daemons[home]
            .router
            .choose(now, &call, &candidates, &mut self.rng);
        self.daemons[home].candidates = candidates;
        chosen
    }

    pub(super) fn send_choice(&mut self, request: usize, home: usize, choice: router::Choice) {
        let server = choice.index as usize;
        let factor = self.relative_slowdown(home, server);
        self.send(request, home, server, choice.finish_ms / factor);
    }

    pub(super) fn reply(&mut self, call: usize) {
        let Call {
            request,
            server,
            daemon,
            ended,
            ..
        } = self.calls[call];
        if ended {
            return;
        }
        self.calls[call].ended = true;
        let now = daemon::millis(self.now);
        let extra = self.extra_token_time(request);
        let view = &mut self.daemons[daemon].views[server];
        if let Some(sent) = view.take(call) {
            let time = (self.now - sent.at) as f32;
            view.connection.answered();
            view.slowdown.observe(now, sent.expected + extra, time);
        }
        let pool = self.servers[server].pool;
        let member = server - self.pool_starts[pool];
        self.daemons[daemon].outliers[pool].observe(now, member, false);
        if self.measured() {
            self.outcome.stages += 1;
        }
        self.cancel_calls(request);
        self.observe_stage(request);
        let pipeline = &self.deployment.pipelines[self.requests[request].pipeline];
        let progress = &mut self.progress[request];
        progress.stage += 1;
        progress.retries = 0;
        progress.excluded.clear();
        progress.hedged = false;
        if progress.stage == pipeline.stages.len() {
            self.end(request, outcome::End::Met);
        } else {
            self.begin(request);
        }
    }

    /// Time of the tokens generated in excess of the expected number, in milliseconds.
    pub(super) fn extra_token_time(&self, request: usize) -> f32 {
        let stage = self.stage(request);
        let more = stage.output * (self.requests[request].length_factor - 1.0);
        (more * self.shortening_factor(request) * self.deployment.pools[stage.pool].decode) as f32
    }

    pub(super) fn fail(&mut self, call: usize) {
        let Call {
            request,
            server,
            daemon,
            accepted,
            ended,
            ..
        } = self.calls[call];
        if ended {
            return;
        }
        self.calls[call].ended = true;
        let now = daemon::millis(self.now);
        let pool = self.servers[server].pool;
        let member = server - self.pool_starts[pool];
        self.daemons[daemon].outliers[pool].observe(now, member, true);
        let view = &mut self.daemons[daemon].views[server];
        view.take(call);
        if !accepted {
            view.backoff_until = self.now + BACKOFF_MS;
            view.connection.refused(now, &mut self.rng);
        }
        let idempotent = self.deployment.pipelines[self.requests[request].pipeline].idempotent;
        let progress = &mut self.progress[request];
        progress.calls.retain(|own| *own != call);
        progress.excluded.push(server as u32);
        if !progress.calls.is_empty() {
            // The first call or its hedge is still in flight.
            return;
        }
        progress.retries += 1;
        let retries = progress.retries;
        let allowed = if self.strategy.has(Mechanism::Retry) {
            self.daemons[daemon].retries.withdraw()
        } else {
            retries <= MAX_RETRIES
        };
        if !allowed || (accepted && !idempotent) {
            self.end(request, outcome::End::Failed);
        } else if self.strategy.has(Mechanism::Retry) {
            let delay = backoff::delay(retries - 1, &mut self.rng);
            self.events
                .push(self.now + delay.as_f64(), Event::Retry(request));
        } else {
            self.dispatch(request);
        }
    }

    pub(super) fn retry(&mut self, request: usize) {
        if !self.progress[request].ended {
            self.dispatch(request);
        }
    }

    pub(super) fn expire(&mut self, request: usize) {
        if self.progress[request].ended {
            return;
        }
        self.observe_stage(request);
        self.end(request, outcome::End::Missed);
    }

    /// Cancels all calls of a request that are still in flight.
    pub(super) fn cancel_calls(&mut self, request: usize) {
        let calls = std::mem::take(&mut self.progress[request].calls);
        for call in calls {
            let Call {
                server,
                daemon,
                ended,
                ..
            } = self.calls[call];
            if ended {
                continue;
            }
            self.calls[call].ended = true;
            let now = daemon::millis(self.now);
            let view = &mut self.daemons[daemon].views[server];
            if let Some(sent) = view.take(call) {
                view.slowdown
                    .observe_pending(now, sent.expected, (self.now - sent.at) as f32);
            }
            self.servers[server].advance(self.now);
            self.servers[server].cancel(call);
            self.reschedule(server);
        }
    }

    pub(super) fn end(&mut self, request: usize, end: outcome::End) {
        let shape = &self.requests[request];
        let pipeline = &self.deployment.pipelines[shape.pipeline];
        let calls = &self.progress[request].calls;
        let accepted = calls
            .iter()
            .any(|call| self.calls[*call].accepted && !self.calls[*call].ended);
        let uncertain = !pipeline.idempotent && end != outcome::End::Met && accepted;
        let engines = pipeline.stages.iter().any(|stage| stage.pool == 0);
        self.cancel_calls(request);
        let shape = &self.requests[request];
        let progress = &mut self.progress[request];
        progress.ended = true;
        self.outcome.ended.push(outcome::EndedRequest {
            arrival: shape.arrival,
            customer: shape.customer,
            pipeline: shape.pipeline,
            stages: progress.stage,
            end,
            degraded: progress.degraded,
            uncertain,
            engines,
        });
    }
}
