//! Whether repeating a call is safe.

use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_types::verdict;

/// Whether a failed call may be retried, given the verdict on whether the call has run.
///
/// A call that may have run is retried only if a second run has no further effect: either the stage
/// is idempotent, or the upstream honours the idempotency key. The retry must then carry the same
/// key.
pub fn may_retry(
    verdict: verdict::Verdict,
    idempotency: stage::Idempotency,
    keys: pool::RequestKeys,
) -> bool {
    match verdict {
        verdict::Verdict::NotRun => true,
        verdict::Verdict::Ran => false,
        verdict::Verdict::MayHaveRun => {
            idempotency == stage::Idempotency::Idempotent || keys == pool::RequestKeys::Honoured
        }
    }
}

/// Whether a hedge may be sent while the first call is in flight.
///
/// An idempotency key is not sufficient for a hedge, even if the upstream honours keys: both calls
/// could already be running when the upstream compares the keys.
pub fn may_hedge(idempotency: stage::Idempotency) -> bool {
    idempotency == stage::Idempotency::Idempotent
}
