//! The claims of one slot.

use std::collections::BTreeMap;
use std::ops;

use basilgrade_types::clock;

use crate::claim_key;
use crate::claim_record;

/// The claims of one slot in order of key creation time.
///
/// The order makes the oldest claims cheap to evict and lets a transfer continue from a key while
/// claims are added and removed.
#[derive(Debug, Default)]
pub struct ClaimTable {
    claims: BTreeMap<claim_key::TableKey, claim_record::Claim>,
}

impl ClaimTable {
    /// The number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// The claim at `key`.
    pub fn get(&self, key: claim_key::TableKey) -> Option<&claim_record::Claim> {
        self.claims.get(&key)
    }

    /// Records a claim.
    pub fn put(&mut self, key: claim_key::TableKey, claim: claim_record::Claim) {
        self.claims.insert(key, claim);
    }

    /// The creation time of the oldest key.
    pub fn oldest(&self) -> Option<clock::Millis> {
        self.claims.first_key_value().map(|(key, _)| key.created())
    }

    /// Removes and returns the oldest key.
    pub fn evict(&mut self) -> Option<claim_key::TableKey> {
        self.claims.pop_first().map(|(key, _)| key)
    }

    /// Claims after `key`, or all of them.
    pub fn after(
        &self,
        key: Option<claim_key::TableKey>,
    ) -> impl Iterator<Item = (claim_key::TableKey, claim_record::Claim)> {
        let start = key.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        self.claims
            .range((start, ops::Bound::Unbounded))
            .map(|(key, claim)| (*key, *claim))
    }

    /// Removes all claims.
    pub fn clear(&mut self) {
        self.claims.clear();
    }
}
