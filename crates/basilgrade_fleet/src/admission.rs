//! Whether a request can still be served in time, and when its caller should come back.
//!
//! Answers bursts that exceed the stage pools: a request whose stages cannot end before its
//! deadline is refused when it arrives, instead of using pieces of work that others need.

use basilgrade_types::clock;

/// Least time that a caller is told to wait.
const SHORTEST_WAIT: clock::Millis = clock::Millis(100);

/// Callers honour a wait of at most this part of the time they have left.
const WAIT_PART: u64 = 3;

/// What is known when a request arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time until the caller's deadline or the route's timeout, whichever is first.
    pub time_left: clock::Millis,
    /// Expected waits and calls of its stages, along the longest path.
    pub stage_time: clock::Millis,
    /// Expected time from the last stage to the first byte.
    pub first_byte: clock::Millis,
}

/// The decision about an arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is expected to be served in time.
    Admit,
    /// It cannot be served in time; room for it is expected after the span.
    Refuse(clock::Millis),
}

/// Decides about an arrival.
pub fn admit(arrival: &Arrival) -> Admission {
    let needed = arrival.stage_time.plus(arrival.first_byte);
    if needed <= arrival.time_left {
        return Admission::Admit;
    }
    Admission::Refuse(needed - arrival.time_left)
}

/// When a caller with `left` to its deadline should come back, if room is expected after `room`.
///
/// `draw`, uniform in 0..1, spreads callers over a span as long as the wait itself, so that they do
/// not return together.
pub fn retry_after(time_left: clock::Millis, room: clock::Millis, draw: f64) -> clock::Millis {
    let wait = room.max(SHORTEST_WAIT);
    let spread = clock::Millis((wait.as_f64() * draw) as u64);
    wait.plus(spread)
        .min(clock::Millis(time_left.0 / WAIT_PART))
}
