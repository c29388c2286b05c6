//! Membership state machine of a daemon.

mod domain_summaries;
mod exchange;
mod failure_detection;
mod gossip_rounds;
mod joining;
mod log_reader;
mod members;
mod memory;
mod ownership;
mod publish;
mod state_queries;

use std::collections;

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::incarnation;
use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;

use crate::body;
use crate::contact;
use crate::item;
use crate::load_total;
use crate::member;
use crate::message;
use crate::outgoing;
use crate::pause;
use crate::phase;
use crate::prefix_hint;
use crate::progress;
use crate::pull;
use crate::settings;
use crate::status;
use crate::summary;
use crate::tag;
use crate::timing;
use crate::vm_hint;

/// Membership state of a daemon; performs no I/O itself.
///
/// The daemon calls [`Node::tick`] every [`timing::TICK_INTERVAL`] and [`Node::receive`] for each
/// message, and sends the messages that they return.
#[derive(Clone, Debug)]
pub struct Node {
    settings: settings::Settings,
    /// Hash of the VM name and incarnation of this daemon.
    tag: tag::Tag,
    pause: pause::PauseDetector,
    phase: phase::JoinPhase,
    /// Whether the daemon has been ready and has not been paused for [`timing::DEAD_AFTER`] since.
    ready: bool,
    /// Whether the daemon has ever completed joining.
    joined: bool,
    /// Whether a newer run of the same VM is known; if so, this daemon sends nothing any more.
    superseded: bool,
    /// Members of the own domain, including this daemon.
    members: IndexMap<tag::Tag, member::Member>,
    /// The newest known incarnation of each VM.
    newest_incarnations: IndexMap<id::VmId, incarnation::Incarnation>,
    /// Summaries of all domains, by the hash of the domain's name.
    summaries: IndexMap<tag::Tag, summary::Summary>,
    vm_hints: IndexMap<id::VmId, vm_hint::VmHint>,
    contacts: IndexMap<id::VmId, contact::Contact>,
    next_round: clock::Millis,
    rounds: u64,
    /// When the next urgent change has to be gossiped.
    urgent_at: Option<clock::Millis>,
    /// Time since which this daemon has been the preferred log reader.
    chosen_since: Option<clock::Millis>,
    /// When this daemon reported that it cannot reach the log; cleared when it can reach the log
    /// again and after [`timing::LOG_READER_COOLDOWN`].
    log_failure: Option<clock::Millis>,
    /// The newest pull of each stream: the position held when it began, and its start time.
    pulls: IndexMap<pull::Stream, (u64, clock::Millis)>,
    /// Demand at this daemon in tenths of a request per second, by the hash of the customer's name.
    customer_demand: IndexMap<tag::Tag, u32>,
    /// Load totals in the own domain, by the hash of the pool's name.
    pool_loads: IndexMap<tag::Tag, load_total::LoadTotal>,
    pending_hints: collections::VecDeque<prefix_hint::PrefixHint>,
    /// Token bucket for the soft state of this daemon, in bytes.
    soft_tokens: usize,
    /// Token bucket for the soft state in the summary of the own domain, in bytes.
    fleet_tokens: usize,
}

impl Node {
    /// Creates a node that starts at `now` and knows no other daemons.
    pub fn new(now: clock::Millis, settings: settings::Settings, rng: &mut dyn Rng) -> Self {
        let mut node = Self {
            tag: settings.record.tag(),
            pause: pause::PauseDetector::new(now),
            phase: phase::JoinPhase::fetching(now),
            ready: false,
            joined: false,
            superseded: false,
            members: IndexMap::new(),
            newest_incarnations: IndexMap::new(),
            summaries: IndexMap::new(),
            vm_hints: IndexMap::new(),
            contacts: IndexMap::new(),
            next_round: now.plus(clock::Millis(rng.random_range(0..timing::ROUND_INTERVAL.0))),
            rounds: 0,
            urgent_at: None,
            chosen_since: None,
            log_failure: None,
            pulls: IndexMap::new(),
            customer_demand: IndexMap::new(),
            pool_loads: IndexMap::new(),
            pending_hints: collections::VecDeque::new(),
            soft_tokens: 0,
            fleet_tokens: 0,
            settings,
        };
        node.add_own_member(now);
        node
    }

    /// Adds this daemon to its own member table under its current incarnation.
    fn add_own_member(&mut self, now: clock::Millis) {
        self.tag = self.settings.record.tag();
        let record = self.settings.record.clone();
        self.newest_incarnations
            .insert(record.vm.clone(), record.incarnation);
        let mut own = member::Member::new(record.clone(), now);
        own.version = 1;
        own.items.set(now, item::Item::NodeRecord(record));
        self.members.insert(self.tag, own);
    }

    /// Advances the protocol to `now`; has to be called every [`timing::TICK_INTERVAL`].
    pub fn tick(&mut self, now: clock::Millis, rng: &mut dyn Rng) -> Vec<outgoing::Outgoing> {
        self.detect_pause(now);
        let mut out = Vec::new();
        if self.superseded {
            return out;
        }
        self.update_statuses(now);
        self.probe(now, &mut out);
        self.advance_join(now, rng, &mut out);
        self.update_reader(now);
        if now >= self.next_round {
            let jitter = rng.random_range(0..=timing::TICK_INTERVAL.0);
            self.next_round = now.plus(clock::Millis(
                timing::ROUND_INTERVAL.0 - timing::TICK_INTERVAL.0 / 2 + jitter
                    - timing::TICK_INTERVAL.0 / 2,
            ));
            self.rounds += 1;
            self.publish(now);
            self.enforce_memory();
            self.gossip_round(now, rng, &mut out);
            self.urgent_at = None;
        } else if self.urgent_at.is_some_and(|at| now >= at) {
            self.urgent_at = None;
            self.gossip_members(now, rng, false, &mut out);
        }
        out
    }

