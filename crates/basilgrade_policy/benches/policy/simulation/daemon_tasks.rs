//! Periodic tasks of daemons: load reports, cache events, customer shares and outlier detection.

use basilgrade_policy::share::shares;
use rand::RngExt;

use crate::daemon;
use crate::deployment;
use crate::event::Event;
use crate::scenario;
use crate::server;
use crate::simulation::Simulation;
use crate::strategy::Mechanism;

/// Milliseconds between two samples of the loads.
const SAMPLE_INTERVAL_MS: f64 = 50.0;

/// Milliseconds between two polls of a daemon.
const POLL_INTERVAL_MS: f64 = 250.0;

impl Simulation<'_> {
    pub(super) fn sample(&mut self) {
        let loads = self.servers.iter().map(server::Server::load).collect();
        self.history.push_back((self.now, loads));
        // Load reports are at most 5 s late, so 6 s of history suffice.
        if self.history.len() as f64 * SAMPLE_INTERVAL_MS > 6000.0 {
            self.history.pop_front();
        }
        for (server, log) in self.servers.iter_mut().zip(&mut self.event_logs) {
            let changes = server.changes.drain(..);
            log.extend(changes.map(|change| (self.now, change)));
            if self.now < scenario::WARM_UP_MS {
                server.tokens = (0.0, 0.0);
            }
        }
        if self.now < scenario::ARRIVALS_END_MS {
            self.events
                .push(self.now + SAMPLE_INTERVAL_MS, Event::Sample);
        } else {
            for server in &self.servers {
                self.outcome.tokens.0 += server.tokens.0;
                self.outcome.tokens.1 += server.tokens.1;
            }
        }
    }

    /// Reads the cache events of the engines in the daemon's region.
    pub(super) fn read_events(&mut self, daemon: usize) {
        let until = self.now - self.scenario.lag();
        let now = daemon::millis(self.now);
        let found = &mut self.daemons[daemon];
        for (index, server) in self.servers.iter().enumerate() {
            if server.region != found.region {
                continue;
            }
            let view = &mut found.views[index];
            let log = &self.event_logs[index];
            while let Some((_, change)) = log.get(view.events_read).filter(|(at, _)| *at <= until) {
                if self.rng.random::<f64>() >= self.scenario.loss() {
                    found
                        .index
                        .apply(now, index as u32, view.events_read as u64, *change);
                }
                view.events_read += 1;
            }
        }
    }

    pub(super) fn poll(&mut self, daemon: usize) {
        if self.strategy.has(Mechanism::Events) && self.strategy.has(Mechanism::Prefix) {
            self.read_events(daemon);
        }
        let until = self.now - self.scenario.lag();
        let now = daemon::millis(self.now);
        let seen = self.history.iter().rev().find(|(at, _)| *at <= until);
        for (index, view) in self.daemons[daemon].views.iter_mut().enumerate() {
            if let Some((at, loads)) = seen {
                view.load = loads[index];
                view.reported = *at;
            }
            if let Some(oldest) = view.sent.first() {
                let elapsed = (self.now - oldest.at) as f32;
                view.slowdown.observe_pending(now, oldest.expected, elapsed);
            }
        }
        if self.now < scenario::ARRIVALS_END_MS + 20_000.0 {
            self.events
                .push(self.now + POLL_INTERVAL_MS, Event::Poll(daemon));
        }
    }

    /// Reports the customer demand at a daemon and sets its shares from the reports of all daemons.
    pub(super) fn share(&mut self, daemon: usize) {
        let now = daemon::millis(self.now);
        for customer in 0..self.quotas.len() {
            self.daemons[daemon].demand[customer] =
                self.daemons[daemon].shares.demand(now, customer);
            let region = self.daemons[daemon].region;
            let sum = |among: &dyn Fn(&daemon::Daemon) -> bool| {
                let among = self.daemons.iter().filter(|found| among(found));
                among.map(|found| found.demand[customer]).sum()
            };
            let reported = shares::ReportedDemand {
                daemon: self.daemons[daemon].demand[customer],
                domain: sum(&|found| found.region == region),
                total: sum(&|_| true),
                daemons: self.deployment.daemons as u32,
                domains: deployment::REGIONS as u32,
            };
            self.daemons[daemon].shares.set(now, customer, &reported);
        }
    }

    pub(super) fn evaluate(&mut self, daemon: usize) {
        self.share(daemon);
        let now = daemon::millis(self.now);
        let found = &self.daemons[daemon];
        for (pool, outliers) in found.outliers.iter().enumerate() {
            let views = &found.views[self.pool_starts[pool]..self.pool_starts[pool + 1]];
            let factors: Vec<_> = views.iter().map(|view| view.slowdown.factor(now)).collect();
            outliers.evaluate(now, &factors);
        }
        if self.now < scenario::ARRIVALS_END_MS + 20_000.0 {
            self.events.push(self.now + 1000.0, Event::Evaluate(daemon));
        }
    }
}
