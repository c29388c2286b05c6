//! Hashes that identify daemons, domains, upstreams and customers in messages.

use basilgrade_types::id;
use basilgrade_types::incarnation;
use serde::Deserialize;
use serde::Serialize;

/// The lowest 48 bits of the xxh3 hash of a name.
///
/// A digest of 19 daemons that contains names instead of tags is three times as large. With 48
/// bits, the probability that any two of 4,200 customers share a tag is 3e-8.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Tag([u8; 6]);

impl Tag {
    /// Hashes a name.
    pub fn of(name: &str) -> Self {
        Self::from_hash(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }

    /// Hashes the VM name and incarnation of one run of a daemon.
    ///
    /// The incarnation is part of the hash, so that state of one run is never applied to the next.
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
