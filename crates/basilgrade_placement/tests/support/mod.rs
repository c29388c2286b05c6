//! Simulation of the engines of one failure domain in virtual time.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of the items"
)]

use std::fmt::Write as _;

use basilgrade_config::model::deployment;
use basilgrade_placement::budget;
use basilgrade_placement::demand;
use basilgrade_placement::engine;
use basilgrade_placement::planner;
use basilgrade_placement::store;
use basilgrade_placement::view;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use basilgrade_types::size;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// Time between two planning rounds.
pub const STEP: clock::Millis = clock::Millis(1000);

/// Age of the contents of a load report when the planner receives it.
const REPORT_LAG: clock::Millis = clock::Millis(1500);

/// Size of every model. A load takes 20 s at the share of [`STORE_RATE`] that one of two failure
/// domains has.
const MODEL_SIZE: size::ByteCount = size::ByteCount(1_000_000_000);
const STORE_RATE: rate::ByteRate = rate::ByteRate(100e6);

pub fn name<T: std::str::FromStr<Err = basilgrade_types::parse::ParseError>>(text: &str) -> T {
    text.parse().expect("expected a valid name")
}

pub fn set(names: &[&str]) -> IndexSet<id::ModelId> {
    names.iter().map(|text| name(text)).collect()
}

/// A deployment of two failure domains. `models` pairs the name of each `[model NAME]` section with
/// the lines of the section.
pub fn deployment(engines: usize, slots: u32, models: &[(&str, &str)]) -> deployment::Deployment {
    let mut text = format!(
        "[deployment]\nname = test\n[domain a]\nregion = r\n[domain b]\nregion = r\n\
         [pool engines]\nkind = engine\nfencing = checked\nprice = 1\nslots = {slots}\n"
    );
    for (index, domain) in (0..engines).map(|index| (index, "a")).chain([(99, "b")]) {
        let _ = write!(
            text,
            "[upstream e{index}]\npool = engines\ndomain = {domain}\n\
             address = 10.0.0.1:{}\ncapacity = 10\n",
            9000 + index
        );
    }
    for (model, keys) in models {
        let _ = write!(text, "[model {model}]\npool = engines\n{keys}\n");
    }
    basilgrade_config::parse(&text, "test").unwrap_or_else(|problems| panic!("{problems}"))
}

/// When an engine unloads the weights that an order does not list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unload {
    /// Before the engine loads other weights.
    First,
    /// After the engine has loaded the other weights.
    Last,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct SimEngine {
    pub state: engine::State,
    pub unload: Unload,
    /// Time to load one model.
    pub loading_time: clock::Millis,
    pub loaded: IndexSet<id::ModelId>,
    /// Weights of the order in progress, with the instant of its completion.
    pub loading: Option<(IndexSet<id::ModelId>, clock::Millis)>,
    /// Loaded weights after each change, for delayed load reports.
    history: Vec<(clock::Millis, IndexSet<id::ModelId>)>,
}

impl SimEngine {
    /// Starts an order and returns the number of loads that it needs.
    pub fn start_order(&mut self, now: clock::Millis, order: IndexSet<id::ModelId>) -> usize {
        if self
            .loading
            .as_ref()
            .is_some_and(|(ordered, _)| *ordered == order)
        {
            return 0;
        }
        self.loading = None;
        let new = order.difference(&self.loaded).count();
        if new == 0 || self.unload == Unload::First {
            self.loaded.retain(|model| order.contains(model));
        }
        if new > 0 {
            let load_time = self.loading_time.0 * new as u64;
            self.loading = Some((order, now.plus(clock::Millis(load_time))));
        }
        new
    }
}

/// A simulated failure domain with the planner of its placement writer.
pub struct World {
    pub now: clock::Millis,
    pub deployment: deployment::Deployment,
    pub engines: IndexMap<id::UpstreamId, SimEngine>,
    pub demand: IndexMap<id::ModelId, demand::Demand>,
    pub planner: planner::Planner,
    pub store: store::Store,
    /// Start time of each load.
    pub loads: Vec<clock::Millis>,
    /// Highest number of engines with a load in progress at the same time.
    pub max_parallel: usize,
    /// Placement decisions in the format of the log.
    pub log: Vec<String>,
}

