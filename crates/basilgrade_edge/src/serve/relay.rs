//! Relays an event stream from an upstream to the caller, and moves the stream to another upstream
//! after a failure or during a silence.

use std::future;
use std::io;
use std::mem;
use std::net;
use std::pin;
use std::sync;

use basilgrade_adapter::answer;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::events;
use basilgrade_fleet::health;
use basilgrade_types::clock;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header;

use crate::core;
use crate::http::answer_memory;
use crate::http::connection;
use crate::request;
use crate::request::terms;
use crate::serve;
use crate::serve::attempt;
use crate::serve::buffered;
use crate::serve::opening;
use crate::serve::stage_results;
use crate::serve::stages;

/// Multiple of the route's event gap without an event after which another upstream is sought for a
/// resumable stream.
const SILENCE_GAPS: u64 = 5;

/// Minimum time without an event after which another upstream is sought for a resumable stream;
/// sound engines may pause for a second or so.
const MIN_SILENCE: clock::Millis = clock::Millis(1500);

/// Outcome of a stream whose caller has left.
const CALLER_LEFT: &str = "caller-left";

/// Event stream that an upstream sends.
pub struct UpstreamStream {
    /// Upstream that sends the stream.
    pub entry: sync::Arc<upstream::Upstream>,
    /// Status and properties decoded from the head of the upstream's answer.
    pub answer: answer::Answer,
    /// Headers of the upstream's answer.
    pub headers: HeaderMap,
    body: Incoming,
    events: events::EventSplitter,
    has_event: bool,
    load: Option<attempt::LoadGuard>,
    /// Counts the buffer for an event that has not arrived completely.
    held: answer_memory::HeldAnswer,
    connection: Option<connection::Connection>,
}

/// Next item of an upstream's event stream.
pub enum StreamItem {
    /// One or more complete events.
    Events(Vec<u8>),
    /// Regular end of the stream.
    End,
    /// Failure of the stream, with the reason.
    Broken(String),
}

impl UpstreamStream {
    /// Stream of the answer `answered`, of which `held` counts what is held; events up to and
    /// including the id `last_event` are skipped.
    pub fn new(
        entry: sync::Arc<upstream::Upstream>,
        answered: attempt::UnreadAnswer,
        last_event: Option<u64>,
        held: answer_memory::HeldAnswer,
    ) -> Self {
        Self {
            entry,
            answer: answered.answer,
            headers: answered.headers,
            body: answered.body,
            events: events::EventSplitter::resume_after(last_event),
            has_event: false,
            load: Some(answered.load),
            held,
            connection: Some(answered.connection),
        }
    }

    /// Records that the engine has read the prompt at `now`, `span` after the request was sent.
    pub fn record_prompt_read(&mut self, now: clock::Millis, span: clock::Millis) {
        if let Some(load) = &mut self.load {
            load.record_speed(now, span);
            load.prompt_read();
        }
    }

    /// Releases the upstream after the end of the stream.
    fn release(&mut self) {
        self.load = None;
        self.connection = None;
    }

    /// Media type of the answer, if stated.
    fn content_type(&self) -> Option<&header::HeaderValue> {
        self.headers.get(header::CONTENT_TYPE)
    }

    /// Whether the answer states its end, so that it does not just end with the connection.
    fn has_framing(&self) -> bool {
        self.headers.contains_key(header::CONTENT_LENGTH)
            || self.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Waits for complete events, the end or a failure of the stream.
    pub async fn next(&mut self) -> StreamItem {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.held.given_up() => {
                    return StreamItem::Broken(answer_memory::GIVEN_UP.to_owned());
                }
                frame = self.body.frame() => frame,
            };
            match frame {
                None if self.events.is_partial() => {
                    return StreamItem::Broken("the stream ended within an event".to_owned());
                }
                None if !self.has_event && !self.has_framing() => {
                    return StreamItem::Broken(
                        "the connection closed before the first event".to_owned(),
                    );
                }
                None => return StreamItem::End,
                Some(Err(error)) => return StreamItem::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let before = self.events.buffer_bytes();
                    let output = self.events.push(&data);
                    if before != self.events.buffer_bytes() {
                        self.held.set(self.events.buffer_bytes());
                    }
                    match output {
                        events::Output::Complete(events) if events.is_empty() => {}
                        events::Output::Complete(events) => {
                            self.has_event = true;
                            return StreamItem::Events(events);
                        }
                        events::Output::TooLong => {
                            return StreamItem::Broken(
                                "an event of the stream exceeds the size limit".to_owned(),
                            );
                        }
                        events::Output::OutOfOrder => {
                            return StreamItem::Broken(
                                "an event of the stream is missing".to_owned(),
                            );
                        }
                    }
                }
            }
        }
    }
}

