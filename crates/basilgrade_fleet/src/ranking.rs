//! Rendezvous hashing: daemons that know the same names rank them alike without talking.

use xxhash_rust::xxh3;

/// The weight of `name` for `key`; the highest one wins.
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), key)
}

/// A key from text.
pub fn key(text: &str) -> u64 {
    xxh3::xxh3_64(text.as_bytes())
}
