//! Upstream that computes pieces, as tracked by the queue of its failure domain.

use std::collections::VecDeque;

use basilgrade_types::clock;
use basilgrade_types::size;

use crate::directory::upstream;
use crate::model::pool;

/// Weight of a new sample in the moving average of the ratio of measured to nominal call time.
const SMOOTHING_FACTOR: f64 = 0.4;

/// Ratio of measured to nominal call time above which an upstream counts as slow.
const SLOW_RATIO: f64 = 1.8;

/// Reported ratio of a call's time to the usual one from which on an upstream is left out for urgent
/// pieces; lower ones cost less than a wait for another upstream.
const REPORTED_SLOW_RATIO: f64 = 1.3;

/// Time for which an upstream that reports to be slow is expected to stay so: about half of the
/// 600 ms for which an upstream is slow when others use its machine.
const REPORTED_SLOW_SPAN: clock::Millis = clock::Millis(330);

/// A slow upstream is tried again after this time, to see whether it has recovered.
const PROBE_INTERVAL: clock::Millis = clock::Millis(2500);

/// Backoff after a failed call; doubles with each consecutive failure.
const BASE_BACKOFF: clock::Millis = clock::Millis(250);
const MAX_BACKOFF: clock::Millis = clock::Millis(4000);

/// Backoff after a call that the upstream refused as full; about a third of a call's time.
const FULL_BACKOFF: clock::Millis = clock::Millis(120);

/// How long part of the free memory counts as taken after a result did not fit; results expire
/// within seconds.
const NO_ROOM_PERIOD: clock::Millis = clock::Millis(1000);

/// Upstream with its unanswered calls, its measured speed and the results that it holds.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) upstream: upstream::Upstream,
    /// Calls sent and not answered, with the expected end of each.
    pub(super) calls: Vec<(u64, clock::Millis)>,
    /// Moving average of the ratio of measured to nominal call time.
    pub(super) time_ratio: f64,
    /// Reported duration of calls relative to the usual one, and the time until which it holds.
    reported: Option<(f64, clock::Millis)>,
    backoff_until: clock::Millis,
    failures: u32,
    last_start: clock::Millis,
    /// Results that are held, with the time at which each expires.
    held: VecDeque<(clock::Millis, u64)>,
    held_bytes: u64,
}

impl Worker {
    pub(super) fn new(upstream: upstream::Upstream) -> Self {
        Self {
            upstream,
            calls: Vec::new(),
            time_ratio: 1.0,
            reported: None,
            backoff_until: clock::Millis::ZERO,
            failures: 0,
            last_start: clock::Millis::ZERO,
            held: VecDeque::new(),
            held_bytes: 0,
        }
    }

    pub(super) fn is_backing_off(&self, now: clock::Millis) -> bool {
        now < self.backoff_until
    }

    /// Whether the upstream must get no call at `now`.
    pub(super) fn is_closed(&self, now: clock::Millis) -> bool {
        self.is_backing_off(now) || !self.upstream.stats.notices.is_open(now)
    }

    pub(super) fn backoff_until(&self) -> clock::Millis {
        self.backoff_until
    }

    /// Time until the upstream wants calls again; `None` if it wants some now or is leaving.
    pub(super) fn pause(&self, now: clock::Millis) -> Option<clock::Millis> {
        let notices = &self.upstream.stats.notices;
        (notices.is_paused(now) && !notices.is_leaving()).then(|| notices.paused_until() - now)
    }

    pub(super) fn is_slow(&self) -> bool {
        self.time_ratio > SLOW_RATIO
    }

    /// Whether the upstream gets no calls for now, because it failed, is slow, is leaving or
    /// wants no calls.
    pub(super) fn is_excluded(&self, now: clock::Millis) -> bool {
        let has_failed = self.failures > 0 && self.is_backing_off(now);
        let is_open = self.upstream.stats.notices.is_open(now);
        !is_open || has_failed || (self.is_slow() && !self.is_probe_due(now))
    }

    /// Whether the last call to a slow upstream is long enough ago to try the upstream again.
    pub(super) fn is_probe_due(&self, now: clock::Millis) -> bool {
        now >= self.last_start.plus(PROBE_INTERVAL)
    }

    /// Time at which all sent calls are expected to have ended; `now` if there are none.
    pub(super) fn free_at(&self, now: clock::Millis) -> clock::Millis {
        self.calls
            .iter()
            .map(|call| call.1)
            .max()
            .unwrap_or(now)
            .max(now)
    }

