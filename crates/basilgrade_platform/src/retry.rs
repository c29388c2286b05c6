//! Repeating reads of the platform.

use std::future::Future;

use basilgrade_types::clock;
use rand::RngExt;

use crate::error;

/// How often and how long apart reads are repeated. Appends are never repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryPolicy {
    /// Attempts in all.
    pub max_attempts: u32,
    /// Longest wait after the first attempt; it doubles with each further one.
    pub base_delay: clock::Millis,
    /// Longest wait of all.
    pub max_delay: clock::Millis,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            base_delay: clock::Millis(200),
            // Readers of all failure domains come back spread over this time after an outage.
            max_delay: clock::Millis(5000),
        }
    }
}

impl RetryPolicy {
    /// The wait after a failed attempt, counted from 0: uniform between zero and the doubled base.
    ///
    /// A wait that is random as a whole spreads readers that failed at the same moment.
    pub fn delay(&self, attempt: u32, random: &mut impl rand::Rng) -> clock::Millis {
        let factor = 1_u64.checked_shl(attempt).unwrap_or(u64::MAX);
        let longest = self
            .base_delay
            .0
            .saturating_mul(factor)
            .min(self.max_delay.0);
        clock::Millis(random.random_range(0..=longest))
    }

    /// Repeats a read while the platform is unavailable. Other errors are returned at once.
    ///
    /// # Errors
    ///
    /// The error of the last attempt.
    pub async fn read<T, F, R>(
        &self,
        random: &mut impl rand::Rng,
        mut read: F,
    ) -> Result<T, error::ReadError>
    where
        F: FnMut() -> R,
        R: Future<Output = Result<T, error::ReadError>>,
    {
        let mut attempt = 0;
        loop {
            let result = read().await;
            let repeat = matches!(result, Err(error::ReadError::Unavailable(_)));
            if !repeat || attempt + 1 >= self.max_attempts {
                return result;
            }
            tokio::time::sleep(self.delay(attempt, random).duration()).await;
            attempt += 1;
        }
    }
}
