//! Gossip exchanges, which consist of a digest, a digest reply and a state update.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::body;
use crate::digest;
use crate::digest_reply;
use crate::domain_delta;
use crate::domain_digest;
use crate::heartbeat;
use crate::item_request;
use crate::item_set_delta;
use crate::limits;
use crate::member_delta;
use crate::node;
use crate::outgoing;
use crate::state_update;
use crate::status;
use crate::tag;

/// The parts of the state that a digest covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DigestScope {
    /// Members of the own domain.
    Members,
    /// Domain summaries.
    Domains,
    /// Members of the own domain and domain summaries.
    All,
}

/// Size budget for the deltas in a message.
pub(super) struct DeltaBudget {
    remaining: usize,
    /// Whether a delta has been left out because it did not fit.
    pub(super) exhausted: bool,
}

impl DeltaBudget {
    pub(super) fn new(remaining: usize) -> Self {
        Self {
            remaining,
            exhausted: false,
        }
    }

    fn try_reserve(&mut self, delta: &item_set_delta::ItemSetDelta) -> bool {
        let encoded_size = 32
            + delta
                .items
                .iter()
                .map(|entry| entry.item.encoded_size())
                .sum::<usize>();
        if encoded_size > self.remaining {
            self.exhausted = true;
            return false;
        }
        self.remaining -= encoded_size;
        true
    }
}

impl node::Node {
    /// Builds the digest of this daemon and increments its heartbeat counter, since every message
    /// shows that the daemon is alive.
    pub(super) fn digest(&mut self, now: clock::Millis, scope: DigestScope) -> digest::Digest {
        self.advance_heartbeat(now);
        let members = match scope {
            DigestScope::Domains => Vec::new(),
            DigestScope::Members | DigestScope::All => self
                .members
                .iter()
                .filter(|(_, member)| Self::is_gossiped(now, member))
                .filter_map(|(tag, _)| self.heartbeat(now, *tag))
                .collect(),
        };
        let domains = match scope {
            DigestScope::Members => None,
            DigestScope::Domains | DigestScope::All => Some(self.domain_digests()),
        };
        digest::Digest {
            record: self.settings.record.clone(),
            members,
            domains,
        }
    }

    /// Collects the state that the sender of `digest` lacks, as far as it fits into `budget`.
    pub(super) fn update_for(
        &self,
        now: clock::Millis,
        digest: &digest::Digest,
        budget: &mut DeltaBudget,
    ) -> state_update::StateUpdate {
        let mut update = state_update::StateUpdate::default();
        if digest.record.domain == self.settings.record.domain {
            let remote_entries: IndexMap<tag::Tag, &heartbeat::Heartbeat> = digest
                .members
                .iter()
                .map(|heartbeat| (heartbeat.tag, heartbeat))
                .collect();
            for (tag, member) in &self.members {
                if !Self::is_gossiped(now, member) {
                    continue;
                }
                let remote_entry = remote_entries.get(tag);
                let is_newer_state = remote_entry.is_none_or(|remote_entry| {
                    remote_entry.version < member.version
                        || remote_entry.version == member.version
                            && remote_entry.status.is_live()
                            && !member.status.is_live()
                });
                if remote_entry.is_none() && member.status == status::Status::Dead {
                    continue;
                }
                if is_newer_state {
                    update.heartbeats.extend(self.heartbeat(now, *tag));
                }
                let from = remote_entry.map_or(0, |remote_entry| remote_entry.item_version);
                if let Some(delta) = member.items.delta(from)
                    && budget.try_reserve(&delta)
                {
                    update
                        .members
                        .push(member_delta::MemberDelta { tag: *tag, delta });
                }
            }
        }
        if let Some(remote_entries) = &digest.domains {
            update.domains = self.domain_deltas_for(remote_entries, budget);
        }
        update
    }

