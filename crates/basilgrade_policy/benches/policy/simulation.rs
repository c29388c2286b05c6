//! Simulation of one run as a loop over events.

use std::collections::VecDeque;

use basilgrade_config::model::customer;
use basilgrade_policy::budget::plan;
use basilgrade_policy::budget::planner;
use basilgrade_policy::health::outliers;
use basilgrade_policy::prefix::change;
use basilgrade_policy::prefix::index;
use basilgrade_policy::prefix::prefix_hits;
use basilgrade_policy::retry::budget;
use basilgrade_policy::router;
use basilgrade_policy::router::least_outstanding;
use basilgrade_policy::router::random;
use basilgrade_policy::router::round_robin;
use basilgrade_policy::router::scored;
use basilgrade_policy::router::settings;
use basilgrade_policy::router::two_choices;
use basilgrade_policy::share::shares;
use basilgrade_types::clock;
use rand::SeedableRng;
use rand::rngs;

use crate::daemon;
use crate::deployment;
use crate::event;
use crate::event::Event;
use crate::outcome;
use crate::scenario;
use crate::server;
use crate::strategy;
use crate::strategy::Mechanism;
use crate::workload;

mod daemon_tasks;
mod faults;
mod hedging;
mod request_path;
mod request_state;
mod routing_view;
mod upstream_calls;

/// Milliseconds between two polls of a daemon.
const POLL_INTERVAL_MS: f64 = 250.0;

/// Size of a daemon's prefix index in bytes.
const INDEX_BYTES: usize = 256 << 10;

/// A call from a daemon to an upstream.
#[derive(Clone, Copy, Debug)]
struct Call {
    request: usize,
    server: usize,
    daemon: usize,
    /// Transit time in each direction, in milliseconds.
    transit_time: f64,
    /// Whether the upstream accepted the call. If an accepted call fails, it may have run.
    accepted: bool,
    ended: bool,
}

/// State of one request.
#[derive(Clone, Debug)]
struct Progress {
    stage: usize,
    action: plan::Action,
    /// Instant at which the current stage began.
    started: f64,
    /// Instant by which the current stage should finish.
    stage_deadline: clock::Millis,
    retries: u32,
    calls: Vec<usize>,
    excluded: Vec<u32>,
    /// Whether a hedge was sent in the current stage.
    hedged: bool,
    degraded: bool,
    ended: bool,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            stage: 0,
            action: plan::Action::Run,
            started: 0.0,
            stage_deadline: clock::Millis::ZERO,
            retries: 0,
            calls: Vec::new(),
            excluded: Vec::new(),
            hedged: false,
            degraded: false,
            ended: false,
        }
    }
}

