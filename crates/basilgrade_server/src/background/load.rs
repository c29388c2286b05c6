//! Polling of load reports.

use std::sync;
use std::sync::atomic;

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_upstream::load;
use futures::StreamExt;
use futures::stream;
use tokio_util::sync::CancellationToken;

use crate::core;
use crate::exec::attempts;
use crate::view::entry;

/// Interval between polls of upstreams in this daemon's region.
const POLL_INTERVAL: clock::Millis = clock::Millis::from_secs(1);

/// Upstreams in other regions are polled once in this many rounds, because every byte to another
/// region is billed.
const OTHER_REGION_ROUNDS: u64 = 5;

/// Maximum number of polls in flight.
const CONCURRENCY: usize = 32;

/// Polls load reports until `stop`.
pub async fn run(core: sync::Arc<core::Core>, stop: CancellationToken) {
    let mut round = 0_u64;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(POLL_INTERVAL.duration()) => {}
        }
        round += 1;
        poll(&core, round.is_multiple_of(OTHER_REGION_ROUNDS)).await;
    }
}

async fn poll(core: &sync::Arc<core::Core>, all_regions: bool) {
    let Some(view) = core.current.load_full() else {
        return;
    };
    let polled = view
        .entries
        .iter()
        .filter(|entry| all_regions || entry.region == view.own_region);
    stream::iter(polled)
        .for_each_concurrent(CONCURRENCY, |entry| async {
            match core.components.upstream.load(entry.address).await {
                Ok(load) => apply(entry, &load, core.now()),
                Err(error) => log::debug!(
                    "event=load-report-failed upstream={} error={:?}",
                    entry.id,
                    error.to_string()
                ),
            }
        })
        .await;
}

fn apply(entry: &entry::Entry, load: &load::Load, now: clock::Millis) {
    let stats = &entry.stats;
    let store = |counter: &atomic::AtomicU32, value| {
        counter.store(value, atomic::Ordering::Relaxed);
    };
    store(&stats.running, load.running);
    store(&stats.queued, load.queued);
    store(&stats.sent, 0);
    // Ignore invalid model names: calls cannot request such a model.
    let models = load.models.iter().filter_map(|name| name.parse().ok());
    let models: Vec<id::ModelId> = models.collect();
    if **stats.models.load() != models {
        stats.models.store(sync::Arc::new(models));
    }
    let reported = now.since(clock::Millis(load.age));
    stats
        .reported_at
        .store(reported.0, atomic::Ordering::Relaxed);
    if load.leaving {
        stats.mark_leaving(now.plus(attempts::LEAVING_PERIOD));
    }
}
