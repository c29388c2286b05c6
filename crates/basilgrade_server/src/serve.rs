//! Handling of one HTTP request from a caller.

use std::sync;
use std::sync::atomic;

use basilgrade_policy::share::pressure;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::request;
use basilgrade_types::verdict;
use bytes::Bytes;
use hyper::body;

use crate::caller::body as caller_body;
use crate::caller::failure;
use crate::caller::head;
use crate::caller::respond;
use crate::caller::target;
use crate::core;
use crate::exec::active;
use crate::exec::context;
use crate::exec::output;
use crate::exec::pipeline;
use crate::exec::service;
use crate::metrics;
use crate::view::snapshot;

/// Handles one request; failures become responses, too.
pub async fn serve<B>(
    core: sync::Arc<core::Core>,
    request: hyper::Request<B>,
) -> hyper::Response<respond::Body>
where
    B: body::Body<Data = Bytes>,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let id = request::RequestId::mint();
    let target = target::Target::parse(request.uri());
    match target {
        target::Target::Health => return respond::text(hyper::StatusCode::OK, "ok\n"),
        target::Target::Ready => return readiness_response(&core),
        target::Target::Metrics => return metrics_response(&core),
        target::Target::Keys => return mint_key(&core, id),
        _ => {}
    }
    let started = core.now();
    let name = target.name().to_owned();
    let result = match active::ActiveRequest::start(&core) {
        Some(active) => execute(active, id, target, request).await,
        None => Err(failure::Failure::Overloaded),
    };
    let elapsed = core.now().since(started);
    let failure = result.as_ref().err();
    record_metrics(&core.components.metrics, &name, elapsed, failure);
    result.unwrap_or_else(|failure| {
        log::info!(
            "event=request-failed request={id} verdict={} reason={} error={:?}",
            failure.verdict(),
            failure.label(),
            failure.to_string(),
        );
        respond::failure_response(id, &failure)
    })
}

/// Records the metrics of a finished request. Undeclared targets share one label, so that callers
/// cannot create an unlimited number of time series.
fn record_metrics(
    metrics: &metrics::Metrics,
    name: &str,
    elapsed: clock::Millis,
    failure: Option<&failure::Failure>,
) {
    let Some(failure) = failure else {
        let attained = metrics::Attainment::Attained;
        metrics.request(name, verdict::Verdict::Ran, attained, elapsed.as_f64());
        return;
    };
    let declared = !matches!(
        failure,
        failure::Failure::UnknownTarget(..) | failure::Failure::Forbidden(..)
    );
    let name = if declared { name } else { "undeclared" };
    let missed = metrics::Attainment::Missed;
    metrics.request(name, failure.verdict(), missed, elapsed.as_f64());
    metrics.refusal(failure);
}

fn readiness_response(core: &core::Core) -> hyper::Response<respond::Body> {
    let configured = core.current.load().is_some();
    match core.phase() {
        core::Phase::Serving if configured => respond::text(hyper::StatusCode::OK, "ready\n"),
        core::Phase::Serving => respond::text(
            hyper::StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is in force\n",
        ),
        core::Phase::Synchronizing => respond::text(
            hyper::StatusCode::SERVICE_UNAVAILABLE,
            "fetching the state of the peers\n",
        ),
        core::Phase::Draining => {
            respond::text(hyper::StatusCode::SERVICE_UNAVAILABLE, "draining\n")
        }
    }
}

fn metrics_response(core: &core::Core) -> hyper::Response<respond::Body> {
    let active = core.active_requests.load(atomic::Ordering::Acquire);
    hyper::Response::new(respond::full_body(core.components.metrics.render(active)))
}

fn mint_key(core: &core::Core, id: request::RequestId) -> hyper::Response<respond::Body> {
    let Some(key) = core.components.ledger.mint() else {
        let reason = "this failure domain owns no slots yet".to_owned();
        let failure = failure::Failure::ClaimUnavailable("none".to_owned(), reason);
        return respond::failure_response(id, &failure);
    };
    let body = serde_json::json!({"key": key.to_string()}).to_string();
    let mut response = hyper::Response::new(respond::full_body(body));
    respond::insert_metadata(response.headers_mut(), id, verdict::Verdict::Ran);
    response
}

