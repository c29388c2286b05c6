//! Serves requests whose answer is an event stream.

use std::pin;
use std::sync;

use basilgrade_adapter::answer;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::streams;
use basilgrade_types::clock;
use basilgrade_types::id;
use hyper::Response;
use hyper::header;

use crate::core;
use crate::follow::registrations;
use crate::request;
use crate::request::failure;
use crate::request::response_body;
use crate::serve;
use crate::serve::attempt;
use crate::serve::buffered;
use crate::serve::opening;
use crate::serve::read_ahead;
use crate::serve::relay;
use crate::serve::stage_results;
use crate::serve::stages;

/// Minimum time to wait for the first event before another upstream is sought for a repeatable
/// request; an engine takes up to 0.8 s to prefill a long prompt.
const MIN_FIRST_EVENT_TIMEOUT: clock::Millis = clock::Millis(1500);
/// A repeatable request waits for the first event for at least `1 / TIME_LEFT_DIVISOR` of the time
/// left to its deadline before another upstream is sought.
const TIME_LEFT_DIVISOR: u64 = 5;

/// Reason of a refusal of a stream that may have begun at another software version.
const UNKNOWN_VERSION: &str =
    "the software version that began the stream is not known; send the request anew";

/// Reason of a refusal of a stream whose route was moved to pools without its software version.
const OTHER_POOL: &str = "the route no longer leads to the software version that began the stream; send the request anew";

/// Part of the time left after which a caller may find an upstream of a version again.
const VERSION_WAIT_DIVISOR: u64 = 4;

/// Pool and software version at which the stream that `request` takes up has to go on; `None` if it
/// takes up none.
///
/// # Errors
///
/// [`failure::RequestFailure`] if they are not known or no upstream has the version.
pub async fn find_origin(
    service: &serve::Service,
    request: &request::Request,
) -> Result<Option<(id::PoolId, upstream::Version)>, failure::RequestFailure> {
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
    let found = service.stream_log.origin(attempt, request).await;
    let (pool, version) = match found {
        Ok((pool, streams::Origin::Version(version))) => (pool, version),
        Ok((_, streams::Origin::Unknown)) => {
            let wait = left(1);
            return Err(failure::RequestFailure::refused(UNKNOWN_VERSION, wait));
        }
        Ok((_, streams::Origin::OtherPool)) => {
            let wait = left(1);
            return Err(failure::RequestFailure::refused(OTHER_POOL, wait));
        }
        // Another daemon may reach the store.
        Err(reason) => {
            log::warn!(
                "event=streams-unread request={} reason={reason:?}",
                head.request_id
            );
            return Err(failure::RequestFailure::unavailable(UNKNOWN_VERSION));
        }
    };
    let view = service.core.view.load();
    let is_ready = view
        .directory
        .ready(&pool)
        .filter(|entry| view.topology.is_allowed(&request.regions, &entry.domain))
        .any(|entry| entry.version == version);
    if !is_ready {
        let reason = format!("no upstream of the software version `{version}` is ready");
        let wait = left(VERSION_WAIT_DIVISOR);
        return Err(failure::RequestFailure::refused(reason, wait));
    }
    Ok(Some((pool, version)))
}

/// Opens the stream and returns the response, whose body relays the events.
///
/// # Errors
///
/// [`failure::RequestFailure`] if no upstream sent a first event.
pub async fn serve(
    service: &sync::Arc<serve::Service>,
    request: sync::Arc<request::Request>,
    mut results: stage_results::StageResults,
    active: core::ActiveRequest,
    version: Option<upstream::Version>,
) -> Result<Response<response_body::Body>, failure::RequestFailure> {
    let core = &service.core;
    core.deposit_retry(&request.pool);
    let mut opener = Opener {
        core,
        request: &request,
        registrations: version
            .as_ref()
            .map(|_| sync::Arc::clone(service.stream_log.registrations())),
        sends: buffered::SendHistory::default(),
        silent: None,
        fallback: None,
    };
    opener.sends.version = version;
    let (source, first) = loop {
        let Some((entry, outcome)) = opener.step(&results).await else {
            return match opener.fallback {
                Some(answer) => Ok(buffered::respond(core, &request, answer, &opener.sends)),
                None => Err(opener.sends.failure(core, &request)),
            };
        };
        match outcome {
            opening::OpenOutcome::Stream(source, first) => break (source, first),
            opening::OpenOutcome::Ended(buffered::Outcome::Answered(answer)) => {
                return Ok(buffered::respond(core, &request, answer, &opener.sends));
            }
            opening::OpenOutcome::Ended(buffered::Outcome::NotRun(reason)) => {
                opener.sends.record_refusal(&request, &entry, reason);
            }
            opening::OpenOutcome::Ended(buffered::Outcome::InputsGone) => {
                let reason = buffered::INPUTS_GONE.to_owned();
                opener.sends.record_refusal(&request, &entry, reason);
                if opener.silent.is_none() {
                    opener.sends.allow_last_again();
                    let terms = request.stage_terms();
                    let admitted = service.admit(&request, terms);
                    admitted.map_err(|failure| opener.sends.qualify(failure))?;
                    let ran = stages::run(service, &request, terms).await;
                    results = ran.map_err(|failure| opener.sends.qualify(failure))?;
                }
            }
            opening::OpenOutcome::Ended(buffered::Outcome::Failed(reason, answer)) => {
                opener.fallback = answer.or(opener.fallback);
                opener.sends.record_failure(&request, &entry, reason);
            }
        }
    };
    let mut sends = opener.sends;
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
    let mut response = Response::new(read_ahead::body(relay));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    // The stream may be resumed at another upstream, so its length is unknown.
    response.headers_mut().remove(header::CONTENT_LENGTH);
    if core.is_draining() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Sends of a request until an upstream begins the stream.
struct Opener<'a> {
    core: &'a sync::Arc<core::Core>,
    request: &'a sync::Arc<request::Request>,
    /// Registrations of upstreams, if the request takes a stream up.
    registrations: Option<sync::Arc<registrations::Registrations>>,
    sends: buffered::SendHistory,
    /// The send to an upstream that is silent, which may answer until another one has the request.
    silent: Option<opening::Opening>,
    /// Error answer of an upstream, for a request that no other one answers.
    fallback: Option<buffered::BufferedAnswer>,
}

