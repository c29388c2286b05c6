//! Admission of a new request by its whole path: stages, then engine or plain service.

use basilgrade_types::clock;

use crate::admission;
use crate::admission::policy;

/// Half the width of the range of estimates, relative to the time left, in which new requests are
/// refused with a probability.
///
/// Daemons decide by reports of load that are up to 300 ms old. With a sharp limit, all of them admit
/// until the next report and then all refuse.
const BLUR: f64 = 0.1;

/// Part of the expected wait that a request which was refused before is admitted in spite of. Its
/// caller does not return again, and the waits of a burst that ends are shorter than expected.
const RETRIED_TOLERANCE: f64 = 0.5;

/// Excess over the target of more urgent requests, relative to it, at which the probability of a
/// refusal is the greatest.
const URGENT_RAMP: f64 = 0.5;

/// Greatest probability of a refusal in favour of more urgent requests, so that less urgent ones
/// are never refused by all daemons.
const MAX_PROBABILITY: f64 = 0.8;

/// State of a request and of the pools of its path.
#[derive(Clone, Debug)]
pub struct PathState {
    pub arrival: admission::Arrival,
    /// Time left until the request misses its target.
    pub target_left: clock::Millis,
    /// Expected time of the stages of a request that is late, which goes behind all others.
    pub late_stage_time: clock::Millis,
    /// Part of the expected time that is spent in queues.
    pub queue_wait: clock::Millis,
    /// By how much more urgent requests at the same pools are expected to exceed their target,
    /// relative to it; zero if they do not.
    pub urgent_excess: f64,
    /// Whether the request was refused before.
    pub is_retried: bool,
}

/// Reason of a decision, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The request is admitted.
    Admitted,
    /// The request is not expected to be served before its deadline.
    Deadline,
    /// The request would be late, and more urgent ones are.
    Urgent,
}

/// Admits or refuses a new request; `sample` is uniform in 0..1.
///
/// It answers two loads: one that exceeds the capacity for longer than requests can wait, where
/// those that end after their deadline take upstream time from others; and one in which a more
/// urgent kind misses its targets, where a late answer of a less urgent one, worth a fraction, takes
/// room in running calls and memory for results. What is expected in time is never refused.
pub fn decide(policy: &policy::Policy, state: &PathState, sample: f64) -> Reason {
    let arrival = &state.arrival;
    let in_time = arrival.stage_time.plus(arrival.first_byte);
    let is_late = in_time > state.target_left;
    let needed = if is_late && policy.protect_urgent.is_on() {
        in_time.max(state.late_stage_time.plus(arrival.first_byte))
    } else {
        in_time
    };
    let needed_ms = if state.is_retried && policy.prefer_retried.is_on() {
        needed.as_f64() - RETRIED_TOLERANCE * state.queue_wait.as_f64()
    } else if policy.protect_urgent.is_on() {
        needed.as_f64() * (1.0 - BLUR + 2.0 * BLUR * sample)
    } else {
        needed.as_f64()
    };
    if needed_ms > arrival.time_left.as_f64() {
        return Reason::Deadline;
    }
    if !policy.protect_urgent.is_on() || state.is_retried || !is_late {
        return Reason::Admitted;
    }
    let probability = (state.urgent_excess / URGENT_RAMP).min(MAX_PROBABILITY);
    if sample < probability {
        Reason::Urgent
    } else {
        Reason::Admitted
    }
}

/// Excess of `expected` over `target`, relative to it; zero if there is none.
pub fn excess(expected: clock::Millis, target: clock::Millis) -> f64 {
    (expected - target).as_f64() / target.as_f64().max(1.0)
}

/// Delay after which a refused caller should return, where the work ahead of it is expected to be
/// done in `capacity_in` and an answer then takes at least `least`.
///
/// It answers bursts that fill the queues for seconds. Delays are spread by `jitter`, uniform in
/// 0..1, also where the limit of a third of the time left applies; otherwise all callers refused at
/// one moment return at one moment. A caller does not return later than it can be served.
pub fn retry_after(
    time_left: clock::Millis,
    capacity_in: clock::Millis,
    least: clock::Millis,
    jitter: f64,
) -> clock::Millis {
    let third = clock::Millis(time_left.0 / admission::TIME_LEFT_DIVISOR);
    let spare = time_left - least;
    let limit = if spare > clock::Millis::ZERO {
        third.min(spare)
    } else {
        third
    };
    let expected = capacity_in.max(admission::MIN_RETRY_AFTER);
    let latest = expected.times(2).min(limit);
    let earliest = expected.min(clock::Millis(latest.0 / 2));
    let span = (latest - earliest).as_f64() * jitter;
    earliest.plus(clock::Millis(span as u64))
}

/// Time since a caller first sent a request that has `time_left`, on a route with `timeout`; zero if
/// the request is new.
///
/// It answers refusals: callers retry once within their deadline, so a request whose time is shorter
/// than that of its route by more than a retry delay was refused before. Without this, its target
/// would count from its return, and it would wait as long as those that are in time.
pub fn waited(timeout: clock::Millis, time_left: Option<clock::Millis>) -> clock::Millis {
    let waited = time_left.map_or(clock::Millis::ZERO, |left| timeout - left);
    if waited > admission::MIN_RETRY_AFTER {
        waited
    } else {
        clock::Millis::ZERO
    }
}

/// Whether a request whose next stage takes at least `call`, and what follows it at least `later`,
/// can still be served by the end of `time_left`.
///
/// It answers overload at a late stage: calls for requests that no later call can save take time from
/// those that it can.
pub fn is_servable(time_left: clock::Millis, call: clock::Millis, later: clock::Millis) -> bool {
    call.plus(later) <= time_left
}

/// Whether all stages of a request that has run for `spent` may run again after an input was lost.
///
/// It answers overload in which late jobs wait until their inputs expire, 4 s in use: the stages
/// before would be computed a second time for a request that waits again. An input that is lost with
/// its upstream is usually noticed earlier.
pub fn may_rerun(
    spent: clock::Millis,
    target_left: clock::Millis,
    time_left: clock::Millis,
) -> bool {
    target_left > clock::Millis::ZERO || spent <= time_left
}
