//! How busy the upstreams of a queue are.

use basilgrade_types::clock;
use serde::Deserialize;
use serde::Serialize;

use crate::model::rank;

/// The state of a queue, as told to other daemons.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Expected wait until the call of a new piece starts, behind all that waits.
    pub wait: clock::Millis,
    /// The same behind the pieces of a rank and those above it; the highest rank first.
    pub ranks: Vec<(rank::Rank, clock::Millis)>,
}

impl Load {
    /// Expected wait of a new piece of `rank`.
    pub fn wait_of(&self, rank: rank::Rank) -> clock::Millis {
        let ahead = self.ranks.iter().rev().find(|(known, _)| *known <= rank);
        match (ahead, self.ranks.first()) {
            (Some((_, wait)), _) => *wait,
            // Everything that waits has a lower rank.
            (None, Some(_)) => clock::Millis::ZERO,
            (None, None) => self.wait,
        }
    }
}
