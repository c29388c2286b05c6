//! Slots of the request-key space that a daemon owns as primary or backup.

use std::fmt;

use basilgrade_types::offset;
use basilgrade_types::slot;
use serde::Serialize;

/// The role of a daemon in the pair that owns a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The daemon grants claims on request keys of the slot.
    Primary,
    /// The daemon keeps a copy of the claims that the primary granted.
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

/// A slot and the role in which a daemon owns it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct HeldSlot {
    /// The slot of the request-key space.
    pub slot: slot::Slot,
    /// The role of the daemon in the pair that owns the slot.
    pub role: Role,
    /// The offset of the slot's grant in the log stream `control`.
    pub epoch: offset::Offset,
}
