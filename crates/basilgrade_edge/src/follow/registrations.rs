//! Reads of the registrations of upstreams on demand, for decisions that need a directory which is
//! not behind.

use std::fmt;
use std::sync;
use std::sync::atomic;

use basilgrade_adapter::store;
use basilgrade_adapter::upstream_registration;
use basilgrade_fleet::news_pace;
use basilgrade_types::clock;

use crate::core;
use crate::follow::mirrors;
use crate::follow::position;
use crate::follow::reader;

/// Minimum interval between two reads for each daemon of the deployment.
const READ_INTERVAL_PER_DAEMON: clock::Millis = clock::Millis(1);

/// Time-out for the answer of the daemon that reads the store for this one, which may make two calls
/// to the store one after the other.
const REPLY_TIMEOUT: clock::Millis = clock::Millis(2500);

/// Time-out for a read whose caller goes on without it; that of one call to the store.
const CONFIRM_TIMEOUT: clock::Millis = news_pace::STORE_TIMEOUT;

/// Maximum number of calls for all registrations that there have been.
const MAX_HISTORY_CALLS: usize = 16;

/// Brings the registrations that this daemon knows up to date.
pub struct Registrations {
    core: sync::Arc<core::Core>,
    mirrors: sync::Arc<mirrors::Mirrors>,
    reader: reader::TopicReader,
    /// Number of reads that have begun.
    begun: atomic::AtomicU64,
    last: tokio::sync::Mutex<LastRead>,
    /// Whether the read of all registrations that there have been has ended.
    has_history: tokio::sync::Mutex<bool>,
}

impl fmt::Debug for Registrations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Registrations").finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct LastRead {
    /// Number of the last read that ended.
    number: u64,
    began_at: clock::Millis,
    outcome: Result<(), String>,
}

impl Registrations {
    pub fn new(core: sync::Arc<core::Core>, mirrors: sync::Arc<mirrors::Mirrors>) -> Self {
        let topic = store::Topic::Upstreams;
        Self {
            reader: reader::TopicReader::new(
                sync::Arc::clone(&core),
                sync::Arc::clone(&mirrors),
                topic,
            ),
            core,
            mirrors,
            begun: atomic::AtomicU64::new(0),
            last: tokio::sync::Mutex::new(LastRead {
                number: 0,
                began_at: clock::Millis::ZERO,
                outcome: Ok(()),
            }),
            has_history: tokio::sync::Mutex::default(),
        }
    }

    /// Learns which software versions have ever served, if the store still has the first
    /// registration, as it does soon after the start of a deployment. A daemon that has just started
    /// then knows what it would otherwise have to observe for as long as a stream can last.
    ///
    /// # Errors
    ///
    /// A message if the store could not be read.
    pub async fn read_history(&self) -> Result<(), String> {
        let mut has_history = self.has_history.lock().await;
        if *has_history {
            return Ok(());
        }
        let is_complete = self.record_history().await?;
        *has_history = true;
        if is_complete {
            self.core.streams().record_history();
        }
        log::info!("event=registrations-reviewed complete={is_complete}");
        Ok(())
    }

    /// Records all registrations from the first one on; `false` if the store no longer has it, has
    /// come back from a copy, or has too many.
    async fn record_history(&self) -> Result<bool, String> {
        let address = self.core.settings.load().store;
        let mut from = 0;
        for _ in 0..MAX_HISTORY_CALLS {
            let wait = clock::Millis::ZERO;
            let message = store::read_request(address, store::Topic::Upstreams, from, wait, None)
                .map_err(|reason| reason.to_string())?;
            let answer = reader::call(&self.core, message, wait).await?;
            let is_original = store::era(&answer.headers) == 0;
            let (end, first) = store::log_bounds(answer.status, &answer.body)
                .ok_or_else(|| format!("status `{}` of the read", answer.status))?;
            let read = store::decode_read_answer(answer.status, answer.body, from)
                .map_err(|reason| reason.to_string())?;
            let store::ReadOutcome::Records { records, next } = read else {
                return Ok(false);
            };
            if first > 0 || !is_original {
                return Ok(false);
            }
            for record in records.into_iter().flatten() {
                // A registration that is unreadable names no upstream to use.
                if let Some(value) = record.value
                    && let Ok(entry) = upstream_registration::decode(&record.key, &value)
                {
                    self.core.record_registration(&entry);
                }
            }
            if next >= end {
                return Ok(true);
            }
            from = next;
        }
        Ok(false)
    }

    /// Learns all registrations that the store had when the call began, through the daemon that
    /// reads the store for this one if it answers.
    ///
    /// # Errors
    ///
    /// A message if the store could not be read, or has lately lost registrations.
    pub async fn refresh(&self) -> Result<(), String> {
        if !self.refresh_from_reader().await {
            self.read().await?;
        }
        if self.mirrors.is_restored_lately() {
            return Err("the store was restored from a copy a short time ago".to_owned());
        }
        Ok(())
    }

    /// Like [`Registrations::refresh`], for a caller that goes on without if this takes too long.
    ///
    /// # Errors
    ///
    /// A message if the registrations may not be current.
    pub async fn confirm(&self) -> Result<(), String> {
        if !self.mirrors.is_store_reachable() {
            return Err("the store does not answer".to_owned());
        }
        tokio::time::timeout(CONFIRM_TIMEOUT.duration(), self.refresh())
            .await
            .map_err(|_| "the store does not answer in time".to_owned())?
    }

    async fn refresh_from_reader(&self) -> bool {
        let Some(reader) = self.mirrors.other_reader(|_| true) else {
            return false;
        };
        // Callers wait for the registrations, which a large configuration would delay.
        let mut positions = self.mirrors.positions();
        positions[mirrors::topic_index(store::Topic::Operators)] = Some(position::Position::MAX);
        let call =
            self.core
                .links
                .call(reader.address, REPLY_TIMEOUT, |peer, context| async move {
                    peer.refresh(context, positions).await
                });
        match call.await {
            Ok(updates) if updates.is_store_reachable => {
                self.mirrors.apply_reply(updates, true);
                true
            }
            _ => false,
        }
    }

    /// Reads all registrations that the store had when the call began.
    ///
    /// # Errors
    ///
    /// A message if the store could not be read.
    pub async fn read(&self) -> Result<(), String> {
        let begun = self.begun.load(atomic::Ordering::Relaxed);
        let mut last = self.last.lock().await;
        // A read that began later serves this call too.
        if last.number > begun {
            return last.outcome.clone();
        }
        let daemons = self.core.view.load().daemons as u64;
        let interval = clock::Millis(READ_INTERVAL_PER_DAEMON.0 * daemons);
        let due = last.began_at.plus(interval);
        tokio::time::sleep((due - self.core.now()).duration()).await;
        last.began_at = self.core.now();
        let number = self.begun.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        last.outcome = self.reader.read_to_end().await;
        last.number = number;
        last.outcome.clone()
    }
}
