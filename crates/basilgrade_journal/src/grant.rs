//! The assignment of a slot to a pair of daemons.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::offset;
use basilgrade_types::slot;
use serde::Deserialize;
use serde::Serialize;

use crate::history;
use crate::node;

/// A slot's assignment; the offset of its record is its epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The slot assigned.
    pub slot: slot::Slot,
    /// The epoch that this grant replaces; `None` for the first grant of the slot.
    pub prev: Option<offset::Offset>,
    /// The failure domain of both members.
    pub domain: id::DomainId,
    /// The member that decides claims.
    pub primary: node::Node,
    /// The member that acknowledges claims.
    ///
    /// `None` when the domain has a single live daemon. Claims are then lost with that daemon, but
    /// none runs twice, because only a `history: lost` grant can follow its death.
    pub backup: Option<node::Node>,
    /// Keys created before this instant never run.
    pub floor: clock::Millis,
    /// Keys created at or after this instant are refused as not run.
    pub ceiling: clock::Millis,
    /// Whether the primary has the claims of the previous pair.
    pub history: history::History,
}

impl Grant {
    /// Whether `node` is primary or backup.
    pub fn has_member(&self, node: &node::Node) -> bool {
        self.primary == *node || self.backup.as_ref() == Some(node)
    }

    /// The member other than `node`, if `node` is a member and there is one.
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
