//! Handling of call outcomes and of finished jobs.

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::batch::call;
use crate::batch::outcome;
use crate::batch::queue;
use crate::batch::queue::sending;
use crate::batch::running;
use crate::batch::worker;
use crate::model::handle;

/// Maximum number of retries of a job, per piece.
const RETRIES_PER_PIECE: u32 = 4;

/// A broken call that lasted longer than this multiple of its nominal time shows that the upstream
/// is slow or hangs.
const OVERDUE_FACTOR: u64 = 2;

/// Minimum ratio of measured to nominal call time that is assumed of an upstream after an overdue
/// call has broken.
const OVERDUE_RATIO: f64 = 3.0;

impl queue::Queue {
    /// Updates the queue with the outcome of a call.
    pub fn complete(
        &mut self,
        now: clock::Millis,
        id: call::CallId,
        outcome: outcome::CallOutcome,
    ) {
        let Some(running) = self.running.swap_remove(&id) else {
            return;
        };
        self.start_next_fetch(now, &running.upstream);
        match outcome {
            outcome::CallOutcome::Answered(outcomes) => {
                if let Some(worker) = self.workers.get_mut(&running.upstream) {
                    worker.on_answer(id, now - running.started_at, running.nominal_time);
                }
                self.record_outcomes(now, running, outcomes);
            }
            outcome::CallOutcome::Full => {
                self.requeue_refused(running, |worker| worker.on_full(now, id));
            }
            outcome::CallOutcome::Held(wait) => {
                self.requeue_refused(running, |worker| worker.on_held(now, id, wait));
            }
            outcome::CallOutcome::WrongUpstream => {
                self.workers.swap_remove(&running.upstream);
                self.requeue(running, |_| ());
            }
            outcome::CallOutcome::PathLost => {
                self.requeue(running, |worker| worker.on_path_lost(id));
            }
            outcome::CallOutcome::Broken => {
                let was_overdue =
                    now - running.started_at > running.nominal_time.times(OVERDUE_FACTOR);
                self.requeue(running, |worker| {
                    worker.on_failure(now, id);
                    if was_overdue {
                        worker.time_ratio = worker.time_ratio.max(OVERDUE_RATIO);
                    }
                });
            }
        }
    }

    /// Marks the next call of `worker` as fetching its inputs, because the previous call has ended.
    fn start_next_fetch(&mut self, now: clock::Millis, worker: &id::UpstreamId) {
        let mut calls = self.running.values_mut();
        let next = calls.find(|call| call.upstream == *worker);
        if let Some(next) = next.filter(|next| next.phase == running::Phase::Queued) {
            next.phase = running::Phase::Fetching(now.plus(sending::FETCH_TIME));
        }
    }

    /// Has the pieces of a call sent again that its upstream refused for now; the deadlines of the jobs
    /// bound how often.
    fn requeue_refused(
        &mut self,
        running: running::RunningCall,
        update: impl FnOnce(&mut worker::Worker),
    ) {
        self.release_worker(&running, update);
        for (job, piece, _) in running.pieces {
            self.queue_again(job, piece);
        }
    }

    fn requeue(&mut self, running: running::RunningCall, update: impl FnOnce(&mut worker::Worker)) {
        self.release_worker(&running, update);
        for (job, piece, _) in running.pieces {
            self.retry_piece(job, piece);
        }
    }

    /// Updates the upstream of a call that computed nothing.
    fn release_worker(
        &mut self,
        running: &running::RunningCall,
        update: impl FnOnce(&mut worker::Worker),
    ) {
        if let Some(worker) = self.workers.get_mut(&running.upstream) {
            worker.release(running.result_bytes);
            update(worker);
        }
    }

    /// Has a piece sent again, without counting that as a retry.
    fn queue_again(&mut self, job: call::JobId, piece: u32) {
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.unsent.push(piece);
            entry.fetched = entry.fetched.saturating_sub(1);
        }
    }

    fn retry_piece(&mut self, job: call::JobId, piece: u32) {
        self.queue_again(job, piece);
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.retries += 1;
        if entry.retries > RETRIES_PER_PIECE * entry.job.pieces.max(1) {
            self.finish(job, outcome::JobOutcome::Failed);
        }
    }

    fn record_outcomes(
        &mut self,
        now: clock::Millis,
        running: running::RunningCall,
        outcomes: Vec<outcome::PieceOutcome>,
    ) {
        let has_no_room = outcomes.contains(&outcome::PieceOutcome::NoRoom);
        let worker = running.upstream.clone();
        for ((job, piece, bytes), outcome) in running.pieces.into_iter().zip(outcomes) {
            if !matches!(outcome, outcome::PieceOutcome::Completed(_))
                && let Some(worker) = self.workers.get_mut(&running.upstream)
            {
                worker.release(bytes);
            }
            match outcome {
                outcome::PieceOutcome::Completed(handle) => self.deliver(job, piece, handle, bytes),
                outcome::PieceOutcome::TimedOut => self.finish(job, outcome::JobOutcome::TimedOut),
                outcome::PieceOutcome::InputGone => {
                    self.finish(job, outcome::JobOutcome::InputGone);
                }
                outcome::PieceOutcome::NoRoom => self.queue_again(job, piece),
                outcome::PieceOutcome::Failed => self.retry_piece(job, piece),
            }
        }
        if has_no_room && let Some(worker) = self.workers.get_mut(&worker) {
            worker.on_no_room(now, self.profile.capacity);
        }
    }

    fn deliver(&mut self, job: call::JobId, piece: u32, handle: handle::Handle, bytes: u64) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            self.discard(handle, bytes);
            return;
        };
        let Some(slot) = entry.results.get_mut(piece as usize) else {
            return;
        };
        *slot = Some(handle);
        if entry.results.iter().all(Option::is_some) {
            let handles = entry.results.drain(..).flatten().collect();
            self.consumed.extend(entry.take_consumed());
            self.finish(job, outcome::JobOutcome::Completed(handles));
        }
    }

    pub(super) fn finish(&mut self, id: call::JobId, outcome: outcome::JobOutcome) {
        if self.remove(id) {
            self.finished.push((id, outcome));
        }
    }
}
