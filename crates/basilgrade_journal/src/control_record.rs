//! Records of stream `control`.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::offset;
use basilgrade_types::slot;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::grant;
use crate::lease;
use crate::node;
use crate::ownership;

/// The end of a slot's assignment, appended by its primary after it has stopped granting claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRelease {
    /// The slot.
    pub slot: slot::Slot,
    /// The epoch that ends.
    pub prev: offset::Offset,
    /// Above the creation time of every key that the pair has seen.
    pub ceiling: clock::Millis,
}

/// One entry of stream `control`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "type")]
pub enum ControlRecord {
    /// Assigns slots; each grant takes effect or not by itself.
    Grants {
        /// Identifies the record when the answer to its append was lost.
        id: Uuid,
        /// At most one grant per slot.
        grants: Vec<grant::Grant>,
    },
    /// Ends assignments.
    Release {
        /// Identifies the record when the answer to its append was lost.
        id: Uuid,
        /// The slots given up.
        slots: Vec<SlotRelease>,
    },
    /// Makes `holder` the writer of the domain's placement if `prev` is in force.
    Lease {
        /// Identifies the record when the answer to its append was lost.
        id: Uuid,
        /// The failure domain.
        domain: id::DomainId,
        /// The new holder.
        holder: node::Node,
        /// Offset of the lease replaced.
        prev: Option<offset::Offset>,
        /// Time to live from before the append; zero gives the lease up.
        ttl: clock::Millis,
    },
    /// Restates the state after the record at `through`.
    Snapshot {
        /// The last offset whose effect is included.
        through: offset::Offset,
        /// Wall time of the writer; a hint of the snapshot's age.
        #[serde(default)]
        at: clock::Millis,
        /// What is in force for each slot.
        slots: Vec<(slot::Slot, ownership::Ownership)>,
        /// The lease in force in each failure domain.
        leases: Vec<lease::Lease>,
    },
}
