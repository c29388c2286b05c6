//! Deterministic text that engines generate.

use xxhash_rust::xxh3;

/// Maximum number of leading bytes of a prompt that form its prefix.
const PREFIX_BYTES: usize = 256;

/// Returns the token at an offset of the completion of a prompt.
///
/// The token is the same on every engine, so that a generation can be resumed on another engine.
pub fn token(prompt: &str, offset: u64) -> String {
    let hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), offset);
    format!("{:05x} ", hash & 0xf_ffff)
}

/// Returns the completion of a prompt, which consists of `tokens` tokens.
pub fn completion(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|offset| token(prompt, offset)).collect()
}

/// Returns the hash that identifies the prefix of a prompt in cache events and KV transfers.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3::xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}
