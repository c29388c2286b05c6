//! The table of claims of one slot.

use std::collections::BTreeMap;
use std::ops;

use basilgrade_types::clock;

use crate::claim_key;
use crate::claim_record;

/// The claims of one slot, ordered by the creation time of their keys.
///
/// The order makes the oldest claims cheap to evict. It also lets a transfer of the table to a
/// backup continue from a key while claims are added and removed.
#[derive(Debug, Default)]
pub struct ClaimTable {
    claims: BTreeMap<claim_key::TableKey, claim_record::Claim>,
}

impl ClaimTable {
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    pub fn get(&self, key: claim_key::TableKey) -> Option<&claim_record::Claim> {
        self.claims.get(&key)
    }

    /// Records a claim, replacing any earlier claim at `key`.
    pub fn put(&mut self, key: claim_key::TableKey, claim: claim_record::Claim) {
        self.claims.insert(key, claim);
    }

    /// The creation time of the oldest key; `None` if the table is empty.
    pub fn oldest_created(&self) -> Option<clock::Millis> {
        self.claims.first_key_value().map(|(key, _)| key.created())
    }

    /// Removes the claim with the oldest key and returns that key; `None` if the table is empty.
    pub fn pop_oldest(&mut self) -> Option<claim_key::TableKey> {
        self.claims.pop_first().map(|(key, _)| key)
    }

    /// Iterates over the claims with keys greater than `key`; over all claims if `key` is
    /// `None`.
    pub fn iter_after(
        &self,
        key: Option<claim_key::TableKey>,
    ) -> impl Iterator<Item = (claim_key::TableKey, claim_record::Claim)> {
        let start = key.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        self.claims
            .range((start, ops::Bound::Unbounded))
            .map(|(key, claim)| (*key, *claim))
    }

    pub fn clear(&mut self) {
        self.claims.clear();
    }
}
