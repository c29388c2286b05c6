//! Whether a request that arrives while its daemon shuts down can end before the daemon does.
//!
//! One that cannot is refused before it runs, and its caller sends it to another daemon. Otherwise
//! it would be cut off, and one that must not be repeated would be lost.

use basilgrade_types::clock;

use crate::model::request_kind;

/// A request that arrives during a shutdown.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub kind: request_kind::RequestKind,
    /// Time until the request ends with or without an answer.
    pub until_deadline: clock::Millis,
    /// Time until the daemon closes all connections.
    pub until_close: clock::Millis,
    /// Time that the request may take; `None` if that is unknown.
    pub needed: Option<clock::Millis>,
}

/// Whether the request can end before the daemon closes. If that is unknown, only a request that may
/// be repeated is let through.
pub fn can_end(arrival: &Arrival) -> bool {
    if arrival.until_deadline <= arrival.until_close {
        return true;
    }
    arrival
        .needed
        .map_or(arrival.kind.is_repeatable(), |needed| {
            needed <= arrival.until_close
        })
}
