//! Complete responses of upstreams.

use bytes::Bytes;

/// A complete response whose echoed headers, if any, match the call.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: hyper::StatusCode,
    /// Response headers without those that concern only the connection.
    pub headers: hyper::HeaderMap,
    pub body: Bytes,
}
