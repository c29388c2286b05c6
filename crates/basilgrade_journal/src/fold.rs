//! Replay of a stream.

use std::sync::Arc;

use basilgrade_types::clock;
use basilgrade_types::offset;

use crate::chunk;
use crate::entry;
use crate::export;
use crate::replay;
use crate::snapshot_schedule;

/// Whether the state is known up to the read position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Nothing has been read yet.
    New,
    /// The state includes all records before `next`.
    Warm,
    /// Records before `scan` hold no usable snapshot; the state is stale.
    Cold { scan: offset::Offset },
}

/// A reader's position in a stream and the state up to there.
///
/// State and position only move forward: a snapshot or a peer's state is taken only if it includes
/// at least as many records as the state at hand.
pub struct Fold<S: replay::Replay> {
    context: Arc<S::Context>,
    state: S,
    next: offset::Offset,
    phase: Phase,
    schedule: snapshot_schedule::SnapshotSchedule,
    skipped: u64,
}

impl<S: replay::Replay> Fold<S> {
    /// A fold that has read nothing.
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

    /// The newest state known; stale while [`Fold::is_current`] is false.
    pub const fn state(&self) -> &S {
        &self.state
    }

    /// The first offset that the state does not include.
    pub const fn next(&self) -> offset::Offset {
        self.next
    }

    /// The offset to read from, which is below [`Fold::next`] never and above it while searching
    /// for a snapshot.
    pub const fn wanted(&self) -> offset::Offset {
        match self.phase {
            Phase::New | Phase::Warm => self.next,
            Phase::Cold { scan } => scan,
        }
    }

    /// Whether the state includes every record before [`Fold::next`] and reading continues there.
    ///
    /// False for a new fold, and after retention removed records that were not read in time.
    pub const fn is_current(&self) -> bool {
        matches!(self.phase, Phase::Warm)
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
    /// A chunk that does not continue at [`Fold::wanted`] has no effect beyond the part that does.
    pub fn feed(&mut self, now: clock::Millis, chunk: &chunk::Chunk) -> Vec<S::Event> {
        let mut events = Vec::new();
        match self.phase {
            Phase::New if chunk.first.0 == 0 => self.phase = Phase::Warm,
            Phase::New | Phase::Warm if chunk.first > self.next => {
                self.phase = Phase::Cold { scan: chunk.first };
            }
            Phase::New => return events,
            Phase::Warm | Phase::Cold { .. } => {}
        }
        if let Phase::Cold { scan } = self.phase {
            if chunk.first > scan {
                self.phase = Phase::Cold { scan: chunk.first };
            }
            self.search(now, chunk);
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
        match S::restore(record) {
            Ok((through, at, _)) => self.schedule.saw(now, through, at),
            Err(record) => self
                .state
                .apply(&self.context, entry.offset, record, events),
        }
    }

    /// Looks for the newest snapshot in `chunk` from which replay can start.
    fn search(&mut self, now: clock::Millis, chunk: &chunk::Chunk) {
        let Phase::Cold { scan } = self.phase else {
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
            if let Ok((through, at, state)) = S::restore(record) {
                let resume = through.next();
                // A snapshot includes records before itself only; one that claims more is false.
                // The search begins beyond the position, so what is found includes more.
                if through < entry.offset && resume >= chunk.first && state.follows(&self.state) {
                    found = Some((through, at, state));
                }
            }
        }
        self.phase = Phase::Cold {
            scan: scan.max(chunk.next),
        };
        if let Some((through, at, state)) = found {
            self.state = state;
            self.next = through.next();
            self.phase = Phase::Warm;
            self.schedule.saw(now, through, at);
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
            export.next > self.next || (export.next == self.next && self.phase == Phase::New);
        if !ahead || !export.state.follows(&self.state) {
            return false;
        }
        self.state = export.state;
        self.next = export.next;
        self.phase = Phase::Warm;
        if let Some((through, at)) = export.snapshot {
            self.schedule.saw(now, through, at);
        }
        true
    }

    /// A snapshot of the state to append; `None` if there is nothing to restate or the state is
    /// not current.
    pub fn snapshot(&self, now: clock::Millis) -> Option<S::Record> {
        let through = offset::Offset(self.next.0.checked_sub(1)?);
        self.is_current().then(|| self.state.restate(through, now))
    }
}
