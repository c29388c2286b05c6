//! Limits on the rate of requests that upstreams name in their answers.

use basilgrade_types::clock;
use basilgrade_types::rate;

/// An answer without a limit ends the limit only if no answer has named it for this long, because
/// answers on different connections overtake each other.
const CLEAR_DELAY: clock::Millis = clock::Millis(500);

/// What a daemon knows of the limit of one run of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    rate: Option<rate::RequestRate>,
    named_at: clock::Millis,
}

impl Limit {
    /// Rate that the upstream takes from all daemons together; `None` if it names no limit.
    pub fn rate(&self) -> Option<rate::RequestRate> {
        self.rate
    }

    /// Records an answer of the upstream, which names the limit `rate` or none; `true` if that
    /// changes the limit.
    pub fn record_answer(&mut self, now: clock::Millis, rate: Option<rate::RequestRate>) -> bool {
        if rate.is_some() {
            self.named_at = now;
        } else if now < self.named_at.plus(CLEAR_DELAY) {
            return false;
        }
        std::mem::replace(&mut self.rate, rate) != rate
    }
}
