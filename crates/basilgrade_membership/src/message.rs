//! Membership messages between daemons.

use basilgrade_types::incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::body;

/// A membership message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Incarnation of the sending daemon; messages of an earlier incarnation are rejected.
    pub incarnation: incarnation::Incarnation,
    pub body: body::Body,
}
