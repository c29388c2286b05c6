//! Records of the log stream `control`: slot grants, slot releases and placement leases.

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

/// Ends the assignment of a slot; its primary appends it after it has stopped granting claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRelease {
    /// The slot whose assignment ends.
    pub slot: slot::Slot,
    /// The epoch that the release ends; the release has no effect if another one is in force.
    pub prev: offset::Offset,
    /// An instant after the creation time of every request key that the pair has seen.
    pub ceiling: clock::Millis,
}

/// A record of the log stream `control`, stored as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "type")]
pub enum ControlRecord {
    /// Assigns slots; each grant is accepted or rejected independently.
    Grants {
        /// Identifies the record in the stream if the response to its append was lost.
        id: Uuid,
        /// The grants, at most one per slot.
        grants: Vec<grant::Grant>,
    },
    /// Ends the assignment of slots.
    Release {
        /// Identifies the record in the stream if the response to its append was lost.
        id: Uuid,
        /// The released slots; each release is accepted or rejected independently.
        slots: Vec<SlotRelease>,
    },
    /// Makes `holder` the placement writer of `domain` if the lease at `prev` is in force.
    Lease {
        /// Identifies the record in the stream if the response to its append was lost.
        id: Uuid,
        /// The failure domain whose placement the holder writes.
        domain: id::DomainId,
        /// The daemon that holds the lease from now on.
        holder: node::Node,
        /// The offset of the lease that this record replaces; `None` for the domain's first lease.
        prev: Option<offset::Offset>,
        /// Time to live, counted from just before the append; zero releases the lease.
        ttl: clock::Millis,
    },
    /// The complete state of grants and leases after the record at `through`.
    Snapshot {
        /// The offset of the last record whose effect the snapshot includes.
        through: offset::Offset,
        /// Wall-clock time of the writer, from which readers estimate the snapshot's age; clocks of
        /// daemons can differ.
        #[serde(default)]
        at: clock::Millis,
        /// The ownership in force of each slot that was ever granted.
        slots: Vec<(slot::Slot, ownership::Ownership)>,
        /// The lease in force in each failure domain.
        leases: Vec<lease::Lease>,
    },
}
