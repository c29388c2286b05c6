//! The lease of a failure domain's placement writer.

use basilgrade_types::clock;
use basilgrade_types::fence;
use basilgrade_types::id;
use basilgrade_types::offset;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::node;

/// The longest time to live; a larger value in a record counts as this one, so that a faulty record
/// cannot keep a domain without a placement writer for long.
pub const TTL_LIMIT: clock::Millis = clock::Millis::from_secs(600);

/// A lease in force; the offset of its record is the fencing number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Identifies the record.
    pub id: Uuid,
    /// Offset of the record.
    pub offset: offset::Offset,
    /// The failure domain whose placement the holder writes.
    pub domain: id::DomainId,
    /// The daemon that may send orders.
    pub holder: node::Node,
    /// How long the holder may send orders, from the moment before it appended the record.
    pub ttl: clock::Millis,
    /// The longest `ttl` of any earlier lease of the domain, zero if there was none; engines that
    /// ignore fencing numbers may still get an earlier holder's orders for so long.
    pub former: clock::Millis,
}

impl Lease {
    /// The fencing number that orders under this lease carry.
    pub const fn fence(&self) -> fence::Fence {
        fence::Fence(self.offset.0)
    }
}
