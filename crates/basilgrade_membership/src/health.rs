//! Health of an upstream as reported by a daemon.

use serde::Deserialize;
use serde::Serialize;

/// Health that a daemon observes for an upstream, ordered from best to worst.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum Health {
    /// The upstream is usable; as a disseminated item, it revokes an earlier report.
    #[default]
    Healthy,
    /// The observing daemon has ejected the upstream as an outlier.
    Ejected,
    /// The upstream has announced that it will stop.
    Leaving,
}
