//! Software versions at which streams began, so that each goes on only at its own.
//!
//! What two versions write does not fit together, and engines do not check which one began a
//! stream. A daemon remembers the streams that it began and has other daemons keep copies of them,
//! from which daemons that did not begin a stream, or have lost their memory, learn its version.
//! A log of the store outlasts a loss of all daemons: while several versions serve in a pool, each
//! daemon shares its streams there, and while one serves, one daemon records those of its failure
//! domain at longer intervals.

mod lifetime;

use std::collections;
use std::mem;
use std::sync;

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::directory;
use crate::directory::upstream;
use crate::model::configuration;
use crate::model::route;
use crate::route_history;

/// Hash of the id of the attempt that began or took up a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

impl AttemptId {
    /// Hash of the id `id`, as the caller sent it.
    pub fn new(id: &str) -> Self {
        Self(xxh3::xxh3_64(id.as_bytes()))
    }
}

/// Streams by the pool and the software version that began them.
pub type Batch = IndexMap<id::PoolId, IndexMap<upstream::Version, Vec<AttemptId>>>;

/// Streams that a daemon shares in the log of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Shared {
    /// Time at which the streams are shared.
    pub at: clock::Millis,
    /// Longest time from the first event of one of the streams until a caller takes it up.
    pub lifetime: clock::Millis,
    pub batch: Batch,
}

/// Streams by the pool and the software version that began them, with the time since each began.
pub type Copies =
    IndexMap<id::PoolId, IndexMap<upstream::Version, Vec<(AttemptId, clock::Millis)>>>;

/// What is known about the version that began a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// The stream may go on at this version.
    Version(upstream::Version),
    /// The stream began at an upstream of another pool.
    OtherPool,
    /// Several versions may have begun the stream.
    Unknown,
}

#[derive(Clone, Debug)]
struct Stream {
    pool: id::PoolId,
    version: upstream::Version,
    /// Time at which the stream began or was taken up last.
    begun_at: clock::Millis,
    /// Whether this daemon began the stream or took it up.
    is_own: bool,
    /// Whether the stream is in the log.
    is_shared: bool,
}

/// Streams that this daemon or others began, and the versions in service.
#[derive(Debug)]
pub struct Streams {
    known: IndexMap<AttemptId, Stream>,
    /// Streams that this daemon began or took up, in order.
    begun: collections::VecDeque<AttemptId>,
    /// Number of streams that were removed from the front of `begun`.
    dropped: u64,
    /// Time at which old streams were forgotten last.
    forgotten_at: clock::Millis,
    /// Time at which each version was last seen in the directory or in a stream.
    versions: IndexMap<id::PoolId, IndexMap<upstream::Version, clock::Millis>>,
    /// Pools that have come to have several versions, which is not shared yet.
    unnamed: IndexSet<id::PoolId>,
    routes: route_history::RouteHistory,
    /// Time since which this daemon knows all changes of routes.
    routes_since: Option<clock::Millis>,
    /// Time since which this daemon has read all registrations of upstreams without a gap.
    observed_since: Option<clock::Millis>,
    lifetimes: lifetime::Lifetime,
    /// Longest time from the first event of a stream until a caller takes it up.
    lifetime: clock::Millis,
}

impl Default for Streams {
    fn default() -> Self {
        Self {
            known: IndexMap::new(),
            begun: collections::VecDeque::new(),
            dropped: 0,
            forgotten_at: clock::Millis::ZERO,
            versions: IndexMap::new(),
            unnamed: IndexSet::new(),
            routes: route_history::RouteHistory::default(),
            routes_since: None,
            observed_since: None,
            lifetimes: lifetime::Lifetime::default(),
            lifetime: lifetime::MIN,
        }
    }
}

fn has_several(versions: Option<&IndexMap<upstream::Version, clock::Millis>>) -> bool {
    versions.is_some_and(|versions| versions.len() > 1)
}

/// Interval at which old streams are forgotten while new ones come.
const FORGET_INTERVAL: clock::Millis = clock::Millis(1000);

impl Streams {
    /// Updates the versions in service from `directory`, and drops what no stream can need:
    /// `longest` is the longest time-out of a route in the configuration in force.
    ///
    /// Returns whether there is something to share, as a pool has come to have several versions.
    pub fn observe(
        &mut self,
        now: clock::Millis,
        directory: &directory::Directory,
        longest: clock::Millis,
    ) -> bool {
        self.lifetimes.record_timeout(now, longest);
        self.lifetime = self.lifetimes.longest(now);
        let mut has_entries = false;
        let mut is_new = false;
        for entry in directory.iter() {
            has_entries = true;
            is_new |= self.record_registration(now, entry);
        }
        if has_entries {
            self.observed_since.get_or_insert(now);
        }
        let lifetime = self.lifetime;
        for versions in self.versions.values_mut() {
            versions.retain(|_, seen_at| seen_at.plus(lifetime) > now);
        }
        self.forget(now);
        is_new
    }

