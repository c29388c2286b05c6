//! One step of a request: a stage or a service call.

use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use bytes::Bytes;

/// What has to be done, before an upstream is chosen.
#[derive(Clone, Debug)]
pub struct Step {
    /// The stage, or the service pool's name.
    pub stage: id::StageId,
    /// The pool that serves it.
    pub pool: id::PoolId,
    /// What the pool does.
    pub kind: pool::Kind,
    /// Whether the pool honours request keys.
    pub keys: pool::RequestKeys,
    /// The model that engines need.
    pub model: Option<id::ModelId>,
    /// Most tokens generated.
    pub max_tokens: size::TokenCount,
    /// Whether the step may run more than once.
    pub idempotency: stage::Idempotency,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query.
    pub path: String,
    /// Headers passed on.
    pub headers: hyper::HeaderMap,
    /// Input.
    pub input: Bytes,
    /// Names of the leading blocks of a prompt; empty for steps that generate nothing.
    pub block_hashes: Vec<u64>,
    /// Time after which a second call may be worth its price, from earlier calls.
    pub p95_latency: Option<clock::Millis>,
    /// Instant by which the step should be done; upstreams are chosen by it.
    pub soft_deadline: clock::Millis,
    /// Instant at which the step is given up, because what follows needs the rest of the time.
    pub hard_deadline: clock::Millis,
}

/// Bytes of one block of a prompt; engines name cached prefixes by blocks of this size.
pub const BLOCK_BYTES: usize = 256;

/// Prompt tokens in a block, at the usual four bytes a token.
pub const BLOCK_TOKENS: u32 = 64;

/// Leading blocks of a prompt that are looked up; longer prefixes are rarely shared.
pub const MAX_BLOCKS: usize = 64;
