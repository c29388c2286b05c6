//! Pieces of one stage of one request, submitted to a queue together.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::model::handle;
use crate::model::priority;

/// Pieces of one stage of one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Request id that the caller assigned.
    pub request: CompactString,
    /// Index of the stage in its route.
    pub stage: u32,
    pub pieces: u32,
    /// Input from which the pieces are computed.
    pub source: Source,
    pub priority: priority::Priority,
    /// Time left until the result misses the target latency of the route.
    pub target_left: clock::Millis,
    /// Time left until the result is useless.
    pub time_left: clock::Millis,
    /// Approximate size of the result of one piece.
    pub bytes: size::ByteCount,
    /// Failure domain that holds the inputs, or that of the caller's daemon if there are none.
    pub domain: id::DomainId,
    /// Bytes that upstreams in other failure domains fetch from `domain` for all pieces together.
    pub fetch_size: size::ByteCount,
    /// Inputs that can be freed after this job, as no other stage needs them.
    pub inputs: Option<Inputs>,
    /// Handling of the job when no upstream of the queue is usable.
    pub fallback: Fallback,
}

/// Handling of a job when no upstream of its queue is usable.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fallback {
    /// The queue hands the job back, because another queue can take it.
    HandBack,
    /// The job waits for an upstream.
    #[default]
    Wait,
}

/// Results of an earlier stage that are freed as soon as they have been fetched for a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Inputs {
    /// Pool whose upstreams hold the results.
    pub pool: id::PoolId,
    /// Approximate size of one result.
    pub bytes: size::ByteCount,
}

/// Input from which pieces are computed.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Source {
    /// The request itself, identified by the key that the caller sent.
    Key(CompactString),
    /// Results of earlier stages.
    Results(Vec<handle::Handle>),
}
