//! Execution under a claim on the request key.

use basilgrade_types::verdict;

use crate::caller::failure;
use crate::exec::context;
use crate::exec::output;
use crate::ledger;

/// Runs `work` at most once for the key of `context` over all daemons.
///
/// # Errors
///
/// `ClaimUnavailable` when no claim can be made, `Claimed` or `KeyReused` for a key used before,
/// else the failure of `work`.
pub async fn run<F>(
    context: context::Context,
    fingerprint: u64,
    work: impl FnOnce(context::Context) -> F + Send + 'static,
) -> Result<output::Output, failure::Failure>
where
    F: Future<Output = Result<output::Output, failure::Failure>> + Send + 'static,
{
    let ledger = std::sync::Arc::clone(&context.core.parts.ledger);
    let Some(key) = context.key.or_else(|| ledger.mint()) else {
        let reason = "this failure domain holds no slot yet".to_owned();
        return Err(failure::Failure::ClaimUnavailable(
            String::from("none"),
            reason,
        ));
    };
    let mut context = context;
    context.key = Some(key);
    let execution: ledger::Execution = context.request.0.as_u128();
    match ledger.claim(key, fingerprint, execution).await {
        ledger::Claim::Granted => {}
        ledger::Claim::Finished(answer) => return Ok(output::Output::replay(answer)),
        ledger::Claim::Held => return Err(failure::Failure::Claimed(key.to_string())),
        ledger::Claim::Mismatch => return Err(failure::Failure::KeyReused(key.to_string())),
        ledger::Claim::Unavailable(reason) => {
            // The claim may have been entered although its answer was lost.
            tokio::spawn(async move { ledger.release(key, execution).await });
            return Err(failure::Failure::ClaimUnavailable(key.to_string(), reason));
        }
    }
    // A task of its own, so that the outcome is recorded even when the caller has gone.
    let task = tokio::spawn(async move {
        let result = work(context).await;
        match &result {
            Ok(output) => ledger.finish(key, execution, output.answer()).await,
            Err(failure) if failure.verdict() == verdict::Verdict::NotRun => {
                ledger.release(key, execution).await;
            }
            Err(_) => ledger.finish(key, execution, None).await,
        }
        result
    });
    task.await.unwrap_or({
        Err(failure::Failure::DeadlinePassed(
            verdict::Verdict::MayHaveRun,
        ))
    })
}
