//! State of an engine that its connections and generations share.

use std::sync;

use indexmap::IndexSet;
use serde::Deserialize;

use crate::engine::generation_slots;
use crate::engine::kv_cache;
use crate::engine::load_history;
use crate::engine::options;
use crate::execution;
use crate::fault_switch;

/// An order that tells an engine which models to load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Order {
    /// Fencing number; an order with a lower number than a previous one is outdated.
    pub fence: u64,
    /// All models that the engine should have loaded.
    pub models: Vec<String>,
}

/// A cancellation of the generations of a request, optionally of only one stage or attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cancellation {
    /// Id of the cancelled request.
    pub request: String,
    /// Cancelled stage; `None` for all stages.
    pub stage: Option<String>,
    /// Cancelled attempt; `None` for all attempts.
    pub attempt: Option<String>,
}

/// The part of the state that is protected by a mutex.
#[derive(Debug)]
pub(super) struct MutableState {
    pub(super) cache: kv_cache::KvCache,
    pub(super) history: load_history::LoadHistory,
    pub(super) models: Vec<String>,
    /// Accepted orders in order of arrival.
    pub(super) orders: Vec<Order>,
    /// Number of orders refused because of an outdated fencing number.
    pub(super) refused: usize,
    pub(super) cancellations: Vec<Cancellation>,
    /// Prompts of all started generations in order of start.
    pub(super) started: Vec<String>,
    /// Number of resumed generations whose received tokens are not those of this engine.
    pub(super) conflicts: usize,
    /// Ids of requests whose generation was running when it was cancelled.
    pub(super) cancelled: IndexSet<String>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) options: options::Options,
    pub(super) slots: generation_slots::GenerationSlots,
    pub(super) faults: fault_switch::FaultSwitch,
    pub(super) executions: execution::Executions,
    /// Broadcasts cancellations to running generations.
    pub(super) cancel: tokio::sync::broadcast::Sender<Cancellation>,
    pub(super) mutable: sync::Mutex<MutableState>,
}

impl State {
    pub(super) fn new(options: options::Options) -> Self {
        // A generation that lags behind by more than 1024 cancellations misses the oldest ones.
        // Tests have far fewer in flight.
        let (cancel, _) = tokio::sync::broadcast::channel(1024);
        Self {
            slots: generation_slots::GenerationSlots::new(options.max_running),
            faults: fault_switch::FaultSwitch::default(),
            executions: execution::Executions::default(),
            cancel,
            mutable: sync::Mutex::new(MutableState {
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
        self.mutable
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Adds the current load to the history.
    pub(super) fn record_load(&self) {
        let (running, queued) = self.slots.load();
        let now = std::time::Instant::now();
        self.lock().history.add(now, running, queued);
    }
}

impl Cancellation {
    /// Whether the cancellation applies to a generation.
    pub(super) fn matches(&self, request: &str, stage: &str, attempt: &str) -> bool {
        self.request == request
            && self.stage.as_deref().is_none_or(|found| found == stage)
            && self.attempt.as_deref().is_none_or(|found| found == attempt)
    }
}
