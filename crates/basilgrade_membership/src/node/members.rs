//! The member table of the own domain.

use std::net;

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::incarnation;

use crate::body;
use crate::heartbeat;
use crate::item_request;
use crate::item_set;
use crate::limits;
use crate::member;
use crate::member_delta;
use crate::message;
use crate::node;
use crate::node_record;
use crate::outgoing;
use crate::state_update;
use crate::status;
use crate::tag;
use crate::timing;

/// Minimum interval between two increments of the own heartbeat counter.
const MIN_HEARTBEAT_INTERVAL: clock::Millis = clock::Millis(200);

impl node::Node {
    pub(super) fn address(&self, vm: &id::VmId) -> Option<net::SocketAddr> {
        self.newest_member(vm)
            .map(|member| member.record.address)
            .or_else(|| self.remote_record(vm).map(|(record, _)| record.address))
            .or_else(|| self.vm_hints.get(vm).map(|hint| hint.address))
    }

    /// Looks up the newest known run of a VM of the own domain.
    pub(super) fn newest_member(&self, vm: &id::VmId) -> Option<&member::Member> {
        let incarnation = self.newest_incarnations.get(vm)?;
        self.members.get(&tag::Tag::daemon(vm, *incarnation))
    }

    /// The members of the own domain except this daemon.
    pub(super) fn other_members(&self) -> impl Iterator<Item = (tag::Tag, &member::Member)> {
        self.members
            .iter()
            .filter(|(tag, _)| **tag != self.tag)
            .map(|(tag, member)| (*tag, member))
    }

    /// Adds a run of a daemon, unless a newer run of its VM is known; returns whether the run is
    /// a member of the own domain.
    pub(super) fn register_run(
        &mut self,
        now: clock::Millis,
        record: &node_record::NodeRecord,
    ) -> bool {
        if record.vm == self.settings.record.vm {
            return self.handle_own_vm_record(now, record);
        }
        let known = self.newest_incarnations.get(&record.vm).copied();
        if known.is_some_and(|known| record.incarnation < known) {
            return false;
        }
        self.record_incarnation(&record.vm, record.incarnation);
        if record.domain != self.settings.record.domain {
            return false;
        }
        let tag = record.tag();
        if self.members.contains_key(&tag) {
            return true;
        }
        if let Some(known) = known {
            self.members
                .shift_remove(&tag::Tag::daemon(&record.vm, known));
        }
        if self.members.len() >= limits::MAX_MEMBERS {
            return false;
        }
        self.contacts.shift_remove(&record.vm);
        self.members
            .insert(tag, member::Member::new(record.clone(), now));
        true
    }

    /// Handles a record with the name of this daemon's VM.
    ///
    /// If the clock is behind that of the former run, peers would mistake this daemon for the
    /// former run. While this daemon is joining, it therefore adopts a later incarnation. Once it
    /// has joined, a later incarnation means that a newer run has replaced this daemon.
    fn handle_own_vm_record(
        &mut self,
        now: clock::Millis,
        record: &node_record::NodeRecord,
    ) -> bool {
        let own = self.settings.record.incarnation;
        if record.incarnation <= own {
            return record.incarnation == own;
        }
        if self.joined {
            self.superseded = true;
            return false;
        }
        let old = self.tag;
        let progress = self.own().progress();
        self.settings.record.incarnation = incarnation::Incarnation(record.incarnation.0 + 1);
        self.members.shift_remove(&old);
        self.add_own_member(now);
        self.set_own_progress(now, progress);
        false
    }

    fn record_incarnation(&mut self, vm: &id::VmId, incarnation: incarnation::Incarnation) {
        if self.newest_incarnations.len() >= limits::MAX_VM_NAMES
            && !self.newest_incarnations.contains_key(vm)
        {
            // Members are looked up through this table, so only VMs without a member are evicted.
            let old = self
                .newest_incarnations
                .iter()
                .position(|(vm, run)| !self.members.contains_key(&tag::Tag::daemon(vm, *run)));
            if let Some(old) = old {
                self.newest_incarnations.shift_remove_index(old);
            }
        }
        let newest = self
            .newest_incarnations
            .entry(vm.clone())
            .or_insert(incarnation);
        *newest = incarnation.max(*newest);
    }

    /// Whether `message` was sent by a newer run of this daemon's own VM.
    pub(super) fn is_from_newer_own_run(&self, message: &message::Message) -> bool {
        message.incarnation > self.settings.record.incarnation
    }

    /// Tells the sender of `message` that a newer run of its VM is known. The message itself is not
    /// applied.
    pub(super) fn notify_superseded_run(
        &self,
        now: clock::Millis,
        from: &id::VmId,
        message: &message::Message,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        let expects_reply = matches!(
            message.body,
            body::Body::Digest(_) | body::Body::JoinRequest(_) | body::Body::Probe(_)
        );
        let Some(member) = self.newest_member(from).filter(|_| expects_reply) else {
            return;
        };
        let tag = member.record.tag();
        let update = state_update::StateUpdate {
            heartbeats: self.heartbeat(now, tag).into_iter().collect(),
            members: member
                .items
                .delta(0)
                .map(|delta| member_delta::MemberDelta { tag, delta })
                .into_iter()
                .collect(),
            domains: Vec::new(),
        };
        self.send(from, body::Body::StateUpdate(update), out);
    }

