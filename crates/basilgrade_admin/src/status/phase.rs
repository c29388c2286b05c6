//! Whether a daemon takes requests.

use std::fmt;

use serde::Serialize;

/// Whether a daemon takes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Not ready yet, for example without a configuration.
    Starting,
    /// Ready.
    Ready,
    /// Not ready any more; finishes what it has.
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
