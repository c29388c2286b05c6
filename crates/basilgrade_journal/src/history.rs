//! Whether a slot grant preserves the claims made under earlier grants of the slot.

use serde::Deserialize;
use serde::Serialize;

/// Whether the daemons of a grant have the claims made under earlier grants of the slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum History {
    /// The new primary was a synchronised member of the previous pair and has all claims of that
    /// pair.
    Kept,
    /// Neither daemon of the grant has the earlier claims; keys created before the previous ceiling
    /// are never granted.
    Lost,
}
