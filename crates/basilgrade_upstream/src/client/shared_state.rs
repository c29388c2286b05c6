//! State shared by all calls of a client.

use std::sync;

use crate::client::counters;
use crate::client::idle_pool;
use crate::client::settings;

#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) settings: settings::Settings,
    pub(super) counters: counters::AtomicCounters,
    pub(super) pool: idle_pool::Pool,
    pub(super) cancels: sync::Arc<tokio::sync::Semaphore>,
}
