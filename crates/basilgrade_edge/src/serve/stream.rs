//! Serves requests whose answer is an event stream.

use std::sync;

use basilgrade_adapter::answer;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::health;
use basilgrade_fleet::limit;
use basilgrade_fleet::streams;
use basilgrade_types::clock;
use hyper::Response;
use hyper::header;

use crate::core;
use crate::serve;
use crate::serve::attempt;
use crate::serve::buffered;
use crate::serve::relay;
use crate::serve::request;
use crate::serve::request_failure;
use crate::serve::response_body;
use crate::serve::stage_results;
use crate::serve::stages;

/// Minimum time to wait for the first event before a repeatable request is sent to another
/// upstream; an engine takes up to 0.8 s to prefill a long prompt.
const MIN_FIRST_EVENT_TIMEOUT: clock::Millis = clock::Millis(1500);
/// A repeatable request waits for the first event for at least `1 / TIME_LEFT_DIVISOR` of the time
/// left to its deadline before it is sent to another upstream.
const TIME_LEFT_DIVISOR: u64 = 5;

/// Reason of a refusal of a stream that may have begun at another software version.
const UNKNOWN_VERSION: &str =
    "the software version that began the stream is not known; send the request anew";

/// Part of the time left after which a caller may find an upstream of a version again.
const VERSION_WAIT_DIVISOR: u64 = 4;

/// Software version at which the stream that `request` takes up has to go on; `None` if it takes up
/// none.
///
/// # Errors
///
/// [`request_failure::RequestFailure`] if the version is not known or no upstream has it.
pub async fn find_version(
    service: &serve::Service,
    request: &request::Request,
) -> Result<Option<upstream::Version>, request_failure::RequestFailure> {
    if !request.route.kind.is_stream() || request.head.last_event.is_none() {
        return Ok(None);
    }
    let head = &request.head;
    let first = head.resumes.as_ref().unwrap_or(&head.request_id);
    let attempt = streams::AttemptId::new(first);
    let left = |divisor| {
        let left = request.time_left(service.core.now());
        clock::Millis(left.0 / divisor)
    };
    let found = service.stream_log.origin(attempt, &request.pool).await;
    let version = match found {
        Ok(streams::Origin::Version(version)) => version,
        Ok(streams::Origin::Unknown | streams::Origin::OtherPool) => {
            let wait = left(1);
            return Err(request_failure::RequestFailure::refused(
                UNKNOWN_VERSION,
                wait,
            ));
        }
        // Another daemon may reach the store.
        Err(reason) => {
            log::warn!(
                "event=streams-unread request={} reason={reason:?}",
                head.request_id
            );
            return Err(request_failure::RequestFailure::unavailable(
                UNKNOWN_VERSION,
            ));
        }
    };
    let view = service.core.view.load();
    let mut ready = view.directory.ready(&request.pool);
    if !ready.any(|entry| entry.version == version) {
        let reason = format!("no upstream of the software version `{version}` is ready");
        let wait = left(VERSION_WAIT_DIVISOR);
        return Err(request_failure::RequestFailure::refused(reason, wait));
    }
    Ok(Some(version))
}

/// Opens the stream and returns the response, whose body relays the events.
///
/// # Errors
///
/// [`request_failure::RequestFailure`] if no upstream sent a first event.
pub async fn serve(
    service: &sync::Arc<serve::Service>,
    request: sync::Arc<request::Request>,
    mut results: stage_results::StageResults,
    active: core::ActiveRequest,
    version: Option<upstream::Version>,
) -> Result<Response<response_body::Body>, request_failure::RequestFailure> {
    let core = &service.core;
    core.deposit_retry(&request.pool);
    let mut sends = buffered::SendHistory::default();
    sends.version = version;
    let mut fallback = None;
    loop {
        let Some((entry, permit)) = sends.next(core, &request, &results).await else {
            return match fallback {
                Some(answer) => Ok(buffered::respond(core, &request, answer, &sends)),
                None => Err(sends.failure(core, &request)),
            };
        };
        let extras = attempt::SendExtras {
            results: results.of(request.route.last_stages()),
            last_event: request.head.last_event,
        };
        let limit = first_event_timeout(core, &request, &sends);
        let opening = open(core, &request, sync::Arc::clone(&entry), permit, &extras);
        let opened = tokio::time::timeout(limit.duration(), opening).await;
        let opened = opened.unwrap_or_else(|_| {
            entry.stats.record(core.now(), health::Outcome::Failed);
            OpenOutcome::Ended(buffered::Outcome::Failed(
                "no event within the time-out".to_owned(),
                None,
            ))
        });
        match opened {
            OpenOutcome::Stream(source, first) => {
                sends.version = Some(source.entry.version.clone());
                core.record_stream(&request, &source.entry);
                let status = source.answer.status;
                let headers = answer::caller_headers(status, &source.headers);
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
                // The stream may be resumed at another upstream, so its length is unknown.
                response.headers_mut().remove(header::CONTENT_LENGTH);
                if core.is_draining() {
                    let close = header::HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                return Ok(response);
            }
            OpenOutcome::Ended(buffered::Outcome::Answered(answer)) => {
                return Ok(buffered::respond(core, &request, answer, &sends));
            }
            OpenOutcome::Ended(buffered::Outcome::NotRun(reason)) => {
                sends.record_refusal(&request, &entry, reason);
            }
            OpenOutcome::Ended(buffered::Outcome::InputsGone) => {
                sends.record_refusal(&request, &entry, buffered::INPUTS_GONE.to_owned());
                sends.allow_last_again();
                service.admit(&request)?;
                results = stages::run(service, &request).await?;
            }
            OpenOutcome::Ended(buffered::Outcome::Failed(reason, answer)) => {
                fallback = answer.or(fallback);
                sends.record_failure(&request, &entry, reason);
            }
        }
    }
}

fn first_event_timeout(
    core: &core::Core,
    request: &request::Request,
    sends: &buffered::SendHistory,
) -> clock::Millis {
    let left = request.time_left(core.now());
    let can_repeat = request.route.kind.is_repeatable() && sends.runs + 1 < request.route.attempts;
    if !can_repeat {
        return left;
    }
    let part = clock::Millis(left.0 / TIME_LEFT_DIVISOR);
    MIN_FIRST_EVENT_TIMEOUT.max(part).min(left)
}

/// Outcome of opening a stream at an upstream.
pub(super) enum OpenOutcome {
    /// The stream, with the events read so far; none if the stream ended without an event.
    Stream(Box<relay::UpstreamStream>, Vec<u8>),
    /// The upstream did not start a stream.
    Ended(buffered::Outcome),
}

/// Sends a request to the upstream `entry` and waits for the first event of the answer.
pub(super) async fn open(
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
    let mut source = Box::new(relay::UpstreamStream::new(
        entry,
        answered,
        extras.last_event,
    ));
    match source.next().await {
        relay::StreamItem::Events(first) => {
            let now = core.now();
            source.record_prompt_read();
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
