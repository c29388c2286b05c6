//! Load that a daemon puts on an upstream that fails if it has to refuse too many requests.
//!
//! The refusals of all daemons count together. They are bounded without messages: each daemon keeps
//! to its part of the upstream's slots, and stays away after a refusal for so long that all daemons
//! together, each with one refusal, stay within what the upstream bears.

use basilgrade_types::clock;
use basilgrade_types::rate;

/// An answer that does not call the upstream brittle counts only if none has for this long, because
/// answers on different connections overtake each other.
const CLEAR_DELAY: clock::Millis = clock::Millis(500);

/// Time without an answer after which an upstream does not count as brittle any more.
const EXPIRY: clock::Millis = clock::Millis(10_000);

/// Fewest refusals per second that an upstream is taken to bear.
const MIN_TOLERANCE: f64 = 0.5;

/// Factor on the time for which a daemon stays away after a refusal; covers that daemons happen to
/// return at the same moment.
const HOLD_FACTOR: f64 = 2.0;

/// Longest time for which a daemon stays away after a refusal.
const MAX_HOLD_SECS: f64 = 30.0;

/// Factor by which a refusal reduces the requests that a daemon has in progress at the upstream.
const DECREASE: f64 = 0.5;

/// Daemons that share an upstream, and the requests that it processes at once.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    pub daemons: usize,
    pub slots: u32,
}

impl Shares {
    /// Requests in progress that are one daemon's part; at least one.
    fn part(self) -> f64 {
        (f64::from(self.slots) / self.daemons.max(1) as f64).max(1.0)
    }
}

/// What one run of an upstream bears, and what this daemon sends to it.
#[derive(Debug, Default)]
pub struct Brittleness {
    /// Refusals per second that the upstream bears; `None` if it is not brittle.
    tolerance: Option<rate::RequestRate>,
    /// Time of the last answer that named the tolerance.
    named_at: clock::Millis,
    /// Requests that this daemon may have in progress, if refusals have reduced them below its part
    /// of the slots.
    window: Option<f64>,
    /// Time for which this daemon stayed away after the last refusal.
    hold: clock::Millis,
    /// Time before which `window` does not grow.
    kept_until: clock::Millis,
}

impl Brittleness {
    /// Whether the upstream counts as brittle.
    pub fn is_known(&self) -> bool {
        self.tolerance.is_some()
    }

    /// Records an answer that names the tolerance, or none; `true` if that changes it.
    pub fn record_answer(
        &mut self,
        now: clock::Millis,
        tolerance: Option<rate::RequestRate>,
    ) -> bool {
        if tolerance.is_some() {
            self.named_at = self.named_at.max(now);
        } else if now < self.named_at.plus(CLEAR_DELAY) {
            return false;
        } else {
            self.window = None;
        }
        std::mem::replace(&mut self.tolerance, tolerance) != tolerance
    }

    /// Whether this daemon has as many requests in progress at the upstream as it may.
    pub fn is_full(&self, now: clock::Millis, shares: Shares, active: u32) -> bool {
        self.is_known()
            && now < self.named_at.plus(EXPIRY)
            && f64::from(active) >= self.window(shares).floor()
    }

    /// Records a request that the upstream took.
    pub fn record_success(&mut self, now: clock::Millis, shares: Shares) {
        if now < self.kept_until {
            return;
        }
        self.kept_until = now.plus(self.hold);
        let grown = self.window.map(|window| window + 1.0);
        self.window = grown.filter(|window| *window < shares.part());
    }

    /// Records a refusal while `active` requests were in progress; returns the time for which this
    /// daemon must stay away.
    ///
    /// `jitter`, uniform in 0..1, keeps daemons from returning at the same moment.
    pub fn record_refusal(
        &mut self,
        now: clock::Millis,
        shares: Shares,
        active: u32,
        jitter: f64,
    ) -> clock::Millis {
        let window = self.window(shares).min(f64::from(active));
        self.window = Some((window * DECREASE).max(1.0));
        let tolerance = self.tolerance.map_or(MIN_TOLERANCE, |rate| rate.0);
        let secs = shares.daemons.max(1) as f64 / tolerance.max(MIN_TOLERANCE);
        let secs = (secs * HOLD_FACTOR * (1.0 + jitter)).min(MAX_HOLD_SECS);
        self.hold = clock::Millis((secs * 1000.0) as u64);
        self.kept_until = now.plus(self.hold);
        self.hold
    }

    fn window(&self, shares: Shares) -> f64 {
        self.window.unwrap_or_else(|| shares.part())
    }
}
