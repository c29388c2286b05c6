//! Bodies of answers.

use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;

/// The body of an answer; an error in it ends the connection.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;

/// A body that is known whole.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
