//! Byte counters of the links between daemons.

use std::sync::atomic;

/// Counts the bytes of all frames that a daemon exchanges with other daemons, including length
/// prefixes and HMACs but without handshakes and TCP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: atomic::AtomicU64,
    received: atomic::AtomicU64,
}

impl Traffic {
    /// The number of bytes sent since the start of the daemon.
    pub fn sent(&self) -> u64 {
        self.sent.load(atomic::Ordering::Relaxed)
    }

    /// The number of bytes received since the start of the daemon.
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
