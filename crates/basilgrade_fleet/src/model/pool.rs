//! Pool of upstreams of one service.

use basilgrade_types::clock;
use basilgrade_types::rate;
use basilgrade_types::size;

#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Connections that one upstream accepts from all daemons together.
    pub connections: u32,
    /// Kind of work that the upstreams do.
    pub work: Work,
    /// What the upstreams tolerate after their start; `None` if they are not limited then.
    pub cold: Option<ColdStart>,
}

/// Time after the start of an upstream in which it fails if it gets too many requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long an upstream is cold after its start.
    pub span: clock::Millis,
    /// Requests that a cold upstream tolerates from all daemons together.
    pub rate: rate::RequestRate,
}

/// Kind of work that the upstreams of a pool do.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Whole requests of callers.
    Service,
    /// Token generation by model engines.
    Engine(Engine),
    /// Pieces of stages, batched into calls.
    Pieces(PieceProfile),
}

/// Capacity of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that the engine batches together.
    pub slots: u32,
    /// Key-value cache for prompts and generated tokens.
    pub kv_capacity: size::TokenCount,
}

/// Capacity and call times of one upstream that processes pieces of stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PieceProfile {
    /// Calls that the upstream runs concurrently.
    pub slots: u32,
    /// Calls that the upstream queues.
    pub queue: u32,
    /// Maximum number of pieces in one call.
    pub batch: u32,
    /// Fixed time of a call.
    pub call_base: clock::Millis,
    /// Time that each piece adds to a call, in microseconds; an average over stages.
    pub piece_us: u64,
    /// Memory for results.
    pub capacity: size::ByteCount,
    /// How long the upstream keeps a result after its call.
    pub ttl: clock::Millis,
}

impl PieceProfile {
    /// Expected time of a call with `pieces` pieces.
    pub const fn call_time(&self, pieces: u32) -> clock::Millis {
        let pieces_us = self.piece_us.saturating_mul(pieces as u64);
        self.call_base.plus(clock::Millis(pieces_us / 1000))
    }
}
