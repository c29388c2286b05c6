//! The routing snapshot as derived from the mirrors: configuration, upstreams and daemons.

use std::sync;

use basilgrade_adapter::configuration;
use basilgrade_adapter::daemon_registration as registration;
use basilgrade_adapter::evidence;
use basilgrade_adapter::store;
use basilgrade_adapter::upstream_registration;
use basilgrade_fleet::daemon;
use basilgrade_fleet::directory;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::model::configuration as model;
use basilgrade_fleet::suspects;
use basilgrade_types::clock;
use basilgrade_types::id;
use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::follow::mirror;
use crate::follow::mirrors;
use crate::follow::origin;
use crate::readiness;
use crate::view;

/// Age at which a daemon's registration expires; running daemons renew theirs earlier.
const REGISTRATION_AGE: clock::Millis = clock::Millis(30 * 60_000);

/// Maximum number of unknown failure domains that one log entry each names.
const MAX_NAMED_DOMAINS: usize = 8;

impl mirrors::Mirrors {
    /// Takes over the newest readable configuration in `changes` if it is newer than the one in
    /// force; returns its record if so.
    pub(super) fn update_configuration(
        &self,
        changes: &mirror::Changes,
        origin: origin::Origin,
    ) -> Option<(CompactString, Bytes)> {
        let (configuration, record) = self.newest_configuration(changes)?;
        let known = self.core.view.load().configuration.clone();
        let version = configuration.version;
        let previous = known.as_ref().map_or(0, |known| known.version);
        if version <= previous {
            return None;
        }
        let routes: usize = configuration.hosts.values().map(Vec::len).sum();
        log::info!(
            "event=configuration-changed version={version} previous={previous} routes={routes} \
             origin={}",
            origin.as_str()
        );
        self.report_unreadable_entries(&configuration);
        self.report_unserved_entries(&configuration);
        let now = self.core.now();
        self.core
            .streams()
            .record_configuration(now, known.as_deref(), &configuration);
        let configuration = sync::Arc::new(configuration);
        self.core.view.rcu(|view| view::View {
            configuration: Some(sync::Arc::clone(&configuration)),
            ..view::View::clone(view)
        });
        self.core.metrics.configuration_version.set(version);
        // Streams that begin from now on have other time-outs.
        self.core.observe_versions();
        *self.lock_in_force() = Some(record.clone());
        if previous == 0 {
            self.record_cold_starts();
        }
        Some(record)
    }

    /// Names the routes and customers of a configuration that is taken over whose requests may be
    /// served in no region of the deployment.
    fn report_unserved_entries(&self, configuration: &model::Configuration) {
        let view = self.core.view.load();
        let routes = configuration.hosts.values().flatten();
        let routes = routes.filter(|route| !view.topology.allows_any(&route.regions));
        let routes = routes.map(|route| format!("route {:?}", route.name));
        let customers = configuration.customers.iter().flatten();
        let customers =
            customers.filter(|(_, customer)| !view.topology.allows_any(&customer.regions));
        let customers = customers.map(|(_, customer)| format!("customer {}", customer.name));
        let entries: IndexSet<_> = routes.chain(customers).collect();
        if entries.is_empty() {
            return;
        }
        let names = entries.iter().take(readiness::MAX_NAMED_ENTRIES);
        let names: Vec<_> = names.map(String::as_str).collect();
        log::warn!(
            "event=regions-unknown version={} entries={} names={:?} reason=\"the allowed regions \
             name no region of the settings\"",
            configuration.version,
            entries.len(),
            names.join("; ")
        );
    }

