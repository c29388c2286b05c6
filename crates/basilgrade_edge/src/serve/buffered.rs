//! Serves requests whose answer is read into memory before it is sent to the caller.

use std::sync;

use basilgrade_adapter::answer;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::health;
use basilgrade_fleet::limit;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::verdict;
use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use indexmap::IndexSet;

use crate::core;
use crate::http::connection;
use crate::http::error;
use crate::permits;
use crate::request;
use crate::request::failure;
use crate::request::response_body;
use crate::serve;
use crate::serve::attempt;
use crate::serve::opening;
use crate::serve::stage_results;

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Maximum number of refusals by upstreams before a request fails.
const MAX_REFUSALS: usize = 4;

/// A repeatable request without an answer is sent to another upstream after the target latency of
/// its route divided by this constant, so that the second answer can still meet the target.
const TARGET_LATENCY_DIVISOR: u64 = 2;

/// Minimum time-out after which a repeatable request is sent to another upstream; most answers
/// arrive earlier.
const MIN_ANSWER_TIMEOUT: clock::Millis = clock::Millis(60);

/// Maximum number of permits that a request is denied in a row before it leaves out upstreams with
/// limits.
const MAX_DENIALS: usize = 3;

/// Part of the time left that a request waits for an upstream that is at its limit.
const LIMIT_WAIT_DIVISOR: u64 = 3;

/// Delay for each priority level of a request that waited for an upstream at its limit.
const PRIORITY_DELAY: clock::Millis = clock::Millis(4);

/// Reason why a request is not sent again, as the pool's budget of retries is spent.
pub const BUDGET_SPENT: &str = "the retry budget of the pool is exhausted";

/// Pause after which another upstream is sought again for a request whose upstream is silent.
pub const SEARCH_PAUSE: clock::Millis = clock::Millis(500);

/// Reason of a refusal by an upstream that cannot fetch the stage results of a request.
pub const INPUTS_GONE: &str = "stage results are gone";

