//! Reads the events of a stream ahead of its caller.
//!
//! An upstream closes a connection that stays unread for some seconds, so the events of a caller that
//! reads slowly are kept in the memory for answers.

use std::io;
use std::sync;
use std::sync::atomic;

use basilgrade_types::clock;
use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_util::task;

use crate::http::answer_memory;
use crate::request::response_body;
use crate::serve::relay;

/// Interval at which a stream that may not be read ahead looks for memory.
const ROOM_INTERVAL: clock::Millis = clock::Millis(20);

/// Item of a stream that was read.
enum Item {
    Events(Bytes),
    /// The end, with the relay, whose drop records the outcome.
    End(Box<relay::Relay>, &'static str, Option<io::Error>),
}

/// Bytes that were read and that the caller has not taken, with their account.
struct Ahead {
    bytes: atomic::AtomicUsize,
    held: answer_memory::HeldAnswer,
}

impl Ahead {
    fn add(&self, count: usize) {
        let before = self.bytes.fetch_add(count, atomic::Ordering::Relaxed);
        self.held.set(before + count);
    }

    fn remove(&self, count: usize) {
        let before = self.bytes.fetch_sub(count, atomic::Ordering::Relaxed);
        self.held.set(before - count);
    }

    fn has_room(&self) -> bool {
        let bytes = self.bytes.load(atomic::Ordering::Relaxed);
        self.held.may_read_ahead(bytes)
    }
}

/// Body of the response to the caller of `relay`; the upstream is released if it is dropped.
pub(super) fn body(relay: relay::Relay) -> response_body::Body {
    let ahead = sync::Arc::new(Ahead {
        bytes: atomic::AtomicUsize::new(0),
        held: relay.hold_ahead(),
    });
    let (sender, receiver) = mpsc::unbounded_channel();
    let reading = tokio::spawn(read(relay, sync::Arc::clone(&ahead), sender));
    let reading = task::AbortOnDropHandle::new(reading);
    let state = Some((receiver, ahead, reading));
    let frames = stream::unfold(state, |state| async {
        let (mut receiver, ahead, reading) = state?;
        match receiver.recv().await {
            Some(Item::Events(events)) => {
                ahead.remove(events.len());
                Some((Ok(Frame::data(events)), Some((receiver, ahead, reading))))
            }
            Some(Item::End(mut relay, outcome, error)) => {
                relay.set_outcome(outcome);
                let error = error?;
                // The library flushes what it has when the body has nothing more; an error that comes
                // at once would drop the events before it.
                tokio::task::yield_now().await;
                Some((Err(error), None))
            }
            // The task has panicked.
            None => Some((Err(io::ErrorKind::BrokenPipe.into()), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Reads the events of `relay` while there is memory for them, at most until the deadline.
async fn read(relay: relay::Relay, ahead: sync::Arc<Ahead>, sender: mpsc::UnboundedSender<Item>) {
    let mut relay = Box::new(relay);
    let error = loop {
        if !ahead.has_room() {
            if relay.time_left() == clock::Millis::ZERO {
                break Some(relay.fail_late());
            }
            tokio::time::sleep(ROOM_INTERVAL.duration()).await;
            continue;
        }
        match relay.next().await {
            Some(Ok(events)) => {
                ahead.add(events.len());
                // The receiver outlives this task.
                let _ = sender.send(Item::Events(events));
            }
            Some(Err(error)) => break Some(error),
            None => break None,
        }
    };
    let outcome = relay.end_reading();
    let _ = sender.send(Item::End(relay, outcome, error));
}