    /// Forgets the streams that can no longer be taken up.
    pub fn forget(&mut self, now: clock::Millis) {
        self.lifetime = self.lifetimes.longest(now);
        let lifetime = self.lifetime;
        self.forgotten_at = now;
        self.known
            .retain(|_, stream| stream.begun_at.plus(lifetime) > now);
        self.routes.forget(now - lifetime);
        while let Some(first) = self.begun.front()
            && !self.known.contains_key(first)
        {
            self.begun.pop_front();
            self.dropped += 1;
        }
    }

    /// Forgets old streams before new ones are added, at intervals.
    fn make_room(&mut self, now: clock::Millis) {
        if now >= self.forgotten_at.plus(FORGET_INTERVAL) {
            self.forget(now);
        }
    }

    /// Records that an upstream has registered itself; returns whether its version is new beside
    /// others in its pool.
    ///
    /// An upstream may be gone again by the time the directory is updated.
    pub fn record_registration(&mut self, now: clock::Millis, entry: &upstream::Upstream) -> bool {
        let is_new = self.mark_seen(now, &entry.pool, &entry.version);
        if is_new {
            self.unnamed.insert(entry.pool.clone());
        }
        is_new
    }

    /// Records that the configuration `new` replaces `old`, which is absent at the start.
    pub fn record_configuration(
        &mut self,
        now: clock::Millis,
        old: Option<&configuration::Configuration>,
        new: &configuration::Configuration,
    ) {
        self.routes_since.get_or_insert(now);
        if let Some(old) = old {
            self.routes.record_change(now, old, new);
        }
    }

    /// Whether this daemon knows where routes have led for as long as a stream can last.
    pub fn knows_routes(&self, now: clock::Millis) -> bool {
        let earliest = now - self.lifetime;
        self.routes_since.is_some_and(|since| since <= earliest)
    }

    /// Records that registrations may have come and gone unread until `now`.
    pub fn record_gap(&mut self, now: clock::Millis) {
        self.observed_since = self.observed_since.map(|_| now);
    }

    /// Records that this daemon has read all registrations that there have ever been.
    pub fn record_history(&mut self) {
        self.observed_since = Some(clock::Millis::ZERO);
    }

    /// Whether several versions have lately served in `pool`, as far as this daemon knows.
    pub fn has_several_versions(&self, pool: &id::PoolId) -> bool {
        has_several(self.versions.get(pool))
    }

    /// Whether this daemon has read all registrations for as long as a stream can last.
    pub fn has_observed(&self, now: clock::Millis) -> bool {
        let earliest = now - self.lifetime;
        self.observed_since.is_some_and(|since| since <= earliest)
    }

    /// Time for which a stream is remembered.
    pub fn lifetime(&self) -> clock::Millis {
        self.lifetime
    }

    /// Records that `version` serves in `pool`; returns whether it is new beside others.
    fn mark_seen(
        &mut self,
        now: clock::Millis,
        pool: &id::PoolId,
        version: &upstream::Version,
    ) -> bool {
        if let Some(versions) = self.versions.get_mut(pool)
            && let Some(seen_at) = versions.get_mut(version)
        {
            *seen_at = now.max(*seen_at);
            return false;
        }
        let versions = self.versions.entry(pool.clone()).or_default();
        versions.insert(version.clone(), now);
        versions.len() > 1
    }

    /// Records that the upstream `entry` began the stream of the attempt `id`, or took it up; returns
    /// whether the stream is to be shared.
    pub fn record(
        &mut self,
        now: clock::Millis,
        id: AttemptId,
        entry: &upstream::Upstream,
    ) -> bool {
        self.make_room(now);
        self.mark_seen(now, &entry.pool, &entry.version);
        let stream = Stream {
            pool: entry.pool.clone(),
            version: entry.version.clone(),
            begun_at: now,
            is_own: true,
            is_shared: false,
        };
        self.known.insert(id, stream);
        self.begun.push_back(id);
        has_several(self.versions.get(&entry.pool))
    }

