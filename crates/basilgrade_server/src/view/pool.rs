//! Observed state of one pool.

use std::sync;
use std::sync::atomic;

use basilgrade_policy::health::outliers;
use basilgrade_policy::queue;
use basilgrade_types::clock;
use basilgrade_types::id;
use tokio::sync::oneshot;

use crate::view::gauge;

/// How much one call moves the averages of its pool.
const AVERAGE_SHARE: f32 = 0.05;

/// Time of a call without tokens before any was observed, in milliseconds.
const FIRST_SERVICE: f32 = 20.0;

/// Time per token before any was observed, in milliseconds.
const FIRST_DECODE: f32 = 10.0;

/// Requests that wait for an upstream of one pool; at 40 requests a second under deadlines of 10 s
/// no more than 400 can be waiting usefully.
const QUEUE_LIMIT: usize = 512;

/// Averages, outliers and waiting requests of one pool.
#[derive(Debug)]
pub struct Pool {
    /// Upstreams in order of their position in the pool.
    pub members: Vec<id::UpstreamId>,
    /// Outliers among them.
    pub outliers: outliers::Outliers,
    service: gauge::Gauge,
    decode: gauge::Gauge,
    waiting: sync::Mutex<queue::DeadlineQueue<oneshot::Sender<()>>>,
    /// Length of the queue, so that a finished call takes no lock when nothing waits.
    length: atomic::AtomicUsize,
}

impl Pool {
    /// A pool that nothing is known of.
    pub fn new(members: Vec<id::UpstreamId>) -> Self {
        Self {
            outliers: outliers::Outliers::new(members.len()),
            members,
            service: gauge::Gauge::new(FIRST_SERVICE),
            decode: gauge::Gauge::new(FIRST_DECODE),
            waiting: sync::Mutex::new(queue::DeadlineQueue::new(QUEUE_LIMIT)),
            length: atomic::AtomicUsize::default(),
        }
    }

    /// Time of a call without tokens, in milliseconds.
    pub fn service(&self) -> f32 {
        self.service.get()
    }

    /// Time per token, in milliseconds.
    pub fn decode(&self) -> f32 {
        self.decode.get()
    }

    /// Expected time of a call at average speed, in milliseconds.
    pub fn expected(&self, tokens: u64) -> f32 {
        if tokens == 0 {
            return self.service().max(0.1);
        }
        (self.decode() * tokens as f32).max(0.1)
    }

    /// Records a finished call.
    pub fn observe(&self, spent: f32, tokens: u64) {
        if tokens == 0 {
            self.service.average(spent, AVERAGE_SHARE);
        } else {
            self.decode.average(spent / tokens as f32, AVERAGE_SHARE);
        }
    }

    /// Requests waiting for an upstream of the pool.
    pub fn queue_length(&self) -> usize {
        self.length.load(atomic::Ordering::Relaxed)
    }

    /// Queues a request in the order of deadlines. The receiver gets a message when an upstream has
    /// room, and an error when the request is shed.
    pub fn wait(&self, deadline: clock::Millis) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let need = clock::Millis(self.expected(0) as u64);
        let mut waiting = self.lock();
        // A request that is pushed out is told by its dropped sender.
        drop(waiting.push(sender, deadline, need));
        self.length.store(waiting.len(), atomic::Ordering::Relaxed);
        receiver
    }

    /// Lets the most urgent waiting request choose again.
    pub fn wake(&self, now: clock::Millis) {
        if self.queue_length() == 0 {
            return;
        }
        let mut waiting = self.lock();
        while let Some(popped) = waiting.pop(now) {
            // A waiting request whose caller has gone does not use the room, so the next gets it.
            if let queue::Popped::Ready(sender) = popped
                && sender.send(()).is_ok()
            {
                break;
            }
        }
        self.length.store(waiting.len(), atomic::Ordering::Relaxed);
    }

    fn lock(&self) -> sync::MutexGuard<'_, queue::DeadlineQueue<oneshot::Sender<()>>> {
        self.waiting
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
