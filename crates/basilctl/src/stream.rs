//! Stream `config` as an operator's tool reads it.

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

/// Records asked for in one read.
const BATCH: usize = 256;

/// The configuration in force, as far as the stream has been read.
pub struct Stream {
    fold: replayer::Replayer<config_state::ConfigState>,
    clock: clock::SystemClock,
}

impl Default for Stream {
    fn default() -> Self {
        let merge: Arc<dyn merge::Merge> = Arc::new(config_merge::ConfigMerge);
        Self {
            fold: replayer::Replayer::new(merge),
            clock: clock::SystemClock::new(),
        }
    }
}

impl Stream {
    /// Reads the stream up to its end.
    ///
    /// # Errors
    ///
    /// If the log cannot be read, or retention has removed what is needed.
    pub async fn catch_up(
        &mut self,
        log: &dyn log_service::LogService,
    ) -> Result<(), error::StreamError> {
        loop {
            let from = self.fold.read_offset();
            let batch = match log.read(stream::CONFIG, from, BATCH).await {
                Err(platform_error::ReadError::Expired(first)) => {
                    log.read(stream::CONFIG, first, BATCH).await?
                }
                answer => answer?,
            };
            let done = batch.records.is_empty();
            self.fold
                .replay_chunk(self.clock.now(), &to_chunk(from, batch));
            if done && self.fold.is_current() {
                return Ok(());
            }
            if done {
                return Err(error::StreamError::Incomplete);
            }
        }
    }

    /// The revision in force; 0 if there is none.
    pub const fn revision(&self) -> revision::Revision {
        self.fold.state().revision()
    }

    /// The text in force.
    pub fn text(&self) -> &str {
        self.fold.state().text()
    }

    /// What became of a publication, as far as the stream has been read.
    pub fn outcome(&self, publication: &publication::Publication) -> publication::Outcome {
        publication.outcome(self.fold.state(), self.fold.next())
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
