//! Replay of a log stream into a state.

use std::sync::Arc;

use basilgrade_types::clock;
use basilgrade_types::offset;

use crate::chunk;
use crate::entry;
use crate::export;
use crate::replay;
use crate::snapshot_schedule;

/// How complete the state is, and where reading continues.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No entry has been read and no state imported yet.
    New,
    /// The state includes all records before `next`.
    Current,
    /// The log removed records that the state does not include, so the state is stale.
    ///
    /// Entries before `scan` have no usable snapshot; the search continues at `scan`.
    Searching { scan: offset::Offset },
}

/// Replays a log stream: holds the state and the position up to which the stream was read.
///
/// State and position only move forward: a snapshot or a peer's state is taken only if it includes
/// at least as many records as the current state.
pub struct Replayer<S: replay::Replay> {
    context: Arc<S::Context>,
    state: S,
    next: offset::Offset,
    phase: Phase,
    schedule: snapshot_schedule::SnapshotSchedule,
    skipped: u64,
}

impl<S: replay::Replay> Replayer<S> {
    /// Creates a replayer with the default state, which has read nothing.
    pub fn new(context: Arc<S::Context>) -> Self {
        Self {
            context,
            state: S::default(),
            next: offset::Offset(0),
            phase: Phase::New,
            schedule: snapshot_schedule::SnapshotSchedule::default(),
            skipped: 0,
        }
    }

    /// The newest known state; stale while [`Replayer::is_current`] is false.
    pub const fn state(&self) -> &S {
        &self.state
    }

    /// The first offset that the state does not include.
    pub const fn next(&self) -> offset::Offset {
        self.next
    }

    /// The offset at which to read the stream next.
    ///
    /// It is [`Replayer::next`], or a higher offset while searching for a snapshot.
    pub const fn read_offset(&self) -> offset::Offset {
        match self.phase {
            Phase::New | Phase::Current => self.next,
            Phase::Searching { scan } => scan,
        }
    }

    /// Whether the state includes every record before [`Replayer::next`] and reading continues
    /// there.
    ///
    /// False for a new replayer, and after the log removed records that were not read in time.
    pub const fn is_current(&self) -> bool {
        matches!(self.phase, Phase::Current)
    }

    /// The number of entries that were not records of this stream.
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// The schedule for appending the next snapshot.
    pub const fn schedule(&self) -> &snapshot_schedule::SnapshotSchedule {
        &self.schedule
    }

    /// Replays a part of the stream and returns the effects of its records.
    ///
    /// Entries before [`Replayer::next`] and chunks that start after it have no effect; in a search
    /// for a snapshot, the same holds with [`Replayer::read_offset`].
    pub fn replay_chunk(&mut self, now: clock::Millis, chunk: &chunk::Chunk) -> Vec<S::Event> {
        let mut events = Vec::new();
        match self.phase {
            Phase::New if chunk.first.0 == 0 => self.phase = Phase::Current,
            Phase::New | Phase::Current if chunk.first > self.next => {
                self.phase = Phase::Searching { scan: chunk.first };
            }
            Phase::New => return events,
            Phase::Current | Phase::Searching { .. } => {}
        }
        if let Phase::Searching { scan } = self.phase {
            if chunk.first > scan {
                self.phase = Phase::Searching { scan: chunk.first };
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

    /// Searches `chunk` for the newest snapshot from which replay can start.
    fn find_snapshot(&mut self, now: clock::Millis, chunk: &chunk::Chunk) {
        let Phase::Searching { scan } = self.phase else {
            return;
        };
        if chunk.from > scan {
            return;
        }
        let mut found = None;
        for entry in chunk.entries.iter().filter(|entry| entry.offset >= scan) {
            let Ok(record) = serde_json::from_slice::<S::Record>(&entry.body) else {
                continue;
            };
            if let Ok((through, at, state)) = S::from_snapshot(record) {
                let resume = through.next();
                // A snapshot includes records before itself only; one that claims more is invalid.
                // The search starts after `next`, so a usable snapshot includes more records.
                if through < entry.offset && resume >= chunk.first && state.can_follow(&self.state)
                {
                    found = Some((through, at, state));
                }
            }
        }
        self.phase = Phase::Searching {
            scan: scan.max(chunk.next),
        };
        if let Some((through, at, state)) = found {
            self.state = state;
            self.next = through.next();
            self.phase = Phase::Current;
            self.schedule.record(now, through, at);
        }
    }

    /// The state to send to a peer daemon; `None` while the state is not current.
    pub fn export(&self) -> Option<export::Export<S>> {
        self.is_current().then(|| export::Export {
            next: self.next,
            snapshot: self.schedule.newest(),
            state: self.state.clone(),
        })
    }

    /// Replaces the state by a peer's if that includes more records; returns whether it did.
    pub fn import(&mut self, now: clock::Millis, export: export::Export<S>) -> bool {
        let ahead =
            export.next > self.next || (export.next == self.next && self.phase == Phase::New);
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

    /// A snapshot of the state to append; `None` if the state includes no records or is
    /// not current.
    pub fn snapshot(&self, now: clock::Millis) -> Option<S::Record> {
        let through = offset::Offset(self.next.0.checked_sub(1)?);
        self.is_current()
            .then(|| self.state.to_snapshot(through, now))
    }
}