async fn execute<B>(
    active: active::ActiveRequest,
    id: request::RequestId,
    target: target::Target,
    request: hyper::Request<B>,
) -> Result<hyper::Response<respond::Body>, failure::Failure>
where
    B: body::Body<Data = Bytes>,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let core = sync::Arc::clone(active.core());
    let view = core.current.load_full().ok_or(failure::Failure::NotReady)?;
    let started = core.now();
    let head = head::Head::parse(request.headers())?;
    check_customer(&view, &head, &target)?;
    let (parts, body) = request.into_parts();
    let limits = core.components.limits;
    let body = caller_body::read(body, limits.body_bytes, limits.sender_timeout).await?;
    let max_duration = deadline_limit(&view, &target)
        .ok_or_else(|| failure::Failure::UnknownTarget(parts.uri.path().to_owned()))?;
    let time_limit = head
        .time_limit
        .map_or(max_duration, |limit| limit.min(max_duration));
    let context = context::Context {
        core,
        active: sync::Arc::new(active),
        view: sync::Arc::clone(&view),
        request: id,
        customer: head.customer,
        key: head.key,
        idempotency: head.idempotency,
        delivery: head.delivery,
        deadline: started.plus(time_limit),
    };
    let incoming = service::IncomingRequest {
        method: parts.method,
        path: String::new(),
        headers: parts.headers,
        body,
    };
    admit(&context, &target)?;
    let output = dispatch(context.clone(), target, incoming).await?;
    Ok(output.response(&context))
}

/// Limits the customer to its share of the quota while any pool that the request needs is busy.
fn admit(context: &context::Context, target: &target::Target) -> Result<(), failure::Failure> {
    let view = &context.view;
    let deployment = &view.deployment;
    let now = context.core.now();
    let is_busy = |pool: &id::PoolId, model: Option<&id::ModelId>| {
        let candidates = view.candidates(pool, model, now);
        pressure::PoolPressure::of(&candidates) == pressure::PoolPressure::Busy
    };
    let any_busy = match target {
        target::Target::Pipeline(name) => {
            let pipeline = deployment.pipelines.get(name);
            let stages = pipeline.map_or(&[][..], |pipeline| &pipeline.stages);
            stages
                .iter()
                .any(|stage| is_busy(&stage.pool, stage.model.as_ref()))
        }
        target::Target::Service(pool, _) => is_busy(pool, None),
        _ => false,
    };
    let pressure = if any_busy {
        pressure::PoolPressure::Busy
    } else {
        pressure::PoolPressure::Spare
    };
    let customer = deployment.customers.get_index_of(&context.customer);
    view.shares
        .admit(now, customer.unwrap_or(usize::MAX), pressure)
        .map_err(failure::Failure::Refused)
}

async fn dispatch(
    context: context::Context,
    target: target::Target,
    mut incoming: service::IncomingRequest,
) -> Result<output::Output, failure::Failure> {
    let unknown = || failure::Failure::UnknownTarget(target.name().to_owned());
    let view = sync::Arc::clone(&context.view);
    match &target {
        target::Target::Pipeline(pipeline) => {
            let pipeline = view
                .deployment
                .pipelines
                .get(pipeline)
                .ok_or_else(unknown)?;
            pipeline::run(context, pipeline.clone(), incoming.body).await
        }
        target::Target::Service(pool, path) => {
            let service = view.deployment.services.get(pool).ok_or_else(unknown)?;
            incoming.path.clone_from(path);
            service::run(context, service, incoming).await
        }
        _ => Err(unknown()),
    }
}

fn deadline_limit(view: &snapshot::Snapshot, target: &target::Target) -> Option<clock::Millis> {
    match target {
        target::Target::Pipeline(name) => view
            .deployment
            .pipelines
            .get(name)
            .map(|pipeline| pipeline.deadline),
        target::Target::Service(pool, _) => view
            .deployment
            .services
            .get(pool)
            .map(|service| service.deadline),
        _ => None,
    }
}

fn check_customer(
    view: &snapshot::Snapshot,
    head: &head::Head,
    target: &target::Target,
) -> Result<(), failure::Failure> {
    let forbidden = || failure::Failure::Forbidden(head.customer.to_string());
    let customer = view
        .deployment
        .customers
        .get(&head.customer)
        .ok_or_else(forbidden)?;
    let allowed =
        customer.targets.is_empty() || customer.targets.iter().any(|name| name == target.name());
    allowed.then_some(()).ok_or_else(forbidden)
}
