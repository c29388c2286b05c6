//! Gossip rounds within the domain and between domains.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexSet;
use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;

use crate::body;
use crate::limits;
use crate::node;
use crate::node::exchange;
use crate::outgoing;
use crate::status;
use crate::timing;

impl node::Node {
    pub(super) fn gossip_round(
        &mut self,
        now: clock::Millis,
        rng: &mut dyn Rng,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        self.gossip_members(now, rng, true, out);
        self.contact_unreachable_vm(now, rng, out);
        if self.is_domain_representative(now) {
            self.gossip_domains(now, rng, out);
        }
    }

    /// Opens an exchange with [`limits::MEMBER_FANOUT`] random members. If `domains` is set, the
    /// first exchange also compares the domain summaries.
    pub(super) fn gossip_members(
        &mut self,
        now: clock::Millis,
        rng: &mut dyn Rng,
        domains: bool,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        let peers = self
            .other_members()
            .filter(|(_, member)| member.status != status::Status::Dead)
            .map(|(_, member)| member.record.vm.clone())
            .sample(rng, limits::MEMBER_FANOUT);
        for (index, vm) in peers.iter().enumerate() {
            let scope = if domains && index == 0 {
                exchange::DigestScope::All
            } else {
                exchange::DigestScope::Members
            };
            let digest = self.digest(now, scope);
            self.send(vm, body::Body::Digest(digest), out);
        }
    }

    /// Opens an exchange with one random VM of the domain that is dead or known only from the VM
    /// list, so that a healed partition or a missed join is detected.
    fn contact_unreachable_vm(
        &mut self,
        now: clock::Millis,
        rng: &mut dyn Rng,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        let own = &self.settings.record.domain;
        let listed = self
            .vm_hints
            .values()
            .filter(|hint| hint.domain == *own && self.newest_member(&hint.vm).is_none())
            .map(|hint| &hint.vm);
        let dead = self
            .other_members()
            .filter(|(_, member)| member.status == status::Status::Dead)
            .map(|(_, member)| &member.record.vm);
        let Some(vm) = listed.chain(dead).choose(rng).cloned() else {
            return;
        };
        let digest = self.digest(now, exchange::DigestScope::Members);
        self.send(&vm, body::Body::Digest(digest), out);
    }

    /// Whether this daemon represents its domain in gossip with other domains in the current round.
    ///
    /// The round number selects the representative, so no election is needed. If clocks differ, a
    /// round has two representatives or none, which only changes the traffic of that round.
    pub fn is_domain_representative(&self, now: clock::Millis) -> bool {
        let mut live: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.status.is_live())
            .map(|(tag, _)| *tag)
            .collect();
        live.sort_unstable();
        let round = (now.0 / timing::ROUND_INTERVAL.0) as usize;
        live.get(round % live.len().max(1)) == Some(&self.tag)
    }

    fn gossip_domains(
        &mut self,
        now: clock::Millis,
        rng: &mut dyn Rng,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        let own = &self.settings.record.domain;
        let domains: IndexSet<id::DomainId> = self
            .remote_summaries()
            .map(|summary| summary.domain.clone())
            .chain(
                self.vm_hints
                    .values()
                    .filter(|hint| hint.domain != *own)
                    .map(|hint| hint.domain.clone()),
            )
            .collect();
        for domain in domains.iter().sample(rng, limits::DOMAIN_FANOUT) {
            let Some(vm) = self.choose_domain_peer(domain, rng) else {
                continue;
            };
            let digest = self.digest(now, exchange::DigestScope::Domains);
            self.send(&vm, body::Body::Digest(digest), out);
        }
    }

    /// Chooses a daemon of another domain to gossip with.
    ///
    /// One choice in four is taken from the VM list, because all members that the last summary
    /// names may have been replaced.
    fn choose_domain_peer(&self, domain: &id::DomainId, rng: &mut dyn Rng) -> Option<id::VmId> {
        let summarized: Vec<_> = self
            .remote_summaries()
            .filter(|summary| summary.domain == *domain)
            .flat_map(crate::summary::Summary::members)
            .filter(|(_, status)| status.is_live())
            .map(|(record, _)| &record.vm)
            .collect();
        let listed: Vec<_> = self
            .vm_hints
            .values()
            .filter(|hint| hint.domain == *domain)
            .map(|hint| &hint.vm)
            .collect();
        let from_list = summarized.is_empty() || !listed.is_empty() && rng.random_range(0..4) == 0;
        let candidates = if from_list { listed } else { summarized };
        candidates.choose(rng).map(|vm| (*vm).clone())
    }
}
