//! Counters of the HTTP client.

use std::sync::atomic;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// A snapshot of the counters of the HTTP client.
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        #[derive(Debug, Default)]
        pub(super) struct AtomicCounters {
            $(pub(super) $name: atomic::AtomicU64,)*
        }

        impl AtomicCounters {
            pub(super) fn read(&self) -> Counters {
                Counters {
                    $($name: self.$name.load(atomic::Ordering::Relaxed),)*
                }
            }
        }
    };
}

counters! {
    /// Cancellations sent because a call or stream was dropped.
    cancels,
    /// Cancellations not sent because too many were in flight.
    cancels_dropped,
    /// Connections established.
    connects,
    /// Responses rejected because they belong to another call.
    mismatches,
    /// Calls sent on a pooled connection.
    reused,
    /// Tokens dropped because their offset was already delivered.
    tokens_repeated,
    /// Calls that timed out after they were sent; the connection is closed, which drops a late
    /// response.
    timeouts,
    /// Connections closed because of bytes after a complete response, such as a duplicate response.
    unexpected_bytes,
}

pub(super) fn increment(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}
