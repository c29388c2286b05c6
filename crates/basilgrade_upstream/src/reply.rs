//! Whole answers of upstreams.

use bytes::Bytes;

/// A complete answer, bound to the call it answers.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: hyper::StatusCode,
    /// Response headers without those of the connection.
    pub headers: hyper::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}
