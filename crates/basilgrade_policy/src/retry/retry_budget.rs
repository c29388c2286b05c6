//! The budget that retries and hedges share.

use std::sync::atomic;

/// Thousandths of a second call that each first call earns: a tenth, so that calls are amplified by
/// at most 1.1.
const EARNED: u64 = 100;

/// Thousandths of a second call that one second call costs.
const PRICE: u64 = 1000;

/// Most that is saved up: enough for the calls that a daemon has in flight in a failure domain when
/// the domain is lost. With 30, 0.5% of the requests failed at that moment for want of a retry.
const MOST: u64 = 100 * PRICE;

/// Counts what first calls have earned and second calls have spent.
#[derive(Debug)]
pub struct RetryBudget {
    saved: atomic::AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: atomic::AtomicU64::new(MOST),
        }
    }
}

impl RetryBudget {
    /// Records a first call.
    pub fn deposit(&self) {
        let relaxed = atomic::Ordering::Relaxed;
        let _ = self
            .saved
            .fetch_update(relaxed, relaxed, |saved| Some((saved + EARNED).min(MOST)));
    }

    /// Takes the price of a retry, or returns `false` when too little is left.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        self.withdraw_above(0)
    }

    /// Takes the price of a hedge, or returns `false` when half of the budget or less is left.
    ///
    /// The rest is for retries: a hedge makes an answer earlier, a retry makes one at all.
    #[must_use]
    pub fn withdraw_hedge(&self) -> bool {
        self.withdraw_above(MOST / 2)
    }

    fn withdraw_above(&self, kept: u64) -> bool {
        let relaxed = atomic::Ordering::Relaxed;
        let next = |saved: u64| saved.checked_sub(PRICE).filter(|rest| *rest >= kept);
        self.saved.fetch_update(relaxed, relaxed, next).is_ok()
    }
}
