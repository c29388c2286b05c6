//! Hashes that identify the blocks of a prompt.

use xxhash_rust::xxh3;

/// Hashes of the whole blocks of `block_size` bytes at the start of `prompt`.
///
/// Each hash also covers all blocks before its own, so two prompts share as many leading hashes as
/// they share leading blocks. At most `limit` blocks are hashed.
pub fn hashes(prompt: &[u8], block_size: usize, limit: usize) -> Vec<u64> {
    let mut seed = 0;
    prompt
        .chunks_exact(block_size.max(1))
        .take(limit)
        .map(|block| {
            seed = xxh3::xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}
