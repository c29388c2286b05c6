//! Copies of finished stage results, stored at the primary of the request key's slot.

use basilgrade_types::clock;
use bytes::Bytes;
use indexmap::IndexMap;

use basilgrade_claims::claim_key;
use basilgrade_claims::fingerprint;

/// The longest result that is stored.
pub(crate) const RESULT_LIMIT_BYTES: usize = 64 * 1024;

/// A stored stage result.
#[derive(Debug)]
struct StoredResult {
    fingerprint: fingerprint::Fingerprint,
    expiry: clock::Millis,
    body: Bytes,
}

/// Finished stage results by request key and stage, bounded in bytes and time.
///
/// A repeat of a request reads its results from here if the VM that ran it died between stages. The
/// oldest results are evicted first; the stage of an evicted result runs again.
#[derive(Debug)]
pub(crate) struct ResultStore {
    results: IndexMap<claim_key::ClaimKey, StoredResult>,
    bytes: usize,
    limit: usize,
}

impl ResultStore {
    /// A store of at most `limit` bytes of results.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            results: IndexMap::new(),
            bytes: 0,
            limit,
        }
    }

    /// Stores a result until `expiry`; returns `false` if it is too long or has already expired.
    ///
    /// `fingerprint` is the fingerprint of the request, so that a different request under the same
    /// key never gets this result.
    pub(crate) fn put(
        &mut self,
        now: clock::Millis,
        key: claim_key::ClaimKey,
        fingerprint: fingerprint::Fingerprint,
        body: &Bytes,
        expiry: clock::Millis,
    ) -> bool {
        self.remove(&key);
        if body.len() > RESULT_LIMIT_BYTES.min(self.limit) || expiry <= now {
            return false;
        }
        self.bytes += body.len();
        let stored = StoredResult {
            fingerprint,
            expiry,
            body: Bytes::copy_from_slice(body),
        };
        self.results.insert(key, stored);
        if self.bytes > self.limit {
            self.evict(now);
        }
        true
    }

    /// The unexpired result of a stage of the request with this fingerprint.
    pub(crate) fn get(
        &self,
        now: clock::Millis,
        key: &claim_key::ClaimKey,
        fingerprint: fingerprint::Fingerprint,
    ) -> Option<&Bytes> {
        self.results
            .get(key)
            .filter(|stored| stored.fingerprint == fingerprint && now < stored.expiry)
            .map(|stored| &stored.body)
    }

    pub(crate) fn remove(&mut self, key: &claim_key::ClaimKey) {
        if let Some(stored) = self.results.shift_remove(key) {
            self.bytes -= stored.body.len();
        }
    }

    /// Removes expired results, then the oldest ones until three quarters of the limit are in use,
    /// so that passes over the store are rare.
    fn evict(&mut self, now: clock::Millis) {
        self.results.retain(|_, stored| now < stored.expiry);
        self.bytes = self.results.values().map(|stored| stored.body.len()).sum();
        if self.bytes <= self.limit {
            return;
        }
        let mut excess = self.bytes.saturating_sub(self.limit / 4 * 3);
        self.results.retain(|_, stored| {
            let evicted = excess > 0;
            excess = excess.saturating_sub(stored.body.len());
            !evicted
        });
        self.bytes = self.results.values().map(|stored| stored.body.len()).sum();
    }
}
