//! How busy the upstreams of a queue are.

use basilgrade_types::clock;
use serde::Deserialize;
use serde::Serialize;

use crate::model::priority;

/// The state of a queue, as told to other daemons.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Expected wait until the call of a new piece starts, behind all that waits.
    pub wait: clock::Millis,
    /// The same behind the pieces of a rank and those above it; the highest rank first.
    pub by_priority: Vec<(priority::Priority, clock::Millis)>,
}

impl Load {
    /// Expected wait of a new piece of `rank`.
    pub fn wait_for(&self, priority: priority::Priority) -> clock::Millis {
        let ahead = self
            .by_priority
            .iter()
            .rev()
            .find(|(known, _)| *known <= priority);
        match (ahead, self.by_priority.first()) {
            (Some((_, wait)), _) => *wait,
            // Everything that waits has a lower rank.
            (None, Some(_)) => clock::Millis::ZERO,
            (None, None) => self.wait,
        }
    }
}
