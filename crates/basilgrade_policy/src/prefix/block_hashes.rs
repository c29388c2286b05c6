//! Names of the blocks of a prompt.

use xxhash_rust::xxh3;

/// Hashes of the whole blocks of `size` bytes at the start of `prompt`.
///
/// Each hash covers everything up to the end of its block, so two prompts have as many leading
/// hashes in common as they have leading blocks. At most `most` blocks are hashed.
pub fn hashes(prompt: &[u8], size: usize, most: usize) -> Vec<u64> {
    let mut seed = 0;
    prompt
        .chunks_exact(size.max(1))
        .take(most)
        .map(|block| {
            seed = xxh3::xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}
