//! Bound on the memory that the bodies of all requests take.

use std::sync;
use std::sync::atomic;

use basilgrade_types::size;
use bytes::Bytes;

/// The bodies of requests take up to `1 / MEMORY_DIVISOR` of the memory of the VM.
const MEMORY_DIVISOR: u64 = 4;

/// Part of a body that is taken even if the memory for bodies is used up.
const RESERVED_BYTES: u64 = 64 << 10;

/// Account of the bytes of the bodies of all requests that the daemon holds.
#[derive(Debug)]
pub struct RequestMemory {
    limit: atomic::AtomicU64,
    total: atomic::AtomicU64,
}

impl RequestMemory {
    /// Creates the account of a daemon on a VM with `memory`.
    pub fn new(memory: size::ByteCount) -> Self {
        Self {
            limit: atomic::AtomicU64::new(memory.0 / MEMORY_DIVISOR),
            total: atomic::AtomicU64::new(0),
        }
    }

    /// Changes the limit to that of a VM with `memory`.
    pub fn set_memory(&self, memory: size::ByteCount) {
        let limit = memory.0 / MEMORY_DIVISOR;
        self.limit.store(limit, atomic::Ordering::Relaxed);
    }

    /// Adds a body, empty so far.
    pub fn hold(self: &sync::Arc<Self>) -> HeldRequest {
        HeldRequest {
            account: sync::Arc::clone(self),
            bytes: 0,
        }
    }
}

/// Guard that counts the bytes of the body of a request until it is dropped.
#[derive(Debug)]
pub struct HeldRequest {
    account: sync::Arc<RequestMemory>,
    bytes: u64,
}

impl HeldRequest {
    /// Records that `bytes` bytes of the body are held now; `false` if that is too much.
    #[must_use]
    pub fn try_set(&mut self, bytes: usize) -> bool {
        let added = bytes as u64 - self.bytes;
        self.bytes = bytes as u64;
        let before = self
            .account
            .total
            .fetch_add(added, atomic::Ordering::Relaxed);
        let limit = self.account.limit.load(atomic::Ordering::Relaxed);
        before + added <= limit || self.bytes <= RESERVED_BYTES
    }

    /// Counts `body`, the whole body, until it is dropped.
    pub fn keep(self, body: Bytes) -> Bytes {
        Bytes::from_owner(KeptBody { body, _held: self })
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.account
            .total
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

/// Body of a request with its guard.
struct KeptBody {
    body: Bytes,
    _held: HeldRequest,
}

impl AsRef<[u8]> for KeptBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
