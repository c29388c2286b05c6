//! How calls and jobs end.

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::batch::call;
use crate::batch::maker;
use crate::batch::outcome;
use crate::batch::queue;
use crate::batch::queue::sending;
use crate::batch::running;
use crate::model::handle;

/// Times that the pieces of a job are sent again.
const REPEATS: u32 = 4;

/// A call that broke off after this many times its nominal time was slow, or its upstream silent.
const SILENT_TIMES: u64 = 2;

/// Speed that a call without an answer is taken for.
const SILENT_RATIO: f64 = 3.0;

impl queue::Queue {
    /// Records how a call ended.
    pub fn complete(
        &mut self,
        now: clock::Millis,
        id: call::CallId,
        outcome: outcome::CallOutcome,
    ) {
        let Some(running) = self.running.swap_remove(&id) else {
            return;
        };
        self.note_turn(now, &running.maker);
        match outcome {
            outcome::CallOutcome::Answered(outcomes) => {
                if let Some(maker) = self.makers.get_mut(&running.maker) {
                    maker.answered(id, now - running.sent, running.nominal);
                }
                self.settle(now, running, outcomes);
            }
            outcome::CallOutcome::Full => self.give_back(running, |maker| maker.full(now, id)),
            outcome::CallOutcome::WrongUpstream => {
                self.makers.swap_remove(&running.maker);
                self.give_back(running, |_| ());
            }
            outcome::CallOutcome::Broken => {
                let was_silent = (now - running.sent).0 > running.nominal.0 * SILENT_TIMES;
                self.give_back(running, |maker| {
                    maker.broken(now, id);
                    if was_silent {
                        maker.ratio = maker.ratio.max(SILENT_RATIO);
                    }
                });
            }
        }
    }

    /// Notes that the turn of the next call of `maker` has come.
    fn note_turn(&mut self, now: clock::Millis, maker: &id::UpstreamId) {
        let mut calls = self.running.values_mut();
        let next = calls.find(|call| call.maker == *maker);
        if let Some(next) = next.filter(|next| next.turn == running::Turn::Ahead) {
            next.turn = running::Turn::Fetching(now.plus(sending::FETCH));
        }
    }

    fn give_back(&mut self, running: running::Running, note: impl FnOnce(&mut maker::Maker)) {
        if let Some(maker) = self.makers.get_mut(&running.maker) {
            maker.release(running.bytes);
            note(maker);
        }
        for (job, piece, _) in running.pieces {
            self.repeat(job, piece);
        }
    }

    fn repeat(&mut self, job: call::JobId, piece: u32) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.unsent.push(piece);
        entry.fetched = entry.fetched.saturating_sub(1);
        entry.repeats += 1;
        if entry.repeats > REPEATS * entry.job.pieces.max(1) {
            self.finish(job, outcome::JobOutcome::Failed);
        }
    }

    fn settle(
        &mut self,
        now: clock::Millis,
        running: running::Running,
        outcomes: Vec<outcome::PieceOutcome>,
    ) {
        let has_no_room = outcomes.contains(&outcome::PieceOutcome::NoRoom);
        let maker = running.maker.clone();
        for ((job, piece, bytes), outcome) in running.pieces.into_iter().zip(outcomes) {
            if !matches!(outcome, outcome::PieceOutcome::Completed(_))
                && let Some(maker) = self.makers.get_mut(&running.maker)
            {
                maker.release(bytes);
            }
            match outcome {
                outcome::PieceOutcome::Completed(handle) => self.made(job, piece, handle, bytes),
                outcome::PieceOutcome::TimedOut => self.finish(job, outcome::JobOutcome::TimedOut),
                outcome::PieceOutcome::InputGone => {
                    self.finish(job, outcome::JobOutcome::InputGone);
                }
                outcome::PieceOutcome::NoRoom | outcome::PieceOutcome::Failed => {
                    self.repeat(job, piece);
                }
            }
        }
        if has_no_room && let Some(maker) = self.makers.get_mut(&maker) {
            maker.no_room(now, self.pieces.capacity);
        }
    }

    fn made(&mut self, job: call::JobId, piece: u32, handle: handle::Handle, bytes: u64) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            self.give_up(handle, bytes);
            return;
        };
        let Some(place) = entry.made.get_mut(piece as usize) else {
            return;
        };
        *place = Some(handle);
        if entry.made.iter().all(Option::is_some) {
            let handles = entry.made.drain(..).flatten().collect();
            self.spent.extend(entry.take_spent());
            self.finish(job, outcome::JobOutcome::Completed(handles));
        }
    }

    pub(super) fn finish(&mut self, id: call::JobId, outcome: outcome::JobOutcome) {
        if self.remove(id) {
            self.finished.push((id, outcome));
        }
    }
}