    /// Brings the evacuated failure domains up to date with the operators' records.
    pub(super) fn update_evacuations(&self, origin: origin::Origin) {
        let view = self.core.view.load_full();
        let mut evacuated = IndexSet::new();
        let mut unknown = IndexSet::new();
        for key in self.lock()[mirrors::topic_index(store::Topic::Operators)]
            .records()
            .keys()
        {
            let Some(name) = store::evacuated_domain(key) else {
                continue;
            };
            match name.parse::<id::DomainId>() {
                Ok(domain) if view.topology.regions.contains_key(&domain) => {
                    evacuated.insert(domain);
                }
                _ => {
                    unknown.insert(CompactString::new(name));
                }
            }
        }
        let previous = std::mem::replace(&mut *self.lock_unknown_domains(), unknown.clone());
        for name in unknown.difference(&previous).take(MAX_NAMED_DOMAINS) {
            log::warn!(
                "event=evacuation-unknown domain={name:?} reason=\"the settings list no such failure domain\""
            );
        }
        let mut directory = directory::Directory::clone(&view.directory);
        let known = directory.evacuated().clone();
        if !directory.set_evacuated(evacuated) {
            return;
        }
        for domain in directory.evacuated().difference(&known) {
            log::info!(
                "event=domain-evacuated domain={domain} origin={}",
                origin.as_str()
            );
        }
        for domain in known.difference(directory.evacuated()) {
            log::info!(
                "event=domain-returned domain={domain} origin={}",
                origin.as_str()
            );
            self.record_cold_domain(&directory, domain);
        }
        let directory = sync::Arc::new(directory);
        self.core.view.rcu(|view| view::View {
            directory: sync::Arc::clone(&directory),
            ..view::View::clone(view)
        });
    }

    /// Records that the upstreams of `domain`, whose evacuation has ended, may be cold.
    ///
    /// Upstreams may have become cold shortly before, and their registrations tell it only later.
    fn record_cold_domain(&self, directory: &directory::Directory, domain: &id::DomainId) {
        let view = self.core.view.load();
        let Some(known) = &view.configuration else {
            return;
        };
        for entry in directory.iter().filter(|entry| entry.domain == *domain) {
            if let Some(cold) = known.pools.get(&entry.pool).and_then(|pool| pool.cold) {
                self.core.record_cold(entry, cold.span, "evacuation");
            }
        }
    }

    /// Names the unreadable entries of a configuration that is taken over.
    fn report_unreadable_entries(&self, configuration: &model::Configuration) {
        let entries = &configuration.unreadable;
        if entries.is_empty() {
            return;
        }
        self.core
            .metrics
            .unreadable_entries
            .add(entries.len() as u64);
        let names = entries.iter().take(readiness::MAX_NAMED_ENTRIES);
        let names: Vec<_> = names.map(ToString::to_string).collect();
        log::warn!(
            "event=configuration-partial version={} unreadable={} entries={:?}",
            configuration.version,
            entries.len(),
            names.join("; ")
        );
    }

    /// The newest readable configuration in `changes`, with its record.
    fn newest_configuration(
        &self,
        changes: &mirror::Changes,
    ) -> Option<(model::Configuration, (CompactString, Bytes))> {
        let topic = store::Topic::Operators;
        let records = changes.records();
        let mut newest: Option<(model::Configuration, _)> = None;
        let mut is_last_readable = false;
        let mut fault = None;
        for (key, value) in records.filter(|(key, _)| store::is_configuration_key(key)) {
            let decoded = configuration::decode(value);
            is_last_readable = decoded.is_ok();
            match decoded {
                Ok(found) => {
                    fault = None;
                    let is_older =
                        |(known, _): &(model::Configuration, _)| known.version <= found.version;
                    if newest.as_ref().is_none_or(is_older) {
                        newest = Some((found, (key.clone(), value.clone())));
                    }
                }
                Err(reason) => {
                    let reason = reason.to_string();
                    fault = Some(format!("configuration {key:?} is not in force: {reason}"));
                    self.report_unreadable(topic, "configuration", (key, value), &reason);
                }
            }
        }
        if is_last_readable {
            self.lock_unreadable().retain(topic, |_| false);
        }
        if is_last_readable || fault.is_some() {
            let fault = fault.map(sync::Arc::new);
            self.core.configuration_fault.store(fault);
        }
        newest
    }

