//! Frees stage results at the upstreams that hold them, in batches.

use std::mem;
use std::sync;

use basilgrade_adapter::answer;
use basilgrade_adapter::piece_calls;
use basilgrade_fleet::limit;
use basilgrade_fleet::model::allowed_regions;
use basilgrade_fleet::model::handle;
use basilgrade_types::clock;
use compact_str::CompactString;
use indexmap::IndexMap;

use crate::core;
use crate::http::single_call;
use crate::permits;
use crate::tunnel::dialer;

/// Delay before results are freed, which collects the results of one call into one request. Until
/// then the results take up memory at their upstreams.
const BATCH_DELAY: clock::Millis = clock::Millis(25);

/// Time-out of the call that frees results; if the call fails, the upstream expires the results.
const CALL_TIMEOUT: clock::Millis = clock::Millis(1000);

/// Calls that free results carry nothing of a request.
const ANY_REGION: allowed_regions::AllowedRegions = allowed_regions::AllowedRegions::ANYWHERE;

/// Results to be freed, grouped by the upstream that holds them.
pub struct ResultReleases {
    core: sync::Arc<core::Core>,
    pending: sync::Mutex<IndexMap<CompactString, Vec<handle::Handle>>>,
}

impl ResultReleases {
    pub fn new(core: sync::Arc<core::Core>) -> Self {
        Self {
            core,
            pending: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<CompactString, Vec<handle::Handle>>> {
        self.pending
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Adds results, to be freed after `BATCH_DELAY` together with others.
    pub fn add(self: &sync::Arc<Self>, handles: Vec<handle::Handle>) {
        if handles.is_empty() {
            return;
        }
        let was_empty = {
            let mut pending = self.lock();
            let was_empty = pending.is_empty();
            for handle in handles {
                let holder = handle.0.split('/').next().unwrap_or_default();
                pending
                    .entry(CompactString::new(holder))
                    .or_default()
                    .push(handle);
            }
            was_empty
        };
        if was_empty {
            let releases = sync::Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(BATCH_DELAY.duration()).await;
                releases.send_pending().await;
            });
        }
    }

    async fn send_pending(&self) {
        let pending = mem::take(&mut *self.lock());
        let calls = pending
            .iter()
            .map(|(holder, handles)| self.release_at(holder, handles));
        futures::future::join_all(calls).await;
    }

    async fn release_at(&self, holder: &str, handles: &[handle::Handle]) {
        let Ok(address) = holder.parse() else {
            log::warn!(
                "event=release-failed holder={holder:?} reason=\"the holder is not a socket address\""
            );
            return;
        };
        // The results of an upstream that is gone are gone as well.
        let view = self.core.view.load_full();
        let Some(entry) = view.directory.at(address).cloned() else {
            return;
        };
        // The memory of an upstream that is leaving or evacuated serves no further call for as long
        // as it keeps the results.
        if entry.stats.notices.is_leaving() || view.directory.is_evacuated(&entry) {
            return;
        }
        let paused_until = || entry.stats.notices.paused_until();
        let pause = paused_until() - self.core.now();
        if pause > clock::Millis::ZERO {
            tokio::time::sleep(pause.duration()).await;
        }
        let permit = permits::acquire(&self.core, &entry, limit::Claim::Any, false);
        if permit.await.is_err() {
            log::info!(
                "event=release-skipped holder={holder} reason=\"the upstream is at its request limit\""
            );
            return;
        }
        let message = match piece_calls::free_request(holder, handles) {
            Ok(message) => message,
            Err(reason) => {
                log::warn!(
                    "event=release-failed holder={holder} reason={:?}",
                    reason.to_string()
                );
                return;
            }
        };
        let connecting = dialer::open(&self.core, &entry, &ANY_REGION);
        let is_allowed = || {
            let view = self.core.view.load();
            self.core.now() >= paused_until() && !view.directory.is_evacuated(&entry)
        };
        let held = self.core.answers.hold(entry.address);
        let call = single_call::send(connecting, message, held, is_allowed);
        match tokio::time::timeout(CALL_TIMEOUT.duration(), call).await {
            Ok(Ok(reply)) => {
                let answer = answer::Answer::decode(reply.status, &reply.headers, "");
                self.core.record_notices(&entry, &answer, 1);
            }
            Ok(Err(failure)) => {
                log::info!(
                    "event=release-failed holder={holder} reason={:?}",
                    failure.reason
                );
            }
            Err(_) => log::info!(
                "event=release-failed holder={holder} reason=\"no answer within the time-out\""
            ),
        }
    }
}
