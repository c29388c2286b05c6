//! Whole answers, with a second call beside one that takes unusually long.

use basilgrade_policy::retry::retry_rules;
use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::verdict;
use basilgrade_upstream::call_error;
use basilgrade_upstream::reply;

use crate::caller::failure;
use crate::exec::attempts;
use crate::exec::context;
use crate::exec::inflight;
use crate::exec::step;
use crate::view::entry;

/// Shortest time between looks at whether a second call is worth its price.
const HEDGE_CHECK: clock::Millis = clock::Millis(10);

/// Runs a step that is not a generation and returns its whole answer.
///
/// # Errors
///
/// The failure of the last attempt, with the verdict over all of them.
pub async fn run(
    context: &context::Context,
    step: &step::Step,
) -> Result<reply::Reply, failure::Failure> {
    let mut attempts = attempts::Attempts::new(context, step);
    loop {
        let (entry, attempt) = attempts.choose()?;
        match race(&mut attempts, entry, attempt).await {
            Ok(reply) => return Ok(reply),
            Err(failed) => {
                if let Some(other) = failed.other {
                    attempts.note(other.entry, other.attempt, &other.error);
                }
                let last = failed.last;
                attempts
                    .failed(last.entry, last.attempt, last.error)
                    .await?;
            }
        }
    }
}

/// A call that gave no answer.
struct FailedCall<'a> {
    entry: &'a entry::Entry,
    attempt: attempt::Attempt,
    error: call_error::CallError,
}

/// Why an attempt gave no answer, and the call beside it if there was one.
struct Failed<'a> {
    last: FailedCall<'a>,
    other: Option<FailedCall<'a>>,
}

/// Sends an attempt, and a second one beside it if the first takes unusually long.
///
/// The first answer counts; dropping the other call cancels it.
async fn race<'a>(
    attempts: &mut attempts::Attempts<'a>,
    entry: &'a entry::Entry,
    attempt: attempt::Attempt,
) -> Result<reply::Reply, Failed<'a>> {
    let started = attempts.context.core.now();
    let failed = |entry, attempt, error| FailedCall {
        entry,
        attempt,
        error,
    };
    let alone = |error| Failed {
        last: failed(entry, attempt, error),
        other: None,
    };
    let allowed = retry_rules::may_hedge(attempts.step.idempotency);
    let Some(tail) = attempts.step.tail.filter(|_| allowed) else {
        return send(attempts, entry, attempt).await.map_err(alone);
    };
    let second = attempts.next;
    let result = {
        let attempts = &*attempts;
        let first = send(attempts, entry, attempt);
        tokio::pin!(first);
        let mut wait = tail.max(clock::Millis(1));
        let hedge = loop {
            let early = tokio::time::timeout(wait.duration(), &mut first).await;
            if let Ok(result) = early {
                return result.map_err(alone);
            }
            // What is worth its price changes while the call goes on.
            if let Some(other) = attempts.hedge(started) {
                break other;
            }
            let left = attempts.step.limit.since(attempts.context.core.now());
            wait = clock::Millis((wait.0 * 2).min(left.0 / 4).max(HEDGE_CHECK.0));
        };
        let hedged = send(attempts, hedge, second);
        tokio::pin!(hedged);
        let both = |one, other| Failed {
            last: failed(entry, attempt, one),
            other: Some(failed(hedge, second, other)),
        };
        tokio::select! {
            result = &mut first => match result {
                Ok(reply) => Ok(reply),
                Err(one) => hedged.await.map_err(|other| both(one, other)),
            },
            result = &mut hedged => match result {
                Ok(reply) => Ok(reply),
                Err(other) => first.await.map_err(|one| both(one, other)),
            },
        }
    };
    // Another attempt must not take the number that the second call has used.
    attempts.next = second.next();
    result
}

/// Sends one attempt and records how it went.
async fn send(
    attempts: &attempts::Attempts<'_>,
    entry: &entry::Entry,
    attempt: attempt::Attempt,
) -> Result<reply::Reply, call_error::CallError> {
    let core = &attempts.context.core;
    let started = core.now();
    let _inflight = inflight::Inflight::start(&entry.stats);
    let call = attempts.call(entry, attempt);
    let reply = core.parts.upstream.call(call).await?;
    let now = core.now();
    entry.answered(now, now.since(started), 0);
    attempts.finished(entry, attempt, reply.body.len(), verdict::Verdict::Ran);
    Ok(reply)
}
