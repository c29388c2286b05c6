//! Mirrors of all store topics, and the routing snapshot derived from them.

mod snapshot;

use std::sync;
use std::sync::atomic;

use basilgrade_adapter::store;
use basilgrade_fleet::daemon;
use basilgrade_fleet::directory::latest;
use basilgrade_fleet::outage;
use basilgrade_types::clock;
use basilgrade_types::size;
use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexSet;

use crate::core;
use crate::follow::mirror;
use crate::follow::origin;
use crate::follow::position;
use crate::follow::restored;
use crate::follow::unreadable;
use crate::peers::service;

/// Least limit on the records in an answer to a read of the operators' topic.
const MIN_READ_LIMIT: size::ByteCount = size::ByteCount(64 << 10);

/// Limit on the records in an answer to a read of another topic, which a link of 10 Mbit/s carries in
/// a quarter of [`news_pace::STORE_TIMEOUT`](basilgrade_fleet::news_pace::STORE_TIMEOUT).
const READ_LIMIT: size::ByteCount = size::ByteCount(256 << 10);

/// Mirrors of all topics, the registered daemons, and whether the store answers.
pub struct Mirrors {
    core: sync::Arc<core::Core>,
    topics: sync::Mutex<[mirror::Mirror; 3]>,
    daemons: sync::Mutex<Vec<daemon::Daemon>>,
    is_store_reachable: atomic::AtomicBool,
    /// Whether this daemon's last read of each topic failed or takes long, in the order of [`TOPICS`].
    failed_reads: [atomic::AtomicBool; 3],
    outages: sync::Mutex<outage::OutageDetector>,
    latest: sync::Mutex<latest::Latest>,
    /// Record of the configuration in force; newer ones may be unreadable.
    in_force: sync::Mutex<Option<(CompactString, Bytes)>>,
    unreadable: sync::Mutex<unreadable::UnreadableRecords>,
    /// Evacuated failure domains that the settings do not list.
    unknown_domains: sync::Mutex<IndexSet<CompactString>>,
    regained: tokio::sync::watch::Sender<u64>,
    changed: tokio::sync::watch::Sender<u64>,
    is_reading: tokio::sync::watch::Sender<bool>,
    /// Era of the store in which the operators' topic was read last.
    era: tokio::sync::watch::Sender<u64>,
}

/// All topics, in the order of [`Mirrors::positions`].
pub const TOPICS: [store::Topic; 3] = [
    store::Topic::Operators,
    store::Topic::Upstreams,
    store::Topic::Daemons,
];

/// Index of `topic` in [`TOPICS`].
pub const fn topic_index(topic: store::Topic) -> usize {
    match topic {
        store::Topic::Operators => 0,
        store::Topic::Upstreams => 1,
        store::Topic::Daemons => 2,
    }
}

