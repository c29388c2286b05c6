//! Start and end of the faults of a scenario.

use crate::event::Event;
use crate::scenario;
use crate::simulation::Simulation;

impl Simulation<'_> {
    pub(super) fn fault(&mut self) {
        match self.scenario.kind {
            scenario::Kind::SlowEngine => self.set_speed(0, 0.1),
            scenario::Kind::FailingEngine => {
                self.servers[0].failing = true;
                for call in self.servers[0].fail() {
                    self.events
                        .push(self.now + self.calls[call].transit_time, Event::Fail(call));
                }
                self.servers[0].up = true;
            }
            scenario::Kind::SlowPool => {
                for server in self.pool_starts[3]..self.pool_starts[4] {
                    self.set_speed(server, 0.2);
                }
            }
            scenario::Kind::DomainLost => {
                for server in 0..self.servers.len() {
                    if self.servers[server].region == 1 {
                        for call in self.servers[server].fail() {
                            self.events
                                .push(self.now + self.calls[call].transit_time, Event::Fail(call));
                        }
                    }
                }
            }
            scenario::Kind::SlowLink => self.latency_factor = 20.0,
            scenario::Kind::ColdStart => {
                for server in 0..2 {
                    self.servers[server].up = true;
                }
            }
            _ => {}
        }
    }

    pub(super) fn repair(&mut self) {
        for server in 0..self.servers.len() {
            self.set_speed(server, 1.0);
            self.servers[server].up = true;
            self.servers[server].failing = false;
        }
        self.latency_factor = 1.0;
    }

    pub(super) fn set_speed(&mut self, server: usize, speed: f64) {
        self.servers[server].advance(self.now);
        self.servers[server].speed = speed;
        self.reschedule(server);
    }

    /// Replaces a daemon by one without any state. Calls in flight are still finished.
    pub(super) fn restart(&mut self, daemon: usize) {
        let mut fresh = self.daemon(self.daemons[daemon].region);
        for (old, new) in self.daemons[daemon].views.iter_mut().zip(&mut fresh.views) {
            new.sent = std::mem::take(&mut old.sent);
        }
        self.daemons[daemon] = fresh;
    }
}
