//! Counts of what the client did and dropped.

use std::sync::atomic;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// A reading of the client's counters.
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        #[derive(Debug, Default)]
        pub(super) struct Counting {
            $(pub(super) $name: atomic::AtomicU64,)*
        }

        impl Counting {
            pub(super) fn read(&self) -> Counters {
                Counters {
                    $($name: self.$name.load(atomic::Ordering::Relaxed),)*
                }
            }
        }
    };
}

counters! {
    /// Cancellations sent because a call or stream was given up.
    cancels,
    /// Cancellations not sent because too many were in flight.
    cancels_dropped,
    /// Connections established.
    connects,
    /// Answers dropped because they belong to another call.
    mismatches,
    /// Calls sent on a pooled connection.
    reused,
    /// Tokens dropped because their offset was already delivered.
    tokens_repeated,
    /// Calls that ran out of time after they were sent; a late answer is dropped with its connection.
    timeouts,
    /// Connections closed because of bytes after a complete answer, such as a duplicate of it.
    unexpected_bytes,
}

pub(super) fn increment(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}
