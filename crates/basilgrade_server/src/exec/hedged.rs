//! Buffered calls, hedged by a second call if the first one takes unusually long.

use basilgrade_policy::retry::retry_rules;
use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::verdict;
use basilgrade_upstream::call_error;
use basilgrade_upstream::reply;

use crate::caller::failure;
use crate::exec::attempts;
use crate::exec::context;
use crate::exec::inflight_call;
use crate::exec::step;
use crate::view::entry;

/// Minimum interval between checks of whether a hedge is worth its cost.
const HEDGE_CHECK_INTERVAL: clock::Millis = clock::Millis(10);

/// Runs a step that is not a generation and returns its buffered response.
///
/// # Errors
///
/// Returns the failure of the last attempt, with the verdict over all attempts.
pub async fn run(
    context: &context::Context,
    step: &step::Step,
) -> Result<reply::Reply, failure::Failure> {
    let mut attempts = attempts::Attempts::new(context, step);
    loop {
        let (entry, attempt) = attempts.choose_upstream()?;
        match race(&mut attempts, entry, attempt).await {
            Ok(reply) => return Ok(reply),
            Err(failed) => {
                if let Some(hedge) = failed.hedge {
                    attempts.record_failure(hedge.entry, hedge.attempt, &hedge.error);
                }
                let first = failed.first;
                attempts
                    .prepare_retry(first.entry, first.attempt, first.error)
                    .await?;
            }
        }
    }
}

/// A call that failed.
struct FailedCall<'a> {
    entry: &'a entry::Entry,
    attempt: attempt::Attempt,
    error: call_error::CallError,
}

/// A failed attempt: the first call, and the hedge if one was sent; both failed.
struct FailedAttempt<'a> {
    first: FailedCall<'a>,
    hedge: Option<FailedCall<'a>>,
}

/// Sends an attempt, and a hedge beside it if the first call exceeds the p95 latency.
///
/// The first response is used; dropping the other call cancels it.
async fn race<'a>(
    attempts: &mut attempts::Attempts<'a>,
    entry: &'a entry::Entry,
    attempt: attempt::Attempt,
) -> Result<reply::Reply, FailedAttempt<'a>> {
    let started = attempts.context.core.now();
    let failed = |entry, attempt, error| FailedCall {
        entry,
        attempt,
        error,
    };
    let without_hedge = |error| FailedAttempt {
        first: failed(entry, attempt, error),
        hedge: None,
    };
    let allowed = retry_rules::may_hedge(attempts.step.idempotency);
    let Some(p95_latency) = attempts.step.p95_latency.filter(|_| allowed) else {
        return send(attempts, entry, attempt).await.map_err(without_hedge);
    };
    let hedge_attempt = attempts.next;
    let result = {
        let attempts = &*attempts;
        let first = send(attempts, entry, attempt);
        tokio::pin!(first);
        let mut wait = p95_latency.max(clock::Millis(1));
        let hedge = loop {
            let timed = tokio::time::timeout(wait.duration(), &mut first).await;
            if let Ok(result) = timed {
                return result.map_err(without_hedge);
            }
            // Load and retry budget change during the call, so check again whether a hedge is worth
            // its cost.
            if let Some(hedge) = attempts.choose_hedge(started) {
                break hedge;
            }
            let time_left = attempts
                .step
                .hard_deadline
                .since(attempts.context.core.now());
            wait = clock::Millis(
                (wait.0 * 2)
                    .min(time_left.0 / 4)
                    .max(HEDGE_CHECK_INTERVAL.0),
            );
        };
        let hedged = send(attempts, hedge, hedge_attempt);
        tokio::pin!(hedged);
        let both = |first_error, hedge_error| FailedAttempt {
            first: failed(entry, attempt, first_error),
            hedge: Some(failed(hedge, hedge_attempt, hedge_error)),
        };
        tokio::select! {
            result = &mut first => match result {
                Ok(reply) => Ok(reply),
                Err(first_error) => hedged.await.map_err(|hedge_error| both(first_error, hedge_error)),
            },
            result = &mut hedged => match result {
                Ok(reply) => Ok(reply),
                Err(hedge_error) => first.await.map_err(|first_error| both(first_error, hedge_error)),
            },
        }
    };
    // The hedge used an attempt number of its own, which must not be assigned twice.
    attempts.next = hedge_attempt.next();
    result
}

/// Sends one attempt and records a successful outcome; the caller records failures.
async fn send(
    attempts: &attempts::Attempts<'_>,
    entry: &entry::Entry,
    attempt: attempt::Attempt,
) -> Result<reply::Reply, call_error::CallError> {
    let core = &attempts.context.core;
    let started = core.now();
    let _inflight = inflight_call::InflightCall::start(&entry.stats);
    let call = attempts.call(entry, attempt);
    let reply = core.components.upstream.call(call).await?;
    let now = core.now();
    entry.record_success(now, now.since(started), 0);
    attempts.record_outcome(entry, attempt, reply.body.len(), verdict::Verdict::Ran);
    Ok(reply)
}
