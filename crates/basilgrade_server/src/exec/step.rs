//! One step of a request: a pipeline stage or a service call.

use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use bytes::Bytes;

/// Description of a step, independent of the upstream that will serve it.
#[derive(Clone, Debug)]
pub struct Step {
    /// Name of the stage, or of the service pool.
    pub stage: id::StageId,
    /// Pool that serves the step.
    pub pool: id::PoolId,
    /// Kind of the pool, which decides whether the step is a generation.
    pub kind: pool::Kind,
    /// Whether the pool honours request keys, so that a call with a key may be repeated.
    pub keys: pool::RequestKeys,
    /// Model that the engine must have loaded.
    pub model: Option<id::ModelId>,
    /// Maximum number of tokens to generate.
    pub max_tokens: size::TokenCount,
    /// Whether the step may run more than once.
    pub idempotency: stage::Idempotency,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query.
    pub path: String,
    /// Headers to send to the upstream.
    pub headers: hyper::HeaderMap,
    /// Body of the call, or the prompt of a generation.
    pub input: Bytes,
    /// Hashes of the leading blocks of the prompt; empty for steps that are not generations.
    pub block_hashes: Vec<u64>,
    /// The 95th percentile of the latency of earlier calls, after which a hedge is considered.
    pub p95_latency: Option<clock::Millis>,
    /// Instant by which the step should be done; the router chooses upstreams by it.
    pub soft_deadline: clock::Millis,
    /// Instant at which the step is aborted, because later stages need the remaining time.
    pub hard_deadline: clock::Millis,
}

/// Size of a prompt block in bytes; engines identify cached prefixes by blocks of this size.
pub const BLOCK_BYTES: usize = 256;

/// Prompt tokens in a block, estimated at four bytes a token.
pub const BLOCK_TOKENS: u32 = 64;

/// Maximum number of leading prompt blocks that are looked up; longer prefixes are rarely shared.
pub const MAX_BLOCKS: usize = 64;
