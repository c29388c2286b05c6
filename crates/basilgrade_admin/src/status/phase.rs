//! Lifecycle phase of a daemon.

use std::fmt;

use serde::Serialize;

/// The lifecycle phase of a daemon, which tells whether it accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The daemon does not accept requests yet, for example because it has no configuration.
    Starting,
    /// The daemon accepts requests.
    Ready,
    /// The daemon accepts no new requests and finishes those in progress.
    Draining,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Draining => "draining",
        })
    }
}
