//! Queue of the jobs for the upstreams of one pool in one failure domain, and their running calls.

use std::collections::BTreeMap;
use std::mem;
use std::net;

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::batch::call;
use crate::batch::cells;
use crate::batch::decisions;
use crate::batch::job;
use crate::batch::load;
use crate::batch::outcome;
use crate::batch::policy;
use crate::batch::running;
use crate::batch::terms;
use crate::batch::turns;
use crate::batch::waiting;
use crate::batch::worker;
use crate::directory::upstream;
use crate::model::handle;
use crate::model::pool;
use crate::model::priority;

mod ending;
mod sending;

/// Lead time for sending a full call before the running call is expected to end: a round trip
/// between regions and the delay of timers.
const SEND_AHEAD: clock::Millis = clock::Millis(55);

/// Weight of a new call in the moving average of pieces per call. The average covers about the last
/// ten calls, which is a few seconds for the two or three upstreams of a queue.
const FILL_SMOOTHING_FACTOR: f64 = 0.1;

/// Time within which the calls sent by the previous owner of the queue, another daemon, have ended:
/// one running call, and one queued behind that call.
const PREVIOUS_OWNER_GRACE: clock::Millis = clock::Millis(1500);

/// Maximum time between two checks of a queue that has unsent pieces.
const MAX_CHECK_INTERVAL: clock::Millis = clock::Millis(200);

/// Queue of jobs, with the upstreams that process their pieces.
#[derive(Debug)]
pub struct Queue {
    profile: pool::PieceProfile,
    policy: policy::Policy,
    turns: turns::Turns,
    decisions: decisions::Decisions,
    workers: IndexMap<id::UpstreamId, worker::Worker>,
    jobs: IndexMap<call::JobId, waiting::QueuedJob>,
    running: IndexMap<call::CallId, running::RunningCall>,
    finished: Vec<(call::JobId, outcome::JobOutcome)>,
    /// Results that no job will use.
    orphans: Vec<handle::Handle>,
    /// Inputs that have been fetched for all pieces of their jobs.
    consumed: Vec<call::ConsumedInputs>,
    last_id: u64,
    /// Moving average of pieces per call while more are waiting; less than a batch if memory for
    /// results is scarce.
    mean_fill: f64,
    /// Time from which no other daemon sends calls to the upstreams.
    exclusive_from: clock::Millis,
}

impl Queue {
    /// Creates an empty queue for upstreams with the given performance profile.
    pub fn new(profile: pool::PieceProfile) -> Self {
        Self {
            mean_fill: f64::from(profile.batch.max(1)),
            profile,
            policy: policy::Policy::default(),
            turns: turns::Turns::default(),
            decisions: decisions::Decisions::default(),
            workers: IndexMap::new(),
            jobs: IndexMap::new(),
            running: IndexMap::new(),
            finished: Vec::new(),
            orphans: Vec::new(),
            consumed: Vec::new(),
            last_id: 0,
            exclusive_from: clock::Millis::ZERO,
        }
    }

    /// Records that another daemon may have kept this queue until `now`.
    pub fn take_over(&mut self, now: clock::Millis) {
        self.exclusive_from = now.plus(PREVIOUS_OWNER_GRACE);
    }

    /// Hands back all jobs without a sent piece, because this daemon is shutting down.
    pub fn hand_over(&mut self) {
        self.hand_back_if(|_| true);
    }

    /// Replaces the performance profile of the upstreams.
    pub fn set_profile(&mut self, profile: pool::PieceProfile) {
        self.profile = profile;
    }

    /// Replaces the decisions that are enabled.
    pub fn set_policy(&mut self, policy: policy::Policy) {
        self.policy = policy;
    }

    /// Replaces the upstreams that accept calls; the state of those that still run is kept.
    pub fn set_upstreams(&mut self, upstreams: impl Iterator<Item = upstream::Upstream>) {
        let mut known = mem::take(&mut self.workers);
        for entry in upstreams {
            let worker = match known.swap_remove(&entry.id) {
                Some(mut worker) if worker.upstream.is_same_run(&entry) => {
                    worker.upstream = entry.clone();
                    worker
                }
                _ => worker::Worker::new(entry.clone()),
            };
            self.workers.insert(entry.id, worker);
        }
    }

