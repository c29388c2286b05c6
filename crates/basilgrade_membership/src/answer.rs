//! The answer to a digest.

use serde::Deserialize;
use serde::Serialize;

use crate::domain_digest;
use crate::news;
use crate::want;

/// What the sender of a digest lacks, and what it is asked for in turn.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Answer {
    /// What the sender of the digest lacks.
    pub news: news::News,
    /// Members whose newer items the answering daemon asks for.
    pub wants: Vec<want::Want>,
    /// Domain summaries of which the answering daemon asks for newer items.
    pub domains: Vec<domain_digest::DomainDigest>,
}
