//! Slots of request keys.

use std::fmt;

use basilgrade_types::offset;
use basilgrade_types::slot;
use serde::Serialize;

/// The part that a daemon has in the pair of a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Grants claims.
    Primary,
    /// Keeps a copy of the claims.
    Backup,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Primary => "primary",
            Self::Backup => "backup",
        })
    }
}

/// A slot held by a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct HeldSlot {
    /// The slot.
    pub slot: slot::Slot,
    /// The daemon's part in the pair.
    pub role: Role,
    /// The offset of the grant in stream `control`.
    pub epoch: offset::Offset,
}
