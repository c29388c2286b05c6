//! Serves callers' requests: finds route and customer, runs the stages, sends the request to an
//! upstream, and relays the answer.

pub mod attempt;
pub mod buffered;
mod discarded_body;
pub mod engine_memory;
mod opening;
mod path_admission;
mod read_ahead;
pub mod relay;
pub mod request_reader;
pub mod stage_results;
pub mod stages;
pub mod stream;

use std::sync;

use basilgrade_adapter::incoming_head;
use basilgrade_fleet::admission;
use basilgrade_fleet::closing;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::verdict;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::core;
use crate::follow::stream_log;
use crate::gather::client;
use crate::request;
use crate::request::failure;
use crate::request::response_body;

/// Request handler of the callers' listener.
pub struct Service {
    pub core: sync::Arc<core::Core>,
    /// Client that has stage pieces computed.
    pub job_client: sync::Arc<client::JobClient>,
    /// Log of the versions at which streams began.
    pub stream_log: stream_log::StreamLog,
}

/// Expected time from the end of the last stage to the first event of the answer; an engine needs
/// it to prefill a long prompt along with other prompts.
const FIRST_EVENT_TIME: clock::Millis = clock::Millis(150);

/// Expected network time of a stage: from this daemon via the gathering daemon to the upstream,
/// and back.
const STAGE_OVERHEAD: clock::Millis = clock::Millis(60);

/// Time that an answer may take, in mean latencies of the slowest upstream of its pool.
const LATENCY_FACTOR: u64 = 4;

/// Minimum time that an answer may take.
const MIN_ANSWER_TIME: clock::Millis = clock::Millis(250);

/// Reason of a refusal of a request that may not end before the shutdown of its daemon.
const SHUTTING_DOWN: &str = "the daemon is shutting down and the request may not end before; send it \
     again on a new connection";

/// Reason why a request ends whose upstream reads its body slowly.
const UPLOAD_GIVEN_UP: &str =
    "the upstream reads the request too slowly, and the bodies of all requests exceed their limit";

