//! What a peer lacks.

use serde::Deserialize;
use serde::Serialize;

use crate::domain_delta;
use crate::heartbeat;
use crate::member_delta;

/// Newer heartbeats, items of members and domain summaries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StateUpdate {
    /// Newer heartbeats.
    pub heartbeats: Vec<heartbeat::Heartbeat>,
    /// Newer items of members.
    pub members: Vec<member_delta::MemberDelta>,
    /// Newer items of domain summaries.
    pub domains: Vec<domain_delta::DomainDelta>,
}

impl StateUpdate {
    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.heartbeats.is_empty() && self.members.is_empty() && self.domains.is_empty()
    }
}
