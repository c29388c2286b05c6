//! What a daemon says of itself.

use std::net;

use basilgrade_types::id;
use basilgrade_types::incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// One run of a daemon: who it is and where it is reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeRecord {
    /// Name of the VM.
    pub vm: id::VmId,
    /// Start of the process.
    pub incarnation: incarnation::Incarnation,
    /// Failure domain of the VM.
    pub domain: id::DomainId,
    /// Address for other daemons.
    pub address: net::SocketAddr,
}

impl NodeRecord {
    /// The short name of this run on the wire.
    pub fn tag(&self) -> tag::Tag {
        tag::Tag::daemon(&self.vm, self.incarnation)
    }
}