/// A complete answer of an upstream.
pub struct BufferedAnswer {
    upstream: id::UpstreamId,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Outcome of one send of a request to an upstream.
pub enum Outcome {
    /// The upstream answered; the answer is sent to the caller.
    Answered(BufferedAnswer),
    /// The upstream did not run the request, for this reason.
    NotRun(String),
    /// The upstream did not run the request, because stage results no longer exist.
    InputsGone,
    /// The send failed for this reason and the request may have run; the second field is the
    /// upstream's error answer, if any, which can be sent to the caller.
    Failed(String, Option<BufferedAnswer>),
}

/// Sends a request to upstreams until one answers or no further send is permitted.
///
/// An upstream that has not answered within its time-out may still do so while another one is
/// asked.
///
/// # Errors
///
/// [`failure::RequestFailure`] if no upstream sent a usable answer.
pub async fn serve(
    service: &serve::Service,
    request: &request::Request,
    results: &stage_results::StageResults,
) -> Result<Response<response_body::Body>, failure::RequestFailure> {
    let core = &service.core;
    core.deposit_retry(&request.pool);
    let mut sends = SendHistory::default();
    let mut fallback = None;
    let mut late: Vec<id::UpstreamId> = Vec::new();
    let mut exchanges = stream::FuturesUnordered::new();
    let mut newest: Option<Newest> = None;
    loop {
        let event = if let Some(newest) = &newest {
            let limit = newest.sent.plus(newest.limit) - core.now();
            let ended = tokio::time::timeout(limit.duration(), exchanges.next()).await;
            ended.map_or(Event::Silent, Event::Ended)
        } else {
            tokio::select! {
                biased;
                ended = exchanges.next(), if !exchanges.is_empty() => Event::Ended(ended),
                next = sends.next(core, request, results) => match next {
                    Some((entry, permit)) => Event::Chosen(entry, permit),
                    None if exchanges.is_empty() => break,
                    None => {
                        let pause = SEARCH_PAUSE.duration();
                        let ended = tokio::time::timeout(pause, exchanges.next()).await;
                        ended.map_or(Event::Nothing, Event::Ended)
                    }
                },
            }
        };
        let (entry, outcome): (sync::Arc<upstream::Upstream>, Outcome) = match event {
            Event::Chosen(entry, permit) => {
                newest = Some(Newest {
                    limit: answer_timeout(core, request, &entry, &sends),
                    entry: sync::Arc::clone(&entry),
                    sent: core.now(),
                });
                let extras = attempt::SendExtras {
                    results: results.of(request.route.last_stages()),
                    last_event: request.head.last_event,
                    ..attempt::SendExtras::default()
                };
                exchanges.push(async move {
                    let outcome = exchange(core, request, &entry, permit, &extras).await;
                    (entry, outcome)
                });
                continue;
            }
            Event::Silent => {
                if let Some(Newest { entry, limit, .. }) = newest.take() {
                    core.record_silence(&entry, request, limit);
                    let reason = "no answer within the time-out".to_owned();
                    sends.record_failure(request, &entry, reason);
                    late.push(entry.id.clone());
                    sends.has_silent = true;
                }
                continue;
            }
            Event::Ended(None) | Event::Nothing => continue,
            Event::Ended(Some(ended)) => ended,
        };
        if newest
            .as_ref()
            .is_some_and(|newest| newest.entry.id == entry.id)
        {
            newest = None;
        }
        let is_late = late.contains(&entry.id);
        sends.has_silent = !exchanges.is_empty();
        match outcome {
            Outcome::Answered(answer) => return Ok(respond(core, request, answer, &sends)),
            Outcome::Failed(reason, answer) => {
                fallback = answer.or(fallback);
                if !is_late {
                    sends.record_failure(request, &entry, reason);
                }
            }
            _ if is_late => {}
            Outcome::NotRun(reason) => sends.record_refusal(request, &entry, reason),
            Outcome::InputsGone => {
                sends.record_refusal(request, &entry, INPUTS_GONE.to_owned());
            }
        }
    }
    match fallback {
        Some(answer) => Ok(respond(core, request, answer, &sends)),
        None => Err(sends.failure(core, request)),
    }
}

/// The newest send of a request.
struct Newest {
    entry: sync::Arc<upstream::Upstream>,
    /// Time when the upstream was chosen.
    sent: clock::Millis,
    /// Time-out, after which another upstream is asked too.
    limit: clock::Millis,
}

/// What happens next to a request that is sent to upstreams.
enum Event {
    /// A send ended.
    Ended(Option<(sync::Arc<upstream::Upstream>, Outcome)>),
    /// The newest send got no answer within its time-out.
    Silent,
    /// No other upstream was found, and no send has ended.
    Nothing,
    /// Another upstream may get the request.
    Chosen(sync::Arc<upstream::Upstream>, limit::Permit),
}

/// Time-out of one send, after which a repeatable request is sent to another upstream too.
fn answer_timeout(
    core: &core::Core,
    request: &request::Request,
    entry: &upstream::Upstream,
    sends: &SendHistory,
) -> clock::Millis {
    let left = request.time_left(core.now());
    let can_repeat =
        request.route.kind.is_repeatable() && sends.runs() + 1 < request.route.attempts;
    if !can_repeat {
        return left;
    }
    let by_latency = entry.stats.latency().times(4);
    let by_target = clock::Millis(request.route.target_latency.0 / TARGET_LATENCY_DIVISOR);
    by_target.max(by_latency).max(MIN_ANSWER_TIMEOUT).min(left)
}

async fn exchange(
    core: &core::Core,
    request: &request::Request,
    entry: &upstream::Upstream,
    permit: limit::Permit,
    extras: &attempt::SendExtras,
) -> Outcome {
    let answered = match attempt::send(core, request, entry, permit, extras).await {
        Ok(answered) => answered,
        Err(failure) => return outcome_of_error(failure),
    };
    read(core, request, entry, answered).await
}

/// Outcome of a send that failed before the head of an answer arrived.
pub fn outcome_of_error(error: error::SendError) -> Outcome {
    match error.verdict {
        verdict::Verdict::NotRun => Outcome::NotRun(error.reason),
        verdict::Verdict::Ran | verdict::Verdict::MayHaveRun => Outcome::Failed(error.reason, None),
    }
}

/// Reads the body of an answer and classifies the outcome.
pub async fn read(
    core: &core::Core,
    request: &request::Request,
    entry: &upstream::Upstream,
    answered: attempt::UnreadAnswer,
) -> Outcome {
    let attempt::UnreadAnswer {
        answer,
        headers,
        body,
        connection,
        load,
        sent,
    } = answered;
    if answer.is_unexecuted && answer.status == StatusCode::CONFLICT {
        return Outcome::InputsGone;
    }
    if answer.is_unexecuted {
        return Outcome::NotRun(format!(
            "the upstream sent status `{}`",
            answer.status.as_u16()
        ));
    }
    let held = core.answers.hold(entry.address);
    let body = connection::read_held_body(body, MAX_ANSWER_BYTES, &held).await;
    drop(connection);
    let body = match body {
        Ok(body) => body,
        Err(failure) => {
            entry.stats.record(core.now(), health::Outcome::Unreachable);
            if !held.is_given_up() {
                core.record_break(entry, request);
            }
            return Outcome::Failed(failure.reason, None);
        }
    };
    if let Some(reason) = unusable_reason(&answer) {
        entry.stats.record(core.now(), health::Outcome::Failed);
        return Outcome::Failed(reason.to_owned(), None);
    }
    // Callers repeat any request after such a status.
    if answer.is_false_refusal() && !request.route.kind.is_repeatable() {
        entry.stats.record(core.now(), health::Outcome::Failed);
        let reason = format!(
            "the upstream sent status `{}` without stating that the request has not run",
            answer.status.as_u16()
        );
        return Outcome::Failed(reason, None);
    }
    let buffered = BufferedAnswer {
        upstream: entry.id.clone(),
        status: answer.status,
        headers,
        body: held.keep(body, &request.caller),
    };
    let now = core.now();
    if answer.status.is_server_error() {
        entry.stats.record(now, health::Outcome::Failed);
        let reason = format!("the upstream sent status `{}`", answer.status.as_u16());
        return Outcome::Failed(reason, Some(buffered));
    }
    load.record_speed(now, now - sent);
    entry
        .stats
        .record(now, health::Outcome::Answered(now - sent));
    core.record_complete(request);
    Outcome::Answered(buffered)
}

/// Reason why an answer must not be sent to the caller, if any; error answers are usable.
pub fn unusable_reason(answer: &answer::Answer) -> Option<&'static str> {
    // Of the informational answers, only the one that switches protocols gets here.
    if answer.status.is_informational() {
        return Some("the answer switches protocols, which no request asks for");
    }
    if !answer.status.is_success() {
        return None;
    }
    if !answer.is_signed {
        return Some("the answer lacks the engine signature");
    }
    if answer.is_encoded {
        return Some("the answer has a content encoding");
    }
    None
}

