//! A simulated upstream that makes pieces.

use basilgrade_fleet::batch::call;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::model::handle;
use indexmap::IndexMap;

/// One upstream: calls one after the other, room for results, and their expiry.
#[derive(Debug, Default)]
pub(crate) struct Maker {
    free_at: u64,
    /// Results with the time of expiry and the size of each.
    held: IndexMap<handle::Handle, (u64, u64)>,
    next: u64,
}

impl Maker {
    /// When a call that arrives at `now` starts, and when it ends after `span`.
    pub(crate) fn run(&mut self, now: u64, span: u64) -> (u64, u64) {
        let start = self.free_at.max(now);
        self.free_at = start + span;
        (start, self.free_at)
    }

    pub(crate) fn free(&mut self, handle: &handle::Handle) {
        self.held.swap_remove(handle);
    }

    pub(crate) fn holds(&mut self, now: u64, handle: &handle::Handle) -> bool {
        self.held.retain(|_, (expiry, _)| *expiry > now);
        self.held.contains_key(handle)
    }

    /// Ends the pieces of `call`, each with a result of the size that `bytes` tells.
    pub(crate) fn end(
        &mut self,
        now: u64,
        room: u64,
        kept: u64,
        call: &call::Call,
        has_inputs: &[bool],
        bytes: impl Fn(&call::Item) -> u64,
    ) -> Vec<outcome::PieceOutcome> {
        self.held.retain(|_, (expiry, _)| *expiry > now);
        let mut outcomes = Vec::new();
        for (item, has_inputs) in call.items.iter().zip(has_inputs) {
            let used: u64 = self.held.values().map(|(_, bytes)| bytes).sum();
            let bytes = bytes(item);
            if !has_inputs {
                outcomes.push(outcome::PieceOutcome::InputGone);
            } else if used + bytes > room {
                outcomes.push(outcome::PieceOutcome::NoRoom);
            } else {
                self.next += 1;
                let handle = handle::Handle(format!("{}/{}", call.address, self.next).into());
                self.held.insert(handle.clone(), (now + kept, bytes));
                outcomes.push(outcome::PieceOutcome::Completed(handle));
            }
        }
        outcomes
    }
}
