//! What a daemon has seen of an upstream, and whether it should still be chosen.

use std::sync::atomic;

use basilgrade_types::clock;

/// Failures in a row after which an upstream rests. Single failures are normal.
const STRIKES: u32 = 3;

/// First rest; doubles with each further failure. An engine's restart takes a few seconds.
const REST: clock::Millis = clock::Millis(1000);

/// Longest rest, so that an upstream that has recovered is tried again soon.
const LONGEST_REST: clock::Millis = clock::Millis(8000);

/// Part of a new outcome in the running failure share.
const WEIGHT: f64 = 0.15;

/// Failure share, in thousandths, above which others are preferred.
const DOUBTFUL: u64 = 250;

/// Counters about one run of an upstream.
#[derive(Debug, Default)]
pub struct Stats {
    active: atomic::AtomicU32,
    tokens: atomic::AtomicU64,
    streak: atomic::AtomicU32,
    rest_until: atomic::AtomicU64,
    failed: atomic::AtomicU64,
    span: atomic::AtomicU64,
}

/// How a call to an upstream ended, as far as its health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered; the span until the answer or its first event.
    Answered(clock::Millis),
    /// Refused because it is full.
    Full,
    /// Failed with an answer.
    Failed,
    /// Could not be reached, or broke off.
    Unreachable,
}

impl Stats {
    /// Requests of this daemon that it works on.
    pub fn active(&self) -> u32 {
        self.active.load(atomic::Ordering::Relaxed)
    }

    /// Prompt tokens that this daemon has sent and that are not read yet.
    pub fn pending_tokens(&self) -> u64 {
        self.tokens.load(atomic::Ordering::Relaxed)
    }

    /// Counts a request as sent.
    pub fn begin(&self) {
        self.active.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a request as ended.
    pub fn end(&self) {
        self.active.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Counts prompt tokens as sent.
    pub fn add_tokens(&self, tokens: u64) {
        self.tokens.fetch_add(tokens, atomic::Ordering::Relaxed);
    }

    /// Counts prompt tokens as read or given up.
    pub fn remove_tokens(&self, tokens: u64) {
        self.tokens.fetch_sub(tokens, atomic::Ordering::Relaxed);
    }

    /// Records how a call ended.
    pub fn record(&self, now: clock::Millis, outcome: Outcome) {
        let relaxed = atomic::Ordering::Relaxed;
        let is_failure = matches!(outcome, Outcome::Failed | Outcome::Unreachable);
        let target = if is_failure { 1000.0 } else { 0.0 };
        let share = self.failed.load(relaxed) as f64;
        let share = share + (target - share) * WEIGHT;
        self.failed.store(share as u64, relaxed);
        if let Outcome::Answered(span) = outcome {
            let old = self.span.load(relaxed) as f64;
            let new = span.as_f64().max(1.0);
            let next = if old == 0.0 {
                new
            } else {
                old + (new - old) * WEIGHT
            };
            self.span.store(next as u64, relaxed);
        }
        if !is_failure {
            self.streak.store(0, relaxed);
            return;
        }
        // A failed connection says more about the next one than a failed answer.
        let step = if outcome == Outcome::Unreachable {
            2
        } else {
            1
        };
        let streak = self.streak.fetch_add(step, relaxed) + step;
        if streak >= STRIKES {
            let doublings = (streak - STRIKES).min(3);
            let rest = clock::Millis(REST.0 << doublings).min(LONGEST_REST);
            self.rest_until.store(now.plus(rest).0, relaxed);
        }
    }

    /// Whether it should rest at `now` after failures in a row.
    pub fn is_backing_off(&self, now: clock::Millis) -> bool {
        now.0 < self.rest_until.load(atomic::Ordering::Relaxed)
    }

    /// Whether it fails so often that others are preferred.
    pub fn is_unreliable(&self) -> bool {
        self.failed.load(atomic::Ordering::Relaxed) > DOUBTFUL
    }

    /// Running mean of the time to an answer; zero before the first one.
    pub fn latency(&self) -> clock::Millis {
        clock::Millis(self.span.load(atomic::Ordering::Relaxed))
    }
}