    fn domain_deltas_for(
        &self,
        remote_entries: &[domain_digest::DomainDigest],
        budget: &mut DeltaBudget,
    ) -> Vec<domain_delta::DomainDelta> {
        let remote_entries: IndexMap<tag::Tag, &domain_digest::DomainDigest> = remote_entries
            .iter()
            .map(|remote_entry| (remote_entry.domain, remote_entry))
            .collect();
        let mut deltas = Vec::new();
        for (tag, summary) in &self.summaries {
            let from = match remote_entries.get(tag) {
                Some(remote_entry) if remote_entry.term > summary.term => continue,
                Some(remote_entry) if remote_entry.term == summary.term => remote_entry.version,
                _ => 0,
            };
            if let Some(delta) = summary.items.delta(from)
                && budget.try_reserve(&delta)
            {
                deltas.push(domain_delta::DomainDelta {
                    domain: summary.domain.clone(),
                    term: summary.term,
                    delta,
                });
            }
        }
        deltas
    }

    pub(super) fn on_digest(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        digest: digest::Digest,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        if digest.record.vm != *from {
            return;
        }
        self.register_run(now, &digest.record);
        self.advance_heartbeat(now);
        let update = self.update_for(
            now,
            &digest,
            &mut DeltaBudget::new(limits::MAX_GOSSIP_DELTA_BYTES),
        );
        let requests = if digest.record.domain == self.settings.record.domain {
            self.apply_heartbeats(now, digest.members)
        } else {
            Vec::new()
        };
        let domains = digest
            .domains
            .map(|remote_entries| self.domain_requests(&remote_entries))
            .unwrap_or_default();
        let reply = digest_reply::DigestReply {
            update,
            requests,
            domains,
        };
        self.send(from, body::Body::DigestReply(reply), out);
    }

    pub(super) fn on_digest_reply(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        reply: digest_reply::DigestReply,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        self.apply_update(now, reply.update);
        self.mark_confirmed(from);
        let mut budget = DeltaBudget::new(limits::MAX_GOSSIP_DELTA_BYTES);
        let mut update = state_update::StateUpdate::default();
        for request in reply.requests.iter().take(limits::MAX_MEMBERS) {
            let Some(member) = self.members.get(&request.tag) else {
                continue;
            };
            if let Some(delta) = member.items.delta(request.from)
                && budget.try_reserve(&delta)
            {
                update.members.push(member_delta::MemberDelta {
                    tag: request.tag,
                    delta,
                });
            }
        }
        for request in reply.domains.iter().take(limits::MAX_DOMAINS) {
            update
                .domains
                .extend(self.domain_delta(request, &mut budget));
        }
        if !update.is_empty() {
            self.send(from, body::Body::StateUpdate(update), out);
        }
    }

    /// Returns the items of a domain summary that are newer than the requested version, if they fit
    /// into `budget`.
    fn domain_delta(
        &self,
        request: &domain_digest::DomainDigest,
        budget: &mut DeltaBudget,
    ) -> Option<domain_delta::DomainDelta> {
        let summary = self.summaries.get(&request.domain)?;
        let from = match request.term.cmp(&summary.term) {
            std::cmp::Ordering::Greater => return None,
            std::cmp::Ordering::Equal => request.version,
            std::cmp::Ordering::Less => 0,
        };
        let delta = summary.items.delta(from)?;
        budget
            .try_reserve(&delta)
            .then(|| domain_delta::DomainDelta {
                domain: summary.domain.clone(),
                term: summary.term,
                delta,
            })
    }

    pub(super) fn apply_heartbeats(
        &mut self,
        now: clock::Millis,
        heartbeats: Vec<heartbeat::Heartbeat>,
    ) -> Vec<item_request::ItemRequest> {
        heartbeats
            .into_iter()
            .take(limits::MAX_MEMBERS)
            .filter_map(|heartbeat| self.apply_heartbeat(now, heartbeat))
            .collect()
    }

    /// Applies the received items and heartbeats.
    ///
    /// The items come first, because they add the members to which the heartbeats refer.
    pub(super) fn apply_update(&mut self, now: clock::Millis, update: state_update::StateUpdate) {
        let before = self.domain_progress();
        let mut urgent = false;
        for delta in update.members {
            urgent |= self.apply_member(now, delta).urgent;
        }
        self.apply_heartbeats(now, update.heartbeats);
        for delta in update.domains {
            self.apply_domain(now, delta);
        }
        if urgent || self.domain_progress() != before {
            self.schedule_urgent(now);
        }
    }
}
