//! Polling of cache events, by which engines report the prompt prefixes that they store and evict.

use std::sync;

use basilgrade_config::model::pool;
use basilgrade_policy::prefix::change;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_upstream::load;
use futures::StreamExt;
use futures::stream;
use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

use crate::core;
use crate::view::snapshot;

/// Interval between polls. Cache events arrive late anyway, and this daemon's own calls update the
/// prefix index at once.
const INTERVAL: clock::Millis = clock::Millis::from_secs(1);

/// Maximum number of polls in flight.
const CONCURRENCY: usize = 32;

/// Polls the engines in this daemon's region until `stop`. The caches of engines in other regions
/// are known only from this daemon's calls, because every byte to another region is billed.
pub async fn run(core: sync::Arc<core::Core>, stop: CancellationToken) {
    let next = sync::Mutex::new(IndexMap::<id::UpstreamId, u64>::new());
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(INTERVAL.duration()) => {}
        }
        if let Some(view) = core.current.load_full() {
            poll(&core, &view, &next).await;
        }
    }
}

async fn poll(
    core: &sync::Arc<core::Core>,
    view: &snapshot::Snapshot,
    next: &sync::Mutex<IndexMap<id::UpstreamId, u64>>,
) {
    let engines = view.entries.iter().enumerate().filter(|(_, entry)| {
        let pool = view.deployment.pools.get(&entry.pool);
        let is_engine = pool.is_some_and(|pool| pool.kind == pool::Kind::Engine);
        is_engine && entry.region == view.own_region
    });
    stream::iter(engines)
        .for_each_concurrent(CONCURRENCY, |(index, entry)| async move {
            let from = lock(next).get(&entry.id).copied().unwrap_or_default();
            // Request the last known event again: an engine without an event at that number has
            // restarted.
            let first_event = from.saturating_sub(1);
            match core
                .components
                .upstream
                .cache_events(entry.address, first_event)
                .await
            {
                Ok(events) => {
                    let next_event = apply(core.now(), view, index as u32, from, &events);
                    lock(next).insert(entry.id.clone(), next_event);
                }
                Err(error) => log::debug!(
                    "event=cache-events-failed upstream={} error={:?}",
                    entry.id,
                    error.to_string()
                ),
            }
        })
        .await;
}

/// Applies the cache events of one engine from event number `from` on, and returns the number of
/// the next event.
fn apply(
    now: clock::Millis,
    view: &snapshot::Snapshot,
    index: u32,
    from: u64,
    events: &[load::CacheEvent],
) -> u64 {
    let Some(last) = events.last() else {
        if from > 0 {
            view.prefixes.restart(now, index);
        }
        return 0;
    };
    for event in events.iter().filter(|event| event.seq >= from) {
        let change = match event.change {
            load::CacheChange::Stored => change::CacheChange::Added(event.prefix),
            load::CacheChange::Evicted => change::CacheChange::Removed(event.prefix),
        };
        view.prefixes.apply(now, index, event.seq, change);
    }
    last.seq + 1
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