/// Event stream that is relayed to a caller.
pub struct Relay {
    service: sync::Arc<serve::Service>,
    request: sync::Arc<request::Request>,
    source: Option<UpstreamStream>,
    first: Option<Vec<u8>>,
    sends: buffered::SendHistory,
    /// Whether the source has sent nothing since another upstream was sought.
    is_silent: bool,
    content_type: Option<header::HeaderValue>,
    last_event: Option<u64>,
    outcome: &'static str,
    /// Why the stream ended without its last event.
    reason: Option<&'static str>,
    first_event_at: clock::Millis,
    /// When the caller got the last event.
    last_event_at: clock::Millis,
    _active: core::ActiveRequest,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let core = &self.service.core;
        let now = core.now();
        match self.outcome {
            "complete" => core.metrics.served.inc(),
            CALLER_LEFT => core.metrics.callers_left.inc(),
            _ => core.metrics.failed.inc(),
        }
        core.metrics
            .first_byte_time
            .record(self.first_event_at - self.request.arrived);
        core.metrics.answer_time.record(now - self.request.arrived);
        log::info!(
            "event=stream-ended request={} route={} customer={} outcome={} upstream={} sends={} \
             first={} span={} deadline={} origin={} resumes={} last_event={} reason={:?}",
            self.request.head.request_id,
            self.request.route.name,
            self.request.customer_name(),
            self.outcome,
            self.source
                .as_ref()
                .map_or("-", |source| source.entry.id.as_str()),
            self.sends.tried.len(),
            self.first_event_at - self.request.arrived,
            now - self.request.arrived,
            self.request.deadline - self.request.arrived,
            self.request.deadline_origin,
            self.request.resumed_name(),
            self.last_event.unwrap_or_default(),
            self.reason.unwrap_or("-")
        );
    }
}

impl Relay {
    /// Creates a relay of `source`, of which the events `first` have already been read.
    pub fn new(
        service: sync::Arc<serve::Service>,
        request: sync::Arc<request::Request>,
        source: UpstreamStream,
        first: Vec<u8>,
        results: stage_results::StageResults,
        sends: buffered::SendHistory,
        active: core::ActiveRequest,
    ) -> Self {
        let first_event_at = service.core.now();
        // The engine has fetched the stage results. They are freed now, as memory for results is
        // scarce, and recomputed for the few streams that are resumed at another upstream.
        drop(results);
        Self {
            service,
            request,
            content_type: source.content_type().cloned(),
            source: Some(source),
            first: Some(first),
            sends,
            is_silent: false,
            last_event: None,
            outcome: CALLER_LEFT,
            reason: None,
            first_event_at,
            last_event_at: first_event_at,
            _active: active,
        }
    }

    /// Account of the events that are read ahead of the caller.
    pub(super) fn hold_ahead(&self) -> answer_memory::HeldAnswer {
        let address = self.source.as_ref().map(|source| source.entry.address);
        let unspecified = net::SocketAddr::from(([0, 0, 0, 0], 0));
        let answers = &self.service.core.answers;
        let held = answers.hold(address.unwrap_or(unspecified));
        held.begin_transfer(&self.request.caller);
        held
    }

    /// Time left until the deadline.
    pub(super) fn time_left(&self) -> clock::Millis {
        self.request.time_left(self.service.core.now())
    }

    /// Ends the stream at its deadline.
    pub(super) fn fail_late(&mut self) -> io::Error {
        self.fail("the deadline has passed")
    }

