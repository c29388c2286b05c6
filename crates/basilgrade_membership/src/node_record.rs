//! Identity and address of a daemon.

use std::net;

use basilgrade_types::id;
use basilgrade_types::incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// Identity and address of one run of a daemon, as announced by the daemon itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeRecord {
    pub vm: id::VmId,
    /// Incarnation of the run, taken from the start time of the process.
    pub incarnation: incarnation::Incarnation,
    /// Failure domain of the VM.
    pub domain: id::DomainId,
    /// Address at which other daemons reach the daemon.
    pub address: net::SocketAddr,
}

impl NodeRecord {
    /// Hash of the VM name and the incarnation, which identifies the run in messages.
    pub fn tag(&self) -> tag::Tag {
        tag::Tag::daemon(&self.vm, self.incarnation)
    }
}
