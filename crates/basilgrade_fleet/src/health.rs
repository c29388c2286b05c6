//! Passive health checks: what this daemon has observed of an upstream, and whether to choose it.

use std::sync;
use std::sync::atomic;

use basilgrade_types::clock;

use crate::balance;
use crate::limit;
use crate::memory;
use crate::notices;

/// Consecutive failures and silences after which an upstream is backed off, with
/// [`Outcome::Unreachable`] counted twice; single failures are normal.
const FAILURE_THRESHOLD: u32 = 3;

/// Backoff at `FAILURE_THRESHOLD`, doubled with each further failure. The restart of an engine
/// takes a few seconds.
const BASE_BACKOFF: clock::Millis = clock::Millis(1000);

/// Longest backoff, so that an upstream that has recovered is tried again soon.
const MAX_BACKOFF: clock::Millis = clock::Millis(8000);

/// Weight of a new sample in the moving averages of the failure rate and the latency.
const SMOOTHING_FACTOR: f64 = 0.15;

/// Failure rate, in thousandths, above which other upstreams are preferred.
const UNRELIABLE_PER_MILLE: u64 = 250;

/// Statistics of this daemon about one run of an upstream.
#[derive(Debug, Default)]
pub struct Stats {
    /// What the upstream has announced in its answers.
    pub notices: notices::Notices,
    active: atomic::AtomicU32,
    tokens: atomic::AtomicU64,
    failure_streak: atomic::AtomicU32,
    backoff_until: atomic::AtomicU64,
    silent_until: atomic::AtomicU64,
    failure_rate: atomic::AtomicU64,
    latency: atomic::AtomicU64,
    cold_until: atomic::AtomicU64,
    limit: sync::Mutex<limit::Limit>,
    tracker: sync::Mutex<balance::Tracker>,
    memory: sync::Mutex<memory::EngineMemory>,
    is_limited: atomic::AtomicBool,
    is_heard: atomic::AtomicBool,
}

/// How a call to an upstream ended, as far as the upstream's health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered; the span is the time to the answer or to its first event.
    Answered(clock::Millis),
    /// The upstream refused the call because it is at capacity.
    Full,
    /// The upstream answered with an error.
    Failed,
    /// The upstream could not be reached, or the connection broke.
    Unreachable,
    /// The upstream has sent nothing for so long that another one was sought; it may be sound.
    Silent,
}

impl Stats {
    /// Requests of this daemon that the upstream is working on.
    pub fn active(&self) -> u32 {
        self.active.load(atomic::Ordering::Relaxed)
    }

    /// Prompt tokens sent by this daemon that the upstream has not prefilled yet.
    pub fn pending_tokens(&self) -> u64 {
        self.tokens.load(atomic::Ordering::Relaxed)
    }

    pub fn begin(&self) {
        self.active.fetch_add(1, atomic::Ordering::Relaxed);
    }

    pub fn end(&self) {
        self.active.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    pub fn add_tokens(&self, tokens: u64) {
        self.tokens.fetch_add(tokens, atomic::Ordering::Relaxed);
    }

    /// Subtracts prompt tokens that were prefilled or whose request has ended.
    pub fn remove_tokens(&self, tokens: u64) {
        self.tokens.fetch_sub(tokens, atomic::Ordering::Relaxed);
    }

    /// Updates the failure rate, the latency and the backoff with the outcome of a call.
    pub fn record(&self, now: clock::Millis, outcome: Outcome) {
        let relaxed = atomic::Ordering::Relaxed;
        if outcome == Outcome::Silent {
            self.record_silence(now);
            return;
        }
        if matches!(outcome, Outcome::Answered(_) | Outcome::Full) {
            self.record_event();
        }
        let is_failure = matches!(outcome, Outcome::Failed | Outcome::Unreachable);
        let target = if is_failure { 1000.0 } else { 0.0 };
        let rate = self.failure_rate.load(relaxed) as f64;
        let rate = rate + (target - rate) * SMOOTHING_FACTOR;
        self.failure_rate.store(rate as u64, relaxed);
        if let Outcome::Answered(latency) = outcome {
            let old = self.latency.load(relaxed) as f64;
            let new = latency.as_f64().max(1.0);
            let next = if old == 0.0 {
                new
            } else {
                old + (new - old) * SMOOTHING_FACTOR
            };
            self.latency.store(next as u64, relaxed);
        }
        if !is_failure {
            self.failure_streak.store(0, relaxed);
            return;
        }
        // A failed connection predicts the next failure better than an error answer does.
        let step = if outcome == Outcome::Unreachable {
            2
        } else {
            1
        };
        let streak = self.failure_streak.fetch_add(step, relaxed) + step;
        if streak >= FAILURE_THRESHOLD {
            self.backoff_until
                .store(now.plus(backoff(streak)).0, relaxed);
        }
    }

    /// Backs the upstream off at [`FAILURE_THRESHOLD`], until it is heard again.
    ///
    /// All requests in progress see the same silence, so a silence counts no further then.
    fn record_silence(&self, now: clock::Millis) {
        let relaxed = atomic::Ordering::Relaxed;
        if now.0 < self.silent_until.load(relaxed) {
            return;
        }
        let streak = self.failure_streak.fetch_add(1, relaxed) + 1;
        if streak >= FAILURE_THRESHOLD {
            self.silent_until
                .store(now.plus(backoff(streak)).0, relaxed);
        }
    }

    /// Records that the upstream has sent an event, which ends its silence.
    pub fn record_event(&self) {
        let relaxed = atomic::Ordering::Relaxed;
        if self.silent_until.load(relaxed) != 0 {
            self.silent_until.store(0, relaxed);
            self.failure_streak.store(0, relaxed);
        }
    }

    /// Whether the upstream names a limit on the rate of requests.
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(atomic::Ordering::Relaxed)
    }

