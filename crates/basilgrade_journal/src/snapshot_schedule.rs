//! Schedule of the snapshots that readers append to a log stream.

use basilgrade_types::clock;
use basilgrade_types::offset;

/// The newest snapshot seen in a log stream, from which the next one is scheduled.
#[derive(Clone, Copy, Debug, Default)]
pub struct SnapshotSchedule {
    newest: Option<SeenSnapshot>,
}

#[derive(Clone, Copy, Debug)]
struct SeenSnapshot {
    through: offset::Offset,
    at: clock::Millis,
    seen: clock::Millis,
}

impl SnapshotSchedule {
    /// Records that the stream has a snapshot which includes all records up to `through` and was
    /// written when its writer's clock read `at`.
    pub fn record(&mut self, now: clock::Millis, through: offset::Offset, at: clock::Millis) {
        if self.newest.is_none_or(|newest| through > newest.through) {
            self.newest = Some(SeenSnapshot {
                through,
                at,
                seen: now,
            });
        }
    }

    /// The offset of the last record that the newest snapshot includes, and the wall-clock time of
    /// its writer.
    pub fn newest(&self) -> Option<(offset::Offset, clock::Millis)> {
        self.newest.map(|snapshot| (snapshot.through, snapshot.at))
    }

    /// Whether a reader whose state ends before `next` should append a snapshot now.
    ///
    /// A snapshot becomes unusable when the log removes the record after its `through`, so a new
    /// snapshot is due after a third of the retention time. `jitter`, which is less than a twelfth
    /// of the retention time, keeps the readers of all failure domains from appending at the same
    /// time.
    ///
    /// The age of a snapshot is the larger of the time since this reader saw it and the time since
    /// its writer's timestamp. The timestamp covers readers that restart often, which lose the time
    /// at which they saw the snapshot. If the writer's clock is ahead, only the first value counts.
    pub fn is_due(
        &self,
        now: clock::Millis,
        retention: clock::Millis,
        jitter: clock::Millis,
        next: offset::Offset,
    ) -> bool {
        let Some(snapshot) = self.newest else {
            return next.0 > 0;
        };
        let age = now.since(snapshot.seen).max(now.since(snapshot.at));
        // The age counts even if no record but the snapshot itself was appended since: once the log
        // has removed the record after `through`, replay cannot start from the snapshot.
        age >= clock::Millis(retention.0 / 3).plus(jitter)
    }
}
