//! The prefix cache of a simulated engine.

use std::collections::BTreeMap;
use std::collections::HashMap;

use basilgrade_policy::prefix::change;

/// Tokens per block.
pub(crate) const BLOCK: f64 = 128.0;

/// Blocks by hash, evicted in the order of last use.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    blocks: usize,
    stamp: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl Cache {
    /// A cache for `tokens` tokens.
    pub(crate) fn new(tokens: usize) -> Self {
        Self {
            blocks: tokens / BLOCK as usize,
            ..Self::default()
        }
    }

    /// Tokens of the longest cached prefix of `chain`.
    pub(crate) fn cached(&self, chain: &[u64]) -> u32 {
        let blocks = chain
            .iter()
            .take_while(|hash| self.used.contains_key(hash))
            .count();
        (blocks as f64 * BLOCK) as u32
    }

    /// Uses `chain`, and reports what changed.
    pub(crate) fn touch(&mut self, chain: &[u64], changes: &mut Vec<change::CacheChange>) {
        if self.blocks == 0 {
            return;
        }
        // The end of the chain is stamped first, so that it is evicted before its beginning.
        for hash in chain.iter().rev() {
            self.stamp += 1;
            match self.used.insert(*hash, self.stamp) {
                Some(old) => {
                    self.order.remove(&old);
                }
                None => changes.push(change::CacheChange::Added(*hash)),
            }
            self.order.insert(self.stamp, *hash);
        }
        while self.used.len() > self.blocks {
            let Some((_, hash)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&hash);
            changes.push(change::CacheChange::Removed(hash));
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        self.used.clear();
        self.order.clear();
    }
}