    /// The expected time of a call that starts at `now`, given how fast recent calls were and how
    /// fast the upstream says that it is.
    pub(super) fn expected_time(
        &self,
        now: clock::Millis,
        profile: &pool::PieceProfile,
        count: u32,
    ) -> clock::Millis {
        let usual = profile.call_time(count).as_f64() * self.time_ratio;
        let Some((ratio, until)) = self.reported.filter(|(_, until)| now < *until) else {
            return clock::Millis(usual as u64);
        };
        // The part of the call after the slow span runs at the usual speed.
        let slow = (until - now).as_f64();
        let done = slow / ratio;
        let span = if done >= usual {
            usual * ratio
        } else {
            slow + usual - done
        };
        clock::Millis(span as u64)
    }

    /// Records that calls take `ratio` times as long as usual at `now`, as the upstream reports.
    pub(super) fn on_report(&mut self, now: clock::Millis, ratio: f64) {
        let is_slow = ratio >= REPORTED_SLOW_RATIO;
        self.reported = is_slow.then(|| (ratio, now.plus(REPORTED_SLOW_SPAN)));
    }

    /// Whether the upstream has reported that it is slow at `now`.
    pub(super) fn is_reported_slow(&self, now: clock::Millis) -> bool {
        self.reported.is_some_and(|(_, until)| now < until)
    }

    pub(super) fn start(&mut self, now: clock::Millis, call: u64, end: clock::Millis) {
        self.calls.push((call, end));
        self.last_start = now;
    }

    /// Records an answered call that took `span`; `nominal` is its time at normal speed.
    pub(super) fn on_answer(&mut self, call: u64, span: clock::Millis, nominal: clock::Millis) {
        self.calls.retain(|other| other.0 != call);
        self.failures = 0;
        let measured = span.as_f64() / nominal.as_f64().max(1.0);
        self.time_ratio += (measured.clamp(0.3, 20.0) - self.time_ratio) * SMOOTHING_FACTOR;
    }

    pub(super) fn on_full(&mut self, now: clock::Millis, call: u64) {
        self.calls.retain(|other| other.0 != call);
        self.backoff_until = now.plus(FULL_BACKOFF);
    }

    /// Records that a call was not sent, as the upstream is at its request limit for `wait`.
    pub(super) fn on_held(&mut self, now: clock::Millis, call: u64, wait: clock::Millis) {
        self.calls.retain(|other| other.0 != call);
        self.backoff_until = now.plus(wait);
    }

    pub(super) fn on_path_lost(&mut self, call: u64) {
        self.calls.retain(|other| other.0 != call);
    }

    pub(super) fn on_failure(&mut self, now: clock::Millis, call: u64) {
        self.calls.retain(|other| other.0 != call);
        let backoff = clock::Millis(BASE_BACKOFF.0 << self.failures.min(4)).min(MAX_BACKOFF);
        self.backoff_until = now.plus(backoff);
        self.failures += 1;
    }

    /// Records that results did not fit, as the memory holds results that this queue does not
    /// track.
    ///
    /// Half of the memory that seemed to be free counts as taken for `NO_ROOM_PERIOD`.
    pub(super) fn on_no_room(&mut self, now: clock::Millis, capacity: size::ByteCount) {
        let free = self.free_bytes(now, capacity);
        self.hold(now.plus(NO_ROOM_PERIOD), free / 2);
        self.backoff_until = now.plus(FULL_BACKOFF);
    }

    /// Bytes free for results, as far as this queue knows.
    pub(super) fn free_bytes(&mut self, now: clock::Millis, capacity: size::ByteCount) -> u64 {
        while self.held.front().is_some_and(|held| held.0 <= now) {
            if let Some((_, bytes)) = self.held.pop_front() {
                self.held_bytes = self.held_bytes.saturating_sub(bytes);
            }
        }
        capacity.0.saturating_sub(self.held_bytes)
    }

    pub(super) fn hold(&mut self, until: clock::Millis, bytes: u64) {
        self.held.push_back((until, bytes));
        self.held_bytes = self.held_bytes.saturating_add(bytes);
    }

    /// Releases about `bytes` of held results, which the upstream has freed.
    pub(super) fn release(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
        let mut rest = bytes;
        while let Some(front) = self.held.front_mut() {
            if front.1 > rest {
                front.1 -= rest;
                break;
            }
            rest -= front.1;
            self.held.pop_front();
        }
    }
}
