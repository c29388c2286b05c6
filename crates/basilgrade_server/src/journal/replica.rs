//! Replay of one log stream, from the log service or from a peer.

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

/// Maximum number of records requested in one read of the log.
pub const READ_BATCH: usize = 256;

/// Maximum number of records kept for peers that lag behind; a peer that needs older records gets
/// the whole state.
const MAX_RECENT_ENTRIES: usize = 256;

struct ReplicaState<S: replay::Replay> {
    replayer: replayer::Replayer<S>,
    recent_entries: std::collections::VecDeque<entry::Entry>,
    first_recent: offset::Offset,
}

/// State of one log stream as replayed by this daemon.
pub struct Replica<S: replay::Replay> {
    state: sync::Mutex<ReplicaState<S>>,
}

impl<S: replay::Replay> Replica<S> {
    /// Creates a replica that has replayed nothing.
    pub fn new(context: sync::Arc<S::Context>) -> Self {
        Self {
            state: sync::Mutex::new(ReplicaState {
                replayer: replayer::Replayer::new(context),
                recent_entries: std::collections::VecDeque::new(),
                first_recent: offset::Offset::default(),
            }),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, ReplicaState<S>> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Calls `inspect` with the replayer.
    pub fn with<T>(&self, inspect: impl FnOnce(&replayer::Replayer<S>) -> T) -> T {
        inspect(&self.lock().replayer)
    }

    /// The first offset that the state does not include.
    pub fn next(&self) -> offset::Offset {
        self.lock().replayer.next()
    }

    /// Whether the state includes every record before [`Replica::next`].
    pub fn is_current(&self) -> bool {
        self.lock().replayer.is_current()
    }

    /// Replays records and returns whether the state advanced.
    pub fn apply_chunk(&self, now: clock::Millis, chunk: &chunk::Chunk) -> bool {
        let mut state = self.lock();
        let before = state.replayer.next();
        state.replayer.replay_chunk(now, chunk);
        if chunk.from > state.first_recent.max(before) || state.recent_entries.is_empty() {
            state.recent_entries.clear();
            state.first_recent = chunk.from.max(chunk.first);
        }
        for entry in &chunk.entries {
            let known = state
                .recent_entries
                .back()
                .is_some_and(|last| last.offset >= entry.offset);
            if !known {
                state.recent_entries.push_back(entry.clone());
            }
        }
        while state.recent_entries.len() > MAX_RECENT_ENTRIES {
            if let Some(dropped) = state.recent_entries.pop_front() {
                state.first_recent = dropped.offset.next();
            }
        }
        state.replayer.next() > before
    }

    /// The transfer for a peer that has replayed everything before `from`.
    pub fn transfer(&self, from: offset::Offset) -> transfer::Transfer<S> {
        let state = self.lock();
        let next = state.replayer.next();
        if !state.replayer.is_current() || (next <= from && from.0 > 0) {
            return transfer::Transfer::Nothing;
        }
        if from >= state.first_recent && !state.recent_entries.is_empty() {
            let entries = state
                .recent_entries
                .iter()
                .filter(|entry| entry.offset >= from)
                .cloned()
                .collect();
            return transfer::Transfer::Records(chunk::Chunk {
                from,
                first: state.first_recent,
                next,
                entries,
            });
        }
        state
            .replayer
            .export()
            .map_or(transfer::Transfer::Nothing, transfer::Transfer::State)
    }

    /// Applies a transfer from a peer and returns whether the state advanced.
    pub fn apply_transfer(&self, now: clock::Millis, transfer: transfer::Transfer<S>) -> bool {
        match transfer {
            transfer::Transfer::Nothing => false,
            transfer::Transfer::Records(chunk) => self.apply_chunk(now, &chunk),
            transfer::Transfer::State(export) => {
                let mut state = self.lock();
                let advanced = state.replayer.import(now, export);
                if advanced {
                    state.recent_entries.clear();
                    state.first_recent = state.replayer.next();
                }
                advanced
            }
        }
    }

    /// Reads the log to its end and returns whether the state advanced.
    ///
    /// # Errors
    ///
    /// Returns the error of the log service; records read before it stay applied.
    pub async fn catch_up(
        &self,
        log: &dyn log_service::LogService,
        stream: &str,
        now: clock::Millis,
    ) -> Result<bool, error::ReadError> {
        let mut advanced = false;
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
            advanced |= self.apply_chunk(now, &to_chunk(from, batch));
            if done {
                return Ok(advanced);
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
