//! How busy the upstreams of a queue are.

use basilgrade_types::clock;
use serde::Deserialize;
use serde::Serialize;

/// The state of a queue, as told to other daemons.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Expected wait of a new piece of middle rank until its call starts.
    pub wait: clock::Millis,
    /// Recent time of a call.
    pub call: clock::Millis,
}