    /// Pool in which the stream of the attempt `id` began.
    pub fn pool(&self, id: AttemptId) -> Option<&id::PoolId> {
        self.known.get(&id).map(|stream| &stream.pool)
    }

    /// Pool in which all streams on `path` have begun, which belongs to `route`, as far as this
    /// daemon knows; `None` if there may be several.
    pub fn only_pool(&self, route: &route::Route, path: &str) -> Option<id::PoolId> {
        self.routes.only_pool(route, path).cloned()
    }

    /// Version that began the stream of the attempt `id`, which is to go on in `pool`, from the
    /// streams that this daemon knows.
    pub fn known_origin(&self, id: AttemptId, pool: &id::PoolId) -> Option<Origin> {
        let stream = self.known.get(&id)?;
        if stream.pool != *pool {
            return Some(Origin::OtherPool);
        }
        Some(Origin::Version(stream.version.clone()))
    }

    /// Only version that has served in `pool` for as long as a stream can last.
    fn only_version(&self, now: clock::Millis, pool: &id::PoolId) -> Option<&upstream::Version> {
        let mut served = self
            .versions
            .get(pool)?
            .iter()
            .filter(|(_, seen_at)| seen_at.plus(self.lifetime) > now);
        match (served.next(), served.next()) {
            (Some((version, _)), None) => Some(version),
            _ => None,
        }
    }

    /// Whether `version` is the only one that has served, in any pool, for as long as a stream can
    /// last, as far as this daemon knows.
    pub fn is_only_version(&self, now: clock::Millis, version: &upstream::Version) -> bool {
        let mut served = self.versions.values().flatten();
        served.all(|(known, seen_at)| known == version || seen_at.plus(self.lifetime) <= now)
    }

    /// Like [`Streams::known_origin`], for a daemon that knows every upstream that had registered
    /// itself when the caller took the stream up. It then needs no shared streams if it has known
    /// them for as long as a stream can last.
    pub fn observed_origin(
        &self,
        now: clock::Millis,
        id: AttemptId,
        pool: &id::PoolId,
    ) -> Option<Origin> {
        if let Some(origin) = self.known_origin(id, pool) {
            return Some(origin);
        }
        let version = self.only_version(now, pool)?;
        self.has_observed(now)
            .then(|| Origin::Version(version.clone()))
    }

    /// Like [`Streams::observed_origin`], after all shared streams were read. A stream that is not
    /// among them began at the only version that has served in `pool` for as long as it can last.
    pub fn origin(
        &self,
        now: clock::Millis,
        id: AttemptId,
        pool: &id::PoolId,
        directory: &directory::Directory,
    ) -> Origin {
        if let Some(origin) = self.observed_origin(now, id, pool) {
            return origin;
        }
        let Some(version) = self.only_version(now, pool) else {
            return Origin::Unknown;
        };
        let earliest = now - self.lifetime;
        // A version that began while no daemon was running may have replaced another.
        let is_old = |entry: &sync::Arc<upstream::Upstream>| {
            entry.pool == *pool && entry.started_at.is_none_or(|since| since <= earliest)
        };
        if directory.iter().any(is_old) {
            Origin::Version(version.clone())
        } else {
            Origin::Unknown
        }
    }

    /// Takes what to share: the streams of this daemon in pools with several versions, at most
    /// `limit`, and the names of the versions of each pool that has come to have several.
    pub fn take_unshared(&mut self, now: clock::Millis, limit: usize) -> Batch {
        let mut batch = Batch::new();
        for pool in mem::take(&mut self.unnamed) {
            let versions = self.versions.get(&pool).into_iter().flatten();
            let names = versions.map(|(version, _)| (version.clone(), Vec::new()));
            batch.insert(pool, names.collect());
        }
        let own = self.take(now, limit, |stream, has_several| {
            stream.is_own && has_several
        });
        for (pool, versions) in own {
            batch.entry(pool).or_default().extend(versions);
        }
        batch
    }

    /// Takes what to record for a failure domain: the streams that this daemon knows in pools with
    /// one version, at most `limit`.
    pub fn take_unrecorded(&mut self, now: clock::Millis, limit: usize) -> Batch {
        self.take(now, limit, |_, has_several| !has_several)
    }