    /// Adds a job of the customer with the hash `customer`, which is 0 for none, like
    /// [`Queue::submit_on`].
    pub fn submit(&mut self, now: clock::Millis, job: job::Job, customer: u64) -> call::JobId {
        let terms = terms::JobTerms {
            customer,
            ..terms::JobTerms::default()
        };
        self.submit_on(now, job, terms)
    }

    /// Adds a job on the `terms` of its request; its outcome is returned by [`Queue::take_finished`]
    /// unless it is cancelled.
    pub fn submit_on(
        &mut self,
        now: clock::Millis,
        job: job::Job,
        terms: terms::JobTerms,
    ) -> call::JobId {
        self.last_id += 1;
        let entry = waiting::QueuedJob {
            submitted_at: now,
            target_at: now.plus(job.target_left),
            deadline: now.plus(job.time_left),
            results: vec![None; job.pieces as usize],
            unsent: (0..job.pieces).collect(),
            fetched: 0,
            retries: 0,
            terms,
            job,
        };
        self.jobs.insert(self.last_id, entry);
        self.last_id
    }

    /// Removes a job whose outcome is no longer needed.
    pub fn cancel(&mut self, id: call::JobId) {
        self.remove(id);
    }

    /// Removes a job and discards the results computed for it; returns whether the job existed.
    fn remove(&mut self, id: call::JobId) -> bool {
        let Some(entry) = self.jobs.swap_remove(&id) else {
            return false;
        };
        for handle in entry.results.into_iter().flatten() {
            self.discard(handle, entry.job.bytes.0);
        }
        true
    }

    fn discard(&mut self, handle: handle::Handle, bytes: u64) {
        if let Some(holder) = handle.holder() {
            self.release(holder, bytes);
        }
        self.orphans.push(handle);
    }

    /// Takes the outcomes of the jobs that have ended since the previous call of this function.
    pub fn take_finished(&mut self) -> Vec<(call::JobId, outcome::JobOutcome)> {
        mem::take(&mut self.finished)
    }

    /// Takes the results that no job will use, so that the caller can free them.
    pub fn take_orphans(&mut self) -> Vec<handle::Handle> {
        mem::take(&mut self.orphans)
    }

    /// Takes the inputs that have been fetched for all pieces of their jobs.
    pub fn take_consumed(&mut self) -> Vec<call::ConsumedInputs> {
        mem::take(&mut self.consumed)
    }

    /// Takes the counts of decisions since the previous call of this function.
    pub fn take_decisions(&mut self) -> decisions::Decisions {
        mem::take(&mut self.decisions)
    }

    /// Records that results of about `bytes` were freed at the upstream with `address`.
    pub fn release(&mut self, address: net::SocketAddr, bytes: u64) {
        let holds = |worker: &&mut worker::Worker| worker.upstream.address == address;
        if let Some(worker) = self.workers.values_mut().find(holds) {
            worker.release(bytes);
        }
    }

    /// Records that calls of `upstream` take `ratio` times as long as usual, as its answer at `now`
    /// reports.
    pub fn report_speed(&mut self, now: clock::Millis, upstream: &id::UpstreamId, ratio: f64) {
        if self.policy.slow_upstreams == policy::SlowUpstreams::Avoid
            && let Some(worker) = self.workers.get_mut(upstream)
        {
            worker.on_report(now, ratio);
        }
    }

