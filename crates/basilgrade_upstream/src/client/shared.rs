//! State shared by all calls of a client.

use std::sync;

use crate::client::counters;
use crate::client::pool;
use crate::client::settings;

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: settings::Settings,
    pub(super) counting: counters::Counting,
    pub(super) pool: pool::Pool,
    pub(super) cancels: sync::Arc<tokio::sync::Semaphore>,
}
