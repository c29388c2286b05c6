//! The state of an engine.

use std::sync;

use indexmap::IndexSet;
use serde::Deserialize;

use crate::engine::generation_slots;
use crate::engine::kv_cache;
use crate::engine::load_history;
use crate::engine::options;
use crate::execution;
use crate::fault_injector;

/// An order as engines read it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Order {
    /// Fencing number.
    pub fence: u64,
    /// Models to have loaded.
    pub models: Vec<String>,
}

/// A cancellation: request id, and stage and attempt if it concerns only these.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cancellation {
    /// Request id.
    pub request: String,
    /// Stage, or all.
    pub stage: Option<String>,
    /// Attempt, or all.
    pub attempt: Option<String>,
}

#[derive(Debug)]
pub(super) struct MutableState {
    pub(super) cache: kv_cache::KvCache,
    pub(super) history: load_history::LoadHistory,
    pub(super) models: Vec<String>,
    /// Orders that were followed, in order.
    pub(super) orders: Vec<Order>,
    pub(super) refused: usize,
    pub(super) cancellations: Vec<Cancellation>,
    /// Prompts in the order in which their generations started.
    pub(super) started: Vec<String>,
    /// Resumed generations whose received tokens are not those of this engine.
    pub(super) conflicts: usize,
    /// Generations that were running when they were cancelled.
    pub(super) cancelled: IndexSet<String>,
}

#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) options: options::Options,
    pub(super) slots: generation_slots::GenerationSlots,
    pub(super) faults: fault_injector::FaultInjector,
    pub(super) executions: execution::Executions,
    /// Tells running generations of a cancellation.
    pub(super) cancel: tokio::sync::broadcast::Sender<Cancellation>,
    pub(super) inner: sync::Mutex<MutableState>,
}

impl SharedState {
    pub(super) fn new(options: options::Options) -> Self {
        // Readers that lag behind miss cancellations; 1024 is far above what tests have in flight.
        let (cancel, _) = tokio::sync::broadcast::channel(1024);
        Self {
            slots: generation_slots::GenerationSlots::new(options.max_running),
            faults: fault_injector::FaultInjector::default(),
            executions: execution::Executions::default(),
            cancel,
            inner: sync::Mutex::new(MutableState {
                cache: kv_cache::KvCache::new(options.cache_capacity, options.drop_every),
                history: load_history::LoadHistory::default(),
                models: options.models.clone(),
                orders: Vec::new(),
                refused: 0,
                cancellations: Vec::new(),
                started: Vec::new(),
                conflicts: 0,
                cancelled: IndexSet::new(),
            }),
            options,
        }
    }

    pub(super) fn lock(&self) -> sync::MutexGuard<'_, MutableState> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Adds the present load to the history.
    pub(super) fn observe(&self) {
        let (running, queued) = self.slots.load();
        let now = std::time::Instant::now();
        self.lock().history.add(now, running, queued);
    }
}

impl Cancellation {
    /// Whether it concerns this generation.
    pub(super) fn concerns(&self, request: &str, stage: &str, attempt: &str) -> bool {
        self.request == request
            && self.stage.as_deref().is_none_or(|found| found == stage)
            && self.attempt.as_deref().is_none_or(|found| found == attempt)
    }
}
