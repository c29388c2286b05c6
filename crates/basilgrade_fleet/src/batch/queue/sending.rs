//! What is sent to whom, and when.

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::batch::call;
use crate::batch::job;
use crate::batch::maker;
use crate::batch::outcome;
use crate::batch::queue;
use crate::batch::running;
use crate::batch::waiting;

/// Each rank waits as long as a request of the rank above that came this much later.
///
/// Above the usual waits, so that a burst of a high rank goes first, and below the deadlines, so that
/// it does not starve the others.
const RANK_STEP: clock::Millis = clock::Millis(1500);

/// Results of at least this size are made in the failure domain of their request if possible.
const LARGE: u64 = 200_000;

/// A call is given up after this many times its expected time and a further allowance for the
/// network and for speed that has just changed.
const PATIENCE: u64 = 4;

const ALLOWANCE: clock::Millis = clock::Millis(500);

/// An upstream has fetched the inputs of a call this long after the turn of the call: a round trip
/// between regions twice, and the transfer.
pub(super) const FETCH: clock::Millis = clock::Millis(130);

impl queue::Queue {
    /// Ends jobs that are out of time, and returns the calls to send now.
    pub fn dispatch(&mut self, now: clock::Millis) -> Vec<call::Call> {
        self.expire(now);
        self.hand_back(now);
        self.note_fetched(now);
        let mut order = self.order(now);
        let mut calls = Vec::new();
        let mut skipped: Vec<id::UpstreamId> = Vec::new();
        while !order.is_empty() {
            let Some(maker) = self.pick(now, &order, &skipped) else {
                break;
            };
            let Some(call) = self.fill(now, &maker, &mut order) else {
                skipped.push(maker);
                continue;
            };
            self.note_fill(call.items.len(), order.is_empty());
            calls.push(call);
        }
        calls
    }

    /// Notes how many pieces a call took, and whether it took all that waited.
    fn note_fill(&mut self, taken: usize, is_all: bool) {
        let batch = f64::from(self.pieces.batch.max(1));
        // A call that took all says nothing of how many more there was room for.
        let seen = if is_all { batch } else { taken as f64 };
        self.fill += (seen - self.fill) * queue::FILL_WEIGHT;
        self.fill = self.fill.clamp(1.0, batch);
    }

    /// Notes the inputs that have been fetched by now.
    fn note_fetched(&mut self, now: clock::Millis) {
        if now < self.alone_from {
            return;
        }
        let is_due = |call: &&mut running::Running| call.fetched_at().is_some_and(|at| at <= now);
        for call in self.running.values_mut().filter(is_due) {
            call.turn = running::Turn::Fetched;
            for (job, _, _) in &call.pieces {
                let Some(entry) = self.jobs.get_mut(job) else {
                    continue;
                };
                entry.fetched += 1;
                if entry.fetched < entry.job.pieces {
                    continue;
                }
                self.spent.extend(entry.take_spent());
            }
        }
    }

    fn expire(&mut self, now: clock::Millis) {
        let least = self.pieces.call_time(1);
        let kept = self.pieces.ttl;
        let over = |(id, entry): (&call::JobId, &waiting::Waiting)| {
            let hopeless = !entry.unsent.is_empty() && now.plus(least) > entry.end_at;
            if hopeless || now > entry.end_at {
                return Some((*id, outcome::JobOutcome::TimedOut));
            }
            let is_lost = entry.holds_inputs()
                && entry.unsent.len() == entry.job.pieces as usize
                && now > entry.since.plus(kept);
            is_lost.then_some((*id, outcome::JobOutcome::InputGone))
        };
        let ended: Vec<_> = self.jobs.iter().filter_map(over).collect();
        for (id, outcome) in ended {
            self.finish(id, outcome);
        }
    }

    /// Hands back the jobs that another queue can take, while no upstream of this one works.
    fn hand_back(&mut self, now: clock::Millis) {
        if self.makers.values().any(|maker| !maker.is_out(now)) {
            return;
        }
        self.hand_back_if(|job| job.fallback == job::Fallback::HandBack);
    }

    /// Hands back the jobs that `is_movable` names and of which nothing was sent.
    pub(super) fn hand_back_if(&mut self, is_movable: impl Fn(&job::Job) -> bool) {
        let is_movable = |entry: &waiting::Waiting| {
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

    /// Jobs with waiting pieces, the most urgent first.
    fn order(&self, now: clock::Millis) -> Vec<call::JobId> {
        let call = self.pieces.call_time(self.pieces.batch / 2);
        let mut order: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, entry)| !entry.unsent.is_empty())
            .map(|(id, entry)| {
                let is_late = now.plus(call) > entry.aim_at;
                let turn = entry
                    .since
                    .plus(clock::Millis(RANK_STEP.0 * u64::from(entry.job.priority.0)));
                (is_late, turn, *id)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, id)| id).collect()
    }