impl Mirrors {
    /// Empty mirrors; the daemon reads the store itself until another reader is found.
    pub fn new(core: sync::Arc<core::Core>) -> Self {
        let heartbeat = core.settings.load().heartbeat;
        Self {
            core,
            topics: sync::Mutex::new(TOPICS.map(mirror::Mirror::new)),
            daemons: sync::Mutex::default(),
            is_store_reachable: atomic::AtomicBool::new(false),
            failed_reads: Default::default(),
            outages: sync::Mutex::new(outage::OutageDetector::new(heartbeat)),
            latest: sync::Mutex::default(),
            in_force: sync::Mutex::default(),
            unreadable: sync::Mutex::default(),
            unknown_domains: sync::Mutex::default(),
            regained: tokio::sync::watch::Sender::new(0),
            changed: tokio::sync::watch::Sender::new(0),
            is_reading: tokio::sync::watch::Sender::new(true),
            era: tokio::sync::watch::Sender::new(0),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, [mirror::Mirror; 3]> {
        self.topics
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Position of the first record that is not in the mirror of `topic`; `None` before the first
    /// read.
    pub fn position(&self, topic: store::Topic) -> Option<position::Position> {
        self.lock()[topic_index(topic)].position()
    }

    /// Limit on the records in an answer to a read of `topic`: for the operators' records, of which
    /// only the newest counts, about one configuration; for others, what a link carries in time.
    pub fn read_limit(&self, topic: store::Topic) -> size::ByteCount {
        if topic != store::Topic::Operators {
            return READ_LIMIT;
        }
        let in_force = self.lock_in_force();
        let size = in_force.as_ref().map_or(0, |(_, value)| value.len() as u64);
        MIN_READ_LIMIT.max(size::ByteCount(size + size / 4))
    }

    /// Updates for a daemon whose mirrors are at `positions`, in the order of
    /// [`TOPICS`].
    pub fn since(&self, positions: [Option<position::Position>; 3]) -> Vec<mirror::Update> {
        let mirrors = self.lock();
        let pairs = mirrors.iter().zip(positions);
        let updates = pairs.filter_map(|(mirror, known)| mirror.since(known));
        updates
            .map(|update| self.with_configuration(update))
            .collect()
    }

    /// Adds the configuration in force to `update` if that has another one, as a newer one is
    /// unreadable.
    fn with_configuration(&self, mut update: mirror::Update) -> mirror::Update {
        if update.topic != store::Topic::Operators {
            return update;
        }
        let Some((key, value)) = self.lock_in_force().clone() else {
            return update;
        };
        match &mut update.changes {
            mirror::Changes::All(records) => {
                let in_force = (key, value);
                if !records.contains(&in_force) {
                    records.insert(0, in_force);
                }
            }
            mirror::Changes::Some(records) => {
                let in_force = (key, Some(value));
                let has_another = records.iter().any(|(key, _)| *key == in_force.0);
                if has_another && !records.contains(&in_force) {
                    records.insert(0, in_force);
                }
            }
        }
        update
    }

    fn lock_in_force(&self) -> sync::MutexGuard<'_, Option<(CompactString, Bytes)>> {
        self.in_force
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock_unreadable(&self) -> sync::MutexGuard<'_, unreadable::UnreadableRecords> {
        self.unreadable
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock_unknown_domains(&self) -> sync::MutexGuard<'_, IndexSet<CompactString>> {
        self.unknown_domains
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Counts a record that cannot be decoded, once for each value of its key, and logs it unless
    /// the key had an unreadable value before; `kind` names the kind of record.
    fn report_unreadable(
        &self,
        topic: store::Topic,
        kind: &str,
        (key, value): (&str, &[u8]),
        reason: &str,
    ) {
        let novelty = self.lock_unreadable().insert(topic, key, value);
        if novelty == unreadable::Novelty::Known {
            return;
        }
        self.core.metrics.unreadable_records.inc();
        if novelty == unreadable::Novelty::New {
            log::warn!("event={kind}-unreadable {kind}={key:?} reason={reason:?}");
        }
    }

    /// Positions of all mirrors, in the order of [`TOPICS`].
    pub fn positions(&self) -> [Option<position::Position>; 3] {
        self.lock().each_ref().map(mirror::Mirror::position)
    }

    /// Receiver that is notified of each applied update of a topic, and when the store no longer
    /// answers this daemon, so that others need not wait for it.
    pub fn subscribe_changes(&self) -> tokio::sync::watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Whether this daemon reads the store itself.
    pub fn is_reader(&self) -> bool {
        *self.is_reading.borrow()
    }

    /// Receiver that is notified when this daemon starts or stops reading the store.
    pub fn subscribe_reader(&self) -> tokio::sync::watch::Receiver<bool> {
        self.is_reading.subscribe()
    }

    /// Receiver that is notified when the store has come back from an older copy.
    pub fn subscribe_era(&self) -> tokio::sync::watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// Daemon that reads the store for this one; `None` if this daemon ranks first among those of its
    /// failure domain for which `is_able` returns `true`.
    pub fn other_reader(
        &self,
        is_able: impl Fn(&daemon::Daemon) -> bool,
    ) -> Option<daemon::Daemon> {
        let settings = self.core.settings.load();
        let is_domain_peer = |daemon: &daemon::Daemon| daemon.domain == settings.domain;
        let mut daemons = self.daemons();
        daemons.retain(is_domain_peer);
        daemon::rank("reader", &mut daemons);
        let is_usable = |daemon: &daemon::Daemon| {
            daemon.name == settings.name
                || (!self.core.links.is_backing_off(daemon.address) && is_able(daemon))
        };
        let reader = daemons.into_iter().find(is_usable)?;
        (reader.name != settings.name).then_some(reader)
    }

    /// Starts or stops reading the store; `reason` is logged on a change.
    pub fn set_reader(&self, is_reader: bool, reason: &str) {
        let changes = |known: &mut bool| std::mem::replace(known, is_reader) != is_reader;
        if self.is_reading.send_if_modified(changes) {
            // Failures of earlier reads tell nothing of those that begin now.
            for topic in TOPICS {
                self.set_failed(topic, false);
            }
            log::info!("event=reader-changed reads_store={is_reader} reason={reason:?}");
        }
    }

    /// Whether the most recent store call succeeded.
    pub fn is_store_reachable(&self) -> bool {
        self.is_store_reachable.load(atomic::Ordering::Relaxed)
    }

    /// Whether the store answers this daemon's reads of every topic. A read of small registrations may
    /// succeed while a large configuration never arrives in time.
    pub fn is_every_topic_readable(&self) -> bool {
        let mut failed = self.failed_reads.iter();
        self.is_store_reachable() && !failed.any(|failed| failed.load(atomic::Ordering::Relaxed))
    }

    fn set_failed(&self, topic: store::Topic, has_failed: bool) {
        self.failed_reads[topic_index(topic)].store(has_failed, atomic::Ordering::Relaxed);
    }

    /// Receiver that is notified when the store answers again, so that pending long polls are
    /// resent.
    pub fn subscribe_regained(&self) -> tokio::sync::watch::Receiver<u64> {
        self.regained.subscribe()
    }

    fn lock_outages(&self) -> sync::MutexGuard<'_, outage::OutageDetector> {
        self.outages
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records a successful read of `topic` by this daemon.
    pub fn record_store_answer(&self, topic: store::Topic) {
        self.set_failed(topic, false);
        self.lock_outages().record_read(self.core.now());
        self.set_reachable();
    }

    fn set_reachable(&self) {
        if self
            .is_store_reachable
            .swap(true, atomic::Ordering::Relaxed)
        {
            return;
        }
        log::info!("event=dependency-regained dependency=store");
        self.regained.send_modify(|count| *count += 1);
    }

    /// Records a failed read of `topic`.
    pub fn record_store_failure(&self, topic: store::Topic, reason: &str) {
        self.set_failed(topic, true);
        self.core.metrics.store_failures.inc();
        self.lock_outages().record_failure();
        if self
            .is_store_reachable
            .swap(false, atomic::Ordering::Relaxed)
        {
            log::warn!("event=dependency-lost dependency=store reason={reason:?}");
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Records that an answer to a read of `topic` has been under way for longer than others may wait
    /// for it. It is still read: a link that is slow for long might carry none in time.
    pub fn record_slow_answer(&self, topic: store::Topic) {
        self.set_failed(topic, true);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Whether registrations of live upstreams may be missing, because the store is or was recently
    /// unreachable.
    pub fn is_uncertain(&self) -> bool {
        self.lock_outages().is_uncertain(self.core.now())
    }

    /// Whether registrations of live upstreams may be missing, because the store came back from an
    /// older copy a short time ago.
    pub fn is_restored_lately(&self) -> bool {
        self.lock_outages().is_restored_lately(self.core.now())
    }

    /// Pause before the next read of the registrations, which are read every `interval`.
    pub fn read_pause(&self, interval: clock::Millis) -> clock::Millis {
        self.lock_outages().read_pause(self.core.now(), interval)
    }

    /// Applies the updates of another daemon's reply.
    ///
    /// `is_reader` tells whether the other daemon reads the store for this one.
    pub fn apply_reply(&self, reply: service::Updates, is_reader: bool) {
        let now = self.core.now();
        let is_uncertain = {
            let mut outages = self.lock_outages();
            match (is_reader, reply.is_store_reachable) {
                (true, true) => outages.record_reader_answer(now, reply.is_uncertain),
                (true, false) => outages.record_reader_failure(),
                (false, _) => {}
            }
            outages.is_update_uncertain(now, reply.is_uncertain)
        };
        for update in reply.updates {
            self.apply_from_peer(update, is_uncertain);
        }
        if reply.is_store_reachable && !is_uncertain {
            self.expire_missing();
        }
        if is_reader && reply.is_store_reachable {
            self.set_reachable();
        }
    }

    /// Applies an update received from another daemon, unless the mirror is at least as new.
    ///
    /// `is_uncertain` tells whether registrations of live upstreams may be missing from the update.
    fn apply_from_peer(&self, update: mirror::Update, is_uncertain: bool) {
        let known = self.position(update.topic);
        if known.is_some_and(|position| position >= update.position) {
            return;
        }
        self.apply(update, origin::Origin::Peer, is_uncertain);
    }

    /// Applies an update read from the store.
    pub fn apply_from_store(&self, update: mirror::Update) {
        self.apply(update, origin::Origin::Store, self.is_uncertain());
    }

    fn apply(&self, update: mirror::Update, origin: origin::Origin, is_uncertain: bool) {
        let mirror::Update {
            topic,
            position,
            mut changes,
        } = update;
        let known = self.position(topic);
        let is_restored = known.is_some_and(|known| known.era < position.era);
        if is_restored {
            log::warn!(
                "event=store-restored topic={} position={position} known={} origin={}",
                topic.as_str(),
                known.unwrap_or_default(),
                origin.as_str()
            );
            self.lock_outages().record_restore(self.core.now());
            self.keep_lost_records(topic, &mut changes);
        }
        let has_gap = known.is_some() && matches!(changes, mirror::Changes::All(_));
        if topic == store::Topic::Upstreams && has_gap {
            let now = self.core.now();
            self.core.streams().record_gap(now);
        }
        if topic == store::Topic::Operators {
            self.keep_configuration(&mut changes);
        }
        let is_uncertain = is_uncertain || is_restored;
        // A newer update of another daemon may have been applied during the read.
        if !self.lock()[topic_index(topic)].apply(position, &changes) {
            log::info!(
                "event=update-ignored topic={} position={position} origin={}",
                topic.as_str(),
                origin.as_str()
            );
            return;
        }
        match topic {
            store::Topic::Operators => {
                // No request is routed by a configuration before the evacuations are known.
                self.update_evacuations(origin);
                self.update_configuration(&changes, origin);
            }
            store::Topic::Upstreams => self.update_upstreams(changes, origin, is_uncertain),
            store::Topic::Daemons => self.update_daemons(),
        }
        if is_restored {
            self.announce_restore(topic, position.era);
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Has this daemon write again and learn again what the store may have lost of `topic`.
    fn announce_restore(&self, topic: store::Topic, era: u64) {
        match topic {
            store::Topic::Operators => {
                self.era.send_replace(era);
            }
            store::Topic::Upstreams => {}
            store::Topic::Daemons => {
                self.core.suspects().mark_all_changed();
                self.core.evidence_changed.notify_one();
            }
        }
    }

    /// Takes over the configuration in `updates` of another daemon if it is newer than the one in
    /// force, whatever their positions.
    pub fn learn_configuration(&self, updates: &[mirror::Update]) {
        let updates = updates
            .iter()
            .filter(|update| update.topic == store::Topic::Operators);
        for update in updates {
            let mut changes = update.changes.clone();
            self.keep_configuration(&mut changes);
            if let Some((key, value)) = self.update_configuration(&changes, origin::Origin::Peer) {
                let operators = topic_index(store::Topic::Operators);
                self.lock()[operators].put(key, value);
            }
        }
    }

    /// Keeps the configuration in force if that in `changes` is older.
    fn keep_configuration(&self, changes: &mut mirror::Changes) {
        let view = self.core.view.load();
        if let Some(in_force) = &view.configuration {
            let operators = topic_index(store::Topic::Operators);
            let mirrors = self.lock();
            restored::keep_configuration(changes, mirrors[operators].records(), in_force.version);
        }
    }

    /// Keeps what a restored store has lost or holds only in an older state.
    fn keep_lost_records(&self, topic: store::Topic, changes: &mut mirror::Changes) {
        let mirror::Changes::All(records) = changes else {
            return;
        };
        let mirrors = self.lock();
        let known = mirrors[topic_index(topic)].records();
        match topic {
            store::Topic::Operators => restored::keep_evacuations(records, known),
            store::Topic::Upstreams => {
                restored::keep_registrations(records, known, &self.lock_latest());
            }
            store::Topic::Daemons => restored::keep_evidence(records, known),
        }
    }

    fn lock_latest(&self) -> sync::MutexGuard<'_, latest::Latest> {
        self.latest
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