/// Sends of one request so far, and whether another one is permitted.
#[derive(Debug, Default)]
pub struct SendHistory {
    /// Upstreams that may have run the request.
    ran: IndexSet<id::UpstreamId>,
    /// Upstreams that were tried.
    pub tried: Vec<id::UpstreamId>,
    /// Whether an upstream that is silent may still answer, so that none in bad health is tried.
    pub has_silent: bool,
    /// Software version of the upstreams that may get the request; any if `None`.
    pub version: Option<upstream::Version>,
    last_reason: Option<String>,
    has_failed: bool,
    refusals: usize,
    /// Time after which an upstream may take the request; zero if that is unknown.
    wait: clock::Millis,
}

impl SendHistory {
    /// Chooses the upstream for the next send and gets the permit for it; `None` if no further send
    /// is permitted or possible.
    pub async fn next(
        &mut self,
        core: &core::Core,
        request: &request::Request,
        results: &stage_results::StageResults,
    ) -> Option<(sync::Arc<upstream::Upstream>, limit::Permit)> {
        if !self.may_repeat(core, request) {
            return None;
        }
        if core.is_blocked(request) {
            self.last_reason = Some(attempt::BLOCKED.to_owned());
            return None;
        }
        let is_repeat = !self.tried.is_empty();
        if is_repeat && !core.has_retry(&request.pool) {
            self.last_reason = Some(BUDGET_SPENT.to_owned());
            return None;
        }
        let (entry, permit) = self.select(core, request, results).await?;
        if is_repeat && !core.try_withdraw_retry(&request.pool) {
            self.last_reason = Some(BUDGET_SPENT.to_owned());
            return None;
        }
        if is_repeat {
            core.metrics.repeats.inc();
        }
        self.tried.push(entry.id.clone());
        Some((entry, permit))
    }

    /// Chooses an upstream that may get the request now; waits for one if all are at their limits.
    async fn select(
        &mut self,
        core: &core::Core,
        request: &request::Request,
        results: &stage_results::StageResults,
    ) -> Option<(sync::Arc<upstream::Upstream>, limit::Permit)> {
        let start = core.now();
        let left = request.time_left(start);
        let wait_end = start.plus(clock::Millis(left.0 / LIMIT_WAIT_DIVISOR));
        let mut denials = 0;
        loop {
            let skips_limited = denials >= MAX_DENIALS;
            match attempt::choose(core, request, results, self, skips_limited) {
                attempt::Choice::Chosen {
                    entry,
                    claim,
                    is_doubtful,
                } => match permits::acquire(core, &entry, claim, is_doubtful).await {
                    Ok(permit) => return Some((entry, permit)),
                    Err(_) => denials += 1,
                },
                attempt::Choice::Held(until) => {
                    let now = core.now();
                    if until > wait_end {
                        self.last_reason = Some(attempt::LIMITED.to_owned());
                        self.wait = until - now;
                        return None;
                    }
                    // Urgent requests ask first.
                    let priority = request.priority(request.has_begun(None));
                    let delay = clock::Millis(u64::from(priority.0) * PRIORITY_DELAY.0);
                    tokio::time::sleep((until - now).plus(delay).duration()).await;
                    denials = 0;
                }
                attempt::Choice::Nothing => {
                    if attempt::pause(core, request, self.version.as_ref()).is_some() {
                        self.last_reason = Some(attempt::PAUSED.to_owned());
                    }
                    self.last_reason.get_or_insert_with(|| {
                        "the pool has no ready upstream; retry later".to_owned()
                    });
                    return None;
                }
            }
        }
    }

