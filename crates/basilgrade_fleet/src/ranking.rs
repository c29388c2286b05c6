//! Rendezvous hashing: daemons that know the same names rank them alike without communication.

use xxhash_rust::xxh3;

/// Weight of `name` for `key`; the name with the highest weight is selected.
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), key)
}

/// A number for each `index` that is as random as `seed`.
pub fn mix(seed: u64, index: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&index.to_le_bytes(), seed)
}

/// Hashes a text to a key for [`weight`].
pub fn key(text: &str) -> u64 {
    xxh3::xxh3_64(text.as_bytes())
}
