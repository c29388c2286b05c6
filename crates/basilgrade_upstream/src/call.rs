//! What is sent to an upstream.

use std::net;

use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::key;
use basilgrade_types::request;
use basilgrade_types::size;
use bytes::Bytes;

/// Whether the answer must echo request id, stage and attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Echo {
    /// Checked only when present, as plain services may not know these headers.
    Optional,
    /// An answer without them is refused.
    Required,
}

/// One attempt at one stage or service call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where the upstream listens.
    pub address: net::SocketAddr,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query.
    pub path: String,
    /// Headers passed through from the caller.
    pub headers: hyper::HeaderMap,
    /// Body; whole, because a retry has to be able to send it again.
    pub body: Bytes,
    /// The request that the call belongs to.
    pub request: request::RequestId,
    /// The stage, or the service pool's name.
    pub stage: id::StageId,
    /// The attempt at the stage.
    pub attempt: attempt::Attempt,
    /// Key of a non-idempotent call, passed on to the upstream. A call with a key gets a new
    /// connection, as a pooled one may be closing.
    pub key: Option<key::RequestKey>,
    /// Time left for this call.
    pub time_left: clock::Millis,
    /// Whether the echo is required.
    pub echo: Echo,
}

/// A generation call to a model engine.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Identity, address and time; its method, path and body are set by the client.
    pub call: Call,
    /// The model to use.
    pub model: Option<id::ModelId>,
    /// The prompt.
    pub prompt: String,
    /// Most tokens of the whole answer; a stream resumed at `offset` gets the rest of them.
    pub max_tokens: size::TokenCount,
    /// First token wanted; above 0 when a stream is resumed on another engine.
    pub offset: size::TokenCount,
    /// Tokens that the caller has already received, in order; the engine continues after them.
    pub received: Vec<String>,
    /// Priority in the engine; higher goes first.
    pub priority: u8,
}
