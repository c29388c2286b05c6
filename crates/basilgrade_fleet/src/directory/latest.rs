//! Newest registrations that were read, by which outdated ones are recognised: those of a restored
//! store, and those whose write the store has done late.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::directory::upstream;

/// Time for which a removed registration is remembered; a store is restored from a copy that is some
/// seconds old.
const REMOVAL_TTL: clock::Millis = clock::Millis(60_000);

/// Time after a registration in which an older one may follow it; the store does a write that it has
/// not answered up to 6 s late.
const LATE_WRITE_TTL: clock::Millis = clock::Millis(7000);

#[derive(Clone, Copy, Debug)]
struct Registration {
    started_at: Option<clock::Millis>,
    sequence: Option<u64>,
    seen_at: clock::Millis,
    removed_at: Option<clock::Millis>,
}

/// Newest registration of each upstream, and those that were removed a short time ago.
#[derive(Clone, Debug, Default)]
pub struct Latest {
    registrations: IndexMap<id::UpstreamId, Registration>,
}

impl Latest {
    /// Records a registration that was read at `now`.
    pub fn record(&mut self, now: clock::Millis, entry: &upstream::Upstream) {
        let registration = Registration {
            started_at: entry.started_at,
            sequence: entry.sequence,
            seen_at: now,
            removed_at: None,
        };
        self.registrations.insert(entry.id.clone(), registration);
    }

    /// Records the removal of a registration.
    pub fn record_removal(&mut self, now: clock::Millis, id: &id::UpstreamId) {
        if let Some(known) = self.registrations.get_mut(id) {
            known.removed_at.get_or_insert(now);
        }
        self.registrations.retain(|_, known| {
            known
                .removed_at
                .is_none_or(|removed_at| now < removed_at.plus(REMOVAL_TTL))
        });
    }

    /// Whether `entry`, read at `now`, is a registration that the store has done after a newer one.
    ///
    /// Registrations are ordered by the start of the upstream and their number. An older one that
    /// still comes after `LATE_WRITE_TTL` is that of an upstream whose clock went back, or follows
    /// a newer one that was wrong.
    pub fn is_late(&self, now: clock::Millis, entry: &upstream::Upstream) -> bool {
        let Some(known) = self.registrations.get(&entry.id) else {
            return false;
        };
        let is_older = match (entry.started_at, known.started_at) {
            (Some(found), Some(latest)) if found != latest => found < latest,
            (found, latest) if found == latest => matches!(
                (entry.sequence, known.sequence),
                (Some(found), Some(latest)) if found < latest
            ),
            _ => false,
        };
        is_older && now < known.seen_at.plus(LATE_WRITE_TTL)
    }

    /// Whether `entry`, read from a restored store, is older than what was read before.
    pub fn is_outdated(&self, entry: &upstream::Upstream) -> bool {
        let Some(known) = self.registrations.get(&entry.id) else {
            return false;
        };
        let found = (entry.started_at, entry.sequence);
        let latest = (known.started_at, known.sequence);
        found < latest || (found == latest && known.removed_at.is_some())
    }
}
