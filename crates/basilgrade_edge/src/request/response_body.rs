//! Body type of responses to callers.

use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;

/// Body of a response to a caller; an error in the body closes the caller's connection.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;

/// Body that consists of `bytes`.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
