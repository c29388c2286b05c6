//! Selection of the pieces for the next calls, and of the upstreams that receive them.

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::batch::call;
use crate::batch::job;
use crate::batch::order;
use crate::batch::outcome;
use crate::batch::policy;
use crate::batch::queue;
use crate::batch::running;
use crate::batch::waiting;
use crate::batch::worker;

/// Results or inputs of at least this size make a job prefer upstreams in its own failure domain.
const LARGE_RESULT_BYTES: u64 = 200_000;

/// A call times out after this multiple of its expected time plus `TIMEOUT_MARGIN`, which covers
/// the network and recent changes in the speed of the upstream.
const TIMEOUT_FACTOR: u64 = 4;

const TIMEOUT_MARGIN: clock::Millis = clock::Millis(500);

/// Time that an upstream takes to fetch the inputs of a call it starts: two round trips between
/// regions, and the transfer.
pub(super) const FETCH_TIME: clock::Millis = clock::Millis(130);

impl queue::Queue {
    /// Ends jobs that cannot meet their deadline, and returns the calls to send now.
    pub fn dispatch(&mut self, now: clock::Millis) -> Vec<call::Call> {
        self.end_overdue(now);
        self.hand_back(now);
        self.mark_fetched(now);
        let mut order = self.job_order(now);
        let mut calls = Vec::new();
        let mut skipped: Vec<id::UpstreamId> = Vec::new();
        while !order.is_empty() {
            let Some(worker) = self.pick_worker(now, &order, &skipped) else {
                break;
            };
            let Some(call) = self.fill_call(now, &worker, &mut order) else {
                skipped.push(worker);
                continue;
            };
            self.update_fill(call.items.len(), order.is_empty());
            calls.push(call);
        }
        calls
    }

    /// Updates the moving average of pieces per call with a call of `taken` pieces.
    ///
    /// `is_all` tells that the call took all waiting pieces.
    fn update_fill(&mut self, taken: usize, is_all: bool) {
        let batch = f64::from(self.profile.batch.max(1));
        // A call that took all waiting pieces does not show how many more would have fitted.
        let seen = if is_all { batch } else { taken as f64 };
        self.mean_fill += (seen - self.mean_fill) * queue::FILL_SMOOTHING_FACTOR;
        self.mean_fill = self.mean_fill.clamp(1.0, batch);
    }

    /// Marks the inputs that have been fetched by `now`, and collects those that are consumed.
    ///
    /// Does nothing while calls of the previous owner of the queue may run: a call may wait behind
    /// one of them, so the time at which its inputs are fetched is unknown.
    fn mark_fetched(&mut self, now: clock::Millis) {
        if now < self.exclusive_from {
            return;
        }
        let is_due =
            |call: &&mut running::RunningCall| call.fetched_at().is_some_and(|at| at <= now);
        for call in self.running.values_mut().filter(is_due) {
            call.phase = running::Phase::Fetched;
            for (job, _, _) in &call.pieces {
                let Some(entry) = self.jobs.get_mut(job) else {
                    continue;
                };
                entry.fetched += 1;
                if entry.fetched < entry.job.pieces {
                    continue;
                }
                self.consumed.extend(entry.take_consumed());
            }
        }
    }

    fn end_overdue(&mut self, now: clock::Millis) {
        let shortest_call = self.profile.call_time(1);
        let next_start = self.next_start(now);
        let ttl = self.profile.ttl;
        let ended_outcome = |(id, entry): (&call::JobId, &waiting::QueuedJob)| {
            let is_unservable =
                !entry.unsent.is_empty() && next_start.plus(shortest_call) > entry.deadline;
            if is_unservable || now >= entry.deadline {
                return Some((*id, outcome::JobOutcome::TimedOut));
            }
            let has_lost_inputs = entry.needs_inputs()
                && entry.unsent.len() == entry.job.pieces as usize
                && now > entry.submitted_at.plus(ttl);
            has_lost_inputs.then_some((*id, outcome::JobOutcome::InputGone))
        };
        let ended: Vec<_> = self.jobs.iter().filter_map(ended_outcome).collect();
        for (id, outcome) in ended {
            let job = &self.jobs[&id];
            let is_unsent = job.unsent.len() == job.job.pieces as usize;
            self.decisions.dropped += u64::from(is_unsent);
            self.finish(id, outcome);
        }
    }

    /// Earliest time at which a call can start; `now` unless unservable jobs are dropped, or if the
    /// times at which upstreams are free are unknown.
    ///
    /// It answers an overload in which each upstream runs a call: a job that cannot end after it takes
    /// room in reported waits until then, and its caller is told late.
    fn next_start(&self, now: clock::Millis) -> clock::Millis {
        let open = self
            .workers
            .values()
            .filter(|worker| !worker.is_closed(now));
        let free = open.map(|worker| worker.free_at(now)).min();
        if self.policy.drops_unservable {
            free.unwrap_or(now)
        } else {
            now
        }
    }

