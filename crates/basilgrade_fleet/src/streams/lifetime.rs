//! Time for which streams are remembered.

use basilgrade_types::clock;
use indexmap::IndexMap;

/// Minimum time for which a stream is remembered.
pub(super) const MIN: clock::Millis = clock::Millis(10_000);

/// Time for which a stream is remembered beyond the longest time-out under which it may have begun.
const MARGIN: clock::Millis = clock::Millis(5000);

/// Longest time from the first event of a stream until a caller takes it up.
///
/// A stream goes on under the time-out with which it began, so a time-out that has been lowered
/// counts until the last stream that began under it has ended.
#[derive(Clone, Debug)]
pub(super) struct Lifetime {
    /// Lifetime of the streams that begin now.
    current: clock::Millis,
    /// Longer or shorter lifetimes of earlier streams, with the time at which the last of these may
    /// have begun.
    former: IndexMap<clock::Millis, clock::Millis>,
}

impl Default for Lifetime {
    fn default() -> Self {
        Self {
            current: MIN,
            former: IndexMap::new(),
        }
    }
}

impl Lifetime {
    /// Records that the streams that begin from the time `now` on may last for `timeout`.
    pub(super) fn record_timeout(&mut self, now: clock::Millis, timeout: clock::Millis) {
        let lifetime = timeout.plus(MARGIN).max(MIN);
        let previous = std::mem::replace(&mut self.current, lifetime);
        if previous != lifetime {
            self.record_former(now, previous);
        }
        self.former
            .retain(|lifetime, begun_at| begun_at.plus(*lifetime) > now);
    }

    /// Records that another daemon remembers, at the time `now`, a stream that began `age` ago.
    ///
    /// A daemon that has started after a time-out was lowered learns of it only from such streams.
    pub(super) fn record_age(&mut self, now: clock::Millis, age: clock::Millis) {
        if age >= self.longest(now) {
            self.record_former(now - age, age.plus(MARGIN));
        }
    }

    /// Records that streams that began at the time `begun_at` or before last for `lifetime`.
    pub(super) fn record_former(&mut self, begun_at: clock::Millis, lifetime: clock::Millis) {
        let known = self.former.entry(lifetime).or_default();
        *known = begun_at.max(*known);
    }

    /// Longest lifetime of the streams that can be taken up at the time `now`.
    pub(super) fn longest(&self, now: clock::Millis) -> clock::Millis {
        let former = self.former.iter();
        let needed = former.filter(|(lifetime, begun_at)| begun_at.plus(**lifetime) > now);
        let longest = needed.map(|(lifetime, _)| *lifetime).max();
        longest.unwrap_or_default().max(self.current)
    }
}
