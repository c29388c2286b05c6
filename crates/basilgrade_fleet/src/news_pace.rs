//! Intervals and time-outs on the way of a change from the store to every daemon.
//!
//! Each chain of waits that a change may pass, one failure included, ends within a bound that the
//! settings state.

use basilgrade_types::clock;

/// Interval between reads of the registrations of upstreams, to which each heartbeat of an upstream
/// is appended. Each read is billed.
pub const READ_INTERVAL: clock::Millis = clock::Millis(1000);

/// Time-out of a store call beyond its long-poll time.
pub const STORE_TIMEOUT: clock::Millis = clock::Millis(900);

/// Longest time that a slow store takes to answer.
pub const SLOW_STORE: clock::Millis = clock::Millis(500);

/// Time-out for the answer of the daemon that reads the store for others, beyond the hold time.
pub const READER_TIMEOUT: clock::Millis = clock::Millis(450);

/// Time from its start in which a daemon does not read again what it has loaded. Daemons that start
/// together find their reader in this time, so most of them need no further read.
pub const SETTLE_TIME: clock::Millis = clock::Millis(1500);

/// Time left of the bound at the end of the longest chain.
pub const MARGIN: clock::Millis = clock::Millis(100);

/// Shortest and longest time for which a reader holds a call of another daemon.
const HOLD_TIMES: [clock::Millis; 2] = [clock::Millis(200), clock::Millis(700)];

/// Shortest and longest long-poll time of a read of the operators' records.
const OPERATOR_WAITS: [clock::Millis; 2] = [clock::Millis(300), clock::Millis(1200)];

/// Times that follow from the bound on learning a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewsPace {
    /// How long a reader waits for a change before it answers another daemon without one.
    pub hold_time: clock::Millis,
    /// Long-poll time of a read of the operators' records. Such a read can miss a record that is
    /// appended while the read arrives at the store; the next one has it.
    pub operator_wait: clock::Millis,
}

impl NewsPace {
    /// The slowest pace at which every chain ends within `bound`, less [`MARGIN`]; the fastest one
    /// if none does.
    pub fn within(bound: clock::Millis) -> Self {
        let after_read = bound - MARGIN - READER_TIMEOUT - SLOW_STORE;
        let [shortest, longest] = HOLD_TIMES;
        let hold_time = (after_read - READ_INTERVAL).clamp(shortest, longest);
        let [shortest, longest] = OPERATOR_WAITS;
        let operator_wait = (after_read - hold_time).clamp(shortest, longest);
        Self {
            hold_time,
            operator_wait,
        }
    }

    /// Longest time until a daemon knows of a change that its reader, which falls silent, has just
    /// missed: the read that would have found it is due, the daemon's call has just begun and times
    /// out, and the daemon reads the slow store itself.
    pub fn after_silent_reader(&self) -> clock::Millis {
        let missed = READ_INTERVAL.max(self.operator_wait);
        let noticed = self.hold_time.plus(READER_TIMEOUT);
        missed.plus(noticed).plus(SLOW_STORE)
    }

    /// Longest time until a daemon knows of a change that its reader, which the store leaves without
    /// an answer, has just missed: the next read of the topic times out, which ends the calls of other
    /// daemons, and the daemon reads the slow store itself.
    pub fn after_unanswered_reader(&self) -> clock::Millis {
        let missed = READ_INTERVAL.max(self.operator_wait);
        missed.plus(STORE_TIMEOUT).plus(SLOW_STORE)
    }

    /// Longest time until a daemon that has just started knows of a change that its first read has just
    /// missed.
    pub fn after_start(&self) -> clock::Millis {
        SETTLE_TIME.plus(SLOW_STORE)
    }

    /// Longest time until a daemon knows of a change while its reader and the store answer, the latter
    /// slowly: the reader's read has just missed it.
    pub fn in_calm(&self) -> clock::Millis {
        READ_INTERVAL.max(self.operator_wait).plus(SLOW_STORE)
    }
}
