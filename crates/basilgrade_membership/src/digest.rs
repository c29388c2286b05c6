//! Digests, which open a gossip exchange.

use serde::Deserialize;
use serde::Serialize;

use crate::domain_digest;
use crate::heartbeat;
use crate::node_record;

/// Identifies the sender of a gossip exchange and lists the versions of the state that it holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The sender of the digest.
    pub record: node_record::NodeRecord,
    /// Heartbeats of the members of the sender's domain; empty in an exchange between domains.
    pub members: Vec<heartbeat::Heartbeat>,
    /// Versions of the domain summaries; `None` if the exchange does not compare summaries.
    pub domains: Option<Vec<domain_digest::DomainDigest>>,
}