impl Opener<'_> {
    /// Sends the request to the next upstream and waits for the end of that send or of the silent
    /// one; `None` if no send is left.
    async fn step(
        &mut self,
        results: &stage_results::StageResults,
    ) -> Option<(sync::Arc<upstream::Upstream>, opening::OpenOutcome)> {
        loop {
            let next = tokio::select! {
                biased;
                outcome = opening::outcome_of(&mut self.silent) => {
                    if let Some(ended) = self.end_silent(outcome) {
                        return Some(ended);
                    }
                    continue;
                }
                next = self.sends.next(self.core, self.request, results) => next,
            };
            let Some((entry, permit)) = next else {
                self.silent.as_ref()?;
                let outcome = opening::outcome_of(&mut self.silent);
                let pause = buffered::SEARCH_PAUSE.duration();
                if let Ok(outcome) = tokio::time::timeout(pause, outcome).await
                    && let Some(ended) = self.end_silent(outcome)
                {
                    return Some(ended);
                }
                continue;
            };
            let extras = attempt::SendExtras {
                results: results.of(self.request.route.last_stages()),
                last_event: self.request.head.last_event,
                registrations: self.registrations.clone(),
                ..attempt::SendExtras::default()
            };
            let limit = first_event_timeout(self.core, self.request, &self.sends);
            let opening = opening::Opening::new(self.core, self.request, entry, permit, extras);
            if let Some(ended) = self.open(opening, limit).await {
                return Some(ended);
            }
        }
    }

    /// Waits for the end of `opening` or of the silent send; `None` if `opening` is silent for
    /// `limit`.
    async fn open(
        &mut self,
        mut opening: opening::Opening,
        limit: clock::Millis,
    ) -> Option<(sync::Arc<upstream::Upstream>, opening::OpenOutcome)> {
        let mut overlap = pin::pin!(opening.overlap());
        let mut timeout = pin::pin!(tokio::time::sleep(limit.duration()));
        loop {
            tokio::select! {
                biased;
                outcome = opening::outcome_of(&mut self.silent) => {
                    if let Some(ended) = self.end_silent(outcome) {
                        self.sends.record_abandoned(self.request, &opening);
                        return Some(ended);
                    }
                }
                outcome = opening.outcome() => return Some((opening.entry, outcome)),
                () = &mut overlap, if self.silent.is_some() => {
                    self.silent = None;
                    self.sends.has_silent = false;
                }
                () = &mut timeout => break,
            }
        }
        self.core
            .record_silence(&opening.entry, self.request, limit);
        let reason = "no event within the time-out".to_owned();
        self.sends
            .record_failure(self.request, &opening.entry, reason);
        self.silent = Some(opening);
        self.sends.has_silent = true;
        None
    }

    /// Ends the silent send, which counts as failed already, with `outcome`; `None` if it failed
    /// indeed.
    fn end_silent(
        &mut self,
        outcome: opening::OpenOutcome,
    ) -> Option<(sync::Arc<upstream::Upstream>, opening::OpenOutcome)> {
        let silent = self.silent.take()?;
        self.sends.has_silent = false;
        match outcome {
            opening::OpenOutcome::Ended(
                buffered::Outcome::NotRun(_) | buffered::Outcome::InputsGone,
            ) => None,
            opening::OpenOutcome::Ended(buffered::Outcome::Failed(_, answer)) => {
                self.fallback = answer.or(self.fallback.take());
                None
            }
            outcome => {
                self.sends.record_recovery();
                Some((silent.entry, outcome))
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
    let can_repeat =
        request.route.kind.is_repeatable() && sends.runs() + 1 < request.route.attempts;
    if !can_repeat {
        return left;
    }
    let part = clock::Millis(left.0 / TIME_LEFT_DIVISOR);
    MIN_FIRST_EVENT_TIMEOUT.max(part).min(left)
}
