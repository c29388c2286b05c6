//! Bound on the memory that all answers take while they are read, and until callers have taken them.

use std::mem;
use std::net;
use std::sync;
use std::sync::atomic;

use basilgrade_types::size;
use bytes::Bytes;
use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

use crate::http::caller_connection;
use crate::http::transfer;
use crate::metrics;

/// The answers that are held take up to `1 / MEMORY_DIVISOR` of the memory of the VM; buffers of
/// connections, requests and copies while an answer grows need the rest.
const MEMORY_DIVISOR: u64 = 8;

/// Part of an answer that is read even if the memory for answers is used up.
const RESERVED_BYTES: u64 = 32 << 10;

/// Events of streams are read ahead of their callers while all answers together take less than this
/// part of the memory for answers.
const AHEAD_DIVISOR: u64 = 2;

/// Reason why an answer ends that is given up.
pub const GIVEN_UP: &str =
    "the answer was given up, as the answers held at once exceed their limit";

/// Account of the bytes of all answers that the daemon holds.
///
/// When they exceed the limit, answers are given up: first the largest one whose caller reads slowly,
/// then the largest one of the sender whose unread answers take the most.
#[derive(Debug)]
pub struct AnswerMemory {
    limit: atomic::AtomicU64,
    held: sync::Mutex<Held>,
    given_up: metrics::Counter,
}

#[derive(Debug, Default)]
struct Held {
    total: u64,
    last_key: u64,
    answers: IndexMap<u64, Answer>,
}

/// An answer that is read or sent.
#[derive(Debug)]
struct Answer {
    sender: net::SocketAddr,
    bytes: u64,
    /// Sending to the caller, once it has begun.
    transfer: Option<Transfer>,
    given_up: CancellationToken,
}

/// Sending of an answer to its caller.
#[derive(Debug)]
struct Transfer {
    caller: caller_connection::CallerConnection,
    bytes: transfer::Transfer,
}

impl AnswerMemory {
    /// Creates the account of a daemon on a VM with `memory`; `given_up` counts the answers that are
    /// given up.
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

    /// Adds an answer of `sender`.
    pub fn hold(self: &sync::Arc<Self>, sender: net::SocketAddr) -> HeldAnswer {
        let mut held = self.lock();
        held.last_key += 1;
        let key = held.last_key;
        let given_up = CancellationToken::new();
        let answer = Answer {
            sender,
            bytes: 0,
            transfer: None,
            given_up: given_up.clone(),
        };
        held.answers.insert(key, answer);
        HeldAnswer {
            account: sync::Arc::clone(self),
            key,
            given_up,
        }
    }
}

impl Held {
    /// Largest answer whose caller reads slowly.
    fn slowest(&self) -> Option<u64> {
        let slow = self.answers.iter().filter(|(_, answer)| {
            let transfer = answer.transfer.as_ref();
            answer.bytes > RESERVED_BYTES
                && transfer.is_some_and(|transfer| transfer.bytes.is_slow())
        });
        let slowest = slow.max_by_key(|(_, answer)| answer.bytes);
        slowest.map(|(key, _)| *key)
    }

    /// Answer to give up of those that are read; `None` if all are small.
    fn largest(&self) -> Option<u64> {
        let unread = || {
            self.answers
                .iter()
                .filter(|(_, answer)| answer.transfer.is_none() && answer.bytes > RESERVED_BYTES)
        };
        let mut senders: IndexMap<net::SocketAddr, u64> = IndexMap::new();
        for (_, answer) in unread() {
            *senders.entry(answer.sender).or_default() += answer.bytes;
        }
        let largest = unread().max_by_key(|(_, answer)| {
            let sum = senders.get(&answer.sender).copied().unwrap_or_default();
            (sum, answer.bytes)
        });
        largest.map(|(key, _)| *key)
    }

    fn remove(&mut self, key: u64) -> Option<Answer> {
        let answer = self.answers.swap_remove(&key)?;
        self.total -= answer.bytes;
        Some(answer)
    }

    /// Gives up an answer if the total is above `limit`; `false` if that is not so or none is left.
    fn give_up_one(&mut self, limit: u64) -> bool {
        if self.total <= limit {
            return false;
        }
        let key = self.slowest().or_else(|| self.largest());
        let largest = key.and_then(|key| self.remove(key));
        if let Some(answer) = &largest {
            log::warn!(
                "event=answer-given-up upstream={} bytes={} held={} limit={limit} slow_caller={}",
                answer.sender,
                answer.bytes,
                self.total,
                answer.transfer.is_some()
            );
            answer.given_up.cancel();
            if let Some(transfer) = &answer.transfer {
                transfer.caller.end();
            }
        }
        largest.is_some()
    }
}

/// Guard that counts the bytes of an answer until it is dropped.
#[derive(Debug)]
pub struct HeldAnswer {
    account: sync::Arc<AnswerMemory>,
    key: u64,
    given_up: CancellationToken,
}

impl HeldAnswer {
    /// Records that `bytes` bytes of the answer are held now; gives up answers if that is too much.
    pub fn set(&self, bytes: usize) {
        let mut held = self.account.lock();
        let Some(answer) = held.answers.get_mut(&self.key) else {
            return;
        };
        let before = mem::replace(&mut answer.bytes, bytes as u64);
        held.total = held.total - before + bytes as u64;
        let limit = self.account.limit.load(atomic::Ordering::Relaxed);
        while held.give_up_one(limit) {
            self.account.given_up.inc();
        }
    }

    /// Waits until the answer must be dropped.
    pub async fn given_up(&self) {
        self.given_up.cancelled().await;
    }

    /// Whether the answer was given up, so that its end tells nothing about the request.
    pub fn is_given_up(&self) -> bool {
        self.given_up.is_cancelled()
    }

    /// Records that sending to `caller` begins, after which the answer is given up only if the
    /// caller reads slowly.
    pub fn begin_transfer(&self, caller: &caller_connection::CallerConnection) {
        if let Some(answer) = self.account.lock().answers.get_mut(&self.key) {
            answer.transfer = Some(Transfer {
                caller: caller.clone(),
                bytes: transfer::Transfer::begin(&caller.written),
            });
        }
    }

    /// Whether more than `bytes` of an answer may be read ahead of its caller.
    pub fn may_read_ahead(&self, bytes: usize) -> bool {
        let limit = self.account.limit.load(atomic::Ordering::Relaxed);
        bytes as u64 <= RESERVED_BYTES || self.account.lock().total < limit / AHEAD_DIVISOR
    }

    /// Counts `body`, the whole answer, until it is sent to `caller` and dropped.
    pub fn keep(self, body: Bytes, caller: &caller_connection::CallerConnection) -> Bytes {
        self.begin_transfer(caller);
        Bytes::from_owner(KeptBody { body, _held: self })
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        self.account.lock().remove(self.key);
    }
}

/// Body of an answer with its guard.
struct KeptBody {
    body: Bytes,
    _held: HeldAnswer,
}

impl AsRef<[u8]> for KeptBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
