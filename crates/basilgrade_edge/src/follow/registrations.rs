//! Reads of the registrations of upstreams on demand, for decisions that need a directory which is
//! not behind.

use std::sync;
use std::sync::atomic;

use basilgrade_adapter::store;
use basilgrade_types::clock;

use crate::core;
use crate::follow::mirrors;
use crate::follow::reader;

/// Minimum interval between two reads for each daemon of the deployment.
const READ_INTERVAL_PER_DAEMON: clock::Millis = clock::Millis(1);

/// Time-out for the answer of the daemon that reads the store for this one, which may make two calls
/// to the store one after the other.
const REPLY_TIMEOUT: clock::Millis = clock::Millis(2500);

/// Brings the registrations that this daemon knows up to date.
pub struct Registrations {
    core: sync::Arc<core::Core>,
    mirrors: sync::Arc<mirrors::Mirrors>,
    reader: reader::TopicReader,
    /// Number of reads that have begun.
    begun: atomic::AtomicU64,
    last: tokio::sync::Mutex<LastRead>,
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
        }
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

    async fn refresh_from_reader(&self) -> bool {
        let Some(reader) = self.mirrors.other_reader(|_| true) else {
            return false;
        };
        let positions = self.mirrors.positions();
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
