//! The assignment of a slot of the request-key space to a pair of daemons.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::offset;
use basilgrade_types::slot;
use serde::Deserialize;
use serde::Serialize;

use crate::history;
use crate::node;

/// Assigns a slot to a primary and a backup daemon.
///
/// The log offset of the grant's record is the epoch of the assignment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The slot that the grant assigns.
    pub slot: slot::Slot,
    /// The epoch that this grant replaces; `None` for the first grant of the slot.
    pub prev: Option<offset::Offset>,
    /// The failure domain of both the primary and the backup.
    pub domain: id::DomainId,
    /// The daemon that decides claims on request keys of the slot.
    pub primary: node::Node,
    /// The daemon that stores a copy of each claim and acknowledges it.
    ///
    /// `None` if the failure domain has a single live daemon. The claims are then lost if that
    /// daemon fails, but no key runs twice, because only a grant with `history: lost` can follow.
    pub backup: Option<node::Node>,
    /// Keys created before this instant that have no claim yet are never granted one.
    pub floor: clock::Millis,
    /// Keys created at or after this instant are refused and reported as not run.
    pub ceiling: clock::Millis,
    /// Whether the primary has the claims made under the previous grant of the slot.
    pub history: history::History,
}

impl Grant {
    /// Whether `node` is the primary or the backup of this grant.
    pub fn has_member(&self, node: &node::Node) -> bool {
        self.primary == *node || self.backup.as_ref() == Some(node)
    }

    /// The backup if `node` is the primary, the primary if `node` is the backup, else `None`.
    pub fn other(&self, node: &node::Node) -> Option<&node::Node> {
        if self.primary == *node {
            self.backup.as_ref()
        } else if self.backup.as_ref() == Some(node) {
            Some(&self.primary)
        } else {
            None
        }
    }
}
