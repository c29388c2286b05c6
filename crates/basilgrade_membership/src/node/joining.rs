//! Joining: the state comes from one peer, the revisions of all members are confirmed.

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
    /// Takes the next step of joining, if one is due.
    pub(super) fn advance_join(
        &mut self,
        now: clock::Millis,
        rng: &mut dyn Rng,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        match &mut self.phase {
            phase::Phase::Joined => {}
            phase::Phase::Confirming { since, waiting } => {
                if waiting.is_empty() || now.since(*since) >= timing::CONFIRM_TIMEOUT {
                    self.phase = phase::Phase::Joined;
                    self.joined = true;
                }
            }
            phase::Phase::Fetching { since, .. } if now.since(*since) >= timing::JOIN_TIMEOUT => {
                self.start_confirming(now, out);
            }
            phase::Phase::Fetching { asked, tried, .. } => {
                match asked {
                    Some((_, at)) if now.since(*at) < timing::JOIN_RETRY => return,
                    Some((vm, _)) => {
                        tried.insert(vm.clone());
                        *asked = None;
                    }
                    None => {}
                }
                self.ask_for_state(now, rng, out);
            }
        }
    }

    fn ask_for_state(
        &mut self,
        now: clock::Millis,
        rng: &mut dyn Rng,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        let phase::Phase::Fetching { tried, .. } = &self.phase else {
            return;
        };
        let own = &self.settings.record.domain;
        let near: IndexSet<&id::VmId> = self
            .others()
            .filter(|(_, member)| member.status != status::Status::Dead)
            .map(|(_, member)| &member.record.vm)
            .chain(
                self.hints
                    .values()
                    .filter(|hint| hint.domain == *own)
                    .map(|hint| &hint.vm),
            )
            .filter(|vm| !tried.contains(*vm))
            .collect();
        let far = self
            .hints
            .values()
            .filter(|hint| hint.domain != *own && !tried.contains(&hint.vm))
            .map(|hint| &hint.vm);
        let candidates: Vec<_> = if near.is_empty() {
            far.collect()
        } else {
            near.into_iter().collect()
        };
        let Some(vm) = candidates.choose(rng).map(|vm| (*vm).clone()) else {
            if let phase::Phase::Fetching { tried, .. } = &mut self.phase {
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
        if let phase::Phase::Fetching { asked, .. } = &mut self.phase {
            *asked = Some((vm.clone(), now));
        }
        let digest = self.digest(now, exchange::Scope::All);
        self.send(vm, body::Body::Join(digest), out);
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
        self.learn(now, &digest.record);
        self.beat(now);
        let mut space = exchange::Space::new(limits::JOIN_CHUNK);
        let news = self.news_for(now, digest, &mut space);
        let rest = if space.full {
            chunk::Rest::More
        } else if self.joined {
            chunk::Rest::Nothing
        } else {
            chunk::Rest::Joining
        };
        self.send(from, body::Body::Chunk(chunk::Chunk { news, rest }), out);
    }

    pub(super) fn on_chunk(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        chunk: chunk::Chunk,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        self.apply_news(now, chunk.news);
        let phase::Phase::Fetching { asked, tried, .. } = &mut self.phase else {
            return;
        };
        if asked.as_ref().is_none_or(|(vm, _)| vm != from) {
            return;
        }
        match chunk.rest {
            chunk::Rest::More => self.request_state(now, from, out),
            chunk::Rest::Nothing => self.start_confirming(now, out),
            chunk::Rest::Joining => {
                tried.insert(from.clone());
                *asked = None;
            }
        }
    }

    /// Asks every member for its digest, because the one that sent the state may be behind.
    fn start_confirming(&mut self, now: clock::Millis, out: &mut Vec<outgoing::Outgoing>) {
        let waiting: IndexSet<id::VmId> = self
            .others()
            .filter(|(_, member)| member.status != status::Status::Dead)
            .map(|(_, member)| member.record.vm.clone())
            .collect();
        let digest = self.digest(now, exchange::Scope::Members);
        for vm in &waiting {
            self.send(vm, body::Body::Digest(digest.clone()), out);
        }
        self.phase = phase::Phase::Confirming {
            since: now,
            waiting,
        };
    }

    /// Notes that a member has told its revision, or cannot be reached.
    pub(super) fn confirm(&mut self, vm: &id::VmId) {
        if let phase::Phase::Confirming { waiting, .. } = &mut self.phase {
            waiting.shift_remove(vm);
        }
    }
}
