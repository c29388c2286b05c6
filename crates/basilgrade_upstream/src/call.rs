//! Calls that are sent to an upstream.

use std::net;

use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::key;
use basilgrade_types::request;
use basilgrade_types::size;
use bytes::Bytes;

/// Whether a response must echo the headers for request id, stage and attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Echo {
    /// Echoed headers are checked only if present, because plain services may not know them.
    Optional,
    /// A response without the echoed headers is rejected.
    Required,
}

/// One attempt at a stage or at a call to a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address on which the upstream listens.
    pub address: net::SocketAddr,
    pub method: hyper::Method,
    /// Path and query; has to start with `/`.
    pub path: String,
    /// Headers passed through from the caller.
    pub headers: hyper::HeaderMap,
    /// Complete body, because a retry has to send it again.
    pub body: Bytes,
    /// Request that the call belongs to.
    pub request: request::RequestId,
    /// Name of the stage, or of the pool for a call to a service.
    pub stage: id::StageId,
    /// Number of the attempt at the stage.
    pub attempt: attempt::Attempt,
    /// Idempotency key of a non-idempotent call, forwarded to the upstream. A call with a key uses
    /// a new connection, because the upstream may be closing a pooled one.
    pub key: Option<key::RequestKey>,
    /// Time left for this call, from connecting to the end of the response.
    pub time_left: clock::Millis,
    /// Whether the response must echo the identity of the call.
    pub echo: Echo,
}

/// A generation call to a model engine.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Address, identity and time left; the client sets method, path and body.
    pub call: Call,
    /// Model to generate with; `None` leaves the choice to the engine.
    pub model: Option<id::ModelId>,
    pub prompt: String,
    /// Maximum number of tokens of the whole completion, including those below `offset`.
    pub max_tokens: size::TokenCount,
    /// Offset of the first token to send; above 0 when a stream is resumed on another engine.
    pub offset: size::TokenCount,
    /// Tokens that the caller has already received, in order; the engine continues after them.
    pub received: Vec<String>,
    /// Scheduling priority in the engine; higher values are scheduled first.
    pub priority: u8,
}
