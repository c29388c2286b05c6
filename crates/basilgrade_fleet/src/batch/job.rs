//! The pieces of one stage of one request.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::model::handle;
use crate::model::priority;

/// Pieces that have to be made.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// The caller's id of its request.
    pub request: CompactString,
    /// Number of the stage.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// What the pieces are made from.
    pub source: Source,
    /// Urgency of the request.
    pub priority: priority::Priority,
    /// Time until the result is late for the route's aim.
    pub target_left: clock::Millis,
    /// Time until the result is of no use.
    pub time_left: clock::Millis,
    /// Approximate size of the result of a piece.
    pub bytes: size::ByteCount,
    /// Failure domain that holds the inputs, or that of the caller's daemon.
    pub domain: id::DomainId,
    /// What upstreams of other failure domains fetch from there, for all pieces together.
    pub fetch_size: size::ByteCount,
    /// The pool that holds the inputs, if nothing else needs them.
    pub inputs: Option<Inputs>,
    /// What happens when no upstream of the queue works.
    pub fallback: Fallback,
}

/// What happens to a job when no upstream of its queue works.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fallback {
    /// It is handed back, as another queue can take it.
    HandBack,
    /// It waits.
    #[default]
    Wait,
}

/// Results that are freed as soon as they have been fetched for a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Inputs {
    /// The pool whose upstreams hold them.
    pub pool: id::PoolId,
    /// Approximate size of each.
    pub bytes: size::ByteCount,
}

/// What pieces are made from.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Source {
    /// The request itself, by the key that the caller gave.
    Key(CompactString),
    /// Results of earlier stages.
    Results(Vec<handle::Handle>),
}
