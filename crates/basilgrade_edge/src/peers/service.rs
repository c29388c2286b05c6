//! The calls that daemons make to each other.

// The macro generates items without documentation.
#![allow(missing_docs)]

use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::model::handle;
use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

use crate::follow::mirror;

/// The answer to a job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Gathered {
    /// The job ended.
    Ended(outcome::JobOutcome, load::Load),
    /// The daemon is shutting down and did not take the job.
    Leaving,
}

/// Calls between daemons. Each is safe to repeat: pieces may be made again, copies carry offsets.
#[tarpc::service]
pub trait Peer {
    /// Has the pieces of a job made by the upstreams of `pool`, together with those of others.
    async fn gather(pool: id::PoolId, job: job::Job) -> Gathered;
    /// Frees results, each of about `bytes`.
    async fn release(pool: id::PoolId, handles: Vec<handle::Handle>, bytes: u64);
    /// How busy the upstreams of `pools` are; also shows that the daemon is alive.
    async fn loads(pools: Vec<id::PoolId>) -> Vec<load::Load>;
    /// Copies of topics that are newer than the positions of operators, upstreams and daemons.
    async fn newer(positions: [Option<u64>; 3]) -> Vec<mirror::Mirror>;
}
