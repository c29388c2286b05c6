//! Records of the log of streams, in a topic of the store.

use std::sync;

use basilgrade_adapter::store;
use basilgrade_adapter::stream_record;
use basilgrade_fleet::streams;
use basilgrade_types::clock;

use crate::core;
use crate::follow::backoff;
use crate::follow::reader;
use crate::peers::stream_copies;

/// Delay before streams are shared, which collects those that begin at the same time.
const BATCH_DELAY: clock::Millis = clock::Millis(10);

/// Minimum interval between two appends of a daemon for each daemon of the deployment, which limits
/// the appends of all daemons together to 200 a second.
pub(super) const APPEND_INTERVAL_PER_DAEMON: clock::Millis = clock::Millis(5);

/// Interval between two appends of the daemon that records the streams of a failure domain.
pub(super) const RECORD_INTERVAL: clock::Millis = clock::Millis(1000);

/// Wait after a failed append.
const RETRY_DELAY: clock::Millis = clock::Millis(400);

/// Minimum interval between two appends of this daemon.
pub(super) fn append_interval(core: &core::Core) -> clock::Millis {
    let daemons = core.view.load().daemons as u64;
    clock::Millis(APPEND_INTERVAL_PER_DAEMON.0 * daemons)
}

/// Shares the streams that this daemon begins in pools with several versions; never returns.
pub async fn share(core: sync::Arc<core::Core>) {
    loop {
        core.streams_changed.notified().await;
        tokio::time::sleep(BATCH_DELAY.duration()).await;
        let now = core.now();
        let batch = core
            .streams()
            .take_unshared(now, stream_record::MAX_STREAMS);
        if batch.is_empty() {
            continue;
        }
        if !append(&core, now, batch).await {
            core.streams_changed.notify_one();
            tokio::time::sleep(RETRY_DELAY.duration()).await;
        }
        tokio::time::sleep(append_interval(&core).duration()).await;
    }
}

/// Records the streams of this failure domain in pools with one version, if this daemon is the one
/// that does so; never returns.
pub async fn record(core: sync::Arc<core::Core>) {
    let mut backoff = backoff::Backoff::default();
    let mut is_recorder = false;
    loop {
        tokio::time::sleep(RECORD_INTERVAL.duration()).await;
        let other = stream_copies::recorder(&core);
        if is_recorder != other.is_none() {
            is_recorder = other.is_none();
            log::info!("event=stream-recorder-changed records={is_recorder}");
        }
        if !is_recorder || core.is_draining() {
            continue;
        }
        let now = core.now();
        let batch = core
            .streams()
            .take_unrecorded(now, stream_record::MAX_STREAMS);
        if batch.is_empty() {
            continue;
        }
        if append(&core, now, batch).await {
            backoff.reset();
        } else {
            backoff.wait().await;
        }
    }
}

/// Appends `batch` to the log, and takes it back if this fails; returns whether it was appended.
async fn append(core: &core::Core, now: clock::Millis, batch: streams::Batch) -> bool {
    let shared = streams::Shared {
        at: now,
        lifetime: core.streams().lifetime(),
        batch,
    };
    let outcome = append_record(core, &shared).await;
    if let Err(reason) = &outcome {
        log::warn!("event=streams-failed reason={reason:?}");
        core.streams().restore(&shared.batch);
    }
    outcome.is_ok()
}

async fn append_record(core: &core::Core, shared: &streams::Shared) -> Result<(), String> {
    let settings = core.settings.load();
    let record = stream_record::encode(settings.name.as_str(), shared)
        .map_err(|reason| reason.to_string())?;
    let message = store::append_streams_request(settings.store, record)
        .map_err(|reason| reason.to_string())?;
    let answer = reader::call(core, message, clock::Millis::ZERO).await?;
    store::check_append_answer(answer.status).map_err(|reason| reason.to_string())
}
