//! Replay of a stream.

use std::sync::Arc;

use basilgrade_types::clock;
use basilgrade_types::offset;

use crate::chunk;
use crate::entry;
use crate::export;
use crate::snapshot_schedule;
use crate::stream_state;

/// Whether the state is known up to the read position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Nothing has been read yet.
    Unread,
    /// The state includes all records before `next`.
    Current,
    /// Records before `position` hold no usable snapshot; the state is stale.
    Searching { position: offset::Offset },
}

/// A reader's position in a stream and the state up to there.
///
/// State and position only move forward: a snapshot or a peer's state is taken only if it includes
/// at least as many records as the state at hand.
pub struct Replayer<S: stream_state::StreamState> {
    context: Arc<S::Context>,
    state: S,
    next: offset::Offset,
    phase: Phase,
    schedule: snapshot_schedule::SnapshotSchedule,
    skipped: u64,
}

impl<S: stream_state::StreamState> Replayer<S> {
    /// A fold that has read nothing.
    pub fn new(context: Arc<S::Context>) -> Self {
        Self {
            context,
            state: S::default(),
            next: offset::Offset(0),
            phase: Phase::Unread,
            schedule: snapshot_schedule::SnapshotSchedule::default(),
            skipped: 0,
        }
    }

    /// The newest state known; stale while [`Replayer::is_current`] is false.
    pub const fn state(&self) -> &S {
        &self.state
    }

    /// The first offset that the state does not include.
    pub const fn next(&self) -> offset::Offset {
        self.next
    }

    /// The offset to read from, which is below [`Replayer::next`] never and above it while searching
    /// for a snapshot.
    pub const fn read_offset(&self) -> offset::Offset {
        match self.phase {
            Phase::Unread | Phase::Current => self.next,
            Phase::Searching { position } => position,
        }
    }

    /// Whether the state includes every record before [`Replayer::next`] and reading continues there.
    ///
    /// False for a new fold, and after retention removed records that were not read in time.
    pub const fn is_current(&self) -> bool {
        matches!(self.phase, Phase::Current)
    }

    /// The number of entries that were not records of this stream.
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// When a snapshot has to be appended again.
    pub const fn schedule(&self) -> &snapshot_schedule::SnapshotSchedule {
        &self.schedule
    }

    /// Replays a part of the stream and returns what its records did.
    ///
    /// A chunk that does not continue at [`Replayer::read_offset`] has no effect beyond the part that does.
    pub fn replay_chunk(&mut self, now: clock::Millis, chunk: &chunk::Chunk) -> Vec<S::Event> {
        let mut events = Vec::new();
        match self.phase {
            Phase::Unread if chunk.first.0 == 0 => self.phase = Phase::Current,
            Phase::Unread | Phase::Current if chunk.first > self.next => {
                self.phase = Phase::Searching {
                    position: chunk.first,
                };
            }
            Phase::Unread => return events,
            Phase::Current | Phase::Searching { .. } => {}
        }
        if let Phase::Searching { position } = self.phase {
            if chunk.first > position {
                self.phase = Phase::Searching {
                    position: chunk.first,
                };
            }
            self.find_snapshot(now, chunk);
            return events;
        }
        if chunk.from > self.next {
            return events;
        }
        for entry in &chunk.entries {
            if entry.offset >= self.next {
                self.apply(now, entry, &mut events);
                self.next = entry.offset.next();
            }
        }
        self.next = self.next.max(chunk.next);
        events
    }

    fn apply(&mut self, now: clock::Millis, entry: &entry::Entry, events: &mut Vec<S::Event>) {
        let Ok(record) = serde_json::from_slice::<S::Record>(&entry.body) else {
            self.skipped += 1;
            return;
        };
        match S::from_snapshot(record) {
            Ok((through, at, _)) => self.schedule.record(now, through, at),
            Err(record) => self
                .state
                .apply(&self.context, entry.offset, record, events),
        }
    }

    /// Looks for the newest snapshot in `chunk` from which replay can start.
    fn find_snapshot(&mut self, now: clock::Millis, chunk: &chunk::Chunk) {
        let Phase::Searching { position } = self.phase else {
            return;
        };
        if chunk.from > position {
            return;
        }
        let mut found = None;
        for entry in chunk
            .entries
            .iter()
            .filter(|entry| entry.offset >= position)
        {
            let Ok(record) = serde_json::from_slice::<S::Record>(&entry.body) else {
                continue;
            };
            if let Ok((through, at, state)) = S::from_snapshot(record) {
                let resume = through.next();
                // A snapshot includes records before itself only; one that claims more is false.
                // The search begins beyond the position, so what is found includes more.
                if through < entry.offset && resume >= chunk.first && state.can_follow(&self.state)
                {
                    found = Some((through, at, state));
                }
            }
        }
        self.phase = Phase::Searching {
            position: position.max(chunk.next),
        };
        if let Some((through, at, state)) = found {
            self.state = state;
            self.next = through.next();
            self.phase = Phase::Current;
            self.schedule.record(now, through, at);
        }
    }

    /// The state for a peer; `None` while it is not current.
    pub fn export(&self) -> Option<export::Export<S>> {
        self.is_current().then(|| export::Export {
            next: self.next,
            snapshot: self.schedule.newest(),
            state: self.state.clone(),
        })
    }

    /// Takes a peer's state if it includes more records, and says whether it did.
    pub fn import(&mut self, now: clock::Millis, export: export::Export<S>) -> bool {
        let ahead =
            export.next > self.next || (export.next == self.next && self.phase == Phase::Unread);
        if !ahead || !export.state.can_follow(&self.state) {
            return false;
        }
        self.state = export.state;
        self.next = export.next;
        self.phase = Phase::Current;
        if let Some((through, at)) = export.snapshot {
            self.schedule.record(now, through, at);
        }
        true
    }

    /// A snapshot of the state to append; `None` if there is nothing to restate or the state is
    /// not current.
    pub fn snapshot(&self, now: clock::Millis) -> Option<S::Record> {
        let through = offset::Offset(self.next.0.checked_sub(1)?);
        self.is_current()
            .then(|| self.state.to_snapshot(through, now))
    }
}
