//! Counting of bytes between daemons.

use std::sync::atomic;

/// Bytes of all links of a daemon, with frames and keyed hashes but without TCP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: atomic::AtomicU64,
    received: atomic::AtomicU64,
}

impl Traffic {
    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(atomic::Ordering::Relaxed)
    }

    /// Bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(atomic::Ordering::Relaxed)
    }

    pub(crate) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        self.received
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }
}
