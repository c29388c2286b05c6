//! Execution of requests under a claim on their request key.

use std::sync;

use basilgrade_claims::attempt_id;
use basilgrade_claims::fingerprint;
use basilgrade_types::clock;
use basilgrade_types::verdict;

use crate::caller::failure;
use crate::exec::context;
use crate::exec::output;
use crate::ledger;

/// Maximum wait for a claim. A claim takes two round trips; the rest of the deadline is left to the
/// call.
const CLAIM_TIMEOUT: clock::Millis = clock::Millis(1500);

/// Runs `execute` at most once over all daemons for the request key of `context`.
///
/// # Errors
///
/// Returns `ClaimUnavailable` if no claim can be made, `Claimed` or `KeyReused` for a key used
/// before, or the failure of `execute`.
pub async fn run<F>(
    mut context: context::Context,
    fingerprint: fingerprint::Fingerprint,
    execute: impl FnOnce(context::Context) -> F + Send + 'static,
) -> Result<output::Output, failure::Failure>
where
    F: Future<Output = Result<output::Output, failure::Failure>> + Send + 'static,
{
    let ledger = sync::Arc::clone(&context.core.components.ledger);
    let Some(key) = context.key.or_else(|| ledger.mint()) else {
        let reason = "this failure domain owns no slots yet".to_owned();
        return Err(failure::Failure::ClaimUnavailable(
            "none".to_owned(),
            reason,
        ));
    };
    context.key = Some(key);
    let attempt = attempt_id::AttemptId::new(rand::random());
    let deadline = context.deadline.min(context.core.now().plus(CLAIM_TIMEOUT));
    // Run in a separate task, so that the claim is settled even if the caller disconnects.
    let task = tokio::spawn(async move {
        match ledger.claim(key, fingerprint, attempt, deadline).await {
            ledger::Claim::Granted => {}
            ledger::Claim::Finished(answer) => return Ok(output::Output::replay(answer)),
            ledger::Claim::Held => return Err(failure::Failure::Claimed(key.to_string())),
            ledger::Claim::Mismatch => return Err(failure::Failure::KeyReused(key.to_string())),
            ledger::Claim::Unavailable(reason) => {
                return Err(failure::Failure::ClaimUnavailable(key.to_string(), reason));
            }
        }
        let result = execute(context).await;
        ledger.settle(attempt, call_outcome(&result));
        result
    });
    task.await.unwrap_or({
        Err(failure::Failure::DeadlinePassed(
            verdict::Verdict::MayHaveRun,
        ))
    })
}

fn call_outcome(result: &Result<output::Output, failure::Failure>) -> ledger::Outcome {
    match result {
        Ok(output) => ledger::Outcome::Finished(output.stored_answer()),
        Err(failure) if failure.verdict() == verdict::Verdict::NotRun => ledger::Outcome::Released,
        Err(_) => ledger::Outcome::Unknown,
    }
}