    /// Takes streams that are not in the log and for which `is_due` returns `true`; it is told
    /// whether several versions serve in the pool of the stream.
    fn take(
        &mut self,
        now: clock::Millis,
        limit: usize,
        is_due: impl Fn(&Stream, bool) -> bool,
    ) -> Batch {
        let mut batch = Batch::new();
        let (lifetime, versions) = (self.lifetime, &self.versions);
        let unshared = self.known.iter_mut().filter(|(_, stream)| {
            !stream.is_shared
                && stream.begun_at.plus(lifetime) > now
                && is_due(stream, has_several(versions.get(&stream.pool)))
        });
        for (id, stream) in unshared.take(limit) {
            stream.is_shared = true;
            let versions = batch.entry(stream.pool.clone()).or_default();
            let ids = versions.entry(stream.version.clone()).or_default();
            ids.push(*id);
        }
        batch
    }

    /// Takes back a batch that may not have been shared.
    pub fn restore(&mut self, batch: &Batch) {
        let pools = batch
            .keys()
            .filter(|pool| has_several(self.versions.get(*pool)));
        self.unnamed.extend(pools.cloned());
        for id in batch.values().flat_map(IndexMap::values).flatten() {
            if let Some(stream) = self.known.get_mut(id) {
                stream.is_shared = false;
            }
        }
    }

    /// Copies of the streams that this daemon began, from the one with the number `from` on and at
    /// most `limit`, and the number of the next one.
    pub fn begun_since(&self, now: clock::Millis, from: u64, limit: usize) -> (Copies, u64) {
        let skipped = from.saturating_sub(self.dropped) as usize;
        let ids = self.begun.iter().skip(skipped).take(limit);
        let next = self.dropped + self.begun.len().min(skipped + limit) as u64;
        (self.copies(now, ids), next)
    }

    /// Number of streams that this daemon remembers.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether this daemon remembers no streams.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether this daemon remembers streams that it has begun or taken up.
    pub fn has_begun(&self) -> bool {
        !self.begun.is_empty()
    }

    /// Number of streams that this daemon has begun or taken up since its start.
    pub fn begun_count(&self) -> u64 {
        self.dropped + self.begun.len() as u64
    }

    /// Whether the version that began the stream of the attempt `id` is known.
    pub fn contains(&self, id: AttemptId) -> bool {
        self.known.contains_key(&id)
    }

    /// Copies of those of the streams of the attempts `ids` that this daemon knows and that can still
    /// be taken up.
    pub fn copies<'a>(
        &self,
        now: clock::Millis,
        ids: impl IntoIterator<Item = &'a AttemptId>,
    ) -> Copies {
        let lifetime = self.lifetimes.longest(now);
        let mut copies = Copies::new();
        for id in ids {
            let Some(stream) = self.known.get(id) else {
                continue;
            };
            if stream.begun_at.plus(lifetime) <= now {
                continue;
            }
            let versions = copies.entry(stream.pool.clone()).or_default();
            let ids = versions.entry(stream.version.clone()).or_default();
            ids.push((*id, now - stream.begun_at));
        }
        copies
    }

    /// Adds copies of the streams of another daemon, which still remembers them.
    pub fn keep(&mut self, now: clock::Millis, copies: Copies) {
        self.make_room(now);
        for (pool, versions) in copies {
            for (version, ids) in versions {
                for (id, age) in ids {
                    self.lifetimes.record_age(now, age);
                    self.insert(now - age, id, (&pool, &version));
                }
            }
        }
        self.lifetime = self.lifetimes.longest(now);
    }

    /// Adds a stream of another daemon, or lets a known one last on if it was taken up there.
    fn insert(
        &mut self,
        begun_at: clock::Millis,
        id: AttemptId,
        (pool, version): (&id::PoolId, &upstream::Version),
    ) -> &mut Stream {
        self.mark_seen(begun_at, pool, version);
        let stream = self.known.entry(id).or_insert_with(|| Stream {
            pool: pool.clone(),
            version: version.clone(),
            begun_at,
            is_own: false,
            is_shared: false,
        });
        stream.begun_at = stream.begun_at.max(begun_at);
        stream
    }

    /// Adds streams that a daemon shared.
    pub fn merge(&mut self, now: clock::Millis, shared: Shared) {
        // The clock of the other daemon may be ahead.
        let shared_at = shared.at.min(now);
        self.lifetimes.record_former(shared_at, shared.lifetime);
        self.lifetime = self.lifetimes.longest(now);
        if shared_at.plus(self.lifetime) <= now {
            return;
        }
        for (pool, versions) in shared.batch {
            for (version, ids) in versions {
                // A batch may name a version without streams.
                self.mark_seen(shared_at, &pool, &version);
                for id in ids {
                    self.insert(shared_at, id, (&pool, &version)).is_shared = true;
                }
            }
        }
    }
}