impl Service {
    /// Serves one request of a caller; failures become error responses.
    pub async fn serve(
        self: sync::Arc<Self>,
        message: Request<Incoming>,
    ) -> Response<response_body::Body> {
        let active = self.core.begin_request();
        self.core.metrics.requests.inc();
        let arrived = self.core.now();
        let request_id = incoming_head::request_id(message.headers());
        let request = match request_reader::read(&self.core, message, arrived).await {
            Ok(request) => sync::Arc::new(request),
            Err(failure) => {
                log::info!(
                    "event=request-rejected request={request_id} status={} reason={:?} span={}",
                    failure.status.as_u16(),
                    failure.reason,
                    self.core.now() - arrived
                );
                return self.refuse(&request_id, &failure);
            }
        };
        let left = request.time_left(arrived);
        let serving = sync::Arc::clone(&self).answer(sync::Arc::clone(&request), active);
        // At the deadline of the request or the end of the process, the request is answered with an
        // error that tells whether it may have run.
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(left.duration(), serving) => {
                outcome.unwrap_or_else(|_| Err(request.abort("no answer from an upstream before the deadline")))
            }
            () = self.core.wait_closing() => Err(request.abort("the daemon is shutting down")),
            () = request.upload.given_up() => Err(request.abort(UPLOAD_GIVEN_UP)),
        };
        match outcome {
            Ok(response) => response,
            Err(failure) => {
                log_failure(&self.core, &request, &failure);
                self.refuse(&request_id, &failure)
            }
        }
    }

    fn refuse(
        &self,
        request: &str,
        failure: &failure::RequestFailure,
    ) -> Response<response_body::Body> {
        match failure.verdict {
            verdict::Verdict::NotRun => self.core.metrics.refused.inc(),
            verdict::Verdict::Ran | verdict::Verdict::MayHaveRun => self.core.metrics.failed.inc(),
        }
        failure.response(request, self.core.is_draining())
    }

    async fn answer(
        self: sync::Arc<Self>,
        request: sync::Arc<request::Request>,
        active: core::ActiveRequest,
    ) -> Result<Response<response_body::Body>, failure::RequestFailure> {
        if self.core.is_blocked(&request) {
            self.core.record_blocked(&request);
            let left = request.time_left(self.core.now());
            return Err(failure::RequestFailure::refused(attempt::BLOCKED, left));
        }
        self.check_closing(&request)?;
        self.check_regions(&request)?;
        let (request, version) = match stream::find_origin(&self, &request).await? {
            Some((pool, version)) => (request.in_pool(pool), Some(version)),
            None => (request, None),
        };
        engine_memory::check(&self.core, &request)?;
        let terms = request.stage_terms();
        self.admit_new(&request, terms)?;
        let results = stages::run(&self, &request, terms).await?;
        if request.route.kind.is_stream() {
            return stream::serve(&self, request, results, active, version).await;
        }
        buffered::serve(&self, &request, &results).await
    }

    /// Refuses a request that no upstream may serve in the regions that its route and customer allow.
    fn check_regions(&self, request: &request::Request) -> Result<(), failure::RequestFailure> {
        if !request.regions.is_restricted() {
            return Ok(());
        }
        let view = self.core.view.load();
        let pieces = &request.head.piece_counts;
        let stages = request.route.stages.iter().zip(pieces);
        let stage_pools = stages.filter(|(_, count)| **count > 0);
        let stage_pools = stage_pools.map(|(stage, _)| &stage.pool);
        let mut pools = stage_pools.chain([&request.pool]);
        let is_served = |pool: &&id::PoolId| {
            let mut ready = view.directory.ready(pool);
            ready.any(|entry| view.topology.is_allowed(&request.regions, &entry.domain))
        };
        let Some(pool) = pools.find(|pool| !is_served(pool)) else {
            return Ok(());
        };
        let reason = format!(
            "no upstream of `{pool}` accepts requests in the allowed regions ({}); retry later",
            request.regions
        );
        // An upstream that starts or returns is known after it has registered itself.
        let heartbeat = self.core.settings.load().heartbeat;
        let left = request.time_left(self.core.now());
        let wait = admission::retry_after(left, heartbeat, rand::random());
        Err(failure::RequestFailure::refused(reason, wait))
    }

    /// Refuses a request that arrives during the shutdown of this daemon and may not end before it.
    fn check_closing(&self, request: &request::Request) -> Result<(), failure::RequestFailure> {
        if !self.core.is_draining() {
            return Ok(());
        }
        let now = self.core.now();
        let arrival = closing::Arrival {
            kind: request.route.kind,
            until_deadline: request.time_left(now),
            until_close: self.core.closing_at() - now,
            needed: self.longest_span(request),
        };
        if closing::can_end(&arrival) {
            return Ok(());
        }
        // Callers retry at another daemon.
        let wait =
            admission::retry_after(arrival.until_deadline, clock::Millis::ZERO, rand::random());
        Err(failure::RequestFailure::refused(SHUTTING_DOWN, wait))
    }

    /// Time that `request` may take from now on; `None` if that is unknown.
    fn longest_span(&self, request: &request::Request) -> Option<clock::Millis> {
        if request.route.kind.is_stream() {
            let generation = self.core.generation_time(request)?;
            let priority = request.priority(request.has_begun(None));
            let opening = self.stage_time(request, priority).plus(FIRST_EVENT_TIME);
            return Some(opening.plus(generation));
        }
        let view = self.core.view.load();
        let ready = view.directory.ready(&request.pool);
        let allowed =
            ready.filter(|entry| view.topology.is_allowed(&request.regions, &entry.domain));
        let slowest = allowed.map(|entry| entry.stats.latency()).max()?;
        Some(slowest.times(LATENCY_FACTOR).max(MIN_ANSWER_TIME))
    }
}

/// Logs the failure of `request`.
fn log_failure(core: &core::Core, request: &request::Request, failure: &failure::RequestFailure) {
    log::info!(
        "event=request-failed request={} route={} kind={} customer={} status={} verdict={} \
         wait={} span={} deadline={} origin={} resumes={} reason={:?}",
        request.head.request_id,
        request.route.name,
        request.route.kind,
        request.customer_name(),
        failure.status.as_u16(),
        failure.verdict,
        failure.wait.unwrap_or_default(),
        core.now() - request.arrived,
        request.deadline - request.arrived,
        request.deadline_origin,
        request.resumed_name(),
        failure.reason
    );
}
