//! Retries reads from the platform.

use std::future::Future;

use basilgrade_types::clock;
use rand::RngExt;

use crate::error;

/// Number and delay of retries of a read.
///
/// Appends are never retried, as this could duplicate a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryPolicy {
    /// Maximum number of attempts, including the first one.
    pub max_attempts: u32,
    /// Upper bound of the delay after the first attempt; doubles after each further attempt.
    pub base_delay: clock::Millis,
    /// Upper bound of the delay after any attempt.
    pub max_delay: clock::Millis,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            base_delay: clock::Millis(200),
            // After an outage, readers of all failure domains retry at random times within 5 s, so
            // that they do not overload the platform.
            max_delay: clock::Millis(5000),
        }
    }
}

impl RetryPolicy {
    /// Returns a random delay after failed attempt number `attempt`, counted from 0.
    ///
    /// The delay is uniform between zero and its upper bound (full jitter), which spreads the
    /// retries of readers that failed at the same moment.
    pub fn delay(&self, attempt: u32, random: &mut impl rand::Rng) -> clock::Millis {
        let factor = 1_u64.checked_shl(attempt).unwrap_or(u64::MAX);
        let upper_bound = self
            .base_delay
            .0
            .saturating_mul(factor)
            .min(self.max_delay.0);
        clock::Millis(random.random_range(0..=upper_bound))
    }

    /// Runs `read` and retries it while the platform is unavailable. Returns other errors at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt.
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
            let is_retryable = matches!(result, Err(error::ReadError::Unavailable(_)));
            if !is_retryable || attempt + 1 >= self.max_attempts {
                return result;
            }
            tokio::time::sleep(self.delay(attempt, random).duration()).await;
            attempt += 1;
        }
    }
}