    /// Increments the own heartbeat counter, at most once per [`MIN_HEARTBEAT_INTERVAL`].
    pub(super) fn advance_heartbeat(&mut self, now: clock::Millis) {
        let own = self.own_mut();
        if now.since(own.last_alive) >= MIN_HEARTBEAT_INTERVAL {
            own.version += 1;
            own.last_alive = now;
        }
    }

    /// Builds the heartbeat of a member for a message.
    pub(super) fn heartbeat(
        &self,
        now: clock::Millis,
        tag: tag::Tag,
    ) -> Option<heartbeat::Heartbeat> {
        let member = self.members.get(&tag)?;
        Some(heartbeat::Heartbeat {
            tag,
            version: member.version,
            item_version: member.items.version(),
            status: member.status,
            age_centis: u16::try_from(now.since(member.last_alive).0 / 10).unwrap_or(u16::MAX),
        })
    }

    /// Whether digests list the member: always while it is not dead, then for
    /// [`timing::DEAD_GOSSIP_TTL`].
    pub(super) fn is_gossiped(now: clock::Millis, member: &member::Member) -> bool {
        member.status != status::Status::Dead
            || now.since(member.status_since) < timing::DEAD_GOSSIP_TTL
    }

    /// Applies a heartbeat; returns a request if the sender holds newer items of the member.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: clock::Millis,
        heartbeat: heartbeat::Heartbeat,
    ) -> Option<item_request::ItemRequest> {
        if heartbeat.tag == self.tag {
            self.refute(now, heartbeat);
            return None;
        }
        let age = clock::Millis(u64::from(heartbeat.age_centis) * 10);
        let resumed_at = self.pause.resumed_at();
        let Some(member) = self.members.get_mut(&heartbeat.tag) else {
            let stale = heartbeat.status == status::Status::Dead || age >= timing::DEAD_AFTER;
            return (!stale).then_some(item_request::ItemRequest {
                tag: heartbeat.tag,
                from: 0,
            });
        };
        let mut urgent = false;
        let silence = now.since(member.last_alive.max(resumed_at));
        if heartbeat.version > member.version {
            member.version = heartbeat.version;
            member.last_alive = member.last_alive.max(now.since(age));
            let silence = now.since(member.last_alive);
            if heartbeat.status.is_live() && silence < timing::SUSPECT_AFTER {
                // A daemon that is leaving cannot become alive again in the same run.
                let status = heartbeat.status.max(match member.status {
                    status::Status::Leaving => status::Status::Leaving,
                    _ => status::Status::Alive,
                });
                urgent = status != member.status;
                member.set_status(now, status);
            }
        } else if heartbeat.version == member.version
            && !heartbeat.status.is_live()
            && member.status.is_live()
            && silence >= timing::PROBE_AFTER
        {
            member.set_status(now, status::Status::Suspect);
        }
        let request =
            (heartbeat.item_version > member.items.version()).then(|| item_request::ItemRequest {
                tag: heartbeat.tag,
                from: member.items.version(),
            });
        if urgent {
            self.schedule_urgent(now);
        }
        request
    }

    /// Refutes a suspicion of this daemon by raising its heartbeat counter above the suspected
    /// value.
    fn refute(&mut self, now: clock::Millis, heartbeat: heartbeat::Heartbeat) {
        let own = self.own_mut();
        if heartbeat.version < own.version || heartbeat.status.is_live() {
            return;
        }
        own.version = heartbeat.version + 1;
        own.last_alive = now;
        self.schedule_urgent(now);
    }

    /// Applies a delta of the items of a member, and adds the member if it is not known yet.
    pub(super) fn apply_member(
        &mut self,
        now: clock::Millis,
        delta: member_delta::MemberDelta,
    ) -> item_set::ApplyOutcome {
        if delta.tag == self.tag {
            return item_set::ApplyOutcome::default();
        }
        if !self.members.contains_key(&delta.tag) {
            let record = delta
                .delta
                .items
                .iter()
                .find_map(|entry| match &entry.item {
                    crate::item::Item::NodeRecord(record) if record.tag() == delta.tag => {
                        Some(record.clone())
                    }
                    _ => None,
                });
            if !record.is_some_and(|record| self.register_run(now, &record)) {
                return item_set::ApplyOutcome::default();
            }
        }
        match self.members.get_mut(&delta.tag) {
            Some(member) => member.items.apply(now, delta.delta),
            None => item_set::ApplyOutcome::default(),
        }
    }
}
