//! Requests whose answer is a stream of events.

use std::sync;

use basilgrade_adapter::answer;
use basilgrade_fleet::health;
use basilgrade_types::clock;
use hyper::Response;
use hyper::header;

use crate::core;
use crate::serve;
use crate::serve::attempt;
use crate::serve::body;
use crate::serve::failure;
use crate::serve::relay;
use crate::serve::request;
use crate::serve::results;
use crate::serve::stages;
use crate::serve::whole;

/// A resumable stream is sent to another upstream after this time without a first event, or a
/// fifth of the time that is left if that is more; a long prompt takes up to 0.8 s to read.
const FIRST_EVENT_LIMIT: clock::Millis = clock::Millis(1500);
const FIRST_EVENT_PART: u64 = 5;

/// Serves a request; the stream goes on in the body of the answer.
///
/// # Errors
///
/// [`failure::Failure`] when no event arrived.
pub async fn serve(
    service: &sync::Arc<serve::Service>,
    request: sync::Arc<request::Request>,
    mut results: results::Results,
    active: core::Active,
) -> Result<Response<body::Body>, failure::Failure> {
    let core = &service.core;
    core.earn(&request.pool);
    let mut sends = whole::Sends::default();
    let mut fallback = None;
    loop {
        let Some(entry) = sends.next(core, &request, &results) else {
            return match fallback {
                Some(answer) => Ok(whole::respond(core, &request, answer, &sends)),
                None => Err(sends.failure(core, &request)),
            };
        };
        let extras = attempt::Extras {
            results: results.of(request.route.last_stages()),
            last_event: request.head.last_event,
        };
        let limit = first_event_limit(core, &request, &sends);
        let opening = open(core, &request, sync::Arc::clone(&entry), &extras);
        let opened = tokio::time::timeout(limit.duration(), opening).await;
        let opened = opened.unwrap_or_else(|_| {
            entry.stats.record(core.now(), health::Outcome::Failed);
            Opened::Ended(whole::Ended::Failed("no event in time".to_owned(), None))
        });
        match opened {
            Opened::Stream(source, first) => {
                let status = source.answer.status;
                let headers = answer::headers(&source.headers);
                let relay = relay::Relay::new(
                    sync::Arc::clone(service),
                    request,
                    *source,
                    first,
                    results,
                    sends,
                    active,
                );
                let mut response = Response::new(relay.into_body());
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                // The stream may go on at another upstream, so its length is not known.
                response.headers_mut().remove(header::CONTENT_LENGTH);
                if core.is_draining() {
                    let close = header::HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                return Ok(response);
            }
            Opened::Ended(whole::Ended::Answered(answer)) => {
                return Ok(whole::respond(core, &request, answer, &sends));
            }
            Opened::Ended(whole::Ended::NotRun(reason)) => {
                sends.note_refused(&request, &entry, reason);
            }
            Opened::Ended(whole::Ended::InputsGone) => {
                sends.note_refused(&request, &entry, whole::INPUTS_GONE.to_owned());
                sends.forgive_last();
                service.admit(&request)?;
                results = stages::run(service, &request).await?;
            }
            Opened::Ended(whole::Ended::Failed(reason, answer)) => {
                fallback = answer.or(fallback);
                sends.note_failed(&request, &entry, reason);
            }
        }
    }
}

fn first_event_limit(
    core: &core::Core,
    request: &request::Request,
    sends: &whole::Sends,
) -> clock::Millis {
    let left = request.left(core.now());
    let can_repeat = request.route.kind.is_repeatable() && sends.runs + 1 < request.route.attempts;
    if !can_repeat {
        return left;
    }
    let part = clock::Millis(left.0 / FIRST_EVENT_PART);
    FIRST_EVENT_LIMIT.max(part).min(left)
}

/// How the start of a stream ended.
pub(super) enum Opened {
    /// With a first event.
    Stream(Box<relay::Source>, Vec<u8>),
    /// Without a stream.
    Ended(whole::Ended),
}

/// Sends a request and waits for its first event.
pub(super) async fn open(
    core: &core::Core,
    request: &request::Request,
    entry: sync::Arc<basilgrade_fleet::directory::upstream::Upstream>,
    extras: &attempt::Extras,
) -> Opened {
    let answered = match attempt::send(core, request, &entry, extras).await {
        Ok(answered) => answered,
        Err(failure) => return Opened::Ended(whole::ended_without_answer(failure)),
    };
    if !answered.answer.status.is_success() || answered.answer.is_unexecuted {
        return Opened::Ended(whole::read(core, &entry, answered).await);
    }
    if let Some(reason) = whole::flaw(&answered.answer) {
        entry.stats.record(core.now(), health::Outcome::Failed);
        return Opened::Ended(whole::Ended::Failed(reason.to_owned(), None));
    }
    let sent = answered.sent;
    let mut source = Box::new(relay::Source::new(entry, answered, extras.last_event));
    match source.next().await {
        relay::Next::Events(first) => {
            let now = core.now();
            source.first_event();
            source
                .entry
                .stats
                .record(now, health::Outcome::Answered(now - sent));
            Opened::Stream(source, first)
        }
        relay::Next::End => Opened::Stream(source, Vec::new()),
        relay::Next::Broken(reason) => {
            source
                .entry
                .stats
                .record(core.now(), health::Outcome::Unreachable);
            Opened::Ended(whole::Ended::Failed(reason, None))
        }
    }
}
