//! Reads log stream `config`, which contains the published configurations.

pub mod error;

use std::sync::Arc;

use basilgrade_journal::chunk;
use basilgrade_journal::config_merge;
use basilgrade_journal::config_state;
use basilgrade_journal::entry;
use basilgrade_journal::merge;
use basilgrade_journal::publication;
use basilgrade_journal::replayer;
use basilgrade_journal::stream;
use basilgrade_platform::error as platform_error;
use basilgrade_platform::log_service;
use basilgrade_types::clock;
use basilgrade_types::clock::Clock;
use basilgrade_types::offset;
use basilgrade_types::revision;

/// The maximum number of records in one read.
const BATCH_RECORDS: usize = 256;

/// The configuration in force according to the part of log stream `config` read so far.
pub struct Stream {
    replayer: replayer::Replayer<config_state::ConfigState>,
    clock: clock::SystemClock,
}

impl Default for Stream {
    fn default() -> Self {
        let merge: Arc<dyn merge::Merge> = Arc::new(config_merge::ConfigMerge);
        Self {
            replayer: replayer::Replayer::new(merge),
            clock: clock::SystemClock::new(),
        }
    }
}

impl Stream {
    /// Reads the stream up to its end.
    ///
    /// # Errors
    ///
    /// If the log cannot be read, or if retention has removed records that no snapshot includes.
    pub async fn catch_up(
        &mut self,
        log: &dyn log_service::LogService,
    ) -> Result<(), error::StreamError> {
        loop {
            let from = self.replayer.read_offset();
            let batch = match log.read(stream::CONFIG, from, BATCH_RECORDS).await {
                Err(platform_error::ReadError::Expired(first)) => {
                    log.read(stream::CONFIG, first, BATCH_RECORDS).await?
                }
                result => result?,
            };
            let at_end = batch.records.is_empty();
            self.replayer
                .replay_chunk(self.clock.now(), &to_chunk(from, batch));
            if at_end && self.replayer.is_current() {
                return Ok(());
            }
            if at_end {
                return Err(error::StreamError::Incomplete);
            }
        }
    }

    /// The revision in force; 0 if no configuration was published.
    pub const fn revision(&self) -> revision::Revision {
        self.replayer.state().revision()
    }

    /// The canonical text of the configuration in force; empty if none was published.
    pub fn text(&self) -> &str {
        self.replayer.state().text()
    }

    /// The outcome of a publication according to the part of the stream read so far.
    pub fn outcome(&self, publication: &publication::Publication) -> publication::Outcome {
        publication.outcome(self.replayer.state(), self.replayer.next())
    }
}

fn to_chunk(from: offset::Offset, batch: log_service::Batch) -> chunk::Chunk {
    let entries = batch.records.into_iter().map(|record| entry::Entry {
        offset: record.offset,
        body: record.body,
    });
    chunk::Chunk {
        from: from.max(batch.first),
        first: batch.first,
        next: batch.next,
        entries: entries.collect(),
    }
}