    /// The upstream for the next call, or `None` when all are busy.
    fn pick(
        &self,
        now: clock::Millis,
        order: &[call::JobId],
        skipped: &[id::UpstreamId],
    ) -> Option<id::UpstreamId> {
        let waiting: usize = order.iter().map(|id| self.jobs[id].unsent.len()).sum();
        let healthy = self
            .makers
            .values()
            .filter(|maker| !maker.is_slow())
            .count();
        let is_crowded = waiting > self.pieces.batch as usize * healthy.max(1);
        let is_free = |maker: &&maker::Maker| {
            if maker.is_resting(now) || skipped.contains(&maker.upstream.id) {
                return false;
            }
            if !order.iter().any(|job| self.is_open(now, *job, maker)) {
                return false;
            }
            if maker.is_slow() && !is_crowded && healthy > 0 && !maker.is_probe_due(now) {
                return false;
            }
            let slots = self.pieces.slots.max(1) as usize;
            if maker.calls.len() < slots {
                return true;
            }
            let is_full_call = waiting >= self.pieces.batch as usize;
            maker.calls.len() == slots
                && is_full_call
                && maker.free_at(now) <= now.plus(queue::LEAD)
        };
        let rank = |maker: &&maker::Maker| {
            let first = order.iter().find(|job| self.is_open(now, **job, maker));
            let is_far = first.is_some_and(|first| {
                let first = &self.jobs[first].job;
                let size = first.bytes.0.max(first.fetch_size.0);
                size >= LARGE && maker.upstream.domain != first.domain
            });
            let speed = (maker.ratio * 4.0) as u64;
            (maker.is_slow(), maker.calls.len(), is_far, speed)
        };
        let best = self.makers.values().filter(is_free).min_by_key(rank)?;
        Some(best.upstream.id.clone())
    }

    /// Whether `maker` may make pieces of `job` by now.
    ///
    /// Those with large inputs wait for an upstream near them, as long as there is one.
    fn is_open(&self, now: clock::Millis, job: call::JobId, maker: &maker::Maker) -> bool {
        let entry = &self.jobs[&job];
        if maker.upstream.domain == entry.job.domain || now >= entry.far_from() {
            return true;
        }
        let is_near = |other: &maker::Maker| {
            other.upstream.domain == entry.job.domain && !other.is_slow() && !other.is_resting(now)
        };
        !self.makers.values().any(is_near)
    }

    /// Takes jobs for a call to `id`, in order; `None` when no job fits its room.
    fn fill(
        &mut self,
        now: clock::Millis,
        id: &id::UpstreamId,
        order: &mut Vec<call::JobId>,
    ) -> Option<call::Call> {
        let limit = self.pieces.batch.max(1) as usize;
        let mut room = self.makers.get_mut(id)?.room(now, self.pieces.capacity);
        let mut chosen: Vec<(call::JobId, u32, u64)> = Vec::new();
        let mut bytes = 0;
        // A slow upstream is tried with the work that can wait longest.
        let is_probe = self.makers[id].is_slow();
        let places: Vec<call::JobId> = if is_probe {
            order.iter().rev().take(1).copied().collect()
        } else {
            order.clone()
        };
        let maker = &self.makers[id];
        let places: Vec<call::JobId> = places
            .into_iter()
            .filter(|job| self.is_open(now, *job, maker))
            .collect();
        for job in places {
            let free = limit - chosen.len();
            if free == 0 {
                break;
            }
            let entry = &mut self.jobs[&job];
            let size = entry.job.bytes.0.max(1);
            let fits = free.min((room / size) as usize);
            // A job is not torn apart as long as the call has other work.
            if fits == 0 || (fits < entry.unsent.len() && !chosen.is_empty()) {
                continue;
            }
            let count = fits.min(entry.unsent.len());
            chosen.extend(entry.unsent.drain(..count).map(|piece| (job, piece, size)));
            room -= size * count as u64;
            bytes += size * count as u64;
        }
        if chosen.is_empty() {
            return None;
        }
        order.retain(|job| !self.jobs[job].unsent.is_empty());
        Some(self.start(now, id, chosen, bytes))
    }

    fn start(
        &mut self,
        now: clock::Millis,
        id: &id::UpstreamId,
        chosen: Vec<(call::JobId, u32, u64)>,
        bytes: u64,
    ) -> call::Call {
        self.next += 1;
        let call = self.next;
        let count = chosen.len() as u32;
        let nominal = self.pieces.call_time(count);
        let maker = &mut self.makers[id];
        let expected = maker.expected(&self.pieces, count);
        let end = maker.free_at(now).plus(expected);
        let wait = end - now;
        let is_first = maker.calls.is_empty();
        maker.start(now, call, end);
        maker.hold(end.plus(self.pieces.ttl), bytes);
        let address = maker.upstream.address;
        let items = chosen
            .iter()
            .map(|(job, piece, _)| {
                let entry = &self.jobs[job];
                call::Item {
                    request: entry.job.request.clone(),
                    stage: entry.job.stage,
                    piece: *piece,
                    time_left: entry.end_at - now,
                    source: entry.job.source.clone(),
                }
            })
            .collect();
        let running = running::Running {
            maker: id.clone(),
            pieces: chosen,
            sent: now.max(end - expected),
            nominal,
            bytes,
            turn: if is_first {
                running::Turn::Fetching(now.plus(FETCH))
            } else {
                running::Turn::Ahead
            },
        };
        self.running.insert(call, running);
        call::Call {
            id: call,
            upstream: id.clone(),
            address,
            items,
            timeout: clock::Millis(wait.0 * PATIENCE).plus(ALLOWANCE),
        }
    }
}
