//! Budget that limits the retries and hedges of a daemon.

use std::sync::atomic;

/// Thousandths of a retry that each first call adds to the budget. The value of a tenth limits the
/// calls sent, retries and hedges included, to 1.1 times the first calls.
const DEPOSIT: u64 = 100;

/// Thousandths of a retry that one retry or hedge takes from the budget.
const COST: u64 = 1000;

/// Maximum balance: 100 retries, enough for the calls that a daemon has in flight in a failure
/// domain when the domain is lost. With a maximum of 30, 0.5% of the requests failed at that moment
/// because no retry was left.
const LIMIT: u64 = 100 * COST;

/// Balance of what first calls have deposited and what retries and hedges have withdrawn.
#[derive(Debug)]
pub struct RetryBudget {
    /// Balance in thousandths of a retry.
    balance: atomic::AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: atomic::AtomicU64::new(LIMIT),
        }
    }
}

impl RetryBudget {
    /// Records a first call.
    pub fn deposit(&self) {
        let relaxed = atomic::Ordering::Relaxed;
        let _ = self
            .balance
            .fetch_update(relaxed, relaxed, |old| Some((old + DEPOSIT).min(LIMIT)));
    }

    /// Withdraws one retry, or returns `false` if the balance is too low.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        self.withdraw_above(0)
    }

    /// Withdraws one hedge, or returns `false` if less than half of the maximum balance would be
    /// left.
    ///
    /// The other half is reserved for retries: a hedge only makes an answer earlier, whereas a
    /// request whose retry is denied gets no answer at all.
    #[must_use]
    pub fn withdraw_hedge(&self) -> bool {
        self.withdraw_above(LIMIT / 2)
    }

    fn withdraw_above(&self, reserve: u64) -> bool {
        let relaxed = atomic::Ordering::Relaxed;
        let next = |balance: u64| balance.checked_sub(COST).filter(|left| *left >= reserve);
        self.balance.fetch_update(relaxed, relaxed, next).is_ok()
    }
}
