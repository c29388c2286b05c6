//! What the owner of slots may conclude of other VMs.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::incarnation;

use crate::contact;
use crate::death_evidence;
use crate::limits;
use crate::node;
use crate::phase;
use crate::status;
use crate::tag;
use crate::timing;

impl node::Node {
    /// Reports how an own attempt to reach `vm`, started at `started`, ended.
    pub fn report_contact(
        &mut self,
        vm: &id::VmId,
        started: clock::Millis,
        outcome: contact::Outcome,
    ) {
        if self.contacts.len() >= limits::MAX_VM_NAMES && !self.contacts.contains_key(vm) {
            self.contacts.shift_remove_index(0);
        }
        let contact = self.contacts.entry(vm.clone()).or_default();
        match outcome {
            contact::Outcome::Answered => contact.answered_at = contact.answered_at.max(started),
            // An attempt that began before this process was paused says nothing of the peer.
            contact::Outcome::Failed if started < self.pause.resumed_at() => return,
            contact::Outcome::Failed => contact.failed_at = contact.failed_at.max(started),
        }
        if outcome == contact::Outcome::Failed {
            self.mark_confirmed(vm);
            if let phase::JoinPhase::Fetching { asked, tried, .. } = &mut self.phase
                && asked.as_ref().is_some_and(|(peer, _)| peer == vm)
            {
                tried.insert(vm.clone());
                *asked = None;
            }
        }
    }

    /// Whether a change of ownership may treat a run of `vm` as dead; without an incarnation, the
    /// newest known run is meant.
    ///
    /// The log decides who owns a slot; this only keeps a daemon from proposing a change on its
    /// own pause, on a stale VM list or on the word of others.
    pub fn death_evidence(
        &self,
        now: clock::Millis,
        vm: &id::VmId,
        incarnation: Option<incarnation::Incarnation>,
    ) -> death_evidence::DeathEvidence {
        if *vm == self.settings.record.vm {
            return death_evidence::DeathEvidence::NotDead(self.local().status);
        }
        if let Some((asked, newest)) = incarnation.zip(self.newest_incarnation(vm))
            && asked < newest
        {
            return death_evidence::DeathEvidence::Superseded(newest);
        }
        if self.pause.is_recent(now) || !matches!(self.phase, phase::JoinPhase::Joined) {
            return death_evidence::DeathEvidence::ViewUncertain;
        }
        let alive = match self.last_heard(now, vm) {
            Ok(alive) => alive,
            Err(death) => return death,
        };
        let contact = self.contacts.get(vm).copied().unwrap_or_default();
        let failed = contact.failed_at > alive.max(self.pause.resumed_at())
            && contact.failed_at > contact.answered_at;
        if failed {
            death_evidence::DeathEvidence::Confirmed
        } else {
            death_evidence::DeathEvidence::ContactNeeded
        }
    }

    /// When a dead VM was last heard of, or why it does not count as dead.
    fn last_heard(
        &self,
        now: clock::Millis,
        vm: &id::VmId,
    ) -> Result<clock::Millis, death_evidence::DeathEvidence> {
        if let Some(member) = self.newest_member(vm) {
            return match member.status {
                status::Status::Dead => Ok(member.last_alive),
                status => Err(death_evidence::DeathEvidence::NotDead(status)),
            };
        }
        for summary in self.remote_summaries() {
            let Some((_, status)) = summary.member(vm) else {
                continue;
            };
            let silent = now.since(summary.last_update) >= timing::DOMAIN_TIMEOUT;
            return if status == status::Status::Dead {
                Ok(clock::Millis::ZERO)
            } else if silent {
                Err(death_evidence::DeathEvidence::DomainSilent)
            } else {
                Err(death_evidence::DeathEvidence::NotDead(status))
            };
        }
        // Nobody mentions it. It may still live in a domain that is not heard.
        if self.is_domain_silent(now) {
            return Err(death_evidence::DeathEvidence::DomainSilent);
        }
        Ok(clock::Millis::ZERO)
    }

    /// Whether any domain that is known or listed is not heard.
    fn is_domain_silent(&self, now: clock::Millis) -> bool {
        let silent = self
            .remote_summaries()
            .any(|summary| now.since(summary.last_update) >= timing::DOMAIN_TIMEOUT);
        let own = &self.settings.record.domain;
        silent
            || self.vm_hints.values().any(|hint| {
                hint.domain != *own
                    && !self
                        .summaries
                        .contains_key(&tag::Tag::of(hint.domain.as_str()))
            })
    }

    /// The newest incarnation of `vm` that this daemon has heard of.
    pub fn newest_incarnation(&self, vm: &id::VmId) -> Option<incarnation::Incarnation> {
        let local = self.newest_incarnations.get(vm).copied();
        let remote = self.remote_record(vm).map(|(record, _)| record.incarnation);
        local.max(remote)
    }

    /// Members of the own domain that may be given ownership: alive, heard of recently, and of
    /// whose run nothing else is known. This daemon is among them unless its own view is
    /// uncertain.
    pub fn ownership_candidates(&self, now: clock::Millis) -> Vec<id::VmId> {
        if self.pause.is_recent(now) {
            return Vec::new();
        }
        self.members
            .iter()
            .filter(|(tag, member)| {
                let fresh = now.since(member.last_alive) < timing::SUSPECT_AFTER;
                member.status == status::Status::Alive
                    && if **tag == self.tag { self.ready } else { fresh }
            })
            .map(|(_, member)| member.record.vm.clone())
            .collect()
    }
}
