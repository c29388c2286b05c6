//! Whether a grant keeps the claims made under the one before it.

use serde::Deserialize;
use serde::Serialize;

/// What a new pair knows of earlier claims.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum History {
    /// The primary was a synchronised member of the previous pair and has all its claims.
    Kept,
    /// No member has the earlier claims; keys below the old ceiling never run.
    Lost,
}