    pub(super) fn update_upstreams(
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
                self.lock_unreadable()
                    .retain(store::Topic::Upstreams, |known| {
                        records.iter().any(|(key, _)| key == known)
                    });
                let present = records.into_iter().map(|(key, value)| (key, Some(value)));
                present.chain(gone).collect()
            }
        };
        for (key, value) in records {
            has_changed |=
                self.update_upstream(&mut directory, &key, value.as_ref(), origin, is_uncertain);
        }
        if has_changed || !self.core.view.load().has_upstreams {
            self.publish_directory(directory);
        }
    }

    fn update_upstream(
        &self,
        directory: &mut directory::Directory,
        key: &str,
        value: Option<&Bytes>,
        origin: origin::Origin,
        is_uncertain: bool,
    ) -> bool {
        let topic = store::Topic::Upstreams;
        let decoded = value.map(|value| upstream_registration::decode(key, value));
        if let (Some(value), Some(Err(reason))) = (value, &decoded) {
            self.report_unreadable(topic, "upstream", (key, value), &reason.to_string());
        } else {
            self.lock_unreadable().remove(topic, key);
        }
        let Ok(id) = key.parse() else {
            return false;
        };
        let Some(decoded) = decoded else {
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
        let known = directory.get(&id);
        let Ok(entry) = decoded else {
            let was_known = known.is_some();
            directory.remove(&id);
            return was_known;
        };
        let now = self.core.now();
        if self.lock_latest().is_late(now, &entry) {
            log::info!(
                "event=registration-late upstream={id} state={:?} started_at={} sequence={} origin={}",
                entry.state,
                entry.started_at.unwrap_or_default(),
                entry.sequence.unwrap_or_default(),
                origin.as_str()
            );
            return false;
        }
        self.lock_latest().record(now, &entry);
        self.core.record_registration(&entry);
        let is_same =
            known.is_some_and(|known| known.is_same_run(&entry) && known.state == entry.state);
        let cold_for = self.cold_time(&entry);
        if is_same && !directory.has_missing() {
            if let Some(known) = known {
                self.core.record_cold(known, cold_for, "registration");
            }
            return false;
        }
        if !is_same {
            log::info!(
                "event=upstream-changed upstream={id} pool={} address={} domain={} state={:?} \
                 started_at={} sequence={} origin={}",
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
        if let Some(known) = directory.get(&id) {
            self.core.record_cold(known, cold_for, "registration");
        }
        true
    }

    /// Records the cold starts of the upstreams that were known before the first configuration.
    fn record_cold_starts(&self) {
        let view = self.core.view.load_full();
        for entry in view.directory.iter() {
            let span = self.cold_time(entry);
            self.core.record_cold(entry, span, "registration");
        }
    }

    /// Time for which the upstream of the registration `entry` is cold: as long as it states, and for
    /// the cold start of its pool after it has started.
    fn cold_time(&self, entry: &upstream::Upstream) -> clock::Millis {
        let view = self.core.view.load();
        let known = view.configuration.as_ref();
        let cold = known.and_then(|known| known.pools.get(&entry.pool)?.cold);
        let since_start = match (cold, entry.started_at) {
            // A VM whose clock is ahead or behind adds at most the whole span.
            (Some(cold), Some(started_at)) => {
                (started_at.plus(cold.span) - self.core.now()).min(cold.span)
            }
            _ => clock::Millis::ZERO,
        };
        entry.cold_for.max(since_start)
    }

    fn publish_directory(&self, directory: directory::Directory) {
        // Upstreams that are about to be removed have served until now.
        self.core.observe_versions();
        let directory = sync::Arc::new(directory);
        self.core.view.rcu(|view| view::View {
            directory: sync::Arc::clone(&directory),
            has_upstreams: true,
            ..view::View::clone(view)
        });
        self.core.observe_versions();
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

    pub(super) fn update_daemons(&self) {
        let now = self.core.now();
        let records = self.lock()[mirrors::topic_index(store::Topic::Daemons)]
            .records()
            .clone();
        let mut daemons = Vec::new();
        let mut others = IndexMap::<_, IndexMap<_, _>>::new();
        let mut unreadable = IndexSet::new();
        for (key, value) in &records {
            let (kind, reason) = if evidence::is_key(key) {
                match evidence::decode(key, value) {
                    Ok((_, evidence)) if evidence.seen_at.plus(suspects::EVIDENCE_TTL) < now => {
                        continue;
                    }
                    Ok(((suspect, daemon), evidence)) => {
                        others.entry(suspect).or_default().insert(daemon, evidence);
                        continue;
                    }
                    Err(reason) => ("evidence", reason.to_string()),
                }
            } else {
                match registration::decode(key, value) {
                    Ok(daemon) if daemon.seen_at.plus(REGISTRATION_AGE) < now => continue,
                    Ok(daemon) => {
                        daemons.push(daemon);
                        continue;
                    }
                    Err(reason) => ("daemon", reason.to_string()),
                }
            };
            self.report_unreadable(store::Topic::Daemons, kind, (key, value), &reason);
            unreadable.insert(key.as_str());
        }
        self.lock_unreadable()
            .retain(store::Topic::Daemons, |key| unreadable.contains(key));
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
