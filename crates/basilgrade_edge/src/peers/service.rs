//! Remote procedure calls between daemons.

// `tarpc::service` generates items without documentation.
#![allow(missing_docs)]

use basilgrade_fleet::balance::exchange;
use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::batch::terms;
use basilgrade_fleet::limit;
use basilgrade_fleet::model::handle;
use basilgrade_fleet::streams;
use basilgrade_types::clock;
use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

use crate::follow::mirror;
use crate::follow::position;
use crate::peers::packing;

/// Reply to [`Peer::gather`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum GatherReply {
    /// Outcome of the job, and the load of its queue or route afterwards.
    Ended(outcome::JobOutcome, load::Load),
    /// The daemon is shutting down; the job must be sent to another daemon.
    Leaving,
}

/// Reply to [`Peer::release`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReleaseReply {
    /// The daemon will free the results.
    Accepted,
    /// The daemon is shutting down; another daemon keeps the queue of the results.
    Leaving,
}

/// Reply to [`Peer::permit`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub enum PermitReply {
    /// Decision on the request, and what the replying daemon knows of the limit.
    Decided(limit::Grant, limit::Report),
    /// The daemon is shutting down; another daemon must be asked.
    Leaving,
}

/// Reply to [`Peer::keep_streams`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeepReply {
    /// The daemon, which has drawn this number at its start, keeps the copies for as long as the
    /// streams can last.
    Kept(u64),
    /// The daemon is shutting down; another daemon must keep the copies.
    Leaving,
}

/// Reply to [`Peer::updates`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Updates {
    /// Whether the replying daemon reads the store, the store answers its reads of every topic, and it
    /// is not draining.
    pub is_store_reachable: bool,
    /// Whether registrations of live upstreams may be missing, because the store is or was recently
    /// unreachable.
    pub is_uncertain: bool,
    /// Changes of the topics since the positions that the caller sent.
    pub updates: Vec<mirror::Update>,
}

/// Reply to [`Peer::packed_updates`]; the fields are those of [`Updates`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PackedUpdates {
    pub is_store_reachable: bool,
    pub is_uncertain: bool,
    pub payload: packing::Payload,
}

impl PackedUpdates {
    /// Decodes the updates.
    ///
    /// # Errors
    ///
    /// A message if they are malformed.
    pub fn unpack(&self) -> Result<Updates, String> {
        Ok(Updates {
            is_store_reachable: self.is_store_reachable,
            is_uncertain: self.is_uncertain,
            updates: packing::unpack(&self.payload)?,
        })
    }
}

/// Remote procedure calls between daemons.
///
/// All calls are safe to repeat: pieces may be computed twice, and updates carry positions.
#[tarpc::service]
pub trait Peer {
    /// Has the pieces of `job` computed, in batches with pieces of other jobs.
    async fn gather(duty: duty::Duty, job: job::Job) -> GatherReply;
    /// Frees stage results held by upstreams in `domain`, each of about `bytes` bytes.
    async fn release(
        pool: id::PoolId,
        domain: id::DomainId,
        handles: Vec<handle::Handle>,
        bytes: u64,
    ) -> ReleaseReply;
    /// Loads of the queues or routes of `duties`, in order; `None` if the daemon is shutting down.
    ///
    /// The call also serves as a health check.
    async fn loads(duties: Vec<duty::Duty>) -> Option<Vec<load::Load>>;
    /// Former call for updates, with positions that lack the era of the store.
    ///
    /// The reply always tells that the store is unreachable, so that callers read it themselves.
    async fn follow(positions: [Option<u64>; 3], wait: clock::Millis) -> Updates;
    /// Asks for a permit for one request to the run of `upstream` that started at `started_at`, of
    /// whose limit the caller knows `report`.
    async fn permit(
        upstream: id::UpstreamId,
        started_at: Option<clock::Millis>,
        claim: limit::Claim,
        report: limit::Report,
    ) -> PermitReply;
    /// Updates for a caller whose mirrors are at `positions`; waits up to `wait` for a change if
    /// there are none.
    async fn updates(positions: [Option<position::Position>; 3], wait: clock::Millis) -> Updates;
    /// Like [`Peer::updates`], after the replying daemon has read all registrations of upstreams that
    /// the store had when the call arrived. The reply tells that the store is unreachable if this
    /// failed.
    async fn refresh(positions: [Option<position::Position>; 3]) -> Updates;
    /// Has the replying daemon keep copies of streams that the caller has begun.
    async fn keep_streams(copies: streams::Copies) -> KeepReply;
    /// Copies of those of the streams of the attempts `ids` that the replying daemon knows.
    async fn find_streams(ids: Vec<streams::AttemptId>) -> streams::Copies;
    /// Like [`Peer::gather`], for a job whose request has `terms`.
    async fn gather_on(duty: duty::Duty, job: job::Job, terms: terms::JobTerms) -> GatherReply;
    /// Records the work of the daemon `member`, of the failure domain of the replying one, at
    /// upstreams of `shard`. The reply tells the work of others; `None` if another daemon must
    /// aggregate.
    async fn report_load(
        member: id::VmId,
        shard: usize,
        entries: Vec<exchange::Entry>,
    ) -> Option<exchange::Report>;
    /// Records the work of the daemons of `domain` at upstreams of `shard`; `false` if another
    /// daemon must aggregate.
    async fn pass_loads(domain: id::DomainId, shard: usize, report: exchange::Report) -> bool;
    /// Like [`Peer::updates`], with compressed updates, or why they cannot be encoded.
    async fn packed_updates(
        positions: [Option<position::Position>; 3],
        wait: clock::Millis,
    ) -> Result<PackedUpdates, String>;
}