    /// Hands back the jobs that another queue can take if every upstream of this queue is excluded.
    fn hand_back(&mut self, now: clock::Millis) {
        if self.workers.values().any(|worker| !worker.is_excluded(now)) {
            return;
        }
        self.hand_back_if(|job| job.fallback == job::Fallback::HandBack);
    }

    /// Hands back the jobs without a sent piece for which `is_movable` returns `true`.
    pub(super) fn hand_back_if(&mut self, is_movable: impl Fn(&job::Job) -> bool) {
        let is_movable = |entry: &waiting::QueuedJob| {
            entry.unsent.len() == entry.job.pieces as usize && is_movable(&entry.job)
        };
        let ids: Vec<_> = self
            .jobs
            .iter()
            .filter_map(|(id, entry)| is_movable(entry).then_some(*id))
            .collect();
        for id in ids {
            self.finish(id, outcome::JobOutcome::HandedBack);
        }
    }

    /// Ids of the jobs with unsent pieces, the most urgent first.
    fn job_order(&mut self, now: clock::Millis) -> Vec<call::JobId> {
        let call = self.usual_call();
        let waiting: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, entry)| !entry.unsent.is_empty())
            .map(|(id, entry)| order::Waiting {
                rank: entry.rank(self.policy.order, now, call),
                pieces: entry.unsent.len(),
                customer: entry.terms.customer,
                id: *id,
            })
            .collect();
        let usable = self
            .workers
            .values()
            .filter(|worker| !worker.is_excluded(now));
        let outlook = order::Outlook {
            now,
            call,
            room: self.mean_fill * usable.count() as f64,
        };
        order::sorted(
            &self.policy,
            waiting,
            &outlook,
            &self.turns,
            &mut self.decisions,
        )
    }

    /// The best upstream for the next call, or `None` if none can take one.
    fn pick_worker(
        &self,
        now: clock::Millis,
        order: &[call::JobId],
        skipped: &[id::UpstreamId],
    ) -> Option<id::UpstreamId> {
        let waiting: usize = order.iter().map(|id| self.jobs[id].unsent.len()).sum();
        let healthy = self
            .workers
            .values()
            .filter(|worker| !worker.is_slow())
            .count();
        let is_overloaded = waiting > (self.profile.batch as usize).saturating_mul(healthy.max(1));
        let is_free = |worker: &&worker::Worker| {
            if worker.is_closed(now) || skipped.contains(&worker.upstream.id) {
                return false;
            }
            if !order.iter().any(|job| self.may_run_on(now, *job, worker)) {
                return false;
            }
            if worker.is_slow() && !is_overloaded && healthy > 0 && !worker.is_probe_due(now) {
                return false;
            }
            let slots = self.profile.slots.max(1) as usize;
            if worker.calls.len() < slots {
                return true;
            }
            // A brittle upstream may have no room for a call that waits.
            let takes_waiting = !worker.upstream.stats.notices.is_brittle();
            let is_full_call = waiting >= self.profile.batch as usize;
            worker.calls.len() == slots
                && takes_waiting
                && is_full_call
                && worker.free_at(now) <= now.plus(queue::SEND_AHEAD)
        };
        let sort_key = |worker: &&worker::Worker| {
            let first = order.iter().find(|job| self.may_run_on(now, **job, worker));
            let is_remote = first.is_some_and(|first| {
                let first = &self.jobs[first].job;
                let size = first.bytes.0.max(first.fetch_size.0);
                size >= LARGE_RESULT_BYTES && worker.upstream.domain != first.domain
            });
            let slowness = (worker.time_ratio * 4.0) as u64;
            (worker.is_slow(), worker.calls.len(), is_remote, slowness)
        };
        let best = self.workers.values().filter(is_free).min_by_key(sort_key)?;
        Some(best.upstream.id.clone())
    }

    /// Whether `worker` may process pieces of `job` at `now`.
    ///
    /// Jobs with large inputs wait for an upstream in their failure domain while a healthy one
    /// exists there.
    fn may_run_on(&self, now: clock::Millis, job: call::JobId, worker: &worker::Worker) -> bool {
        let entry = &self.jobs[&job];
        if worker.upstream.domain == entry.job.domain || now >= entry.remote_from() {
            return true;
        }
        let is_healthy_local = |other: &worker::Worker| {
            other.upstream.domain == entry.job.domain && !other.is_slow() && !other.is_closed(now)
        };
        !self.workers.values().any(is_healthy_local)
    }

    /// Number of the first jobs of `order` that a call to the upstream `id` leaves to others, as these
    /// are expected to end them before it.
    fn kept_count(&self, now: clock::Millis, id: &id::UpstreamId, order: &[call::JobId]) -> usize {
        let own = &self.workers[id];
        if !own.is_reported_slow(now) {
            return 0;
        }
        let fill = self.mean_fill as u32;
        let span = |worker: &worker::Worker| {
            let start = worker.free_at(now);
            start.plus(worker.expected_time(start, &self.profile, fill))
        };
        let end = span(own);
        let is_faster = |worker: &&worker::Worker| {
            worker.upstream.id != *id && !worker.is_excluded(now) && span(worker) < end
        };
        let faster = self.workers.values().filter(is_faster).count();
        let mut room = self.mean_fill as usize * faster;
        let mut is_kept = |job: &call::JobId| {
            let pieces = self.jobs[job].unsent.len();
            let fits = pieces <= room;
            room = room.saturating_sub(pieces);
            fits
        };
        order.iter().take_while(|job| is_kept(job)).count()
    }

    /// Fills a call to the upstream `id` with pieces in the given order of jobs; `None` if no piece
    /// fits into the upstream's free memory.
    fn fill_call(
        &mut self,
        now: clock::Millis,
        id: &id::UpstreamId,
        order: &mut Vec<call::JobId>,
    ) -> Option<call::Call> {
        let limit = self.profile.batch.max(1) as usize;
        let mut free_bytes = self
            .workers
            .get_mut(id)?
            .free_bytes(now, self.profile.capacity);
        let mut selected: Vec<(call::JobId, u32, u64)> = Vec::new();
        let mut result_bytes = 0;
        // A slow upstream is probed with the least urgent job.
        let is_probe = self.workers[id].is_slow();
        let candidates: Vec<call::JobId> = if is_probe {
            order.iter().rev().take(1).copied().collect()
        } else {
            let kept = self.kept_count(now, id, order);
            self.decisions.kept += kept as u64;
            order[kept..].to_vec()
        };
        let worker = &self.workers[id];
        let candidates: Vec<call::JobId> = candidates
            .into_iter()
            .filter(|job| self.may_run_on(now, *job, worker))
            .collect();
        for job in candidates {
            let free = limit - selected.len();
            if free == 0 {
                break;
            }
            let entry = &mut self.jobs[&job];
            let size = entry.job.bytes.0.max(1);
            let fits = free.min((free_bytes / size) as usize);
            // A job is not split between calls while the call has other pieces.
            if fits == 0 || (fits < entry.unsent.len() && !selected.is_empty()) {
                continue;
            }
            let count = fits.min(entry.unsent.len());
            selected.extend(entry.unsent.drain(..count).map(|piece| (job, piece, size)));
            if self.policy.customers == policy::Customers::Share {
                let level = entry.job.priority.0;
                self.turns.charge(level, entry.terms.customer, count);
            }
            free_bytes -= size * count as u64;
            result_bytes += size * count as u64;
        }
        if selected.is_empty() {
            return None;
        }
        order.retain(|job| !self.jobs[job].unsent.is_empty());
        Some(self.start_call(now, id, selected, result_bytes))
    }

    fn start_call(
        &mut self,
        now: clock::Millis,
        id: &id::UpstreamId,
        selected: Vec<(call::JobId, u32, u64)>,
        result_bytes: u64,
    ) -> call::Call {
        self.last_id += 1;
        let call = self.last_id;
        let count = selected.len() as u32;
        let nominal_time = self.profile.call_time(count);
        let worker = &mut self.workers[id];
        let expected = worker.expected_time(worker.free_at(now), &self.profile, count);
        let end = worker.free_at(now).plus(expected);
        let wait = end - now;
        let is_first = worker.calls.is_empty();
        worker.start(now, call, end);
        worker.hold(end.plus(self.profile.ttl), result_bytes);
        let address = worker.upstream.address;
        let mut entries = selected.iter().map(|(job, _, _)| &self.jobs[job]);
        let is_restricted = entries.any(|entry| entry.terms.regions.is_restricted());
        let items = selected
            .iter()
            .map(|(job, piece, _)| {
                let entry = &self.jobs[job];
                call::Item {
                    request: entry.job.request.clone(),
                    stage: entry.job.stage,
                    piece: *piece,
                    time_left: entry.deadline - now,
                    source: entry.job.source.clone(),
                }
            })
            .collect();
        let running = running::RunningCall {
            upstream: id.clone(),
            pieces: selected,
            started_at: now.max(end - expected),
            nominal_time,
            result_bytes,
            phase: if is_first {
                running::Phase::Fetching(now.plus(FETCH_TIME))
            } else {
                running::Phase::Queued
            },
        };
        self.running.insert(call, running);
        call::Call {
            id: call,
            upstream: id.clone(),
            address,
            items,
            is_restricted,
            timeout: wait.times(TIMEOUT_FACTOR).plus(TIMEOUT_MARGIN),
        }
    }
}
