//! The reply to a digest.

use serde::Deserialize;
use serde::Serialize;

use crate::domain_digest;
use crate::item_request;
use crate::state_update;

/// State that the sender of a digest lacks, and requests for state that the answering daemon lacks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DigestReply {
    /// What the sender of the digest lacks.
    pub update: state_update::StateUpdate,
    /// Members whose newer items the answering daemon asks for.
    pub requests: Vec<item_request::ItemRequest>,
    /// Domain summaries of which the answering daemon asks for newer items.
    pub domains: Vec<domain_digest::DomainDigest>,
}
