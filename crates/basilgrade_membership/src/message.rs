//! Messages between daemons.

use basilgrade_types::incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::body;

/// A message from one run of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Which run of the sending daemon.
    pub incarnation: incarnation::Incarnation,
    /// What it says.
    pub body: body::Body,
}
