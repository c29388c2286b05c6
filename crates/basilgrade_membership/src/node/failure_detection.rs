//! Failure detection by missing heartbeats and direct probes.

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::body;
use crate::limits;
use crate::node;
use crate::node_record;
use crate::outgoing;
use crate::status;
use crate::timing;

impl node::Node {
    /// Marks members as suspect or dead by the time since their last heartbeat, and removes members
    /// that have been dead for [`timing::DEAD_MEMBER_TTL`].
    pub(super) fn update_statuses(&mut self, now: clock::Millis) {
        if self.pause.is_recent(now) {
            return;
        }
        let resumed_at = self.pause.resumed_at();
        let own = self.tag;
        for (tag, member) in &mut self.members {
            let silence = now.since(member.last_alive.max(resumed_at));
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
            member.status != status::Status::Dead
                || now.since(member.status_since) < timing::DEAD_MEMBER_TTL
        });
    }

    /// Probes members whose heartbeats are late, and counts unanswered probes as failed contacts.
    pub(super) fn probe(&mut self, now: clock::Millis, out: &mut Vec<outgoing::Outgoing>) {
        let resumed_at = self.pause.resumed_at();
        let silent: Vec<_> = self
            .other_members()
            .filter(|(_, member)| {
                member.status != status::Status::Dead
                    && now.since(member.last_alive.max(resumed_at)) >= timing::PROBE_AFTER
            })
            .map(|(_, member)| (member.record.vm.clone(), member.last_alive))
            .collect();
        for (vm, alive) in silent {
            if self.contacts.len() >= limits::MAX_VM_NAMES {
                self.contacts.shift_remove_index(0);
            }
            let contact = self.contacts.entry(vm.clone()).or_default();
            if let Some(sent) = contact.probe_sent {
                if alive >= sent {
                    contact.answered_at = contact.answered_at.max(sent);
                } else if now.since(sent) < timing::PROBE_TIMEOUT {
                    continue;
                } else {
                    contact.failed_at = contact.failed_at.max(sent);
                }
            }
            contact.probe_sent = Some(now);
            self.send(&vm, body::Body::Probe(self.settings.record.clone()), out);
        }
    }

    pub(super) fn on_probe(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        record: &node_record::NodeRecord,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        if record.vm != *from {
            return;
        }
        self.register_run(now, record);
        self.advance_heartbeat(now);
        if let Some(heartbeat) = self.heartbeat(now, self.tag) {
            self.send(from, body::Body::ProbeReply(heartbeat), out);
        }
    }
}
