//! Whether a call may be sent a second time.

use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_types::verdict;

/// Whether a failed call may be repeated, after its verdict.
///
/// A call that may have run is repeated only if a second run has no further effect: because the
/// stage is idempotent, or because the upstream honours the key, which has to be the same.
pub fn may_retry(
    verdict: verdict::Verdict,
    idempotency: stage::Idempotency,
    keys: pool::Keys,
) -> bool {
    match verdict {
        verdict::Verdict::NotRun => true,
        verdict::Verdict::Ran => false,
        verdict::Verdict::MayHaveRun => {
            idempotency == stage::Idempotency::Idempotent || keys == pool::Keys::Honoured
        }
    }
}

/// Whether a second call may be sent while the first is in flight.
///
/// Upstreams that honour keys are excluded: both calls could be running when the key is compared.
pub fn may_hedge(idempotency: stage::Idempotency) -> bool {
    idempotency == stage::Idempotency::Idempotent
}
