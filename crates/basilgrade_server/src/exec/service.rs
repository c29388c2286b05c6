//! Execution of requests to plain services.

use basilgrade_claims::fingerprint;
use basilgrade_config::model::pool;
use basilgrade_config::model::service;
use basilgrade_config::model::stage;
use basilgrade_types::id;
use basilgrade_types::size;
use bytes::Bytes;

use crate::caller::failure;
use crate::caller::respond;
use crate::exec::claimed;
use crate::exec::context;
use crate::exec::hedged;
use crate::exec::output;
use crate::exec::step;

/// A caller's request to a service, with its body read completely.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    pub method: hyper::Method,
    /// Path and query at the service.
    pub path: String,
    /// The caller's headers.
    pub headers: hyper::HeaderMap,
    pub body: Bytes,
}

/// Serves one request to a plain service, under a claim if the request is not idempotent.
///
/// # Errors
///
/// Returns the failure to report to the caller.
pub async fn run(
    context: context::Context,
    service: &service::Service,
    incoming: IncomingRequest,
) -> Result<output::Output, failure::Failure> {
    let pool = context.view.deployment.pools.get(&service.pool);
    let keys = pool.map_or(pool::RequestKeys::Ignored, |pool| pool.keys);
    let safe = matches!(incoming.method, hyper::Method::GET | hyper::Method::HEAD);
    let idempotency = if safe {
        stage::Idempotency::Idempotent
    } else {
        context.idempotency.unwrap_or(service.idempotency)
    };
    let target = format!(
        "service {} {} {}",
        service.pool, incoming.method, incoming.path
    );
    let fingerprint =
        fingerprint::Fingerprint::of(context.customer.as_str(), &target, &incoming.body);
    let step = step::Step {
        stage: stage_name(&service.pool),
        pool: service.pool.clone(),
        kind: pool::Kind::Service,
        keys,
        model: None,
        max_tokens: size::TokenCount::default(),
        idempotency,
        method: incoming.method,
        path: incoming.path,
        headers: forwarded_headers(&incoming.headers),
        input: incoming.body,
        block_hashes: Vec::new(),
        p95_latency: None,
        soft_deadline: context.deadline,
        hard_deadline: context.deadline,
    };
    match idempotency {
        stage::Idempotency::Idempotent => run_step(context, step).await,
        stage::Idempotency::NonIdempotent => {
            claimed::run(context, fingerprint, |context| run_step(context, step)).await
        }
    }
}

async fn run_step(
    context: context::Context,
    step: step::Step,
) -> Result<output::Output, failure::Failure> {
    let reply = hedged::run(&context, &step).await?;
    Ok(output::Output::Buffered(
        reply.status,
        reply.headers,
        reply.body,
    ))
}

/// The stage identifier under which calls to a service pool are recorded.
fn stage_name(pool: &id::PoolId) -> id::StageId {
    pool.as_str()
        .parse()
        .unwrap_or_else(|_| unreachable!("pool and stage names have the same syntax"))
}

fn forwarded_headers(headers: &hyper::HeaderMap) -> hyper::HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !respond::CONNECTION_HEADERS.contains(&name)
                && !name.starts_with("basilgrade-")
                && name != "idempotency-key"
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
