//! Calls between daemons and upstreams.

use basilgrade_policy::priority;
use basilgrade_types::clock;

use crate::daemon;
use crate::event::Event;
use crate::server;
use crate::simulation::Call;
use crate::simulation::Simulation;
use crate::strategy::Mechanism;

impl Simulation<'_> {
    pub(super) fn send(&mut self, request: usize, home: usize, server: usize, expected: f32) {
        let stage = self.stage(request);
        let transit_time = self.transit_time(
            self.daemons[home].region,
            self.servers[server].region,
            stage.bytes,
        );
        let call = self.calls.len();
        self.calls.push(Call {
            request,
            server,
            daemon: home,
            transit_time,
            accepted: false,
            ended: false,
        });
        self.progress[request].calls.push(call);
        self.daemons[home].views[server]
            .sent
            .push(daemon::SentCall {
                call,
                at: self.now,
                expected,
            });
        if self.deployment.pools[stage.pool].cache > 0 && self.strategy.has(Mechanism::Prefix) {
            let now = daemon::millis(self.now);
            let hashes = &self.requests[request].hashes;
            self.daemons[home].index.record(now, server as u32, hashes);
        }
        self.in_transit[server] += 1;
        self.events
            .push(self.now + transit_time, Event::Deliver(call));
        if self.measured() {
            self.outcome.calls += 1;
            if self.progress[request].retries > 0 || self.progress[request].hedged {
                self.outcome.extra += 1;
            }
        }
        if self.progress[request].retries == 0 && !self.progress[request].hedged {
            self.daemons[home].retries.deposit();
        }
    }

    pub(super) fn deliver(&mut self, call: usize) {
        let Call {
            request,
            server,
            daemon,
            transit_time,
            ended,
            ..
        } = self.calls[call];
        self.in_transit[server] -= 1;
        if ended {
            return;
        }
        if !self.servers[server].up {
            self.events.push(self.now + transit_time, Event::Fail(call));
            return;
        }
        self.calls[call].accepted = true;
        if self.servers[server].failing {
            self.events.push(self.now + transit_time, Event::Fail(call));
            return;
        }
        let stage = self.stage(request);
        if self.measured() {
            self.outcome.price += self.deployment.pools[stage.pool].price;
            if self.daemons[daemon].region != self.servers[server].region {
                self.outcome.billed += f64::from(stage.bytes);
                self.outcome.price +=
                    self.deployment.link_price * f64::from(stage.bytes) / f64::from(1 << 20);
            }
        }
        let shape = &self.requests[request];
        let uses_prompt = self.deployment.pools[stage.pool].prefill > 0.0;
        let waiting = server::Waiting {
            call,
            hashes: if uses_prompt {
                shape.hashes.clone()
            } else {
                Vec::new()
            },
            prompt: if uses_prompt { shape.prompt } else { 0 },
            output: stage.output * shape.length_factor * self.shortening_factor(request),
            time_factor: shape.time_factor,
            priority: if self.strategy.has(Mechanism::Priority) {
                let need = clock::Millis(self.idle_time(request) as u64);
                priority::Priority::of(
                    self.stage_deadline(request) - daemon::millis(self.now),
                    need,
                )
            } else {
                priority::Priority::Normal
            },
        };
        self.servers[server].advance(self.now);
        self.servers[server].push(waiting);
        self.reschedule(server);
    }

    pub(super) fn reschedule(&mut self, server: usize) {
        let found = &mut self.servers[server];
        found.version += 1;
        if let Some(at) = found.next_finish(self.now) {
            self.events.push(at, Event::Finish(server, found.version));
        }
    }

    pub(super) fn finish(&mut self, server: usize, version: u32) {
        if self.servers[server].version != version {
            return;
        }
        let mut finished = std::mem::take(&mut self.finished);
        self.servers[server].advance(self.now);
        self.servers[server].finish(&mut finished);
        let engine = self.servers[server].pool == 0;
        for call in finished.drain(..) {
            if engine && self.measured() {
                self.outcome.generated += 1;
            }
            self.events
                .push(self.now + self.calls[call].transit_time, Event::Reply(call));
        }
        self.finished = finished;
        self.reschedule(server);
    }
}
