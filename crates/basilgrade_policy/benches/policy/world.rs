//! One run: the event loop.

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

mod background;
mod calls;
mod faults;
mod hedging;
mod path;
mod terms;
mod view;

/// Milliseconds between a daemon's polls.
const POLL: f64 = 250.0;

/// Bytes of a daemon's prefix index.
const INDEX: usize = 256 << 10;

/// One call to one upstream.
#[derive(Clone, Copy, Debug)]
struct Call {
    request: usize,
    server: usize,
    daemon: usize,
    /// Travel time each way.
    travel: f64,
    /// Whether the upstream accepted it, so that a failure means that it may have run.
    accepted: bool,
    over: bool,
}

/// Where a request stands.
#[derive(Clone, Debug)]
struct Progress {
    stage: usize,
    action: plan::Action,
    /// When the stage began.
    started: f64,
    /// Instant by which the stage should be done.
    due: clock::Millis,
    retries: u32,
    calls: Vec<usize>,
    excluded: Vec<u32>,
    /// Whether a hedge was sent in the current stage.
    hedged: bool,
    degraded: bool,
    over: bool,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            stage: 0,
            action: plan::Action::Run,
            started: 0.0,
            due: clock::Millis::ZERO,
            retries: 0,
            calls: Vec::new(),
            excluded: Vec::new(),
            hedged: false,
            degraded: false,
            over: false,
        }
    }
}

/// One run.
pub(crate) struct World<'a> {
    deployment: &'a deployment::Deployment,
    scenario: &'a scenario::Scenario,
    strategy: strategy::Strategy,
    requests: &'a [workload::Request],
    events: event::Events,
    servers: Vec<server::Server>,
    quotas: Vec<customer::Customer>,
    /// First server of each pool, and the number of servers at the end.
    pools: Vec<usize>,
    /// Calls on their way to each server.
    travelling: Vec<u32>,
    daemons: Vec<daemon::Daemon>,
    calls: Vec<Call>,
    progress: Vec<Progress>,
    /// Cache events of each server.
    logs: Vec<Vec<(f64, change::CacheChange)>>,
    history: VecDeque<(f64, Vec<server::Load>)>,
    outcome: outcome::Outcome,
    rng: rngs::StdRng,
    now: f64,
    slow_link: f64,
    done: Vec<usize>,
}

impl<'a> World<'a> {
    pub(crate) fn new(
        deployment: &'a deployment::Deployment,
        scenario: &'a scenario::Scenario,
        strategy: strategy::Strategy,
        requests: &'a [workload::Request],
        capacity: f64,
        seed: u64,
    ) -> Self {
        let mut servers = Vec::new();
        let mut pools = Vec::new();
        for (pool, shape) in deployment.pools.iter().enumerate() {
            pools.push(servers.len());
            for index in 0..shape.count {
                servers.push(server::Server::new(
                    pool,
                    index % deployment::REGIONS,
                    shape,
                ));
            }
        }
        pools.push(servers.len());
        let mut world = Self {
            deployment,
            scenario,
            strategy,
            requests,
            quotas: deployment.quotas(capacity),
            events: event::Events::default(),
            travelling: vec![0; servers.len()],
            logs: vec![Vec::new(); servers.len()],
            servers,
            pools,
            daemons: Vec::new(),
            calls: Vec::new(),
            progress: vec![Progress::default(); requests.len()],
            history: VecDeque::new(),
            outcome: outcome::Outcome::default(),
            rng: rngs::StdRng::seed_from_u64(seed ^ 0x5EED),
            now: 0.0,
            slow_link: 1.0,
            done: Vec::new(),
        };
        for region in 0..deployment::REGIONS {
            for _ in 0..deployment.daemons {
                let daemon = world.daemon(region);
                world.daemons.push(daemon);
            }
        }
        world.schedule();
        world
    }

    fn schedule(&mut self) {
        for (index, request) in self.requests.iter().enumerate() {
            self.events.push(request.arrival, Event::Arrive(index));
        }
        self.events.push(0.0, Event::Sample);
        for daemon in 0..self.daemons.len() {
            let phase = POLL * daemon as f64 / self.daemons.len() as f64;
            self.events.push(phase, Event::Poll(daemon));
            self.events.push(4.0 * phase, Event::Evaluate(daemon));
        }
        self.events.push(scenario::FAULT, Event::Fault);
        self.events.push(scenario::REPAIR, Event::Repair);
        match self.scenario.kind {
            scenario::Kind::ColdStart => {
                for server in 0..2 {
                    self.servers[server].up = false;
                }
            }
            scenario::Kind::Restart => {
                for daemon in 0..self.daemons.len() {
                    let at = scenario::FAULT + 3000.0 * daemon as f64;
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
            index: index::PrefixIndex::new(INDEX, self.servers.len()),
            hits: prefix_hits::Hits::default(),
            planner: planner::Planner::new(&self.deployment.model()),
            router,
            views: self.servers.iter().map(|_| daemon::View::new()).collect(),
            candidates: Vec::new(),
        }
    }

    /// Runs to the end and returns the counts.
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
        (scenario::WARM..scenario::END).contains(&self.now)
    }
}
