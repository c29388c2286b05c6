//! Decisions about ownership of slots: which VMs count as dead and which may become owners.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::incarnation;

use crate::contact;
use crate::death;
use crate::limits;
use crate::node;
use crate::phase;
use crate::status;
use crate::tag;
use crate::timing;

impl node::Node {
    /// Reports the result of an attempt of this daemon to reach `vm` that began at `started`.
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
            // An attempt that began before a pause of this process is no evidence about the peer.
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

    /// Returns whether a change of ownership may treat a run of `vm` as dead. Without an
    /// incarnation, the newest known run is checked.
    ///
    /// The log decides which daemon owns a slot. This check only keeps a daemon from proposing a
    /// change because of its own pause, a stale VM list or unconfirmed reports of other daemons.
    pub fn death_evidence(
        &self,
        now: clock::Millis,
        vm: &id::VmId,
        incarnation: Option<incarnation::Incarnation>,
    ) -> death::DeathEvidence {
        if *vm == self.settings.record.vm {
            return death::DeathEvidence::NotDead(self.own().status);
        }
        if let Some((queried, newest)) = incarnation.zip(self.newest_incarnation(vm))
            && queried < newest
        {
            return death::DeathEvidence::Superseded(newest);
        }
        if self.pause.is_recent(now) || !matches!(self.phase, phase::JoinPhase::Joined) {
            return death::DeathEvidence::ViewUncertain;
        }
        let alive = match self.last_heard(now, vm) {
            Ok(alive) => alive,
            Err(death) => return death,
        };
        let contact = self.contacts.get(vm).copied().unwrap_or_default();
        let failed = contact.failed_at > alive.max(self.pause.resumed_at())
            && contact.failed_at > contact.answered_at;
        if failed {
            death::DeathEvidence::Confirmed
        } else {
            death::DeathEvidence::ContactNeeded
        }
    }

    /// Returns the time of the last heartbeat of a dead VM, or the reason why it does not count as
    /// dead. The time is zero if this daemon has received no heartbeat of the VM.
    fn last_heard(
        &self,
        now: clock::Millis,
        vm: &id::VmId,
    ) -> Result<clock::Millis, death::DeathEvidence> {
        if let Some(member) = self.newest_member(vm) {
            return match member.status {
                status::Status::Dead => Ok(member.last_alive),
                status => Err(death::DeathEvidence::NotDead(status)),
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
                Err(death::DeathEvidence::DomainSilent)
            } else {
                Err(death::DeathEvidence::NotDead(status))
            };
        }
        // No member table or summary lists the VM, but it may belong to a silent domain.
        if self.is_domain_silent(now) {
            return Err(death::DeathEvidence::DomainSilent);
        }
        Ok(clock::Millis::ZERO)
    }

    /// Whether any other domain is silent: its summary is outdated, or the VM list names the domain
    /// and no summary of it exists.
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

    /// The newest incarnation of `vm` that this daemon knows.
    pub fn newest_incarnation(&self, vm: &id::VmId) -> Option<incarnation::Incarnation> {
        let local = self.newest_incarnations.get(vm).copied();
        let remote = self.remote_record(vm).map(|(record, _)| record.incarnation);
        local.max(remote)
    }

    /// Returns the members of the own domain that may receive ownership: those that are alive and
    /// have a recent heartbeat. This daemon is included if it is ready. After a pause of this
    /// process the list is empty, because its view of the other members is uncertain.
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
