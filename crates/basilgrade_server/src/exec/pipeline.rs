//! Execution of requests to pipelines.

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

/// Serves one request to a pipeline, under a claim if the caller or any stage requires it.
///
/// # Errors
///
/// Returns the failure to report to the caller.
pub async fn run(
    context: context::Context,
    pipeline: pipeline::Pipeline,
    input: Bytes,
) -> Result<output::Output, failure::Failure> {
    let marked_non_idempotent = context.idempotency == Some(stage::Idempotency::NonIdempotent);
    let declared_non_idempotent = pipeline
        .stages
        .iter()
        .any(|stage| stage.idempotency == stage::Idempotency::NonIdempotent);
    if !marked_non_idempotent && !declared_non_idempotent {
        return run_stages(context, pipeline, input).await;
    }
    let target = format!("pipeline {}", pipeline.id);
    let fingerprint = fingerprint::Fingerprint::of(context.customer.as_str(), &target, &input);
    claimed::run(context, fingerprint, |context| {
        run_stages(context, pipeline, input)
    })
    .await
}

async fn run_stages(
    context: context::Context,
    pipeline: pipeline::Pipeline,
    input: Bytes,
) -> Result<output::Output, failure::Failure> {
    let last = pipeline.stages.len() - 1;
    let budget = budget::Budget::new(&context, &pipeline.id);
    let mut payload = input;
    let mut ran = None;
    for (position, stage) in pipeline.stages.iter().enumerate() {
        let stage_budget = budget
            .stage_budget(position)
            .map_err(|refusal| with_request_verdict(ran, failure::Failure::Refused(refusal)))?;
        if stage_budget.action == plan::Action::Skip {
            log::info!(
                "event=degrade request={} stage={} action=skip reason=budget",
                context.request,
                stage.id
            );
            continue;
        }
        let step = build_step(&context, stage, &stage_budget, payload.clone())?;
        let is_generation = step.kind == pool::Kind::Engine;
        if is_generation && position == last && context.delivery == head::Delivery::Stream {
            return Ok(output::Output::Stream(stream_events(context, step)));
        }
        let started = context.core.now();
        let result = if is_generation {
            generation::collect_text(&context, &step)
                .await
                .map(Bytes::from)
        } else {
            hedged::run(&context, &step).await.map(|reply| reply.body)
        };
        budget.observe(position, stage_budget.action, started);
        match result {
            Ok(output) => payload = output,
            Err(failure) if may_skip(stage, &step, &failure, &context) => {
                log::info!(
                    "event=degrade request={} stage={} action=skip reason={}",
                    context.request,
                    stage.id,
                    failure.label()
                );
            }
            Err(failure) => return Err(with_request_verdict(ran, failure)),
        }
        ran = Some(verdict::Verdict::Ran);
    }
    Ok(output::Output::ok("application/octet-stream", payload))
}

/// Whether a failed stage may be skipped: the configuration allows it, running the stage again
/// later does no harm, and time is left for the stages that follow.
fn may_skip(
    stage: &stage::Stage,
    step: &step::Step,
    failure: &failure::Failure,
    context: &context::Context,
) -> bool {
    let safe_to_skip = step.idempotency == stage::Idempotency::Idempotent
        || failure.verdict() == verdict::Verdict::NotRun;
    stage.degrade == stage::Degrade::Skip
        && safe_to_skip
        && context.time_left() > clock::Millis::ZERO
}

/// Turns the failure of a stage into the failure of the request: once an earlier stage has run, a
/// stage that was not run still means that the request may have run.
fn with_request_verdict(
    ran: Option<verdict::Verdict>,
    failure: failure::Failure,
) -> failure::Failure {
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

fn build_step(
    context: &context::Context,
    stage: &stage::Stage,
    stage_budget: &budget::StageBudget,
    input: Bytes,
) -> Result<step::Step, failure::Failure> {
    let marked_non_idempotent = context.idempotency == Some(stage::Idempotency::NonIdempotent);
    let (name, model) = match (&stage.degrade, stage_budget.action) {
        (stage::Degrade::Substitute { pool, model }, plan::Action::Substitute) => {
            (pool, model.as_ref().or(stage.model.as_ref()))
        }
        _ => (&stage.pool, stage.model.as_ref()),
    };
    let max_tokens = match stage_budget.action {
        plan::Action::Shorten(tokens) => tokens,
        _ => stage.tokens,
    };
    if stage_budget.action != plan::Action::Run {
        log::info!(
            "event=degrade request={} stage={} action={:?} reason=budget",
            context.request,
            stage.id,
            stage_budget.action
        );
    }
    let pool = context
        .view
        .deployment
        .pools
        .get(name)
        .ok_or(failure::Failure::NotReady)?;
    let idempotency = if marked_non_idempotent {
        stage::Idempotency::NonIdempotent
    } else {
        stage.idempotency
    };
    let block_hashes = match pool.kind {
        pool::Kind::Engine => blocks::hashes(&input, step::BLOCK_BYTES, step::MAX_BLOCKS),
        _ => Vec::new(),
    };
    Ok(step::Step {
        stage: stage.id.clone(),
        pool: name.clone(),
        kind: pool.kind,
        keys: pool.keys,
        model: model.cloned(),
        max_tokens,
        idempotency,
        method: hyper::Method::POST,
        path: "/run".to_owned(),
        headers: hyper::HeaderMap::new(),
        input,
        block_hashes,
        p95_latency: stage_budget.p95_latency,
        soft_deadline: stage_budget.soft_deadline,
        hard_deadline: stage_budget.hard_deadline,
    })
}

/// Streams tokens as server-sent events; the last event reports how the request ended.
fn stream_events(context: context::Context, step: step::Step) -> mpsc::Receiver<Bytes> {
    let (events, receiver) = mpsc::channel(output::STREAM_BUFFER);
    tokio::spawn(async move {
        let (token_sender, tokens) = mpsc::channel(output::STREAM_BUFFER);
        let generation = generation::run(&context, &step, token_sender);
        let (result, ()) = tokio::join!(generation, forward_tokens(tokens, &events));
        let event = end_event(&context, result.err().as_ref());
        let _ = events.send(event).await;
    });
    receiver
}

/// Forwards each token as an event. Returns when the caller has disconnected; the dropped receiver
/// then cancels the generation.
async fn forward_tokens(mut tokens: mpsc::Receiver<token::Token>, events: &mpsc::Sender<Bytes>) {
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
