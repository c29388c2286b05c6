//! Prefix cache of a simulated engine.

use std::collections::BTreeMap;
use std::collections::HashMap;

use basilgrade_policy::prefix::change;

/// Tokens per block.
pub(crate) const BLOCK_TOKENS: f64 = 128.0;

/// Cache of blocks, identified by their hashes, that evicts the least recently used block first.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    capacity: usize,
    stamp: u64,
    stamps: HashMap<u64, u64>,
    by_stamp: BTreeMap<u64, u64>,
}

impl Cache {
    /// A cache with room for `tokens` tokens.
    pub(crate) fn new(tokens: usize) -> Self {
        Self {
            capacity: tokens / BLOCK_TOKENS as usize,
            ..Self::default()
        }
    }

    /// Tokens in the longest cached prefix of the prompt with the block hashes `hashes`.
    pub(crate) fn cached(&self, hashes: &[u64]) -> u32 {
        let blocks = hashes
            .iter()
            .take_while(|hash| self.stamps.contains_key(hash))
            .count();
        (blocks as f64 * BLOCK_TOKENS) as u32
    }

    /// Marks the blocks `hashes` as used now, and appends the resulting changes of the cache to
    /// `changes`.
    pub(crate) fn touch(&mut self, hashes: &[u64], changes: &mut Vec<change::CacheChange>) {
        if self.capacity == 0 {
            return;
        }
        // The last block is stamped first, so that blocks are evicted from the end of a prefix.
        for hash in hashes.iter().rev() {
            self.stamp += 1;
            match self.stamps.insert(*hash, self.stamp) {
                Some(old) => {
                    self.by_stamp.remove(&old);
                }
                None => changes.push(change::CacheChange::Added(*hash)),
            }
            self.by_stamp.insert(self.stamp, *hash);
        }
        while self.stamps.len() > self.capacity {
            let Some((_, hash)) = self.by_stamp.pop_first() else {
                return;
            };
            self.stamps.remove(&hash);
            changes.push(change::CacheChange::Removed(hash));
        }
    }

    pub(crate) fn clear(&mut self) {
        self.stamps.clear();
        self.by_stamp.clear();
    }
}
