//! Health of an upstream as an observer sees it.

use serde::Deserialize;
use serde::Serialize;

/// What an observer says of an upstream.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum Health {
    /// No objection; also the withdrawal of an earlier one.
    #[default]
    Healthy,
    /// The observer has ejected it as an outlier.
    Ejected,
    /// It has announced that it will stop.
    Leaving,
}
