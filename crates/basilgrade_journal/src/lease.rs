//! The lease that makes one daemon the placement writer of a failure domain.
//!
//! The placement writer decides which engine loads which weights and sends the engines of its
//! failure domain orders to load or unload weights.

use basilgrade_types::clock;
use basilgrade_types::fence;
use basilgrade_types::id;
use basilgrade_types::offset;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::node;

/// The longest time to live of a lease; larger values in records are reduced to it, so that a
/// faulty record cannot leave a failure domain without a placement writer for longer.
pub const TTL_LIMIT: clock::Millis = clock::Millis::from_secs(600);

/// An accepted placement lease; the log offset of its record is its fencing number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// The id of the lease record.
    pub id: Uuid,
    /// The offset of the lease record in the log stream `control`.
    pub offset: offset::Offset,
    /// The failure domain whose placement the holder writes.
    pub domain: id::DomainId,
    /// The daemon that may send orders to engines.
    pub holder: node::Node,
    /// How long the holder may send orders, counted from just before it appended the record.
    pub ttl: clock::Millis,
    /// The longest `ttl` of any earlier lease of the domain; zero if there was none. An earlier
    /// holder may still send orders for this long, which matters if engines ignore fencing numbers.
    pub former: clock::Millis,
}

impl Lease {
    /// The fencing number that orders under this lease carry.
    pub const fn fence(&self) -> fence::Fence {
        fence::Fence(self.offset.0)
    }
}
