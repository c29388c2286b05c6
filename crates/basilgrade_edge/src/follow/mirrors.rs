//! Mirrors of all store topics, and the routing snapshot derived from them.

use std::sync;
use std::sync::atomic;

use basilgrade_adapter::configuration;
use basilgrade_adapter::daemon_registration as registration;
use basilgrade_adapter::evidence;
use basilgrade_adapter::store;
use basilgrade_adapter::upstream_registration;
use basilgrade_fleet::daemon;
use basilgrade_fleet::directory;
use basilgrade_fleet::directory::latest;
use basilgrade_fleet::model::prompt;
use basilgrade_fleet::outage;
use basilgrade_fleet::suspects;
use basilgrade_types::clock;
use basilgrade_types::id;
use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexMap;

use crate::core;
use crate::follow::mirror;
use crate::follow::origin;
use crate::follow::position;
use crate::follow::restored;
use crate::peers::service;
use crate::view;

/// Age at which a daemon's registration expires; running daemons renew theirs earlier.
const REGISTRATION_AGE: clock::Millis = clock::Millis(30 * 60_000);

/// Mirrors of all topics, the registered daemons, and whether the store answers.
pub struct Mirrors {
    core: sync::Arc<core::Core>,
    topics: sync::Mutex<[mirror::Mirror; 3]>,
    daemons: sync::Mutex<Vec<daemon::Daemon>>,
    is_store_reachable: atomic::AtomicBool,
    outages: sync::Mutex<outage::OutageDetector>,
    latest: sync::Mutex<latest::Latest>,
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

const fn topic_index(topic: store::Topic) -> usize {
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
            outages: sync::Mutex::new(outage::OutageDetector::new(heartbeat)),
            latest: sync::Mutex::default(),
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

    /// Updates for a daemon whose mirrors are at `positions`, in the order of
    /// [`TOPICS`].
    pub fn since(&self, positions: [Option<position::Position>; 3]) -> Vec<mirror::Update> {
        let mirrors = self.lock();
        let pairs = mirrors.iter().zip(positions);
        pairs
            .filter_map(|(mirror, known)| mirror.since(known))
            .collect()
    }

    /// Positions of all mirrors, in the order of [`TOPICS`].
    pub fn positions(&self) -> [Option<position::Position>; 3] {
        self.lock().each_ref().map(mirror::Mirror::position)
    }

    /// Receiver that is notified of each applied update of a topic.
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

    /// Starts or stops reading the store; `reason` is logged on a change.
    pub fn set_reader(&self, is_reader: bool, reason: &str) {
        let changes = |known: &mut bool| std::mem::replace(known, is_reader) != is_reader;
        if self.is_reading.send_if_modified(changes) {
            log::info!("event=reader-changed reads_store={is_reader} reason={reason:?}");
        }
    }

    /// Whether the most recent store call succeeded.
    pub fn is_store_reachable(&self) -> bool {
        self.is_store_reachable.load(atomic::Ordering::Relaxed)
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

    /// Records a successful store call of this daemon.
    pub fn record_store_answer(&self) {
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

    /// Records a failed store call.
    pub fn record_store_failure(&self, reason: &str) {
        self.core.metrics.store_failures.inc();
        self.lock_outages().record_failure();
        if self
            .is_store_reachable
            .swap(false, atomic::Ordering::Relaxed)
        {
            log::warn!("event=dependency-lost dependency=store reason={reason:?}");
        }
    }

    /// Whether registrations of live upstreams may be missing, because the store is or was recently
    /// unreachable.
    pub fn is_uncertain(&self) -> bool {
        self.lock_outages().is_uncertain(self.core.now())
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
            store::Topic::Operators => self.update_configuration(&changes, origin),
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
            let record = changes
                .records()
                .find(|(key, _)| store::is_configuration_key(key));
            if let Some((key, value)) = record {
                let operators = topic_index(store::Topic::Operators);
                self.lock()[operators].put(key.clone(), value.clone());
            }
            self.update_configuration(&changes, origin::Origin::Peer);
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
            store::Topic::Operators => {}
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

    fn update_configuration(&self, changes: &mirror::Changes, origin: origin::Origin) {
        let records = changes.records();
        // Only the newest configuration of a batch takes effect.
        let newest = records
            .filter(|(key, _)| store::is_configuration_key(key))
            .last();
        let Some((_, value)) = newest else {
            return;
        };
        let configuration = match configuration::decode(value) {
            Ok(configuration) => configuration,
            Err(reason) => {
                self.core.metrics.unreadable_records.inc();
                log::error!(
                    "event=configuration-unreadable reason={:?}",
                    reason.to_string()
                );
                return;
            }
        };
        let known = self.core.view.load().configuration.clone();
        let version = configuration.version;
        let previous = known.map_or(0, |known| known.version);
        if version <= previous {
            return;
        }
        let routes: usize = configuration.hosts.values().map(Vec::len).sum();
        log::info!(
            "event=configuration-changed version={version} previous={previous} routes={routes} \
             origin={}",
            origin.as_str()
        );
        let configuration = sync::Arc::new(configuration);
        self.core.view.rcu(|view| view::View {
            configuration: Some(sync::Arc::clone(&configuration)),
            ..view::View::clone(view)
        });
    }

    fn update_upstreams(
        &self,
        changes: mirror::Changes,
        origin: origin::Origin,
        is_uncertain: bool,
    ) {
        let mut directory = directory::Directory::clone(&self.core.view.load().directory);
        let mut has_changed = false;
        let records = match changes {
            mirror::Changes::Some(records) => records,
            mirror::Changes::All(records) => {
                let gone: Vec<_> = directory
                    .ids()
                    .filter(|id| !records.iter().any(|(key, _)| key == id.as_str()))
                    .map(|id| (CompactString::new(id.as_str()), None))
                    .collect();
                let present = records.into_iter().map(|(key, value)| (key, Some(value)));
                present.chain(gone).collect()
            }
        };
        for (key, value) in records {
            has_changed |= self.update_upstream(&mut directory, &key, value, origin, is_uncertain);
        }
        if has_changed || !self.core.view.load().has_upstreams {
            self.publish_directory(directory);
        }
    }

    fn update_upstream(
        &self,
        directory: &mut directory::Directory,
        key: &str,
        value: Option<Bytes>,
        origin: origin::Origin,
        is_uncertain: bool,
    ) -> bool {
        let Ok(id) = key.parse() else {
            self.core.metrics.unreadable_records.inc();
            return false;
        };
        let Some(value) = value else {
            self.lock_latest().record_removal(self.core.now(), &id);
            if directory.get(&id).is_none() {
                return false;
            }
            log::info!(
                "event=upstream-gone upstream={id} uncertain={is_uncertain} origin={}",
                origin.as_str()
            );
            if is_uncertain {
                directory.mark_missing(&id);
            } else {
                directory.remove(&id);
            }
            return true;
        };
        match upstream_registration::decode(key, &value) {
            Ok(entry) => {
                self.lock_latest().record(&entry);
                let known = directory.get(&id);
                let is_same = known
                    .is_some_and(|known| known.is_same_run(&entry) && known.state == entry.state);
                if is_same && !directory.has_missing() {
                    return false;
                }
                if !is_same {
                    log::info!(
                        "event=upstream-changed upstream={id} pool={} address={} domain={} \
                         state={:?} started_at={} sequence={} origin={}",
                        entry.pool,
                        entry.address,
                        entry.domain,
                        entry.state,
                        entry.started_at.unwrap_or_default(),
                        entry.sequence.unwrap_or_default(),
                        origin.as_str()
                    );
                }
                directory.put(entry);
                true
            }
            Err(reason) => {
                self.core.metrics.unreadable_records.inc();
                log::warn!(
                    "event=upstream-unreadable upstream={id} reason={:?}",
                    reason.to_string()
                );
                let was_known = directory.get(&id).is_some();
                directory.remove(&id);
                was_known
            }
        }
    }

    fn publish_directory(&self, directory: directory::Directory) {
        let directory = sync::Arc::new(directory);
        self.core.view.rcu(|view| view::View {
            directory: sync::Arc::clone(&directory),
            has_upstreams: true,
            ..view::View::clone(view)
        });
    }

    /// Removes upstreams whose registrations are still missing after a store outage.
    pub fn expire_missing(&self) {
        let view = self.core.view.load_full();
        if !view.directory.has_missing() {
            return;
        }
        let mut directory = directory::Directory::clone(&view.directory);
        for id in directory.expire() {
            log::info!("event=upstream-expired upstream={id}");
        }
        self.publish_directory(directory);
    }

    /// Decodes evidence about a prompt part; `None` if it has expired or is unreadable.
    fn decode_evidence(
        &self,
        key: &str,
        value: &Bytes,
    ) -> Option<((prompt::PartId, id::VmId), suspects::Evidence)> {
        match evidence::decode(key, value) {
            Ok((known, evidence)) => {
                let is_valid = evidence.seen_at.plus(suspects::EVIDENCE_TTL) >= self.core.now();
                is_valid.then_some((known, evidence))
            }
            Err(reason) => {
                self.core.metrics.unreadable_records.inc();
                log::warn!(
                    "event=evidence-unreadable key={key:?} reason={:?}",
                    reason.to_string()
                );
                None
            }
        }
    }

    fn update_daemons(&self) {
        let now = self.core.now();
        let records = self.lock()[topic_index(store::Topic::Daemons)]
            .records()
            .clone();
        let mut daemons = Vec::new();
        let mut others = IndexMap::<_, IndexMap<_, _>>::new();
        for (key, value) in &records {
            if evidence::is_key(key) {
                if let Some(((part, daemon), evidence)) = self.decode_evidence(key, value) {
                    others.entry(part).or_default().insert(daemon, evidence);
                }
                continue;
            }
            match registration::decode(key, value) {
                Ok(daemon) if daemon.seen_at.plus(REGISTRATION_AGE) >= now => daemons.push(daemon),
                Ok(_) => {}
                Err(reason) => {
                    self.core.metrics.unreadable_records.inc();
                    log::warn!(
                        "event=daemon-unreadable daemon={key:?} reason={:?}",
                        reason.to_string()
                    );
                }
            }
        }
        self.core.suspects().replace_others(others);
        let own = self.core.settings.load().name.clone();
        let domain = self.core.settings.load().domain.clone();
        let is_own = |daemon: &daemon::Daemon| daemon.name == own;
        let others = daemons.iter().filter(|daemon| !is_own(daemon)).count();
        let is_domain_peer = |daemon: &&daemon::Daemon| daemon.domain == domain && !is_own(daemon);
        let domain_peers = daemons.iter().filter(is_domain_peer).count();
        let known = std::mem::replace(&mut *self.lock_daemons(), daemons.clone());
        let identity = |daemon: &daemon::Daemon| (daemon.name.clone(), daemon.address);
        if !known.iter().map(identity).eq(daemons.iter().map(identity)) {
            log::info!(
                "event=daemons-changed daemons={} domain={}",
                others + 1,
                domain_peers + 1
            );
        }
        let registered = sync::Arc::new(daemons);
        self.core.view.rcu(|view| view::View {
            registered: sync::Arc::clone(&registered),
            daemons: others + 1,
            ..view::View::clone(view)
        });
    }

    fn lock_daemons(&self) -> sync::MutexGuard<'_, Vec<daemon::Daemon>> {
        self.daemons
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// All registered daemons.
    pub fn daemons(&self) -> Vec<daemon::Daemon> {
        self.lock_daemons().clone()
    }
}
