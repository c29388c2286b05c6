//! Bound on the memory that the requests of this daemon take at each engine.

use std::sync;

use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::health;
use basilgrade_fleet::memory;
use basilgrade_fleet::model::pool;
use basilgrade_fleet::ranking;
use basilgrade_types::clock::Clock as _;
use basilgrade_types::id;
use hyper::StatusCode;

use crate::core;
use crate::request;
use crate::request::failure;
use crate::view;

/// Reason why a request is not sent to an engine.
pub const FULL: &str = "the engines have no memory for the request; retry later";

/// Memory of each engine of `pool`, in tokens; `None` if the configuration does not state it.
fn capacity(view: &view::View, pool: &id::PoolId) -> Option<u64> {
    let known = view.configuration.as_ref()?.pools.get(pool)?;
    match &known.work {
        pool::Work::Engine(engine) => Some(engine.kv_capacity.0).filter(|tokens| *tokens > 0),
        pool::Work::Service | pool::Work::Pieces(_) => None,
    }
}

/// Refuses a request that no engine of its pool has memory for, even without others.
///
/// # Errors
///
/// [`failure::RequestFailure`] of a request that did not run and must not be repeated.
pub fn check(core: &core::Core, request: &request::Request) -> Result<(), failure::RequestFailure> {
    let view = core.view.load();
    let (Some(prompt), Some(capacity)) = (&request.head.prompt, capacity(&view, &request.pool))
    else {
        return Ok(());
    };
    let needed = memory::Need::new(prompt).total();
    if needed <= capacity {
        return Ok(());
    }
    core.metrics.oversized.inc();
    let reason = format!(
        "the request takes {needed} tokens, but an engine has memory for {capacity}; shorten it"
    );
    Err(failure::RequestFailure::rejected(
        StatusCode::PAYLOAD_TOO_LARGE,
        reason,
    ))
}

/// Engines among `entries`, the accepting ones of the pool, that have no memory for `request`.
pub fn full<'a>(
    core: &core::Core,
    view: &view::View,
    request: &request::Request,
    entries: impl Iterator<Item = &'a sync::Arc<upstream::Upstream>>,
) -> Vec<id::UpstreamId> {
    let (Some(prompt), Some(capacity)) = (&request.head.prompt, capacity(view, &request.pool))
    else {
        return Vec::new();
    };
    let now = core.now();
    let need = memory::Need::new(prompt);
    let entries: Vec<_> = entries.collect();
    let held = entries
        .iter()
        .map(|entry| entry.stats.memory().own() as f64);
    let mean = held.sum::<f64>() / entries.len().max(1) as f64;
    let name = ranking::key(core.settings.load().name.as_str());
    let fleet = |entry: &upstream::Upstream| memory::Fleet {
        daemons: view.daemons,
        mean,
        draw: ranking::weight(name, entry.id.as_str()) as f64 / u64::MAX as f64,
    };
    // A daemon for which no engine is drawn uses all of them.
    let has_drawn = entries
        .iter()
        .any(|entry| fleet(entry).is_drawn(&need, capacity));
    let is_full = |entry: &&sync::Arc<upstream::Upstream>| {
        let mut fleet = fleet(entry);
        if !has_drawn {
            fleet.draw = 0.0;
        }
        !entry.stats.memory().has_room(now, &need, capacity, fleet)
    };
    let count = entries.len();
    let full = entries.into_iter().filter(is_full);
    let full: Vec<_> = full.map(|entry| entry.id.clone()).collect();
    if full.len() == count && count > 0 {
        core.metrics.memory_holds.inc();
        log::info!(
            "event=engines-full request={} pool={} engines={count} tokens={} mean={mean:.0} \
             daemons={}",
            request.head.request_id,
            request.pool,
            need.total(),
            view.daemons
        );
    }
    full
}

/// Guard that counts the memory of a request at an engine until it is dropped.
pub struct MemoryGuard {
    clock: basilgrade_types::clock::SystemClock,
    stats: sync::Arc<health::Stats>,
    need: memory::Need,
}

impl MemoryGuard {
    /// Counts `request` at `entry`; `None` if the requests of this daemon alone would exceed the
    /// engine's memory.
    pub fn begin(
        core: &core::Core,
        request: &request::Request,
        entry: &upstream::Upstream,
    ) -> Option<Self> {
        let view = core.view.load();
        let capacity = capacity(&view, &entry.pool);
        let prompt = request.head.prompt.as_ref().filter(|_| capacity.is_some());
        let need = prompt.map(memory::Need::new).unwrap_or_default();
        let has_begun =
            entry
                .stats
                .memory()
                .try_begin(core.now(), &need, capacity.unwrap_or(u64::MAX));
        has_begun.then(|| Self {
            clock: core.clock,
            stats: sync::Arc::clone(&entry.stats),
            need,
        })
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.stats.memory().end(self.clock.now(), &self.need);
    }
}