impl World {
    /// Creates engines `e0`, `e1` and so on, with the models of `loaded` in the same order.
    pub fn new(deployment: deployment::Deployment, loaded: &[&[&str]]) -> Self {
        let now = clock::Millis::from_secs(1000);
        let engines = loaded.iter().enumerate().map(|(index, models)| {
            let engine = SimEngine {
                state: engine::State::Reporting,
                unload: Unload::First,
                // The second failure domain is idle, so a load gets the whole rate of the store.
                loading_time: budget::load_duration(MODEL_SIZE, STORE_RATE, 1),
                loaded: set(models),
                loading: None,
                history: vec![(clock::Millis::ZERO, set(models))],
            };
            (name(&format!("e{index}")), engine)
        });
        Self {
            now,
            engines: engines.collect(),
            demand: IndexMap::new(),
            planner: planner::Planner::default(),
            store: store(&deployment),
            deployment,
            loads: Vec::new(),
            max_parallel: 0,
            log: Vec::new(),
        }
    }

    /// Sets demand for `model` that needs `replicas` replicas.
    pub fn demand(&mut self, model: &str, replicas: u32) {
        let demand = demand::Demand {
            // A replica serves 8 calls/s with 10 concurrent calls and a utilisation of 0.8.
            rate: rate::RequestRate(f64::from(replicas) * 8.0 - 0.5),
            service_time: clock::Millis(1000),
            deadline: clock::Millis(10_000),
            capacity: 10,
        };
        self.demand.insert(name(model), demand);
    }

    /// Replaces the configuration in force.
    pub fn configure(&mut self, deployment: deployment::Deployment) {
        self.store = store(&deployment);
        self.deployment = deployment;
    }

    pub fn engine(&mut self, index: usize) -> &mut SimEngine {
        &mut self.engines[index]
    }

    /// Number of reporting engines that have loaded a version of the model.
    pub fn replicas(&self, model: &str) -> usize {
        let is_replica = |engine: &&SimEngine| {
            engine.state == engine::State::Reporting
                && engine
                    .loaded
                    .iter()
                    .any(|found| found.as_str().split('.').next() == Some(model))
        };
        self.engines.values().filter(is_replica).count()
    }

    /// Load reports of all engines with their state of [`REPORT_LAG`] ago.
    pub fn reports(&self) -> Vec<engine::Engine> {
        let at = self.now - REPORT_LAG;
        let report = |(id, engine): (&id::UpstreamId, &SimEngine)| {
            let reported_state = engine.history.iter().rev().find(|(when, _)| *when <= at);
            engine::Engine {
                id: id.clone(),
                pool: name("engines"),
                state: engine.state,
                reported: at,
                loaded: reported_state
                    .map(|(_, loaded)| loaded.clone())
                    .unwrap_or_default(),
            }
        };
        self.engines.iter().map(report).collect()
    }

    /// Runs one planning round, sends its orders and advances the time by [`STEP`].
    pub fn step(&mut self) {
        let engines = self.reports();
        let plan = self.planner.plan(
            self.now,
            &view::View {
                deployment: &self.deployment,
                engines: &engines,
                demand: &self.demand,
                store: Some(&self.store),
            },
        );
        self.log
            .extend(plan.decisions.iter().map(ToString::to_string));
        for (id, models) in plan.orders {
            let new = self.engines[&id].start_order(self.now, models.into_iter().collect());
            self.loads.extend(std::iter::repeat_n(self.now, new));
            self.planner.mark_sent(self.now, &id);
        }
        self.advance();
    }

    /// Advances the time by [`STEP`] and completes the loads that are due.
    pub fn advance(&mut self) {
        self.now = self.now.plus(STEP);
        for engine in self.engines.values_mut() {
            if let Some((ordered, _)) = engine.loading.take_if(|(_, done)| *done <= self.now) {
                engine.loaded = ordered;
            }
            if engine
                .history
                .last()
                .is_none_or(|(_, last)| *last != engine.loaded)
            {
                engine.history.push((self.now, engine.loaded.clone()));
            }
        }
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.loading.is_some());
        self.max_parallel = self.max_parallel.max(loading.count());
    }

    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }
}

fn store(deployment: &deployment::Deployment) -> store::Store {
    let models = deployment.models.values();
    store::Store {
        rate: STORE_RATE,
        sizes: models
            .map(|model| (model.weights.clone(), MODEL_SIZE))
            .collect(),
    }
}
