//! The calls that daemons make to each other.

// The macro generates items without documentation.
#![allow(missing_docs)]

use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::model::handle;
use basilgrade_types::clock;
use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

use crate::follow::mirror;

/// The answer to a job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum GatherReply {
    /// The job ended.
    Ended(outcome::JobOutcome, load::Load),
    /// The daemon is shutting down and did not take the job.
    Leaving,
}

/// The answer to a request to free results.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReleaseReply {
    /// The results are freed.
    Accepted,
    /// The daemon is shutting down, and another one keeps the queue.
    Leaving,
}

/// News of the topics.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Updates {
    /// Whether the store answers the daemon that tells them.
    pub is_store_reachable: bool,
    /// Whether missing entries may be those of living upstreams.
    pub is_uncertain: bool,
    /// What changed.
    pub updates: Vec<mirror::Update>,
}

/// Calls between daemons. Each is safe to repeat: pieces may be made again, copies carry offsets.
#[tarpc::service]
pub trait Peer {
    /// Has the pieces of a job made, together with those of others.
    async fn gather(duty: duty::Duty, job: job::Job) -> GatherReply;
    /// Frees results in `domain`, each of about `bytes`.
    async fn release(
        pool: id::PoolId,
        domain: id::DomainId,
        handles: Vec<handle::Handle>,
        bytes: u64,
    ) -> ReleaseReply;
    /// How busy the upstreams behind `duties` are; also shows that the daemon is alive.
    ///
    /// `None` if the daemon is shutting down.
    async fn loads(duties: Vec<duty::Duty>) -> Option<Vec<load::Load>>;
    /// What the caller lacks that knows the topics up to `positions`; waits up to `wait` for it.
    async fn follow(positions: [Option<u64>; 3], wait: clock::Millis) -> Updates;
}
