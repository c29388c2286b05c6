//! Requests whose answer is passed on whole.

use std::sync;

use basilgrade_adapter::answer;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::health;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::verdict;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;

use crate::core;
use crate::http::error;
use crate::http::link;
use crate::serve;
use crate::serve::attempt;
use crate::serve::body;
use crate::serve::failure;
use crate::serve::request;
use crate::serve::results;

/// Longest answer that is held in memory.
const ANSWER_LIMIT: usize = 8 << 20;

/// Upstreams that are tried while none has run the request.
const REFUSALS: usize = 4;

/// An idempotent request is sent to another upstream after this part of its aim without an answer,
/// so that the second one can still be in time.
const HEDGE_PART: u64 = 2;

/// Least time before an idempotent request is sent again; most answers take less.
const HEDGE_LEAST: clock::Millis = clock::Millis(60);

/// Reason of a send that found no stage results.
pub const INPUTS_GONE: &str = "stage results are gone";

/// A complete answer of an upstream.
pub struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// How a send ended.
pub enum Ended {
    /// With an answer to pass on.
    Answered(Whole),
    /// Without running the request.
    NotRun(String),
    /// Without running the request, because stage results are gone.
    InputsGone,
    /// With a failure after which the request may have run; an answer to pass on if there is one.
    Failed(String, Option<Whole>),
}

/// Serves a request.
///
/// # Errors
///
/// [`failure::Failure`] when there is no answer to pass on.
pub async fn serve(
    service: &serve::Service,
    request: &request::Request,
    results: &results::Results,
) -> Result<Response<body::Body>, failure::Failure> {
    let core = &service.core;
    core.earn(&request.pool);
    let mut sends = Sends::default();
    let mut fallback = None;
    loop {
        let Some(entry) = sends.next(core, request, results) else {
            return match fallback {
                Some(whole) => Ok(respond(core, request, whole, &sends)),
                None => Err(sends.failure(core, request)),
            };
        };
        let extras = attempt::Extras {
            results: results.of(request.route.last_stages()),
            last_event: request.head.last_event,
        };
        let sending = exchange(core, request, &entry, &extras);
        let limit = hedge_after(core, request, &entry, &sends);
        let ended = tokio::time::timeout(limit.duration(), sending).await;
        let ended = ended.unwrap_or_else(|_| {
            entry.stats.record(core.now(), health::Outcome::Failed);
            Ended::Failed("no answer in time".to_owned(), None)
        });
        match ended {
            Ended::Answered(whole) => return Ok(respond(core, request, whole, &sends)),
            Ended::NotRun(reason) => sends.note_refused(request, &entry, reason),
            Ended::InputsGone => {
                sends.note_refused(request, &entry, INPUTS_GONE.to_owned());
            }
            Ended::Failed(reason, whole) => {
                fallback = whole.or(fallback);
                sends.note_failed(request, &entry, reason);
            }
        }
    }
}

/// Time after which a request is sent to another upstream.
fn hedge_after(
    core: &core::Core,
    request: &request::Request,
    entry: &upstream::Upstream,
    sends: &Sends,
) -> clock::Millis {
    let left = request.left(core.now());
    let can_repeat = request.route.kind.is_repeatable() && sends.runs + 1 < request.route.attempts;
    if !can_repeat {
        return left;
    }
    let usual = clock::Millis(entry.stats.latency().0 * 4);
    let part = clock::Millis(request.route.target_latency.0 / HEDGE_PART);
    part.max(usual).max(HEDGE_LEAST).min(left)
}

async fn exchange(
    core: &core::Core,
    request: &request::Request,
    entry: &upstream::Upstream,
    extras: &attempt::Extras,
) -> Ended {
    let answered = match attempt::send(core, request, entry, extras).await {
        Ok(answered) => answered,
        Err(failure) => return ended_without_answer(failure),
    };
    read(core, entry, answered).await
}

/// How a send without an answer ended.
pub fn ended_without_answer(failure: error::SendError) -> Ended {
    match failure.verdict {
        verdict::Verdict::NotRun => Ended::NotRun(failure.reason),
        verdict::Verdict::Ran | verdict::Verdict::MayHaveRun => Ended::Failed(failure.reason, None),
    }
}

/// Reads the rest of an answer.
pub async fn read(
    core: &core::Core,
    entry: &upstream::Upstream,
    answered: attempt::Answered,
) -> Ended {
    let attempt::Answered {
        answer,
        headers,
        body,
        link,
        load,
        sent,
    } = answered;
    if answer.is_unexecuted && answer.status == StatusCode::CONFLICT {
        return Ended::InputsGone;
    }
    if answer.is_unexecuted {
        return Ended::NotRun(format!("status {}", answer.status.as_u16()));
    }
    let body = link::read_whole(body, ANSWER_LIMIT).await;
    drop((link, load));
    let body = match body {
        Ok(body) => body,
        Err(failure) => {
            entry.stats.record(core.now(), health::Outcome::Unreachable);
            return Ended::Failed(failure.reason, None);
        }
    };
    if let Some(reason) = flaw(&answer) {
        entry.stats.record(core.now(), health::Outcome::Failed);
        return Ended::Failed(reason.to_owned(), None);
    }
    let whole = Whole {
        status: answer.status,
        headers,
        body,
    };
    let now = core.now();
    if answer.status.is_server_error() {
        entry.stats.record(now, health::Outcome::Failed);
        let reason = format!("status {}", answer.status.as_u16());
        return Ended::Failed(reason, Some(whole));
    }
    entry
        .stats
        .record(now, health::Outcome::Answered(now - sent));
    Ended::Answered(whole)
}

