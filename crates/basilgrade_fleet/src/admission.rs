//! Admission control: whether a request can be served before its deadline, and the retry delay of a
//! refused one.
//!
//! Under bursts that exceed the capacity of the stage pools, a request whose stages cannot end
//! before its deadline is refused on arrival, so that it takes no upstream time from other
//! requests.

use basilgrade_types::clock;

pub mod path;
pub mod policy;
pub mod whole;

/// Minimum retry delay that is sent to a refused caller.
const MIN_RETRY_AFTER: clock::Millis = clock::Millis(100);

/// Callers honour a retry delay of at most `1 / TIME_LEFT_DIVISOR` of the time left to their
/// deadline.
const TIME_LEFT_DIVISOR: u64 = 3;

/// Latency estimate of an arriving request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time until the caller's deadline or the route's timeout, whichever comes first.
    pub time_left: clock::Millis,
    /// Expected time of the waits and calls of the request's stages, along the longest path.
    pub stage_time: clock::Millis,
    /// Expected time from the last stage to the first byte.
    pub first_byte: clock::Millis,
}

/// Admission decision for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request is expected to be served in time.
    Admit,
    /// The request cannot be served in time; capacity for it is expected after this span.
    Refuse(clock::Millis),
}

/// Admits a request if its estimated time does not exceed the time left.
pub fn admit(arrival: &Arrival) -> Admission {
    let needed = arrival.stage_time.plus(arrival.first_byte);
    if needed <= arrival.time_left {
        return Admission::Admit;
    }
    Admission::Refuse(needed - arrival.time_left)
}

/// Delay after which a caller with `time_left` to its deadline should retry, if capacity is
/// expected in `capacity_in`.
///
/// `jitter`, uniform in 0..1, spreads the retries over a span as long as the delay itself, so that
/// refused callers do not return at the same moment.
pub fn retry_after(
    time_left: clock::Millis,
    capacity_in: clock::Millis,
    jitter: f64,
) -> clock::Millis {
    let wait = capacity_in.max(MIN_RETRY_AFTER);
    let spread = clock::Millis((wait.as_f64() * jitter) as u64);
    wait.plus(spread)
        .min(clock::Millis(time_left.0 / TIME_LEFT_DIVISOR))
}