    /// Returns the latest time at which [`Node::tick`] should be called next.
    pub fn next_tick(&self, now: clock::Millis) -> clock::Millis {
        let resumed_at = self.pause.resumed_at();
        // With regular ticks alone, a death would be detected up to one tick too late.
        let expiry = self
            .other_members()
            .filter(|(_, member)| member.status == status::Status::Suspect)
            .map(|(_, member)| member.last_alive.max(resumed_at).plus(timing::DEAD_AFTER));
        expiry
            .chain(self.urgent_at)
            .map(|at| at.max(now))
            .fold(now.plus(timing::TICK_INTERVAL), clock::Millis::min)
    }

    /// Handles a message from the authenticated daemon on VM `from`; returns messages to send.
    pub fn receive(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        message: message::Message,
    ) -> Vec<outgoing::Outgoing> {
        self.detect_pause(now);
        let mut out = Vec::new();
        if self.superseded
            || *from == self.settings.record.vm && !self.is_from_newer_own_run(&message)
        {
            return out;
        }
        if self
            .newest_incarnations
            .get(from)
            .is_some_and(|newest| message.incarnation < *newest)
        {
            self.notify_superseded_run(now, from, &message, &mut out);
            return out;
        }
        match message.body {
            body::Body::Digest(digest) => self.on_digest(now, from, digest, &mut out),
            body::Body::DigestReply(reply) => self.on_digest_reply(now, from, reply, &mut out),
            body::Body::StateUpdate(update) => {
                self.apply_update(now, update);
            }
            body::Body::Probe(record) => self.on_probe(now, from, &record, &mut out),
            body::Body::ProbeReply(heartbeat) => {
                self.apply_heartbeat(now, heartbeat);
            }
            body::Body::JoinRequest(digest) => self.on_join(now, from, &digest, &mut out),
            body::Body::StateChunk(chunk) => self.on_state_chunk(now, from, chunk, &mut out),
        }
        out
    }

    /// Replaces the VM list. The list only provides addresses; it changes the status of no member.
    pub fn observe_vm_list(&mut self, entries: impl IntoIterator<Item = vm_hint::VmHint>) {
        self.vm_hints = entries
            .into_iter()
            .filter(|hint| hint.vm != self.settings.record.vm)
            .take(crate::limits::MAX_VM_NAMES)
            .map(|hint| (hint.vm.clone(), hint))
            .collect();
    }

    /// Announces to the other daemons that this daemon will stop.
    pub fn leave(&mut self, now: clock::Millis) {
        let own = self.own_mut();
        own.version += 1;
        own.set_status(now, status::Status::Leaving);
        self.schedule_urgent(now);
    }

    /// Sets the position of this daemon in the log streams; positions that go back are ignored.
    pub fn set_progress(
        &mut self,
        now: clock::Millis,
        revision: basilgrade_types::revision::Revision,
        control_offset: basilgrade_types::offset::Offset,
    ) {
        let held = self.own().progress();
        let progress = progress::Progress {
            revision: revision.max(held.revision),
            control_offset: control_offset.max(held.control_offset),
            log_access: held.log_access,
        };
        self.set_own_progress(now, progress);
    }

    fn set_own_progress(&mut self, now: clock::Millis, progress: progress::Progress) {
        if self.own().progress() == progress {
            return;
        }
        let before = self.domain_progress();
        self.own_mut()
            .items
            .set(now, item::Item::Progress(progress));
        // Only the first member of the domain to reach a position gossips it at once.
        if self.domain_progress() != before {
            self.schedule_urgent(now);
        }
    }

    /// This daemon's entry in the member table.
    fn own(&self) -> &member::Member {
        &self.members[&self.tag]
    }

    fn own_mut(&mut self) -> &mut member::Member {
        &mut self.members[&self.tag]
    }

    fn schedule_urgent(&mut self, now: clock::Millis) {
        self.urgent_at.get_or_insert(now.plus(timing::URGENT_DELAY));
    }

    /// Detects a pause of this process; after one, discards failed contacts and pending probes.
    fn detect_pause(&mut self, now: clock::Millis) {
        let Some(gap) = self.pause.observe(now) else {
            return;
        };
        for contact in self.contacts.values_mut() {
            contact.failed_at = clock::Millis::ZERO;
            contact.probe_sent = None;
        }
        self.chosen_since = None;
        // After this time, peers have declared this daemon dead, and its revision may be outdated.
        if gap >= timing::DEAD_AFTER {
            self.ready = false;
            self.phase = phase::JoinPhase::fetching(now);
        }
    }

    fn message(&self, body: body::Body) -> message::Message {
        message::Message {
            incarnation: self.settings.record.incarnation,
            body,
        }
    }

    fn send(&self, vm: &id::VmId, body: body::Body, out: &mut Vec<outgoing::Outgoing>) {
        let Some(address) = self.address(vm) else {
            return;
        };
        out.push(outgoing::Outgoing {
            vm: vm.clone(),
            address,
            message: self.message(body),
        });
    }
}
