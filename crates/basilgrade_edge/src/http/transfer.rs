//! Progress of bytes that are sent to a peer.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::http::socket;

/// Time after which the rate of a transfer is judged.
const SLOW_AFTER: time::Duration = time::Duration::from_secs(1);

/// Bytes per second below which a peer reads slowly; the smallest links carry more.
const SLOW_RATE: f64 = 64.0 * 1024.0;

/// Written bytes that the peer may not have taken: the system doubles the size of the buffer.
const IN_SOCKET_BYTES: u64 = 2 * socket::SEND_BUFFER as u64;

/// Number of bytes written to a connection.
#[derive(Clone, Debug, Default)]
pub struct WrittenBytes(sync::Arc<atomic::AtomicU64>);

impl WrittenBytes {
    /// Records that `count` bytes were written.
    pub fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, atomic::Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// Transfer that is in progress on a connection.
#[derive(Debug)]
pub struct Transfer {
    written: WrittenBytes,
    began: time::Instant,
    before: u64,
}

impl Transfer {
    /// Transfer that begins now on the connection with `written`.
    pub fn begin(written: &WrittenBytes) -> Self {
        Self {
            written: written.clone(),
            began: time::Instant::now(),
            before: written.get(),
        }
    }

    /// Whether the peer takes the bytes slowly.
    pub fn is_slow(&self) -> bool {
        let span = self.began.elapsed();
        let sent = self.written.get().saturating_sub(self.before);
        let taken = sent.saturating_sub(IN_SOCKET_BYTES);
        span >= SLOW_AFTER && (taken as f64) < SLOW_RATE * span.as_secs_f64()
    }
}
