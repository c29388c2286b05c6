//! Requests to pipelines.

use basilgrade_claims::fingerprint;
use basilgrade_config::model::pipeline;
use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_policy::budget::plan;
use basilgrade_policy::prefix::blocks;
use basilgrade_types::clock;
use basilgrade_types::verdict;
use basilgrade_upstream::token;
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::caller::failure;
use crate::caller::head;
use crate::caller::respond;
use crate::exec::budget;
use crate::exec::claimed;
use crate::exec::context;
use crate::exec::generation;
use crate::exec::hedged;
use crate::exec::output;
use crate::exec::step;

/// Serves one request to a pipeline.
///
/// # Errors
///
/// The failure to report to the caller.
pub async fn run(
    context: context::Context,
    pipeline: pipeline::Pipeline,
    input: Bytes,
) -> Result<output::Output, failure::Failure> {
    let marked = context.idempotency == Some(stage::Idempotency::NonIdempotent);
    let declared = pipeline
        .stages
        .iter()
        .any(|stage| stage.idempotency == stage::Idempotency::NonIdempotent);
    if !marked && !declared {
        return stages(context, pipeline, input).await;
    }
    let target = format!("pipeline {}", pipeline.id);
    let fingerprint = fingerprint::Fingerprint::of(context.customer.as_str(), &target, &input);
    claimed::run(context, fingerprint, |context| {
        stages(context, pipeline, input)
    })
    .await
}

async fn stages(
    context: context::Context,
    pipeline: pipeline::Pipeline,
    input: Bytes,
) -> Result<output::Output, failure::Failure> {
    let last = pipeline.stages.len() - 1;
    let budget = budget::Budget::new(&context, &pipeline.id);
    let mut data = input;
    let mut ran = None;
    for (position, stage) in pipeline.stages.iter().enumerate() {
        let part = budget
            .part(position)
            .map_err(|refusal| after(ran, failure::Failure::Refused(refusal)))?;
        if part.action == plan::Action::Skip {
            log::info!(
                "event=degrade request={} stage={} action=skip reason=budget",
                context.request,
                stage.id
            );
            continue;
        }
        let step = prepare(&context, stage, &part, data.clone())?;
        let generates = step.kind == pool::Kind::Engine;
        if generates && position == last && context.delivery == head::Delivery::Stream {
            return Ok(output::Output::Stream(relay(context, step)));
        }
        let started = context.core.now();
        let result = if generates {
            generation::whole(&context, &step).await.map(Bytes::from)
        } else {
            hedged::run(&context, &step).await.map(|reply| reply.body)
        };
        budget.observe(position, part.action, started);
        match result {
            Ok(output) => data = output,
            Err(failure) if skippable(stage, &step, &failure, &context) => {
                log::info!(
                    "event=degrade request={} stage={} action=skip reason={}",
                    context.request,
                    stage.id,
                    failure.label()
                );
            }
            Err(failure) => return Err(after(ran, failure)),
        }
        ran = Some(verdict::Verdict::Ran);
    }
    Ok(output::Output::ok("application/octet-stream", data))
}

/// Whether a stage that failed may be left out: the operator allows it, running it again later does
/// no harm, and there is time for what follows.
fn skippable(
    stage: &stage::Stage,
    step: &step::Step,
    failure: &failure::Failure,
    context: &context::Context,
) -> bool {
    let harmless = step.idempotency == stage::Idempotency::Idempotent
        || failure.verdict() == verdict::Verdict::NotRun;
    stage.degrade == stage::Degrade::Skip && harmless && context.left() > clock::Millis::ZERO
}

/// A request whose later stage was not run may have run as a whole.
fn after(ran: Option<verdict::Verdict>, failure: failure::Failure) -> failure::Failure {
    if ran.is_none() || failure.verdict() != verdict::Verdict::NotRun {
        return failure;
    }
    match failure {
        failure::Failure::Upstream(error, _) => {
            failure::Failure::Upstream(error, verdict::Verdict::MayHaveRun)
        }
        _ => failure::Failure::DeadlinePassed(verdict::Verdict::MayHaveRun),
    }
}

fn prepare(
    context: &context::Context,
    stage: &stage::Stage,
    part: &budget::Part,
    input: Bytes,
) -> Result<step::Step, failure::Failure> {
    let marked = context.idempotency == Some(stage::Idempotency::NonIdempotent);
    let (name, model) = match (&stage.degrade, part.action) {
        (stage::Degrade::Substitute { pool, model }, plan::Action::Substitute) => {
            (pool, model.as_ref().or(stage.model.as_ref()))
        }
        _ => (&stage.pool, stage.model.as_ref()),
    };
    let tokens = match part.action {
        plan::Action::Shorten(tokens) => tokens,
        _ => stage.tokens,
    };
    if part.action != plan::Action::Run {
        log::info!(
            "event=degrade request={} stage={} action={:?} reason=budget",
            context.request,
            stage.id,
            part.action
        );
    }
    let pool = context
        .view
        .deployment
        .pools
        .get(name)
        .ok_or(failure::Failure::NotReady)?;
    let idempotency = if marked {
        stage::Idempotency::NonIdempotent
    } else {
        stage.idempotency
    };
    let blocks = match pool.kind {
        pool::Kind::Engine => blocks::hashes(&input, step::BLOCK_BYTES, step::BLOCK_LIMIT),
        _ => Vec::new(),
    };
    Ok(step::Step {
        stage: stage.id.clone(),
        pool: name.clone(),
        kind: pool.kind,
        keys: pool.keys,
        model: model.cloned(),
        tokens,
        idempotency,
        method: hyper::Method::POST,
        path: "/run".to_owned(),
        headers: hyper::HeaderMap::new(),
        input,
        blocks,
        tail: part.tail,
        due: part.due,
        limit: part.limit,
    })
}

/// Relays tokens as server-sent events; the last event says how the request ended.
fn relay(context: context::Context, step: step::Step) -> mpsc::Receiver<Bytes> {
    let (events, receiver) = mpsc::channel(output::STREAM_BUFFER);
    tokio::spawn(async move {
        let (sink, tokens) = mpsc::channel(output::STREAM_BUFFER);
        let generation = generation::run(&context, &step, sink);
        let (result, ()) = tokio::join!(generation, forward(tokens, &events));
        let event = end_event(&context, result.err().as_ref());
        let _ = events.send(event).await;
    });
    receiver
}

/// Sends each token on; ends when the caller has gone, which ends and cancels the generation.
async fn forward(mut tokens: mpsc::Receiver<token::Token>, events: &mpsc::Sender<Bytes>) {
    while let Some(token) = tokens.recv().await {
        if events.send(token_event(&token)).await.is_err() {
            return;
        }
    }
}

fn token_event(token: &token::Token) -> Bytes {
    let data = serde_json::json!({"offset": token.offset, "token": token.text});
    Bytes::from(format!("data: {data}\n\n"))
}

fn end_event(context: &context::Context, failure: Option<&failure::Failure>) -> Bytes {
    let (event, data) = match failure {
        None => (
            "end",
            serde_json::json!({"request_id": context.request, "verdict": verdict::Verdict::Ran}),
        ),
        Some(failure) => (
            "error",
            serde_json::json!(respond::ErrorBody {
                request_id: context.request,
                verdict: failure.verdict().max(verdict::Verdict::MayHaveRun),
                error: failure.to_string(),
                remedy: failure.remedy(),
            }),
        ),
    };
    Bytes::from(format!("event: {event}\ndata: {data}\n\n"))
}
