//! Section `[limits]`: limits on callers' requests.

use basilgrade_types::clock;
use basilgrade_types::size;

use crate::reader;
use crate::value;

/// Limits on callers' requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// `header-bytes`: the maximum size of a request head. Default 16 KiB.
    pub header_bytes: size::ByteCount,
    /// `body-bytes`: the maximum size of a request body. Default 1 MiB.
    pub body_bytes: size::ByteCount,
    /// `concurrent-requests`: the maximum number of requests in progress. Default 1024.
    ///
    /// At the size expected in two years, a daemon receives 40 requests a second; with deadlines
    /// of 10 s, that is 400 requests in progress.
    pub concurrent_requests: u32,
    /// `slow-sender`: the timeout for a caller to send the request head and body. Default 10 s.
    pub slow_sender: clock::Millis,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: size::ByteCount(16 << 10),
            body_bytes: size::ByteCount(1 << 20),
            concurrent_requests: 1024,
            slow_sender: clock::Millis::from_secs(10),
        }
    }
}

pub(super) fn read(reader: &mut reader::SectionReader<'_>) -> RequestLimits {
    let default = RequestLimits::default();
    // hyper's HTTP/1 read buffer must hold at least 8 KiB.
    let header = size::ByteCount(8 << 10)..=size::ByteCount(1 << 20);
    let body = size::ByteCount(1)..=size::ByteCount(64 << 20);
    let header_bytes = reader.optional("header-bytes", value::bounded(header));
    let body_bytes = reader.optional("body-bytes", value::bounded(body));
    let concurrent = reader.optional("concurrent-requests", value::integer(1..=100_000));
    let slow_sender = reader.optional("slow-sender", value::duration);
    RequestLimits {
        header_bytes: header_bytes.unwrap_or(default.header_bytes),
        body_bytes: body_bytes.unwrap_or(default.body_bytes),
        concurrent_requests: concurrent.unwrap_or(default.concurrent_requests),
        slow_sender: slow_sender.unwrap_or(default.slow_sender),
    }
}
