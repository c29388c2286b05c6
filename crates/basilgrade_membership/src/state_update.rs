//! Newer state sent to a peer.

use serde::Deserialize;
use serde::Serialize;

use crate::domain_delta;
use crate::heartbeat;
use crate::member_delta;

/// Heartbeats, member items and domain summaries that are newer than those of the receiver.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StateUpdate {
    pub heartbeats: Vec<heartbeat::Heartbeat>,
    pub members: Vec<member_delta::MemberDelta>,
    pub domains: Vec<domain_delta::DomainDelta>,
}

impl StateUpdate {
    pub fn is_empty(&self) -> bool {
        self.heartbeats.is_empty() && self.members.is_empty() && self.domains.is_empty()
    }
}
