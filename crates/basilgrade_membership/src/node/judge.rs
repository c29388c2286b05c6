//! Judging the silence of others.

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::body;
use crate::limits;
use crate::node;
use crate::outgoing;
use crate::record;
use crate::status;
use crate::timing;

impl node::Node {
    /// Updates the status of each member by its silence.
    pub(super) fn judge(&mut self, now: clock::Millis) {
        if self.pause.is_recent(now) {
            return;
        }
        let resumed = self.pause.resumed();
        let own = self.tag;
        for (tag, member) in &mut self.members {
            let silence = now.since(member.alive.max(resumed));
            if *tag == own || silence < timing::SUSPECT_AFTER {
                continue;
            }
            let status = if silence >= timing::DEAD_AFTER {
                status::Status::Dead
            } else {
                status::Status::Suspect
            };
            member.set_status(now, status.max(member.status));
        }
        self.members.retain(|_, member| {
            member.status != status::Status::Dead || now.since(member.since) < timing::DEAD_KEPT_FOR
        });
    }

    /// Probes members that are silent, and counts unanswered probes as failed contacts.
    pub(super) fn probe(&mut self, now: clock::Millis, out: &mut Vec<outgoing::Outgoing>) {
        let resumed = self.pause.resumed();
        let silent: Vec<_> = self
            .others()
            .filter(|(_, member)| {
                member.status != status::Status::Dead
                    && now.since(member.alive.max(resumed)) >= timing::PROBE_AFTER
            })
            .map(|(_, member)| (member.record.vm.clone(), member.alive))
            .collect();
        for (vm, alive) in silent {
            if self.contacts.len() >= limits::NAME_LIMIT {
                self.contacts.shift_remove_index(0);
            }
            let contact = self.contacts.entry(vm.clone()).or_default();
            if let Some(sent) = contact.probe {
                if alive >= sent {
                    contact.answered = contact.answered.max(sent);
                } else if now.since(sent) < timing::PROBE_TIMEOUT {
                    continue;
                } else {
                    contact.failed = contact.failed.max(sent);
                }
            }
            contact.probe = Some(now);
            self.send(&vm, body::Body::Probe(self.settings.record.clone()), out);
        }
    }

    pub(super) fn on_probe(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        record: &record::Record,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        if record.vm != *from {
            return;
        }
        self.learn(now, record);
        self.beat(now);
        if let Some(heartbeat) = self.heartbeat(now, self.tag) {
            self.send(from, body::Body::Reply(heartbeat), out);
        }
    }
}
