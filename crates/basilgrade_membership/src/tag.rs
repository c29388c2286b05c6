//! Short names of daemons, domains, upstreams and customers on the wire.

use basilgrade_types::id;
use basilgrade_types::incarnation;
use serde::Deserialize;
use serde::Serialize;

/// The first 48 bits of the xxh3 hash of a name.
///
/// A digest of 19 daemons by name is three times as large. At 48 bits, two names among 4,200
/// customers share a tag with a probability of 3e-8.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Tag([u8; 6]);

impl Tag {
    /// The tag of a name.
    pub fn of(name: &str) -> Self {
        Self::from_hash(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }

    /// The tag of one run of a daemon.
    ///
    /// The incarnation is part of it, so nothing said of one run applies to the next.
    pub fn daemon(vm: &id::VmId, incarnation: incarnation::Incarnation) -> Self {
        Self::from_hash(xxhash_rust::xxh3::xxh3_64_with_seed(
            vm.as_str().as_bytes(),
            incarnation.0,
        ))
    }

    fn from_hash(hash: u64) -> Self {
        let bytes = hash.to_le_bytes();
        let mut tag = [0; 6];
        tag.copy_from_slice(&bytes[..6]);
        Self(tag)
    }
}
