//! The answer to a digest.

use serde::Deserialize;
use serde::Serialize;

use crate::domain_digest;
use crate::item_request;
use crate::state_update;

/// What the sender of a digest lacks, and what it is asked for in turn.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DigestReply {
    /// What the sender of the digest lacks.
    pub update: state_update::StateUpdate,
    /// Members whose newer items the answering daemon asks for.
    pub requests: Vec<item_request::ItemRequest>,
    /// Domain summaries of which the answering daemon asks for newer items.
    pub domains: Vec<domain_digest::DomainDigest>,
}
