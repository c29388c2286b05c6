//! An upstream that makes pieces, as a queue sees it.

use std::collections::VecDeque;

use basilgrade_types::clock;
use basilgrade_types::size;

use crate::directory::upstream;
use crate::model::pool;

/// Part of a new measurement in the running speed.
const WEIGHT: f64 = 0.4;

/// Ratio of measured to expected time above which an upstream counts as slow.
const SLOW_RATIO: f64 = 1.8;

/// A slow upstream is tried again after this time, to see whether it has recovered.
const PROBE_AFTER: clock::Millis = clock::Millis(2500);

/// Wait after a failed call; doubles with each failure in a row.
const FIRST_REST: clock::Millis = clock::Millis(250);
const LONGEST_REST: clock::Millis = clock::Millis(4000);

/// Wait after a full upstream, about a third of a call.
const FULL_REST: clock::Millis = clock::Millis(120);

/// How long room stays doubtful after a result found none; others expire within some seconds.
const NO_ROOM_MEMORY: clock::Millis = clock::Millis(1000);

/// One upstream with its calls.
#[derive(Debug)]
pub(super) struct Maker {
    pub(super) upstream: upstream::Upstream,
    /// Calls sent and not answered, with the expected end of each.
    pub(super) calls: Vec<(u64, clock::Millis)>,
    /// Ratio of measured to expected time of calls.
    pub(super) ratio: f64,
    rest_until: clock::Millis,
    failures: u32,
    probed: clock::Millis,
    /// Results that are held, with the time at which each expires.
    held: VecDeque<(clock::Millis, u64)>,
    held_bytes: u64,
}

impl Maker {
    pub(super) fn new(upstream: upstream::Upstream) -> Self {
        Self {
            upstream,
            calls: Vec::new(),
            ratio: 1.0,
            rest_until: clock::Millis::ZERO,
            failures: 0,
            probed: clock::Millis::ZERO,
            held: VecDeque::new(),
            held_bytes: 0,
        }
    }

    pub(super) fn is_resting(&self, now: clock::Millis) -> bool {
        now < self.rest_until
    }

    pub(super) fn rest_until(&self) -> clock::Millis {
        self.rest_until
    }

    pub(super) fn is_slow(&self) -> bool {
        self.ratio > SLOW_RATIO
    }

    /// Whether it gets no work for a while, as it failed or is slow.
    pub(super) fn is_out(&self, now: clock::Millis) -> bool {
        let has_failed = self.failures > 0 && self.is_resting(now);
        has_failed || (self.is_slow() && !self.is_probe_due(now))
    }

    /// Whether a slow upstream is due for another try.
    pub(super) fn is_probe_due(&self, now: clock::Millis) -> bool {
        now >= self.probed.plus(PROBE_AFTER)
    }

    /// When the last call that was sent is expected to end.
    pub(super) fn free_at(&self, now: clock::Millis) -> clock::Millis {
        self.calls
            .iter()
            .map(|call| call.1)
            .max()
            .unwrap_or(now)
            .max(now)
    }

    /// The expected time of a call, given how fast recent calls were.
    pub(super) fn expected(&self, pieces: &pool::PieceProfile, count: u32) -> clock::Millis {
        clock::Millis((pieces.call_time(count).as_f64() * self.ratio) as u64)
    }

    pub(super) fn start(&mut self, now: clock::Millis, call: u64, end: clock::Millis) {
        self.calls.push((call, end));
        self.probed = now;
    }

    /// Records a call that took `span` where `nominal` is the time of an unhindered one.
    pub(super) fn answered(&mut self, call: u64, span: clock::Millis, nominal: clock::Millis) {
        self.calls.retain(|other| other.0 != call);
        self.failures = 0;
        let measured = span.as_f64() / nominal.as_f64().max(1.0);
        self.ratio += (measured.clamp(0.3, 20.0) - self.ratio) * WEIGHT;
    }

    pub(super) fn full(&mut self, now: clock::Millis, call: u64) {
        self.calls.retain(|other| other.0 != call);
        self.rest_until = now.plus(FULL_REST);
    }

    pub(super) fn broken(&mut self, now: clock::Millis, call: u64) {
        self.calls.retain(|other| other.0 != call);
        let rest = clock::Millis(FIRST_REST.0 << self.failures.min(4)).min(LONGEST_REST);
        self.rest_until = now.plus(rest);
        self.failures += 1;
    }

    /// Records that results found no room: others than this queue have filled it.
    ///
    /// Half of what seemed to be left counts as taken for a while.
    pub(super) fn no_room(&mut self, now: clock::Millis, whole: size::ByteCount) {
        let left = self.room(now, whole);
        self.hold(now.plus(NO_ROOM_MEMORY), left / 2);
        self.rest_until = now.plus(FULL_REST);
    }

    /// Room left for results, as far as this queue knows.
    pub(super) fn room(&mut self, now: clock::Millis, whole: size::ByteCount) -> u64 {
        while self.held.front().is_some_and(|held| held.0 <= now) {
            if let Some((_, bytes)) = self.held.pop_front() {
                self.held_bytes = self.held_bytes.saturating_sub(bytes);
            }
        }
        whole.0.saturating_sub(self.held_bytes)
    }

    pub(super) fn hold(&mut self, until: clock::Millis, bytes: u64) {
        self.held.push_back((until, bytes));
        self.held_bytes += bytes;
    }

    /// Notes that results of about `bytes` were freed.
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