    /// Number of upstreams that may have run the request.
    pub fn runs(&self) -> u32 {
        self.ran.len() as u32
    }

    /// Records that an upstream that was silent goes on, so that all others may be tried again.
    pub fn record_recovery(&mut self) {
        self.has_silent = false;
        self.refusals = 0;
        let ran = &self.ran;
        self.tried.retain(|id| ran.contains(id));
    }

    /// Whether the request may be sent once more.
    pub fn may_repeat(&self, core: &core::Core, request: &request::Request) -> bool {
        let is_allowed = !self.has_failed || request.route.kind.is_repeatable();
        is_allowed
            && self.runs() < request.route.attempts
            && self.refusals < MAX_REFUSALS
            && request.time_left(core.now()) > clock::Millis::ZERO
    }

    /// Records a send after which the upstream did not run the request.
    pub fn record_refusal(
        &mut self,
        request: &request::Request,
        entry: &upstream::Upstream,
        reason: String,
    ) {
        self.refusals += 1;
        self.record(request, entry, reason, verdict::Verdict::NotRun);
    }

    /// Makes the last upstream eligible again, as it got no request or refused it only because stage
    /// results were lost.
    pub fn allow_last_again(&mut self) {
        self.tried.pop();
    }

    /// Records a send after which the request may have run.
    pub fn record_failure(
        &mut self,
        request: &request::Request,
        entry: &upstream::Upstream,
        reason: String,
    ) {
        self.ran.insert(entry.id.clone());
        self.has_failed = true;
        self.record(request, entry, reason, verdict::Verdict::MayHaveRun);
    }

    /// Records a send that was given up because an upstream that was silent went on.
    pub(super) fn record_abandoned(
        &mut self,
        request: &request::Request,
        opening: &opening::Opening,
    ) {
        if opening.is_sent() {
            let reason = "the upstream before went on".to_owned();
            self.record_failure(request, &opening.entry, reason);
        } else {
            self.allow_last_again();
        }
    }

    fn record(
        &mut self,
        request: &request::Request,
        entry: &upstream::Upstream,
        reason: String,
        verdict: verdict::Verdict,
    ) {
        log::info!(
            "event=send-failed request={} upstream={} domain={} verdict={verdict} reason={reason:?}",
            request.head.request_id,
            entry.id,
            entry.domain
        );
        self.last_reason = Some(reason);
    }

    /// Why the last send failed, or why there was no further one.
    pub fn last_reason(&self) -> &str {
        self.last_reason
            .as_deref()
            .unwrap_or("the pool has no ready upstream; retry later")
    }

    /// `failure` of another try with the verdict on all sends so far.
    pub fn qualify(&self, failure: failure::RequestFailure) -> failure::RequestFailure {
        if !self.has_failed {
            return failure;
        }
        failure::RequestFailure::uncertain(StatusCode::BAD_GATEWAY, failure.reason)
    }

    /// Failure of a request that no upstream answered.
    pub fn failure(
        &self,
        core: &core::Core,
        request: &request::Request,
    ) -> failure::RequestFailure {
        let reason = self.last_reason();
        if !self.has_failed {
            let left = request.time_left(core.now());
            let pause = attempt::pause(core, request, self.version.as_ref());
            let wait = self.wait.max(pause.unwrap_or_default());
            let wait = basilgrade_fleet::admission::retry_after(left, wait, rand::random());
            return failure::RequestFailure::refused(reason, wait);
        }
        failure::RequestFailure::uncertain(StatusCode::BAD_GATEWAY, reason)
    }
}

/// Builds the response to the caller from an upstream's answer.
pub fn respond(
    core: &core::Core,
    request: &request::Request,
    answer: BufferedAnswer,
    sends: &SendHistory,
) -> Response<response_body::Body> {
    let span = core.now() - request.arrived;
    core.metrics.served.inc();
    core.metrics.first_byte_time.record(span);
    core.metrics.answer_time.record(span);
    log::info!(
        "event=request-served request={} route={} kind={} customer={} status={} upstream={} \
         sends={} span={span}",
        request.head.request_id,
        request.route.name,
        request.route.kind,
        request.customer_name(),
        answer.status.as_u16(),
        answer.upstream,
        sends.tried.len()
    );
    let mut response = Response::new(response_body::full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer::caller_headers(answer.status, &answer.headers);
    if core.is_draining() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
