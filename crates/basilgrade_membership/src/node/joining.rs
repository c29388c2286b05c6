//! Joining a domain: fetches the state from one peer, then confirms all members' revisions.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexSet;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::body;
use crate::chunk;
use crate::digest;
use crate::limits;
use crate::node;
use crate::node::exchange;
use crate::outgoing;
use crate::phase;
use crate::status;
use crate::timing;

impl node::Node {
    /// Performs the next step of joining, if one is due.
    pub(super) fn advance_join(
        &mut self,
        now: clock::Millis,
        rng: &mut dyn Rng,
        out: &mut Vec<outgoing::Outgoing>,
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
                self.request_state_from_random_peer(now, rng, out);
            }
        }
    }

    fn request_state_from_random_peer(
        &mut self,
        now: clock::Millis,
        rng: &mut dyn Rng,
        out: &mut Vec<outgoing::Outgoing>,
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
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        if let phase::JoinPhase::Fetching { asked, .. } = &mut self.phase {
            *asked = Some((vm.clone(), now));
        }
        let digest = self.digest(now, exchange::DigestScope::All);
        self.send(vm, body::Body::JoinRequest(digest), out);
    }

    pub(super) fn on_join(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        digest: &digest::Digest,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        if digest.record.vm != *from {
            return;
        }
        self.register_run(now, &digest.record);
        self.advance_heartbeat(now);
        let mut budget = exchange::DeltaBudget::new(limits::MAX_JOIN_CHUNK_BYTES);
        let update = self.update_for(now, digest, &mut budget);
        let remainder = if budget.exhausted {
            chunk::Remainder::More
        } else if self.joined {
            chunk::Remainder::Complete
        } else {
            chunk::Remainder::Incomplete
        };
        self.send(
            from,
            body::Body::StateChunk(chunk::StateChunk { update, remainder }),
            out,
        );
    }

    pub(super) fn on_state_chunk(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        chunk: chunk::StateChunk,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        self.apply_update(now, chunk.update);
        let phase::JoinPhase::Fetching { asked, tried, .. } = &mut self.phase else {
            return;
        };
        if asked.as_ref().is_none_or(|(vm, _)| vm != from) {
            return;
        }
        match chunk.remainder {
            chunk::Remainder::More => self.request_state(now, from, out),
            chunk::Remainder::Complete => self.start_confirming(now, out),
            chunk::Remainder::Incomplete => {
                tried.insert(from.clone());
                *asked = None;
            }
        }
    }

    /// Sends a digest to every member that is not dead.
    ///
    /// The peer that sent the state may itself be behind, so its revision alone is not sufficient.
    fn start_confirming(&mut self, now: clock::Millis, out: &mut Vec<outgoing::Outgoing>) {
        let waiting: IndexSet<id::VmId> = self
            .other_members()
            .filter(|(_, member)| member.status != status::Status::Dead)
            .map(|(_, member)| member.record.vm.clone())
            .collect();
        let digest = self.digest(now, exchange::DigestScope::Members);
        for vm in &waiting {
            self.send(vm, body::Body::Digest(digest.clone()), out);
        }
        self.phase = phase::JoinPhase::Confirming {
            since: now,
            waiting,
        };
    }

    /// Records that a member has sent its revision or cannot be reached.
    pub(super) fn mark_confirmed(&mut self, vm: &id::VmId) {
        if let phase::JoinPhase::Confirming { waiting, .. } = &mut self.phase {
            waiting.shift_remove(vm);
        }
    }
}
