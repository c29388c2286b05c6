//! Reads bodies into memory.

use std::mem;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::body;
use quick_error::quick_error;

/// Size of the parts in which a long body is read. A buffer that grows would be copied each time, and
/// the memory of the copies is not free at once.
const CHUNK_BYTES: usize = 64 << 10;

quick_error! {
    /// Reason why a body was not read to its end.
    #[derive(Debug)]
    pub enum ReadError {
        /// The body is longer than it may be.
        TooLong {
            display("the answer body exceeds the size limit")
        }
        /// The body is not to be read on.
        Stopped {
            display("the body was given up")
        }
        /// The connection failed.
        Broken(reason: hyper::Error) {
            display("{reason}")
        }
    }
}

/// Reads `body` into memory. `record` gets the number of bytes read so far, and tells whether to read
/// on.
///
/// # Errors
///
/// [`ReadError`] if the connection fails, the body is longer than `max_bytes`, or `record` stops it.
pub async fn read(
    body: &mut body::Incoming,
    max_bytes: usize,
    mut record: impl FnMut(usize) -> bool,
) -> Result<Bytes, ReadError> {
    let mut chunks = Vec::new();
    let mut last = BytesMut::new();
    let mut count = 0;
    while let Some(frame) = body.frame().await {
        let Ok(mut data) = frame.map_err(ReadError::Broken)?.into_data() else {
            continue;
        };
        count += data.len();
        if count > max_bytes {
            return Err(ReadError::TooLong);
        }
        if !record(count) {
            return Err(ReadError::Stopped);
        }
        while last.len() + data.len() > CHUNK_BYTES {
            last.extend_from_slice(&data.split_to(CHUNK_BYTES - last.len()));
            chunks.push(mem::replace(
                &mut last,
                BytesMut::with_capacity(CHUNK_BYTES),
            ));
        }
        last.extend_from_slice(&data);
    }
    if chunks.is_empty() {
        return Ok(last.freeze());
    }
    let mut whole = BytesMut::with_capacity(count);
    for chunk in chunks.into_iter().chain([last]) {
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}