    /// Expected waits of a new job.
    pub fn load(&self, now: clock::Millis) -> load::Load {
        let is_usable = |worker: &&worker::Worker| !worker.is_excluded(now);
        let mut usable: Vec<_> = self.workers.values().filter(is_usable).collect();
        let fill = self.mean_fill as u32;
        let nominal = self.profile.call_time(fill);
        let mut call = nominal;
        if usable.is_empty() {
            // Slow upstreams get the calls if there are no others.
            let is_open = |worker: &&worker::Worker| !worker.is_closed(now);
            usable.extend(self.workers.values().filter(is_open));
            let times = usable
                .iter()
                .map(|worker| worker.expected_time(now, &self.profile, fill));
            call = times.min().unwrap_or(nominal).max(nominal);
        }
        let delay = (call - nominal).min(cells::NO_UPSTREAM_WAIT);
        let free_at = |worker: &&worker::Worker| worker.free_at(now).max(worker.backoff_until());
        let earliest = usable.iter().map(free_at).min();
        let Some(earliest) = earliest else {
            let pauses = self.workers.values().filter_map(|worker| worker.pause(now));
            return load::Load {
                wait: pauses.min().unwrap_or(cells::NO_UPSTREAM_WAIT),
                by_priority: Vec::new(),
            };
        };
        let call = call.as_f64();
        let wait = |pieces: usize| {
            let calls = (pieces as f64 / self.mean_fill).floor();
            let ahead = clock::Millis((calls * call / usable.len() as f64) as u64);
            ahead.plus(earliest - now).plus(delay)
        };
        let mut counts: BTreeMap<priority::Priority, usize> = BTreeMap::new();
        let usual_call = self.usual_call();
        let precedes_new = |entry: &waiting::QueuedJob| {
            let order = self.policy.order;
            self.policy.wait == policy::Wait::All || !entry.rank(order, now, usual_call).is_late()
        };
        let mut total = 0;
        for entry in self.jobs.values().filter(|entry| !entry.unsent.is_empty()) {
            total += entry.unsent.len();
            if precedes_new(entry) {
                *counts.entry(entry.job.priority).or_default() += entry.unsent.len();
            }
        }
        if total > 0 {
            // A job that precedes all others still waits for the running calls.
            counts.entry(priority::Priority::HIGHEST).or_default();
        }
        let mut ahead = 0;
        let by_priority = counts.into_iter().map(|(priority, pieces)| {
            ahead += pieces;
            (priority, wait(ahead))
        });
        let by_priority: Vec<_> = by_priority.collect();
        load::Load {
            wait: wait(total),
            by_priority,
        }
    }

    /// Expected time of a job's call: in the order by age, that of a half-filled batch.
    ///
    /// In the other orders, it is the time of a call of the usual size that is sent ahead of the end
    /// of the one before. By the shorter time, an overloaded queue in order of age serves jobs that
    /// just miss their target, and 0.4 of a priority's fair share is in time at three times the
    /// load that fits.
    fn usual_call(&self) -> clock::Millis {
        match self.policy.order {
            policy::Order::Age => self.profile.call_time(self.profile.batch / 2),
            policy::Order::Strict | policy::Order::Adaptive => self
                .profile
                .call_time(self.mean_fill as u32)
                .plus(SEND_AHEAD),
        }
    }

    /// Latest time at which [`Queue::dispatch`] must be called again; `None` if nothing is pending.
    pub fn next_wakeup(&self, now: clock::Millis) -> Option<clock::Millis> {
        let pending = self
            .running
            .values()
            .filter_map(running::RunningCall::fetched_at);
        let fetched = pending.map(|at| at.max(now)).min();
        let ends = self.jobs.values().map(|entry| entry.deadline.max(now));
        let next = fetched.into_iter().chain(ends).min()?;
        let has_unsent = self.jobs.values().any(|entry| !entry.unsent.is_empty());
        if !has_unsent {
            return Some(next);
        }
        let free = self.workers.values().map(|worker| {
            let lead = worker.free_at(now) - SEND_AHEAD;
            let pause = worker.pause(now).unwrap_or_default();
            lead.max(worker.backoff_until()).max(now.plus(pause))
        });
        let remote = self.jobs.values().map(waiting::QueuedJob::remote_from);
        // An upstream that is overdue needs no timer: its answer or its timeout causes a dispatch.
        let usable = free.chain(remote).filter(|at| *at > now).min();
        let check = now.plus(MAX_CHECK_INTERVAL);
        Some(next.min(usable.unwrap_or(check)).min(check))
    }
}