    /// Releases the upstream after the end of the stream; returns the outcome, which is that of a
    /// caller that has left until [`Relay::set_outcome`] is called.
    pub(super) fn end_reading(&mut self) -> &'static str {
        if let Some(source) = &mut self.source {
            source.release();
        }
        mem::replace(&mut self.outcome, CALLER_LEFT)
    }

    /// Sets the outcome once the caller has got the whole stream, or that it broke.
    pub(super) fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    pub(super) async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            // The first events of a source were read when the stream was opened.
            if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
                self.record_last_event();
                return Some(Ok(Bytes::from(first)));
            }
            let left = self.request.time_left(self.service.core.now());
            let item = tokio::time::timeout(left.duration(), self.next_item()).await;
            if let Ok(Some(item)) = &item {
                self.record_item(item);
            }
            match item {
                Ok(Some(StreamItem::Events(events))) => {
                    self.record_last_event();
                    return Some(Ok(Bytes::from(events)));
                }
                Ok(Some(StreamItem::End)) => {
                    self.outcome = "complete";
                    // An engine that crashes may close the connection as if the answer were empty.
                    if self.last_event.is_some() {
                        let core = &self.service.core;
                        core.record_complete(&self.request);
                        core.record_generation(&self.request, core.now() - self.first_event_at);
                    }
                    return None;
                }
                Ok(Some(StreamItem::Broken(reason))) => self.drop_broken(reason),
                Ok(None) if self.source.is_none() => {
                    return Some(Err(self.fail("the stream failed and could not be resumed")));
                }
                Ok(None) => {}
                Err(_) => return Some(Err(self.fail("the deadline has passed"))),
            }
        }
    }

    /// Next item of the source, or `None` after an attempt to move the stream to another upstream,
    /// because there is no source or it is silent.
    async fn next_item(&mut self) -> Option<StreamItem> {
        let Some(source) = &mut self.source else {
            return self.move_on().await;
        };
        let limit = silence_limit(&self.request);
        if let Ok(item) = tokio::time::timeout(limit.duration(), source.next()).await {
            return Some(item);
        }
        let core = &self.service.core;
        core.record_silence(&source.entry, &self.request, limit);
        if !self.is_silent {
            self.is_silent = true;
            let reason = "no event within the time-out".to_owned();
            self.sends
                .record_failure(&self.request, &source.entry, reason);
        }
        self.sends.has_silent = true;
        if !attempt::has_candidate(core, &self.request, &self.sends) {
            self.log_stuck("no other upstream in good health can go on with it");
            return None;
        }
        if !core.has_retry(&self.request.pool) {
            self.log_stuck(buffered::BUDGET_SPENT);
            return None;
        }
        if let Err(failure) = self.service.admit(&self.request, self.stage_terms()) {
            self.log_stuck(&failure.reason);
            return None;
        }
        self.move_on().await
    }

    /// Records what `item` tells about the source.
    fn record_item(&mut self, item: &StreamItem) {
        if matches!(item, StreamItem::Broken(_)) {
            return;
        }
        if let Some(source) = &self.source {
            source.entry.stats.record_event();
        }
        if self.is_silent {
            self.is_silent = false;
            self.sends.record_recovery();
        }
    }

    /// Drops the source, whose connection broke for `reason`.
    fn drop_broken(&mut self, reason: String) {
        let source = self.source.take();
        self.record_broken(source.map(|source| (source, reason)));
    }

    /// Records why a source that is no longer in use broke.
    fn record_broken(&mut self, broken: Option<(UpstreamStream, String)>) {
        let Some((source, reason)) = broken else {
            return;
        };
        let core = &self.service.core;
        core.record_break(&source.entry, &self.request);
        source
            .entry
            .stats
            .record(core.now(), health::Outcome::Unreachable);
        self.sends
            .record_failure(&self.request, &source.entry, reason);
        self.sends.has_silent = false;
    }

    /// Terms on which the stages run again; another upstream must have the request while the caller
    /// still waits.
    fn stage_terms(&self) -> terms::Terms {
        terms::Terms {
            send_by: self.request.send_deadline(self.last_event_at),
            has_begun: self.request.has_begun(self.last_event),
        }
    }

    fn record_last_event(&mut self) {
        self.last_event_at = self.service.core.now();
        if let Some(source) = &self.source {
            self.last_event = source.events.last_id();
        }
    }

    fn fail(&mut self, reason: &'static str) -> io::Error {
        self.outcome = "broken";
        self.reason = Some(reason);
        // An error in the body closes the connection, so the caller cannot take the response
        // for complete.
        io::Error::new(io::ErrorKind::ConnectionAborted, reason)
    }

    fn log_stuck(&self, reason: &str) {
        log::info!(
            "event=stream-stuck request={} sends={} left={} reason={reason:?}",
            self.request.head.request_id,
            self.sends.tried.len(),
            self.request.time_left(self.service.core.now())
        );
    }

    /// Moves the stream to another upstream, if that is possible.
    ///
    /// A silent source stays until the next upstream has the request. If it sends an item before,
    /// the stream stays there, and the item is returned.
    async fn move_on(&mut self) -> Option<StreamItem> {
        let service = sync::Arc::clone(&self.service);
        let request = sync::Arc::clone(&self.request);
        let core = &service.core;
        if !self.sends.may_repeat(core, &request) {
            self.log_stuck("the request must not be sent again");
            return None;
        }
        let running = stages::run(&service, &request, self.stage_terms());
        let mut broken = None;
        let ran = beside(&mut self.source, &mut broken, running).await;
        self.record_broken(broken);
        let results = match ran {
            Ok(Ok(results)) => results,
            Ok(Err(failure)) => {
                self.log_stuck(&failure.reason);
                return None;
            }
            Err(item) => return Some(item),
        };
        loop {
            let next = self.sends.next(core, &request, &results);
            let mut broken = None;
            let chosen = beside(&mut self.source, &mut broken, next).await;
            self.record_broken(broken);
            let (entry, permit) = match chosen {
                Ok(Some(next)) => next,
                Ok(None) => {
                    self.log_stuck(self.sends.last_reason());
                    return None;
                }
                Err(item) => return Some(item),
            };
            let extras = attempt::SendExtras {
                results: results.of(request.route.last_stages()),
                last_event: self.last_event.or(request.head.last_event),
                ..attempt::SendExtras::default()
            };
            let opening = opening::Opening::new(core, &request, entry, permit, extras);
            match self.open(opening).await {
                Ok(true) => return None,
                Ok(false) => {}
                Err(item) => return Some(item),
            }
        }
    }

    /// Waits until the upstream of `opening` sends the stream, which becomes the source; `false` if
    /// it does not.
    ///
    /// # Errors
    ///
    /// The next item of the source, if that comes first.
    async fn open(&mut self, mut opening: opening::Opening) -> Result<bool, StreamItem> {
        let mut overlap = pin::pin!(opening.overlap());
        let outcome = loop {
            tokio::select! {
                biased;
                item = next_of(&mut self.source) => match item {
                    StreamItem::Broken(reason) => self.drop_broken(reason),
                    item => {
                        self.sends.record_abandoned(&self.request, &opening);
                        return Err(item);
                    }
                },
                outcome = opening.outcome() => break outcome,
                () = &mut overlap, if self.source.is_some() => {
                    self.source = None;
                    self.sends.has_silent = false;
                }
            }
        };
        let entry = &opening.entry;
        match outcome {
            opening::OpenOutcome::Stream(source, _)
                if source.content_type() != self.content_type.as_ref() =>
            {
                let reason = "the answer has another content type than the stream".to_owned();
                self.sends.record_failure(&self.request, entry, reason);
            }
            opening::OpenOutcome::Stream(source, first) => {
                log::info!(
                    "event=stream-resumed request={} upstream={} software={} last_event={}",
                    self.request.head.request_id,
                    entry.id,
                    entry.version,
                    self.last_event.unwrap_or_default()
                );
                self.service.core.metrics.resumed.inc();
                self.source = Some(*source);
                self.is_silent = false;
                self.first = Some(first);
                return Ok(true);
            }
            opening::OpenOutcome::Ended(buffered::Outcome::InputsGone) => {
                let reason = buffered::INPUTS_GONE.to_owned();
                self.sends.record_refusal(&self.request, entry, reason);
            }
            opening::OpenOutcome::Ended(buffered::Outcome::NotRun(reason)) => {
                self.sends.record_refusal(&self.request, entry, reason);
            }
            opening::OpenOutcome::Ended(buffered::Outcome::Failed(reason, _)) => {
                self.sends.record_failure(&self.request, entry, reason);
            }
            opening::OpenOutcome::Ended(buffered::Outcome::Answered(_)) => {
                let reason = "the answer is not an event stream".to_owned();
                self.sends.record_failure(&self.request, entry, reason);
            }
        }
        Ok(false)
    }
}

/// Next item of `source`; waits forever if there is none.
async fn next_of(source: &mut Option<UpstreamStream>) -> StreamItem {
    match source {
        Some(source) => source.next().await,
        None => future::pending().await,
    }
}

/// Result of `work`. If `source` breaks meanwhile, it becomes `broken`, and the work goes on.
///
/// # Errors
///
/// The next item of `source`, if that comes first.
async fn beside<T>(
    source: &mut Option<UpstreamStream>,
    broken: &mut Option<(UpstreamStream, String)>,
    work: impl Future<Output = T>,
) -> Result<T, StreamItem> {
    let mut work = pin::pin!(work);
    loop {
        tokio::select! {
            biased;
            item = next_of(source) => match item {
                StreamItem::Broken(reason) => *broken = source.take().map(|source| (source, reason)),
                item => return Err(item),
            },
            done = &mut work => return Ok(done),
        }
    }
}

/// Time without an event after which another upstream is sought; unlimited if the request must not
/// be repeated.
fn silence_limit(request: &request::Request) -> clock::Millis {
    if !request.route.kind.is_repeatable() {
        return clock::Millis::MAX;
    }
    request.route.event_gap.times(SILENCE_GAPS).max(MIN_SILENCE)
}
