//! Copies of finished stage results, kept at the primary of the request key's slot.

use basilgrade_types::clock;
use bytes::Bytes;
use indexmap::IndexMap;

use basilgrade_claims::claim_key;
use basilgrade_claims::fingerprint;

/// The longest result that is kept, in bytes.
pub(crate) const RESULT_LIMIT: usize = 64 * 1024;

/// One result.
#[derive(Debug)]
struct Kept {
    fingerprint: fingerprint::Fingerprint,
    expiry: clock::Millis,
    body: Bytes,
}

/// Finished stage results by request key and stage, bounded in bytes and time.
///
/// A repeat of the request gets them from here if its entry VM died between stages. The oldest are
/// evicted first; a result that is gone is computed again.
#[derive(Debug)]
pub(crate) struct ResultStore {
    results: IndexMap<claim_key::ClaimKey, Kept>,
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

    /// Keeps a result until `expiry`, and says whether it is kept.
    ///
    /// `fingerprint` is that of the request, so that another request under the same key never gets
    /// this result.
    pub(crate) fn put(
        &mut self,
        now: clock::Millis,
        key: claim_key::ClaimKey,
        fingerprint: fingerprint::Fingerprint,
        body: &Bytes,
        expiry: clock::Millis,
    ) -> bool {
        self.remove(&key);
        if body.len() > RESULT_LIMIT.min(self.limit) || expiry <= now {
            return false;
        }
        self.bytes += body.len();
        let kept = Kept {
            fingerprint,
            expiry,
            body: Bytes::copy_from_slice(body),
        };
        self.results.insert(key, kept);
        if self.bytes > self.limit {
            self.shrink(now);
        }
        true
    }

    /// The result of a stage of this very request.
    pub(crate) fn get(
        &self,
        now: clock::Millis,
        key: &claim_key::ClaimKey,
        fingerprint: fingerprint::Fingerprint,
    ) -> Option<&Bytes> {
        self.results
            .get(key)
            .filter(|kept| kept.fingerprint == fingerprint && now < kept.expiry)
            .map(|kept| &kept.body)
    }

    /// Removes a result that is no longer needed.
    pub(crate) fn remove(&mut self, key: &claim_key::ClaimKey) {
        if let Some(kept) = self.results.shift_remove(key) {
            self.bytes -= kept.body.len();
        }
    }

    /// Removes expired results, then the oldest down to three quarters of the limit, so that the
    /// pass over the store is rare.
    fn shrink(&mut self, now: clock::Millis) {
        self.results.retain(|_, kept| now < kept.expiry);
        self.bytes = self.results.values().map(|kept| kept.body.len()).sum();
        if self.bytes <= self.limit {
            return;
        }
        let mut excess = self.bytes.saturating_sub(self.limit / 4 * 3);
        self.results.retain(|_, kept| {
            let evicted = excess > 0;
            excess = excess.saturating_sub(kept.body.len());
            !evicted
        });
        self.bytes = self.results.values().map(|kept| kept.body.len()).sum();
    }
}
