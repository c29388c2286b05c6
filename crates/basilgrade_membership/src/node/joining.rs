//! Joining: the state comes from one peer, the revisions of all members are confirmed.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexSet;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::body;
use crate::digest;
use crate::full_state_chunk;
use crate::limits;
use crate::node;
use crate::node::gossip_exchange;
use crate::outgoing_message;
use crate::phase;
use crate::status;
use crate::timing;

impl node::Node {
    /// Takes the next step of joining, if one is due.
    pub(super) fn advance_join(
        &mut self,
        now: clock::Millis,
        rng: &mut dyn Rng,
        out: &mut Vec<outgoing_message::OutgoingMessage>,
    ) {
        match &mut self.phase {
            phase::JoinPhase::Joined => {}
            phase::JoinPhase::Confirming { since, waiting } => {
                if waiting.is_empty() || now.since(*since) >= timing::CONFIRM_TIMEOUT {
                    self.phase = phase::JoinPhase::Joined;
                    self.joined = true;
                }
            }
            phase::JoinPhase::Fetching { since, .. }
                if now.since(*since) >= timing::JOIN_TIMEOUT =>
            {
                self.start_confirming(now, out);
            }
            phase::JoinPhase::Fetching { asked, tried, .. } => {
                match asked {
                    Some((_, at)) if now.since(*at) < timing::JOIN_RETRY_INTERVAL => return,
                    Some((vm, _)) => {
                        tried.insert(vm.clone());
                        *asked = None;
                    }
                    None => {}
                }
                self.choose_state_source(now, rng, out);
            }
        }
    }

    fn choose_state_source(
        &mut self,
        now: clock::Millis,
        rng: &mut dyn Rng,
        out: &mut Vec<outgoing_message::OutgoingMessage>,
    ) {
        let phase::JoinPhase::Fetching { tried, .. } = &self.phase else {
            return;
        };
        let own = &self.settings.record.domain;
        let same_domain: IndexSet<&id::VmId> = self
            .other_members()
            .filter(|(_, member)| member.status != status::Status::Dead)
            .map(|(_, member)| &member.record.vm)
            .chain(
                self.vm_hints
                    .values()
                    .filter(|hint| hint.domain == *own)
                    .map(|hint| &hint.vm),
            )
            .filter(|vm| !tried.contains(*vm))
            .collect();
        let other_domains = self
            .vm_hints
            .values()
            .filter(|hint| hint.domain != *own && !tried.contains(&hint.vm))
            .map(|hint| &hint.vm);
        let candidates: Vec<_> = if same_domain.is_empty() {
            other_domains.collect()
        } else {
            same_domain.into_iter().collect()
        };
        let Some(vm) = candidates.choose(rng).map(|vm| (*vm).clone()) else {
            if let phase::JoinPhase::Fetching { tried, .. } = &mut self.phase {
                tried.clear();
            }
            return;
        };
        self.request_state(now, &vm, out);
    }

    fn request_state(
        &mut self,
        now: clock::Millis,
        vm: &id::VmId,
        out: &mut Vec<outgoing_message::OutgoingMessage>,
    ) {
        if let phase::JoinPhase::Fetching { asked, .. } = &mut self.phase {
            *asked = Some((vm.clone(), now));
        }
        let digest = self.digest(now, gossip_exchange::DigestScope::All);
        self.send(vm, body::Body::JoinRequest(digest), out);
    }

    pub(super) fn on_join(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        digest: &digest::Digest,
        out: &mut Vec<outgoing_message::OutgoingMessage>,
    ) {
        if digest.record.vm != *from {
            return;
        }
        self.register_run(now, &digest.record);
        self.advance_heartbeat(now);
        let mut budget = gossip_exchange::DeltaBudget::new(limits::MAX_JOIN_CHUNK_BYTES);
        let update = self.update_for(now, digest, &mut budget);
        let remainder = if budget.exhausted {
            full_state_chunk::Remainder::More
        } else if self.joined {
            full_state_chunk::Remainder::Complete
        } else {
            full_state_chunk::Remainder::Incomplete
        };
        self.send(
            from,
            body::Body::FullStateChunk(full_state_chunk::FullStateChunk { update, remainder }),
            out,
        );
    }

    pub(super) fn on_state_chunk(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        chunk: full_state_chunk::FullStateChunk,
        out: &mut Vec<outgoing_message::OutgoingMessage>,
    ) {
        self.apply_update(now, chunk.update);
        let phase::JoinPhase::Fetching { asked, tried, .. } = &mut self.phase else {
            return;
        };
        if asked.as_ref().is_none_or(|(vm, _)| vm != from) {
            return;
        }
        match chunk.remainder {
            full_state_chunk::Remainder::More => self.request_state(now, from, out),
            full_state_chunk::Remainder::Complete => self.start_confirming(now, out),
            full_state_chunk::Remainder::Incomplete => {
                tried.insert(from.clone());
                *asked = None;
            }
        }
    }

    /// Asks every member for its digest, because the one that sent the state may be behind.
    fn start_confirming(
        &mut self,
        now: clock::Millis,
        out: &mut Vec<outgoing_message::OutgoingMessage>,
    ) {
        let waiting: IndexSet<id::VmId> = self
            .other_members()
            .filter(|(_, member)| member.status != status::Status::Dead)
            .map(|(_, member)| member.record.vm.clone())
            .collect();
        let digest = self.digest(now, gossip_exchange::DigestScope::Members);
        for vm in &waiting {
            self.send(vm, body::Body::Digest(digest.clone()), out);
        }
        self.phase = phase::JoinPhase::Confirming {
            since: now,
            waiting,
        };
    }

    /// Notes that a member has told its revision, or cannot be reached.
    pub(super) fn mark_confirmed(&mut self, vm: &id::VmId) {
        if let phase::JoinPhase::Confirming { waiting, .. } = &mut self.phase {
            waiting.shift_remove(vm);
        }
    }
}