/// One run of a deployment under a scenario and a strategy.
pub(crate) struct Simulation<'a> {
    deployment: &'a deployment::Deployment,
    scenario: &'a scenario::Scenario,
    strategy: strategy::Strategy,
    requests: &'a [workload::Request],
    events: event::Events,
    servers: Vec<server::Server>,
    /// Customers with their quotas.
    quotas: Vec<customer::Customer>,
    /// Position of the first server of each pool, followed by the number of servers.
    pool_starts: Vec<usize>,
    /// Number of calls in transit to each server.
    in_transit: Vec<u32>,
    daemons: Vec<daemon::Daemon>,
    calls: Vec<Call>,
    progress: Vec<Progress>,
    /// Cache events of each server, with their instants.
    event_logs: Vec<Vec<(f64, change::CacheChange)>>,
    /// Samples of the loads of all servers, with their instants; the newest sample is last.
    history: VecDeque<(f64, Vec<server::Load>)>,
    outcome: outcome::Outcome,
    rng: rngs::StdRng,
    now: f64,
    /// Factor on the latency between regions, above 1 during the fault of a slow link.
    latency_factor: f64,
    /// Buffer for finished calls, kept to avoid allocations.
    finished: Vec<usize>,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(
        deployment: &'a deployment::Deployment,
        scenario: &'a scenario::Scenario,
        strategy: strategy::Strategy,
        requests: &'a [workload::Request],
        capacity: f64,
        seed: u64,
    ) -> Self {
        let mut servers = Vec::new();
        let mut pool_starts = Vec::new();
        for (pool, shape) in deployment.pools.iter().enumerate() {
            pool_starts.push(servers.len());
            for index in 0..shape.count {
                servers.push(server::Server::new(
                    pool,
                    index % deployment::REGIONS,
                    shape,
                ));
            }
        }
        pool_starts.push(servers.len());
        let mut simulation = Self {
            deployment,
            scenario,
            strategy,
            requests,
            quotas: deployment.quotas(capacity),
            events: event::Events::default(),
            in_transit: vec![0; servers.len()],
            event_logs: vec![Vec::new(); servers.len()],
            servers,
            pool_starts,
            daemons: Vec::new(),
            calls: Vec::new(),
            progress: vec![Progress::default(); requests.len()],
            history: VecDeque::new(),
            outcome: outcome::Outcome::default(),
            rng: rngs::StdRng::seed_from_u64(seed ^ 0x5EED),
            now: 0.0,
            latency_factor: 1.0,
            finished: Vec::new(),
        };
        for region in 0..deployment::REGIONS {
            for _ in 0..deployment.daemons {
                let daemon = simulation.daemon(region);
                simulation.daemons.push(daemon);
            }
        }
        simulation.schedule();
        simulation
    }

    fn schedule(&mut self) {
        for (index, request) in self.requests.iter().enumerate() {
            self.events.push(request.arrival, Event::Arrive(index));
        }
        self.events.push(0.0, Event::Sample);
        for daemon in 0..self.daemons.len() {
            let phase = POLL_INTERVAL_MS * daemon as f64 / self.daemons.len() as f64;
            self.events.push(phase, Event::Poll(daemon));
            self.events.push(4.0 * phase, Event::Evaluate(daemon));
        }
        self.events.push(scenario::FAULT_START_MS, Event::Fault);
        self.events.push(scenario::FAULT_END_MS, Event::Repair);
        match self.scenario.kind {
            scenario::Kind::ColdStart => {
                for server in 0..2 {
                    self.servers[server].up = false;
                }
            }
            scenario::Kind::Restart => {
                for daemon in 0..self.daemons.len() {
                    let at = scenario::FAULT_START_MS + 3000.0 * daemon as f64;
                    self.events.push(at, Event::Restart(daemon));
                }
            }
            _ => {}
        }
    }

    fn settings(&self) -> settings::ScoreSettings {
        let mut settings = settings::ScoreSettings {
            attainment: self.deployment.attainment as f32,
            cost: self.deployment.cost as f32,
            daemons: (self.deployment.daemons * deployment::REGIONS) as f32,
            ..settings::ScoreSettings::default()
        };
        if self.strategy == strategy::Strategy::Thrift {
            settings.cost *= 20.0;
        }
        if !self.strategy.has(Mechanism::Correction) {
            settings.sent_factor = 0.0;
        }
        if !self.strategy.has(Mechanism::Trust) {
            settings.half_age = clock::Millis::MAX;
        }
        settings
    }

    fn daemon(&self, region: usize) -> daemon::Daemon {
        let settings = self.settings();
        let router: Box<dyn router::Router> = match self.strategy {
            strategy::Strategy::RoundRobin => Box::new(round_robin::RoundRobinRouter::default()),
            strategy::Strategy::Random => Box::new(random::RandomRouter),
            strategy::Strategy::LeastOutstanding => {
                Box::new(least_outstanding::LeastOutstandingRouter)
            }
            strategy::Strategy::TwoChoices => Box::new(two_choices::TwoChoicesRouter),
            _ => Box::new(scored::ScoredRouter::new(settings)),
        };
        daemon::Daemon {
            region,
            outliers: self
                .deployment
                .pools
                .iter()
                .map(|pool| outliers::Outliers::new(pool.count))
                .collect(),
            retries: budget::RetryBudget::default(),
            shares: shares::CustomerShares::new(
                daemon::millis(self.now),
                &self.quotas,
                (self.deployment.daemons * deployment::REGIONS) as u32,
            ),
            demand: vec![0.0; self.quotas.len()],
            index: index::PrefixIndex::new(INDEX_BYTES, self.servers.len()),
            hits: prefix_hits::Hits::default(),
            planner: planner::Planner::new(&self.deployment.model()),
            router,
            views: self
                .servers
                .iter()
                .map(|_| daemon::UpstreamView::new())
                .collect(),
            candidates: Vec::new(),
        }
    }

    /// Processes all events and returns the counts.
    pub(crate) fn run(mut self) -> outcome::Outcome {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive(request) => self.arrive(request),
                Event::Deliver(call) => self.deliver(call),
                Event::Finish(server, version) => self.finish(server, version),
                Event::Reply(call) => self.reply(call),
                Event::Fail(call) => self.fail(call),
                Event::Retry(request) => self.retry(request),
                Event::Hedge(request, stage) => self.hedge(request, stage),
                Event::Evaluate(daemon) => self.evaluate(daemon),
                Event::Expire(request) => self.expire(request),
                Event::Sample => self.sample(),
                Event::Poll(daemon) => self.poll(daemon),
                Event::Fault => self.fault(),
                Event::Repair => self.repair(),
                Event::Restart(daemon) => self.restart(daemon),
            }
        }
        self.outcome
    }

    fn measured(&self) -> bool {
        (scenario::WARM_UP_MS..scenario::ARRIVALS_END_MS).contains(&self.now)
    }
}
