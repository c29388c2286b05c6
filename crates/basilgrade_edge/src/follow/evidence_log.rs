//! Publication of this daemon's evidence about requests and prompt parts that crash engines.
//!
//! The evidence is part of the topic of daemons, so every daemon learns it like the registrations:
//! from the store or from its reader, and at its start.

use std::sync;

use basilgrade_adapter::evidence;
use basilgrade_adapter::record;
use basilgrade_adapter::store;
use basilgrade_fleet::suspects;
use basilgrade_types::clock;

use crate::core;
use crate::follow::backoff;
use crate::follow::reader;

/// Delay before evidence is published, which collects the requests that one crash breaks.
const BATCH_DELAY: clock::Millis = clock::Millis(100);

/// Interval between checks for expired evidence while there is no new evidence.
const EXPIRY_INTERVAL: clock::Millis = clock::Millis(20_000);

/// Publishes evidence whenever it has changed; never returns.
pub async fn publish(core: sync::Arc<core::Core>) {
    let mut backoff = backoff::Backoff::default();
    loop {
        let notified = core.evidence_changed.notified();
        // After the time-out, evidence may have expired.
        let _ = tokio::time::timeout(EXPIRY_INTERVAL.duration(), notified).await;
        tokio::time::sleep(BATCH_DELAY.duration()).await;
        let name = core.settings.load().name.clone();
        let (dropped, changed) = {
            let mut known = core.suspects();
            (known.take_dropped(core.now()), known.take_changed(&name))
        };
        if changed.is_empty() && dropped.is_empty() {
            continue;
        }
        let removal = |suspect: &suspects::Suspect| record::Record {
            key: evidence::key(*suspect, &name),
            value: None,
        };
        let mut records: Vec<_> = dropped.iter().map(removal).collect();
        for (suspect, known) in &changed {
            match evidence::encode(known) {
                Ok(value) => records.push(record::Record {
                    key: evidence::key(*suspect, &name),
                    value: Some(value),
                }),
                Err(reason) => log::error!("event=evidence-failed reason={:?}", reason.to_string()),
            }
            log::info!(
                "event=evidence suspect={suspect} crashes={} answered_at={} blocked={}",
                known.crashes.len(),
                known.answered_at,
                core.suspects().is_blocked(&[*suspect])
            );
        }
        if let Err(reason) = reader::append(&core, store::Topic::Daemons, &records).await {
            log::warn!("event=evidence-failed reason={reason:?}");
            let changed = changed.iter().map(|(suspect, _)| *suspect);
            core.suspects().restore(changed, dropped);
            backoff.wait().await;
            core.evidence_changed.notify_one();
        } else {
            backoff.reset();
        }
    }
}
