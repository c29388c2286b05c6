//! Load of a queue.

use basilgrade_types::clock;
use serde::Deserialize;
use serde::Serialize;

use crate::model::priority;

/// Expected waits in a queue, as reported to other daemons.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Expected wait of a new piece that goes behind all waiting pieces.
    pub wait: clock::Millis,
    /// Expected wait of a new piece that goes behind the pieces of this and of higher priorities;
    /// ordered from the highest priority.
    pub by_priority: Vec<(priority::Priority, clock::Millis)>,
}

impl Load {
    /// Time that the waiting pieces which new ones precede take, as they are late; zero if the waits of
    /// the priorities count them.
    pub fn late_backlog(&self) -> clock::Millis {
        let last = self.by_priority.last();
        last.map_or(clock::Millis::ZERO, |(_, in_time)| self.wait - *in_time)
    }

    /// Expected wait of a new piece with `priority`.
    pub fn wait_for(&self, priority: priority::Priority) -> clock::Millis {
        let ahead = self
            .by_priority
            .iter()
            .rev()
            .find(|(known, _)| *known <= priority);
        match (ahead, self.by_priority.first()) {
            (Some((_, wait)), _) => *wait,
            // All waiting pieces have a lower priority.
            (None, Some(_)) => clock::Millis::ZERO,
            (None, None) => self.wait,
        }
    }
}
