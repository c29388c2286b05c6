//! Opens an event stream at an upstream.

use std::future;
use std::pin;
use std::sync;

use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::health;
use basilgrade_fleet::limit;
use basilgrade_types::clock;

use crate::core;
use crate::request;
use crate::serve::attempt;
use crate::serve::buffered;
use crate::serve::relay;

/// Time after which an upstream that was silent gets no chance to go on, once another one has the
/// request: two engines must not work on a stream for longer than 0.4 s.
const OVERLAP: clock::Millis = clock::Millis(200);

/// A send of a request to an upstream, until the first event of the answer.
pub(super) struct Opening {
    /// Upstream that the request is sent to.
    pub(super) entry: sync::Arc<upstream::Upstream>,
    sent: tokio::sync::watch::Receiver<bool>,
    exchange: pin::Pin<Box<dyn Future<Output = OpenOutcome> + Send>>,
}

impl Opening {
    /// Prepares the send, which begins when [`Opening::outcome`] is awaited.
    pub(super) fn new(
        core: &sync::Arc<core::Core>,
        request: &sync::Arc<request::Request>,
        entry: sync::Arc<upstream::Upstream>,
        permit: limit::Permit,
        extras: attempt::SendExtras,
    ) -> Self {
        let sent = extras.sent.subscribe();
        let (core, request) = (sync::Arc::clone(core), sync::Arc::clone(request));
        let upstream = sync::Arc::clone(&entry);
        let exchange = async move { open(&core, &request, upstream, permit, &extras).await };
        Self {
            entry,
            sent,
            exchange: Box::pin(exchange),
        }
    }

    /// Whether the upstream may have the request.
    pub(super) fn is_sent(&self) -> bool {
        *self.sent.borrow()
    }

    /// Waits for the first event or a failure.
    pub(super) async fn outcome(&mut self) -> OpenOutcome {
        self.exchange.as_mut().await
    }

    /// Waits until the upstream before must stop its work on the request.
    pub(super) fn overlap(&self) -> impl Future<Output = ()> + use<> {
        let mut sent = self.sent.clone();
        async move {
            // The sender is dropped with the send, after which nothing overlaps.
            if sent.wait_for(|is_sent| *is_sent).await.is_err() {
                future::pending::<()>().await;
            }
            tokio::time::sleep(OVERLAP.duration()).await;
        }
    }
}

/// Outcome of `opening`; waits forever if there is none.
pub(super) async fn outcome_of(opening: &mut Option<Opening>) -> OpenOutcome {
    match opening {
        Some(opening) => opening.outcome().await,
        None => future::pending().await,
    }
}

/// Outcome of opening a stream at an upstream.
pub(super) enum OpenOutcome {
    /// The stream, with the events read so far; none if the stream ended without an event.
    Stream(Box<relay::UpstreamStream>, Vec<u8>),
    /// The upstream did not start a stream.
    Ended(buffered::Outcome),
}

/// Sends a request to the upstream `entry` and waits for the first event of the answer.
async fn open(
    core: &core::Core,
    request: &request::Request,
    entry: sync::Arc<upstream::Upstream>,
    permit: limit::Permit,
    extras: &attempt::SendExtras,
) -> OpenOutcome {
    let answered = match attempt::send(core, request, &entry, permit, extras).await {
        Ok(answered) => answered,
        Err(failure) => return OpenOutcome::Ended(buffered::outcome_of_error(failure)),
    };
    if !answered.answer.status.is_success() || answered.answer.is_unexecuted {
        return OpenOutcome::Ended(buffered::read(core, request, &entry, answered).await);
    }
    if let Some(reason) = buffered::unusable_reason(&answered.answer) {
        entry.stats.record(core.now(), health::Outcome::Failed);
        return OpenOutcome::Ended(buffered::Outcome::Failed(reason.to_owned(), None));
    }
    let sent = answered.sent;
    let held = core.answers.hold(entry.address);
    let mut source = Box::new(relay::UpstreamStream::new(
        entry,
        answered,
        extras.last_event,
        held,
    ));
    match source.next().await {
        relay::StreamItem::Events(first) => {
            let now = core.now();
            source.record_prompt_read(now, now - sent);
            source
                .entry
                .stats
                .record(now, health::Outcome::Answered(now - sent));
            OpenOutcome::Stream(source, first)
        }
        relay::StreamItem::End => OpenOutcome::Stream(source, Vec::new()),
        relay::StreamItem::Broken(reason) => {
            source
                .entry
                .stats
                .record(core.now(), health::Outcome::Unreachable);
            core.record_break(&source.entry, request);
            OpenOutcome::Ended(buffered::Outcome::Failed(reason, None))
        }
    }
}
