//! A pool of upstreams.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Upstreams of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Connections that one upstream accepts from all daemons together.
    pub connections: u32,
    /// What the upstreams do.
    pub work: Work,
}

/// The work of a pool's upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Whole requests of callers.
    Service,
    /// Generation by model engines.
    Engine(Engine),
    /// Pieces of stages, many to a call.
    Pieces(PieceProfile),
}

/// A model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Memory for prompts and generated tokens.
    pub kv_capacity: size::TokenCount,
}

/// One upstream that works on pieces of stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PieceProfile {
    /// Calls that run at the same time.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
    /// Pieces in one call.
    pub batch: u32,
    /// Time that each call takes.
    pub call_base: clock::Millis,
    /// Time that each piece adds, in microseconds; an average over stages.
    pub piece_us: u64,
    /// Room for results.
    pub capacity: size::ByteCount,
    /// How long a result is kept after its call.
    pub ttl: clock::Millis,
}

impl PieceProfile {
    /// The time of a call of `pieces`.
    pub const fn call_time(&self, pieces: u32) -> clock::Millis {
        clock::Millis(self.call_base.0 + self.piece_us * pieces as u64 / 1000)
    }
}
