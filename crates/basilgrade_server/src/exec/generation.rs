//! Generation steps: tokens from an engine, resumed on another engine after a failure.

use std::sync;

use basilgrade_policy::priority;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use basilgrade_types::verdict;
use basilgrade_upstream::call;
use basilgrade_upstream::call_error;
use basilgrade_upstream::token;
use futures::StreamExt;
use tokio::sync::mpsc;

use crate::caller::failure;
use crate::exec::attempts;
use crate::exec::context;
use crate::exec::inflight_call;
use crate::exec::output;
use crate::exec::step;
use crate::view::entry;

/// Runs a generation step and sends each token once and in order to `sink`.
///
/// A stream that breaks is resumed on another engine at the next token offset. The generation ends
/// early when the receiver of `sink` is dropped; dropping the engine's stream then cancels the
/// generation.
///
/// # Errors
///
/// Returns the failure of the last attempt.
pub async fn run(
    context: &context::Context,
    step: &step::Step,
    sink: mpsc::Sender<token::Token>,
) -> Result<(), failure::Failure> {
    let core = sync::Arc::clone(&context.core);
    let prompt = String::from_utf8_lossy(&step.input).into_owned();
    let mut attempts = attempts::Attempts::new(context, step);
    let usage = step.model.as_ref().map(|model| core.usage.for_model(model));
    if let Some(usage) = &usage {
        usage.start();
    }
    let mut received: Vec<String> = Vec::new();
    loop {
        let (entry, attempt) = attempts.choose_upstream()?;
        let started = core.now();
        let start_offset = received.len();
        let uncached_tokens = attempts.record_prefix(entry);
        let _inflight = inflight_call::InflightCall::start(&entry.stats);
        let mut tokens = core.components.upstream.generate(call::Generation {
            call: attempts.call(entry, attempt),
            model: requested_weights(context, entry, step),
            prompt: prompt.clone(),
            max_tokens: step.max_tokens,
            offset: size::TokenCount(start_offset as u64),
            received: received.clone(),
            priority: priority(context, step, entry),
        });
        let error = loop {
            match tokens.next().await {
                None => {
                    let count = (received.len() - start_offset) as u64;
                    let now = core.now();
                    let elapsed = now.since(started);
                    entry.record_success(now, elapsed, count);
                    if let Some(usage) = &usage {
                        usage.finish(elapsed);
                    }
                    let bytes = received[start_offset..].iter().map(String::len).sum();
                    attempts.record_outcome(entry, attempt, bytes, verdict::Verdict::Ran);
                    return Ok(());
                }
                Some(Err(error)) => break error,
                Some(Ok(token)) => {
                    let expected = received.len() as u64;
                    if token.offset != expected {
                        let reason =
                            format!("token at offset `{}` instead of `{expected}`", token.offset);
                        break call_error::CallError::Malformed(entry.address, reason);
                    }
                    if received.len() == start_offset {
                        let elapsed = core.now().since(started);
                        entry
                            .pool_state
                            .observe_prefill(elapsed.as_f64() as f32, uncached_tokens);
                    }
                    received.push(token.text.clone());
                    let time_left = step.hard_deadline.since(core.now());
                    let send_result =
                        tokio::time::timeout(time_left.duration(), sink.send(token)).await;
                    if !matches!(send_result, Ok(Ok(()))) {
                        // The caller disconnected, or did not read the stream within the deadline.
                        let verdict = verdict::Verdict::MayHaveRun;
                        return Err(failure::Failure::DeadlinePassed(verdict));
                    }
                }
            }
        };
        attempts.prepare_retry(entry, attempt, error).await?;
    }
}

/// Priority of a generation by its slack until the soft deadline; engines serve higher numbers
/// first.
fn priority(context: &context::Context, step: &step::Step, entry: &entry::Entry) -> u8 {
    let expected_duration = clock::Millis(entry.pool_state.expected_ms(step.max_tokens.0) as u64);
    match priority::Priority::of(
        step.soft_deadline.since(context.core.now()),
        expected_duration,
    ) {
        priority::Priority::Urgent => 1,
        priority::Priority::Normal => 0,
    }
}

/// The model weights to request from an engine: those it reports as loaded, or those that the
/// configuration names if the engine reports none.
fn requested_weights(
    context: &context::Context,
    entry: &entry::Entry,
    step: &step::Step,
) -> Option<id::ModelId> {
    let model = step.model.as_ref()?;
    let view = &context.view;
    let loaded = view.loaded_weights(entry, model);
    let declared = || {
        let declared_model = view.deployment.models.get(model);
        declared_model.map_or_else(
            || model.clone(),
            |declared_model| declared_model.weights.clone(),
        )
    };
    Some(loaded.unwrap_or_else(declared))
}

/// Runs a generation step and returns the complete text.
///
/// # Errors
///
/// Fails in the same cases as [`run`].
pub async fn collect_text(
    context: &context::Context,
    step: &step::Step,
) -> Result<String, failure::Failure> {
    let (sink, mut tokens) = mpsc::channel::<token::Token>(output::STREAM_BUFFER);
    let collect = async {
        let mut text = String::new();
        while let Some(token) = tokens.recv().await {
            text.push_str(&token.text);
        }
        text
    };
    let (result, text) = tokio::join!(run(context, step, sink), collect);
    result.map(|()| text)
}
