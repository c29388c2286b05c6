//! What a daemon holds, in short.

use serde::Deserialize;
use serde::Serialize;

use crate::domain_digest;
use crate::heartbeat;
use crate::node_record;

/// Opens an exchange: who the sender is and what it holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The sender.
    pub record: node_record::NodeRecord,
    /// Members of the sender's domain; empty in an exchange between domains.
    pub members: Vec<heartbeat::Heartbeat>,
    /// Domain summaries, if this exchange compares them.
    pub domains: Option<Vec<domain_digest::DomainDigest>>,
}
