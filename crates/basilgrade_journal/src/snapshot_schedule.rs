//! When a snapshot has to be appended again.

use basilgrade_types::clock;
use basilgrade_types::offset;

/// The newest snapshot seen in a stream and its age.
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
    /// Notes a snapshot in the stream that includes records through `through` and was written
    /// when its writer's clock read `at`.
    pub fn record(&mut self, now: clock::Millis, through: offset::Offset, at: clock::Millis) {
        if self.newest.is_none_or(|newest| through > newest.through) {
            self.newest = Some(SeenSnapshot {
                through,
                at,
                seen: now,
            });
        }
    }

    /// The included offset and the writer's wall time of the newest snapshot.
    pub fn newest(&self) -> Option<(offset::Offset, clock::Millis)> {
        self.newest.map(|snapshot| (snapshot.through, snapshot.at))
    }

    /// Whether a reader whose state ends before `next` should append a snapshot now.
    ///
    /// A snapshot becomes unusable when the record after its `through` is removed, so it is
    /// restated at a third of the retention time. `jitter`, below a twelfth of the retention time,
    /// keeps the readers of all failure domains from appending at once. The age is the larger of
    /// the time since the snapshot was seen and the time since its writer's clock, so that readers
    /// that restart often still see it grow old; a writer's clock that runs ahead only removes
    /// this second estimate.
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
        // Nothing but the snapshot itself has been appended since: there is still no way to start
        // from it once the record after `through` is gone, so it ages like any other.
        age >= clock::Millis(retention.0 / 3).plus(jitter)
    }
}