    /// Records that the upstream is cold until `until`, as far as is known; the latest time counts, as
    /// registrations and answers overtake each other. `true` if the upstream was not cold at `now`.
    pub fn record_cold(&self, now: clock::Millis, until: clock::Millis) -> bool {
        let known = self
            .cold_until
            .fetch_max(until.0, atomic::Ordering::Relaxed);
        known <= now.0 && now < until
    }

    /// Whether the upstream is cold at `now`, as far as is known.
    pub fn is_cold(&self, now: clock::Millis) -> bool {
        now.0 < self.cold_until.load(atomic::Ordering::Relaxed)
    }

    /// Whether an answer of the upstream is known, to this daemon or by a report of another one.
    pub fn is_heard(&self) -> bool {
        self.is_heard.load(atomic::Ordering::Relaxed)
    }

    /// Records what this daemon or, by its report, another one has heard of the limit of the upstream;
    /// `true` if that changes the limit.
    pub fn update_limit(&self, update: impl FnOnce(&mut limit::Limit) -> bool) -> bool {
        let mut limit = self.limit();
        let has_changed = update(&mut limit);
        let is_limited = limit.rate().is_some();
        self.is_limited.store(is_limited, atomic::Ordering::Relaxed);
        self.is_heard
            .store(limit.is_heard(), atomic::Ordering::Relaxed);
        has_changed
    }

    /// Limit of the upstream on the rate of requests; changed by [`Stats::update_limit`].
    pub fn limit(&self) -> sync::MutexGuard<'_, limit::Limit> {
        self.limit
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Units of work that the upstream has to do for a request with `tokens` prompt tokens to
    /// process, or for one without a prompt, including the pending work of all daemons.
    pub fn expected_units(&self, now: clock::Millis, tokens: Option<u64>, slots: u32) -> f64 {
        let others = self.tracker().others_work(now);
        if let Some(tokens) = tokens {
            let pending = self.pending_tokens() as f64 + others.tokens;
            return pending + balance::prompt_units(tokens);
        }
        let active = f64::from(self.active()) + others.active;
        1.0 + active / f64::from(slots.max(1))
    }

    /// Speed of the upstream and the work of other daemons there.
    pub fn tracker(&self) -> sync::MutexGuard<'_, balance::Tracker> {
        self.tracker
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Requests of this daemon that the engine holds in its memory.
    pub fn memory(&self) -> sync::MutexGuard<'_, memory::EngineMemory> {
        self.memory
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Whether the upstream is backed off at `now` after consecutive failures or a silence.
    pub fn is_backing_off(&self, now: clock::Millis) -> bool {
        let relaxed = atomic::Ordering::Relaxed;
        let until = self.backoff_until.load(relaxed);
        now.0 < until.max(self.silent_until.load(relaxed))
    }

    /// Whether the upstream fails so often that others are preferred.
    pub fn is_unreliable(&self) -> bool {
        self.failure_rate.load(atomic::Ordering::Relaxed) > UNRELIABLE_PER_MILLE
    }

    /// Moving average of the time to an answer; zero before the first answer.
    pub fn latency(&self) -> clock::Millis {
        clock::Millis(self.latency.load(atomic::Ordering::Relaxed))
    }
}

/// Backoff after `streak` consecutive failures, which are at least [`FAILURE_THRESHOLD`].
fn backoff(streak: u32) -> clock::Millis {
    let doublings = (streak - FAILURE_THRESHOLD).min(3);
    clock::Millis(BASE_BACKOFF.0 << doublings).min(MAX_BACKOFF)
}
