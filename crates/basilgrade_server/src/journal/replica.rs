//! Replay of one stream, fed from the log or from a peer.

use std::sync;

use basilgrade_journal::chunk;
use basilgrade_journal::entry;
use basilgrade_journal::replay;
use basilgrade_journal::replayer;
use basilgrade_peer::transfer;
use basilgrade_platform::error;
use basilgrade_platform::log_service;
use basilgrade_types::clock;
use basilgrade_types::offset;

/// Records asked for in one read.
pub const READ_BATCH: usize = 256;

/// Records kept for peers that are behind; older ones are served as a whole state.
const TAIL_LENGTH: usize = 256;

struct Inner<S: replay::Replay> {
    fold: replayer::Replayer<S>,
    tail: std::collections::VecDeque<entry::Entry>,
    first: offset::Offset,
}

/// One stream as replayed by this daemon.
pub struct Replica<S: replay::Replay> {
    inner: sync::Mutex<Inner<S>>,
}

impl<S: replay::Replay> Replica<S> {
    /// A replica that has read nothing.
    pub fn new(context: sync::Arc<S::Context>) -> Self {
        Self {
            inner: sync::Mutex::new(Inner {
                fold: replayer::Replayer::new(context),
                tail: std::collections::VecDeque::new(),
                first: offset::Offset::default(),
            }),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner<S>> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Calls `look` with the replay.
    pub fn with<T>(&self, look: impl FnOnce(&replayer::Replayer<S>) -> T) -> T {
        look(&self.lock().fold)
    }

    /// The first offset that the state does not include.
    pub fn next(&self) -> offset::Offset {
        self.lock().fold.next()
    }

    /// Whether the state is known up to [`Replica::next`].
    pub fn is_current(&self) -> bool {
        self.lock().fold.is_current()
    }

    /// Feeds records and says whether the state moved on.
    pub fn feed(&self, now: clock::Millis, chunk: &chunk::Chunk) -> bool {
        let mut inner = self.lock();
        let before = inner.fold.next();
        inner.fold.replay_chunk(now, chunk);
        if chunk.from > inner.first.max(before) || inner.tail.is_empty() {
            inner.tail.clear();
            inner.first = chunk.from.max(chunk.first);
        }
        for entry in &chunk.entries {
            let known = inner
                .tail
                .back()
                .is_some_and(|last| last.offset >= entry.offset);
            if !known {
                inner.tail.push_back(entry.clone());
            }
        }
        while inner.tail.len() > TAIL_LENGTH {
            if let Some(dropped) = inner.tail.pop_front() {
                inner.first = dropped.offset.next();
            }
        }
        inner.fold.next() > before
    }

    /// What a peer gets that has everything before `from`.
    pub fn transfer(&self, from: offset::Offset) -> transfer::Transfer<S> {
        let inner = self.lock();
        let next = inner.fold.next();
        if !inner.fold.is_current() || (next <= from && from.0 > 0) {
            return transfer::Transfer::Nothing;
        }
        if from >= inner.first && !inner.tail.is_empty() {
            let entries = inner
                .tail
                .iter()
                .filter(|entry| entry.offset >= from)
                .cloned()
                .collect();
            return transfer::Transfer::Records(chunk::Chunk {
                from,
                first: inner.first,
                next,
                entries,
            });
        }
        inner
            .fold
            .export()
            .map_or(transfer::Transfer::Nothing, transfer::Transfer::State)
    }

    /// Takes what a peer sent and says whether the state moved on.
    pub fn take(&self, now: clock::Millis, transfer: transfer::Transfer<S>) -> bool {
        match transfer {
            transfer::Transfer::Nothing => false,
            transfer::Transfer::Records(chunk) => self.feed(now, &chunk),
            transfer::Transfer::State(export) => {
                let mut inner = self.lock();
                let moved = inner.fold.import(now, export);
                if moved {
                    inner.tail.clear();
                    inner.first = inner.fold.next();
                }
                moved
            }
        }
    }

    /// Reads the log to its end and says whether the state moved on.
    ///
    /// # Errors
    ///
    /// The error of the log; what was read before it counts.
    pub async fn catch_up(
        &self,
        log: &dyn log_service::LogService,
        stream: &str,
        now: clock::Millis,
    ) -> Result<bool, error::ReadError> {
        let mut moved = false;
        loop {
            let from = self.with(replayer::Replayer::read_offset);
            let batch = match log.read(stream, from, READ_BATCH).await {
                Ok(batch) => batch,
                Err(error::ReadError::Expired(first)) => {
                    log.read(stream, first, READ_BATCH).await?
                }
                Err(error) => return Err(error),
            };
            let done = batch.records.is_empty();
            moved |= self.feed(now, &to_chunk(from, batch));
            if done {
                return Ok(moved);
            }
        }
    }
}

fn to_chunk(from: offset::Offset, batch: log_service::Batch) -> chunk::Chunk {
    let entries = batch
        .records
        .into_iter()
        .map(|record| entry::Entry {
            offset: record.offset,
            body: record.body,
        })
        .collect();
    chunk::Chunk {
        from: from.max(batch.first),
        first: batch.first,
        next: batch.next,
        entries,
    }
}
