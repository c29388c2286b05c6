//! Bound on the memory that the bodies of all requests take.

use std::mem;
use std::sync;
use std::sync::atomic;

use basilgrade_types::size;
use bytes::Bytes;
use indexmap::IndexMap;
use tokio_util::sync as tokio_sync;

use crate::http::transfer;
use crate::metrics;

/// The bodies of requests take up to `1 / MEMORY_DIVISOR` of the memory of the VM.
const MEMORY_DIVISOR: u64 = 4;

/// Part of a body that is taken even if the memory for bodies is used up.
const RESERVED_BYTES: u64 = 64 << 10;

/// Account of the bytes of the bodies of all requests that the daemon holds.
///
/// When they exceed the limit, the largest request whose upstream reads its body slowly is given up;
/// if there is none, no more of a body is taken.
#[derive(Debug)]
pub struct RequestMemory {
    limit: atomic::AtomicU64,
    held: sync::Mutex<Held>,
    given_up: metrics::Counter,
}

#[derive(Debug, Default)]
struct Held {
    total: u64,
    last_key: u64,
    bodies: IndexMap<u64, Body>,
}

/// Body of a request.
#[derive(Debug)]
struct Body {
    bytes: u64,
    upload: Upload,
}

impl RequestMemory {
    /// Creates the account of a daemon on a VM with `memory`; `given_up` counts the requests that
    /// are given up.
    pub fn new(memory: size::ByteCount, given_up: metrics::Counter) -> Self {
        Self {
            limit: atomic::AtomicU64::new(memory.0 / MEMORY_DIVISOR),
            held: sync::Mutex::default(),
            given_up,
        }
    }

    /// Changes the limit to that of a VM with `memory`.
    pub fn set_memory(&self, memory: size::ByteCount) {
        let limit = memory.0 / MEMORY_DIVISOR;
        self.limit.store(limit, atomic::Ordering::Relaxed);
    }

    fn lock(&self) -> sync::MutexGuard<'_, Held> {
        self.held
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Adds a body, empty so far.
    pub fn hold(self: &sync::Arc<Self>) -> HeldRequest {
        let mut held = self.lock();
        held.last_key += 1;
        let key = held.last_key;
        let upload = Upload::default();
        let body = Body {
            bytes: 0,
            upload: upload.clone(),
        };
        held.bodies.insert(key, body);
        HeldRequest {
            account: sync::Arc::clone(self),
            key,
            upload,
        }
    }
}

impl Held {
    fn remove(&mut self, key: u64) -> Option<Body> {
        let body = self.bodies.swap_remove(&key)?;
        self.total -= body.bytes;
        Some(body)
    }

    /// Removes the largest body that its upstream reads slowly.
    fn remove_slowest(&mut self) -> Option<Body> {
        let slow = self
            .bodies
            .iter()
            .filter(|(_, body)| body.bytes > RESERVED_BYTES && body.upload.is_slow());
        let key = slow.max_by_key(|(_, body)| body.bytes).map(|(key, _)| *key);
        self.remove(key?)
    }
}

/// Sending of a body to an upstream.
#[derive(Clone, Debug, Default)]
pub struct Upload {
    transfer: sync::Arc<sync::Mutex<Option<transfer::Transfer>>>,
    given_up: tokio_sync::CancellationToken,
}

impl Upload {
    fn lock(&self) -> sync::MutexGuard<'_, Option<transfer::Transfer>> {
        self.transfer
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records that the body is sent on the connection with `written`.
    pub fn begin(&self, written: &transfer::WrittenBytes) {
        *self.lock() = Some(transfer::Transfer::begin(written));
    }

    /// Records that the body is no longer sent.
    pub fn end(&self) {
        *self.lock() = None;
    }

    fn is_slow(&self) -> bool {
        self.lock()
            .as_ref()
            .is_some_and(transfer::Transfer::is_slow)
    }

    /// Waits until the request must end, as its upstream reads too slowly.
    pub async fn given_up(&self) {
        self.given_up.cancelled().await;
    }
}

/// Guard that counts the bytes of the body of a request until it is dropped.
#[derive(Debug)]
pub struct HeldRequest {
    account: sync::Arc<RequestMemory>,
    key: u64,
    upload: Upload,
}

impl HeldRequest {
    /// Sending of the body to an upstream.
    pub fn upload(&self) -> &Upload {
        &self.upload
    }

    /// Records that `bytes` bytes of the body are held now; `false` if that is too much.
    #[must_use]
    pub fn try_set(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let limit = self.account.limit.load(atomic::Ordering::Relaxed);
        let mut held = self.account.lock();
        if let Some(body) = held.bodies.get_mut(&self.key) {
            let before = mem::replace(&mut body.bytes, bytes);
            held.total = held.total - before + bytes;
        }
        while held.total > limit && bytes > RESERVED_BYTES {
            let Some(body) = held.remove_slowest() else {
                return false;
            };
            log::warn!(
                "event=upload-given-up bytes={} held={} limit={limit}",
                body.bytes,
                held.total
            );
            self.account.given_up.inc();
            body.upload.given_up.cancel();
        }
        true
    }

    /// Counts `body`, the whole body, until it is dropped.
    pub fn keep(self, body: Bytes) -> Bytes {
        Bytes::from_owner(KeptBody { body, _held: self })
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.account.lock().remove(self.key);
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
