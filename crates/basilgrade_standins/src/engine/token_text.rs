//! What an engine generates.

use xxhash_rust::xxh3;

/// Bytes of a prompt that form its prefix.
const PREFIX_BYTES: usize = 256;

/// The token at a position of the answer to a prompt; the same on every engine.
pub fn token(prompt: &str, offset: u64) -> String {
    let hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), offset);
    format!("{:05x} ", hash & 0xf_ffff)
}

/// The whole answer to a prompt.
pub fn completion(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|offset| token(prompt, offset)).collect()
}

/// The hash by which a prompt's prefix is named in cache events and KV transfers.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3::xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}
