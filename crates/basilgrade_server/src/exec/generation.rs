//! Generation steps: tokens from an engine, continued on another one when the first fails.

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
use crate::exec::inflight;
use crate::exec::output;
use crate::exec::step;
use crate::view::entry;

/// Runs a generation step and sends each token once and in order to `sink`.
///
/// A stream that breaks is continued on another engine at the next offset. It ends early when the
/// receiver of `sink` is gone; dropping the engine's stream then cancels the generation.
///
/// # Errors
///
/// The failure of the last attempt.
pub async fn run(
    context: &context::Context,
    step: &step::Step,
    sink: mpsc::Sender<token::Token>,
) -> Result<(), failure::Failure> {
    let core = sync::Arc::clone(&context.core);
    let prompt = String::from_utf8_lossy(&step.input).into_owned();
    let mut attempts = attempts::Attempts::new(context, step);
    let usage = step.model.as_ref().map(|model| core.usage.of(model));
    if let Some(usage) = &usage {
        usage.start();
    }
    let mut received: Vec<String> = Vec::new();
    loop {
        let (entry, attempt) = attempts.choose()?;
        let started = core.now();
        let before = received.len();
        let fresh = attempts.cache(entry);
        let _inflight = inflight::Inflight::start(&entry.stats);
        let mut tokens = core.parts.upstream.generate(call::Generation {
            call: attempts.call(entry, attempt),
            model: weights(context, entry, step),
            prompt: prompt.clone(),
            max_tokens: step.tokens,
            offset: size::TokenCount(before as u64),
            received: received.clone(),
            priority: priority(context, step, entry),
        });
        let error = loop {
            match tokens.next().await {
                None => {
                    let count = (received.len() - before) as u64;
                    let now = core.now();
                    let spent = now.since(started);
                    entry.answered(now, spent, count);
                    if let Some(usage) = &usage {
                        usage.finish(spent);
                    }
                    let bytes = received[before..].iter().map(String::len).sum();
                    attempts.finished(entry, attempt, bytes, verdict::Verdict::Ran);
                    return Ok(());
                }
                Some(Err(error)) => break error,
                Some(Ok(token)) => {
                    let expected = received.len() as u64;
                    if token.offset != expected {
                        let reason = format!("token {} where {expected} is due", token.offset);
                        break call_error::CallError::Malformed(entry.address, reason);
                    }
                    if received.len() == before {
                        let spent = core.now().since(started);
                        entry.peers.observe_first(spent.as_f64() as f32, fresh);
                    }
                    received.push(token.text.clone());
                    let left = step.limit.since(core.now());
                    let sent = tokio::time::timeout(left.duration(), sink.send(token)).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        // The caller has gone, or did not read the stream within its deadline.
                        let verdict = verdict::Verdict::MayHaveRun;
                        return Err(failure::Failure::DeadlinePassed(verdict));
                    }
                }
            }
        };
        attempts.failed(entry, attempt, error).await?;
    }
}

/// Calls with little slack go first; engines serve higher numbers first.
fn priority(context: &context::Context, step: &step::Step, entry: &entry::Entry) -> u8 {
    let need = clock::Millis(entry.peers.expected(step.tokens.0) as u64);
    match priority::Priority::of(step.due.since(context.core.now()), need) {
        priority::Priority::Urgent => 1,
        priority::Priority::Normal => 0,
    }
}

/// The weights to ask an engine for: those it has loaded, or the ones that the configuration names
/// if the engine does not report any.
fn weights(
    context: &context::Context,
    entry: &entry::Entry,
    step: &step::Step,
) -> Option<id::ModelId> {
    let model = step.model.as_ref()?;
    let view = &context.view;
    let loaded = view.weights(entry, model);
    let declared = || {
        let placed = view.deployment.models.get(model);
        placed.map_or_else(|| model.clone(), |placed| placed.weights.clone())
    };
    Some(loaded.unwrap_or_else(declared))
}

/// Runs a generation step and returns its whole text.
///
/// # Errors
///
/// As [`run`].
pub async fn whole(
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