/// Why a success cannot be passed on.
pub fn flaw(answer: &answer::Answer) -> Option<&'static str> {
    if !answer.status.is_success() {
        return None;
    }
    if !answer.is_signed {
        return Some("the answer is not signed");
    }
    if answer.is_encoded {
        return Some("the answer is encoded");
    }
    None
}

/// The sends of one request.
#[derive(Debug, Default)]
pub struct Sends {
    /// Upstreams that may have run it.
    pub runs: u32,
    /// Upstreams that were tried.
    pub tried: Vec<id::UpstreamId>,
    last: Option<String>,
    has_failed: bool,
    refusals: usize,
}

impl Sends {
    /// The upstream for the next send, or `None` when there must be none.
    pub fn next(
        &mut self,
        core: &core::Core,
        request: &request::Request,
        results: &results::Results,
    ) -> Option<sync::Arc<upstream::Upstream>> {
        if !self.may_repeat(core, request) {
            return None;
        }
        let entry = attempt::choose(core, request, results, &self.tried);
        if entry.is_none() {
            self.last
                .get_or_insert_with(|| "no upstream is left".to_owned());
        }
        let entry = entry?;
        if !self.tried.is_empty() {
            if !core.spend(&request.pool) {
                self.last = Some("the retry budget is spent".to_owned());
                return None;
            }
            core.metrics.repeats.add();
        }
        self.tried.push(entry.id.clone());
        Some(entry)
    }

    /// Whether the request may be sent once more.
    pub fn may_repeat(&self, core: &core::Core, request: &request::Request) -> bool {
        let is_allowed = !self.has_failed || request.route.kind.is_repeatable();
        is_allowed
            && self.runs < request.route.attempts
            && self.refusals < REFUSALS
            && request.left(core.now()) > clock::Millis::ZERO
    }

    /// Records a send that ran nothing.
    pub fn note_refused(
        &mut self,
        request: &request::Request,
        entry: &upstream::Upstream,
        reason: String,
    ) {
        self.refusals += 1;
        self.note(request, entry, reason, verdict::Verdict::NotRun);
    }

    /// Allows the last upstream again, which refused for no reason of its own.
    pub fn forgive_last(&mut self) {
        self.tried.pop();
    }

    /// Records a send after which the request may have run.
    pub fn note_failed(
        &mut self,
        request: &request::Request,
        entry: &upstream::Upstream,
        reason: String,
    ) {
        self.runs += 1;
        self.has_failed = true;
        self.note(request, entry, reason, verdict::Verdict::MayHaveRun);
    }

    fn note(
        &mut self,
        request: &request::Request,
        entry: &upstream::Upstream,
        reason: String,
        verdict: verdict::Verdict,
    ) {
        log::info!(
            "event=send-failed request={} upstream={} domain={} verdict={verdict} reason={reason:?}",
            request.head.request,
            entry.id,
            entry.domain
        );
        self.last = Some(reason);
    }

    /// The failure of a request that no upstream answered.
    pub fn failure(&self, core: &core::Core, request: &request::Request) -> failure::Failure {
        let reason = self.last.as_deref().unwrap_or("no upstream is known");
        if !self.has_failed {
            let left = request.left(core.now());
            let wait =
                basilgrade_fleet::admission::retry_after(left, clock::Millis::ZERO, rand::random());
            return failure::Failure::refused(reason, wait);
        }
        failure::Failure::uncertain(StatusCode::BAD_GATEWAY, reason)
    }
}

/// Passes an answer on.
pub fn respond(
    core: &core::Core,
    request: &request::Request,
    whole: Whole,
    sends: &Sends,
) -> Response<body::Body> {
    let span = core.now() - request.arrived;
    core.metrics.served.add();
    core.metrics.first.record(span);
    core.metrics.whole.record(span);
    log::info!(
        "event=request-served request={} route={} kind={} customer={} status={} upstream={} \
         sends={} span={span}",
        request.head.request,
        request.route.name,
        request.route.kind,
        request.customer_name(),
        whole.status.as_u16(),
        sends.tried.last().map_or("-", id::UpstreamId::as_str),
        sends.tried.len()
    );
    let mut response = Response::new(body::whole(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = answer::headers(&whole.headers);
    if core.is_draining() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
