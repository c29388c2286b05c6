//! Calls between daemons and upstreams.

use basilgrade_policy::priority;
use basilgrade_types::clock;

use crate::daemon;
use crate::event::Event;
use crate::server;
use crate::strategy::Mechanism;
use crate::world::Call;
use crate::world::World;

impl World<'_> {
    pub(super) fn send(&mut self, request: usize, home: usize, server: usize, expected: f32) {
        let stage = self.stage(request);
        let travel = self.travel(
            self.daemons[home].region,
            self.servers[server].region,
            stage.bytes,
        );
        let call = self.calls.len();
        self.calls.push(Call {
            request,
            server,
            daemon: home,
            travel,
            accepted: false,
            over: false,
        });
        self.progress[request].calls.push(call);
        self.daemons[home].views[server].sent.push(daemon::Sent {
            call,
            at: self.now,
            expected,
        });
        if self.deployment.pools[stage.pool].cache > 0 && self.strategy.has(Mechanism::Prefix) {
            let now = daemon::millis(self.now);
            let chain = &self.requests[request].chain;
            self.daemons[home].index.record(now, server as u32, chain);
        }
        self.travelling[server] += 1;
        self.events.push(self.now + travel, Event::Deliver(call));
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
            travel,
            over,
            ..
        } = self.calls[call];
        self.travelling[server] -= 1;
        if over {
            return;
        }
        if !self.servers[server].up {
            self.events.push(self.now + travel, Event::Fail(call));
            return;
        }
        self.calls[call].accepted = true;
        if self.servers[server].failing {
            self.events.push(self.now + travel, Event::Fail(call));
            return;
        }
        let stage = self.stage(request);
        if self.measured() {
            self.outcome.price += self.deployment.pools[stage.pool].price;
            if self.daemons[daemon].region != self.servers[server].region {
                self.outcome.billed += f64::from(stage.bytes);
                self.outcome.price +=
                    self.deployment.link * f64::from(stage.bytes) / f64::from(1 << 20);
            }
        }
        let shape = &self.requests[request];
        let uses_prompt = self.deployment.pools[stage.pool].prefill > 0.0;
        let waiting = server::Waiting {
            call,
            chain: if uses_prompt {
                shape.chain.clone()
            } else {
                Vec::new()
            },
            prompt: if uses_prompt { shape.prompt } else { 0 },
            output: stage.output * shape.length * self.shortening(request),
            noise: shape.noise,
            priority: if self.strategy.has(Mechanism::Priority) {
                let need = clock::Millis(self.alone(request) as u64);
                priority::Priority::of(self.due(request) - daemon::millis(self.now), need)
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
        let mut done = std::mem::take(&mut self.done);
        self.servers[server].advance(self.now);
        self.servers[server].finish(&mut done);
        let engine = self.servers[server].pool == 0;
        for call in done.drain(..) {
            if engine && self.measured() {
                self.outcome.generated += 1;
            }
            self.events
                .push(self.now + self.calls[call].travel, Event::Reply(call));
        }
        self.done = done;
        self.reschedule(server);
    }
}
