//! Jobs that wait for one pool of upstreams, and the calls that are under way.

use std::collections::BTreeMap;
use std::mem;
use std::net;

use basilgrade_types::clock;
use basilgrade_types::id;
use compact_str::CompactString;
use indexmap::IndexMap;

use crate::batch::job;
use crate::batch::load;
use crate::batch::maker;
use crate::batch::outcome;
use crate::directory::upstream;
use crate::model::handle;
use crate::model::pool;
use crate::model::rank;

/// Each rank waits as long as a request of the rank above that came this much later.
///
/// Above the usual waits, so that a burst of a high rank goes first, and below the deadlines, so that
/// it does not starve the others.
const RANK_STEP: clock::Millis = clock::Millis(1500);

/// A call is sent this long before the running one ends, when a full call waits: a round trip
/// between regions and the delay of timers.
const LEAD: clock::Millis = clock::Millis(55);

/// Times that the pieces of a job are sent again.
const REPEATS: u32 = 4;

/// Results of at least this size are made in the failure domain of their request if possible.
const LARGE: u64 = 200_000;

/// Pieces wait for an upstream in the failure domain of their inputs, this long for each megabyte
/// that they would fetch from there: the price of a megabyte is that of late answers of this span.
const NEAR_WAIT_PER_MB: f64 = 100.0;

/// Longest such wait, about one call.
const NEAR_WAIT_LIMIT: clock::Millis = clock::Millis(400);

/// A call is given up after this many times its expected time and a further allowance for the
/// network and for speed that has just changed.
const PATIENCE: u64 = 4;
const ALLOWANCE: clock::Millis = clock::Millis(500);

/// A call that broke off after this many times its nominal time was slow, or its upstream silent.
const SILENT_TIMES: u64 = 2;

/// Speed that a call without an answer is taken for.
const SILENT_RATIO: f64 = 3.0;

/// Longest time between two looks at a queue in which pieces wait.
const RECHECK: clock::Millis = clock::Millis(200);

/// Wait that is told when no upstream is known.
const NO_UPSTREAM_WAIT: clock::Millis = clock::Millis(2000);

/// An upstream has fetched the inputs of a call this long after the turn of the call: a round trip
/// between regions twice, and the transfer.
const FETCH: clock::Millis = clock::Millis(130);

/// Identifies a job in its queue.
pub type JobId = u64;

/// Identifies a call in its queue.
pub type CallId = u64;

/// A call to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its number.
    pub id: CallId,
    /// Where it goes.
    pub upstream: id::UpstreamId,
    /// The address of the upstream.
    pub address: net::SocketAddr,
    /// The pieces.
    pub items: Vec<Item>,
    /// When it counts as broken.
    pub timeout: clock::Millis,
}

/// One piece of a call.
#[derive(Clone, Debug)]
pub struct Item {
    /// The caller's id of the request.
    pub request: CompactString,
    /// Number of the stage.
    pub stage: u32,
    /// Number of the piece.
    pub piece: u32,
    /// Time until the result is of no use.
    pub left: clock::Millis,
    /// What the piece is made from.
    pub source: job::Source,
}

#[derive(Debug)]
struct Entry {
    job: job::Job,
    since: clock::Millis,
    aim_at: clock::Millis,
    end_at: clock::Millis,
    made: Vec<Option<handle::Handle>>,
    waiting: Vec<u32>,
    /// Pieces whose inputs have been fetched.
    fetched: u32,
    repeats: u32,
}

impl Entry {
    /// When upstreams of other failure domains may make the pieces.
    fn far_from(&self) -> clock::Millis {
        let wait = self.job.fetched.0 as f64 / 1e6 * NEAR_WAIT_PER_MB;
        let wait = clock::Millis(wait as u64).min(NEAR_WAIT_LIMIT);
        self.since.plus(wait).min(self.aim_at)
    }
}

#[derive(Debug)]
struct Running {
    maker: id::UpstreamId,
    /// Job, number and approximate size of the result of each piece.
    pieces: Vec<(JobId, u32, u64)>,
    sent: clock::Millis,
    nominal: clock::Millis,
    bytes: u64,
    /// When the inputs have been fetched, if the call's turn has come and they have not been yet.
    fetched_at: Option<clock::Millis>,
}

/// Inputs that are no longer needed.
#[derive(Clone, Debug, PartialEq)]
pub struct Spent {
    /// Where they are held.
    pub inputs: job::Inputs,
    /// The inputs.
    pub handles: Vec<handle::Handle>,
}

/// The queue of one pool.
#[derive(Debug)]
pub struct Queue {
    pieces: pool::Pieces,
    makers: IndexMap<id::UpstreamId, maker::Maker>,
    jobs: IndexMap<JobId, Entry>,
    running: IndexMap<CallId, Running>,
    finished: Vec<(JobId, outcome::JobOutcome)>,
    orphans: Vec<handle::Handle>,
    spent: Vec<Spent>,
    next: u64,
}

impl Queue {
    /// An empty queue for upstreams that work as `pieces` says.
    pub fn new(pieces: pool::Pieces) -> Self {
        Self {
            pieces,
            makers: IndexMap::new(),
            jobs: IndexMap::new(),
            running: IndexMap::new(),
            finished: Vec::new(),
            orphans: Vec::new(),
            spent: Vec::new(),
            next: 0,
        }
    }

    /// Replaces what is known of the work of an upstream.
    pub fn set_pieces(&mut self, pieces: pool::Pieces) {
        self.pieces = pieces;
    }

    /// Replaces the upstreams that accept work; evidence about known ones is kept.
    pub fn set_upstreams(&mut self, upstreams: impl Iterator<Item = upstream::Upstream>) {
        let mut known = mem::take(&mut self.makers);
        for entry in upstreams {
            let maker = match known.swap_remove(&entry.id) {
                Some(mut maker) if maker.upstream.is_same_run(&entry) => {
                    maker.upstream = entry.clone();
                    maker
                }
                _ => maker::Maker::new(entry.clone()),
            };
            self.makers.insert(entry.id, maker);
        }
    }

    /// Adds a job; it ends in [`Queue::take_finished`] unless it is cancelled.
    pub fn submit(&mut self, now: clock::Millis, job: job::Job) -> JobId {
        self.next += 1;
        let entry = Entry {
            since: now,
            aim_at: now.plus(job.aim),
            end_at: now.plus(job.left),
            made: vec![None; job.pieces as usize],
            waiting: (0..job.pieces).collect(),
            fetched: 0,
            repeats: 0,
            job,
        };
        self.jobs.insert(self.next, entry);
        self.next
    }

    /// Drops a job that nobody waits for any more.
    pub fn cancel(&mut self, id: JobId) {
        self.remove(id);
    }

    /// Removes a job; results that were made for it are of no use.
    fn remove(&mut self, id: JobId) -> bool {
        let Some(entry) = self.jobs.swap_remove(&id) else {
            return false;
        };
        for handle in entry.made.into_iter().flatten() {
            self.give_up(handle, entry.job.bytes.0);
        }
        true
    }

    fn give_up(&mut self, handle: handle::Handle, bytes: u64) {
        if let Some(holder) = handle.holder() {
            self.release(holder, bytes);
        }
        self.orphans.push(handle);
    }

    /// Jobs that have ended since the last call.
    pub fn take_finished(&mut self) -> Vec<(JobId, outcome::JobOutcome)> {
        mem::take(&mut self.finished)
    }

    /// Results that nobody will use.
    pub fn take_orphans(&mut self) -> Vec<handle::Handle> {
        mem::take(&mut self.orphans)
    }

    /// Inputs that have been fetched for all pieces of their jobs.
    pub fn take_spent(&mut self) -> Vec<Spent> {
        mem::take(&mut self.spent)
    }

    /// Notes that results of about `bytes` held by `address` were freed.
    pub fn release(&mut self, address: net::SocketAddr, bytes: u64) {
        let held = |maker: &&mut maker::Maker| maker.upstream.address == address;
        if let Some(maker) = self.makers.values_mut().find(held) {
            maker.release(bytes);
        }
    }

    /// How long a new job can expect to wait.
    pub fn load(&self, now: clock::Millis) -> load::Load {
        let usable = |maker: &&maker::Maker| !maker.is_resting(now) && !maker.is_slow();
        let healthy: Vec<_> = self.makers.values().filter(usable).collect();
        let earliest = healthy.iter().map(|maker| maker.free_at(now)).min();
        let Some(earliest) = earliest else {
            return load::Load {
                wait: NO_UPSTREAM_WAIT,
                ranks: Vec::new(),
            };
        };
        let call = self.pieces.span(self.pieces.batch);
        let wait = |pieces: usize| {
            let calls = pieces as u64 / u64::from(self.pieces.batch.max(1));
            clock::Millis(calls * call.0 / healthy.len() as u64).plus(earliest - now)
        };
        let mut counts: BTreeMap<rank::Rank, usize> = BTreeMap::new();
        for entry in self.jobs.values().filter(|entry| !entry.waiting.is_empty()) {
            *counts.entry(entry.job.rank).or_default() += entry.waiting.len();
        }
        let mut ahead = 0;
        let ranks = counts.into_iter().map(|(rank, pieces)| {
            ahead += pieces;
            (rank, wait(ahead))
        });
        let ranks: Vec<_> = ranks.collect();
        load::Load {
            wait: wait(ahead),
            ranks,
        }
    }

    /// When [`Queue::dispatch`] should be called again at the latest.
    pub fn wake(&self, now: clock::Millis) -> Option<clock::Millis> {
        let pending = self.running.values().filter_map(|call| call.fetched_at);
        let fetched = pending.map(|at| at.max(now)).min();
        let waits = self.jobs.values().any(|entry| !entry.waiting.is_empty());
        if !waits {
            return fetched;
        }
        let free = self.makers.values().map(|maker| {
            let lead = maker.free_at(now) - LEAD;
            lead.max(maker.rest_until())
        });
        let ends = self.jobs.values().map(|entry| entry.end_at);
        let far = self.jobs.values().map(Entry::far_from);
        let next = free.chain(ends).chain(far).filter(|at| *at > now).min();
        // An upstream that is overdue wakes the queue by its answer or its timeout.
        let next = next.unwrap_or(clock::Millis::MAX).min(now.plus(RECHECK));
        Some(fetched.map_or(next, |at| at.min(next)))
    }

    /// Ends jobs that are out of time, and returns the calls to send now.
    pub fn dispatch(&mut self, now: clock::Millis) -> Vec<Call> {
        self.expire(now);
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
            calls.push(call);
        }
        calls
    }

    /// Notes the inputs that have been fetched by now.
    fn note_fetched(&mut self, now: clock::Millis) {
        let is_due = |call: &&mut Running| call.fetched_at.is_some_and(|at| at <= now);
        for call in self.running.values_mut().filter(is_due) {
            call.fetched_at = None;
            for (job, _, _) in &call.pieces {
                let Some(entry) = self.jobs.get_mut(job) else {
                    continue;
                };
                entry.fetched += 1;
                if entry.fetched < entry.job.pieces {
                    continue;
                }
                let job::Source::Results(handles) = &entry.job.source else {
                    continue;
                };
                if let Some(inputs) = entry.job.inputs.take() {
                    let handles = handles.clone();
                    self.spent.push(Spent { inputs, handles });
                }
            }
        }
    }

    fn expire(&mut self, now: clock::Millis) {
        let least = self.pieces.span(1);
        let late = |(id, entry): (&JobId, &Entry)| {
            let hopeless = !entry.waiting.is_empty() && now.plus(least) > entry.end_at;
            (hopeless || now > entry.end_at).then_some(*id)
        };
        let ids: Vec<_> = self.jobs.iter().filter_map(late).collect();
        for id in ids {
            self.finish(id, outcome::JobOutcome::Late);
        }
    }

    /// Jobs with waiting pieces, the most urgent first.
    fn order(&self, now: clock::Millis) -> Vec<JobId> {
        let call = self.pieces.span(self.pieces.batch / 2);
        let mut order: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, entry)| !entry.waiting.is_empty())
            .map(|(id, entry)| {
                let is_late = now.plus(call) > entry.aim_at;
                let turn = entry
                    .since
                    .plus(clock::Millis(RANK_STEP.0 * u64::from(entry.job.rank.0)));
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
        order: &[JobId],
        skipped: &[id::UpstreamId],
    ) -> Option<id::UpstreamId> {
        let waiting: usize = order.iter().map(|id| self.jobs[id].waiting.len()).sum();
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
            maker.calls.len() == slots && is_full_call && maker.free_at(now) <= now.plus(LEAD)
        };
        let rank = |maker: &&maker::Maker| {
            let first = order.iter().find(|job| self.is_open(now, **job, maker));
            let is_far = first.is_some_and(|first| {
                let first = &self.jobs[first].job;
                let size = first.bytes.0.max(first.fetched.0);
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
    fn is_open(&self, now: clock::Millis, job: JobId, maker: &maker::Maker) -> bool {
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
        order: &mut Vec<JobId>,
    ) -> Option<Call> {
        let limit = self.pieces.batch.max(1) as usize;
        let mut room = self.makers.get_mut(id)?.room(now, self.pieces.room);
        let mut chosen: Vec<(JobId, u32, u64)> = Vec::new();
        let mut bytes = 0;
        // A slow upstream is tried with the work that can wait longest.
        let is_probe = self.makers[id].is_slow();
        let places: Vec<JobId> = if is_probe {
            order.iter().rev().take(1).copied().collect()
        } else {
            order.clone()
        };
        let maker = &self.makers[id];
        let places: Vec<JobId> = places
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
            if fits == 0 || (fits < entry.waiting.len() && !chosen.is_empty()) {
                continue;
            }
            let count = fits.min(entry.waiting.len());
            chosen.extend(entry.waiting.drain(..count).map(|piece| (job, piece, size)));
            room -= size * count as u64;
            bytes += size * count as u64;
        }
        if chosen.is_empty() {
            return None;
        }
        order.retain(|job| !self.jobs[job].waiting.is_empty());
        Some(self.start(now, id, chosen, bytes))
    }

    fn start(
        &mut self,
        now: clock::Millis,
        id: &id::UpstreamId,
        chosen: Vec<(JobId, u32, u64)>,
        bytes: u64,
    ) -> Call {
        self.next += 1;
        let call = self.next;
        let count = chosen.len() as u32;
        let nominal = self.pieces.span(count);
        let maker = &mut self.makers[id];
        let expected = maker.expected(&self.pieces, count);
        let end = maker.free_at(now).plus(expected);
        let wait = end - now;
        let is_first = maker.calls.is_empty();
        maker.start(now, call, end);
        maker.hold(end.plus(self.pieces.kept), bytes);
        let address = maker.upstream.address;
        let items = chosen
            .iter()
            .map(|(job, piece, _)| {
                let entry = &self.jobs[job];
                Item {
                    request: entry.job.request.clone(),
                    stage: entry.job.stage,
                    piece: *piece,
                    left: entry.end_at - now,
                    source: entry.job.source.clone(),
                }
            })
            .collect();
        let running = Running {
            maker: id.clone(),
            pieces: chosen,
            sent: now.max(end - expected),
            nominal,
            bytes,
            fetched_at: is_first.then(|| now.plus(FETCH)),
        };
        self.running.insert(call, running);
        Call {
            id: call,
            upstream: id.clone(),
            address,
            items,
            timeout: clock::Millis(wait.0 * PATIENCE).plus(ALLOWANCE),
        }
    }

    /// Records how a call ended.
    pub fn complete(&mut self, now: clock::Millis, id: CallId, outcome: outcome::CallOutcome) {
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
        if let Some(next) = self.running.values_mut().find(|call| call.maker == *maker) {
            next.fetched_at = Some(now.plus(FETCH));
        }
    }

    fn give_back(&mut self, running: Running, note: impl FnOnce(&mut maker::Maker)) {
        if let Some(maker) = self.makers.get_mut(&running.maker) {
            maker.release(running.bytes);
            note(maker);
        }
        for (job, piece, _) in running.pieces {
            self.repeat(job, piece);
        }
    }

    fn repeat(&mut self, job: JobId, piece: u32) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.waiting.push(piece);
        entry.fetched = entry.fetched.saturating_sub(1);
        entry.repeats += 1;
        if entry.repeats > REPEATS * entry.job.pieces.max(1) {
            self.finish(job, outcome::JobOutcome::Failed);
        }
    }

    fn settle(
        &mut self,
        now: clock::Millis,
        running: Running,
        outcomes: Vec<outcome::PieceOutcome>,
    ) {
        let has_no_room = outcomes.contains(&outcome::PieceOutcome::NoRoom);
        let maker = running.maker.clone();
        for ((job, piece, bytes), outcome) in running.pieces.into_iter().zip(outcomes) {
            if !matches!(outcome, outcome::PieceOutcome::Made(_))
                && let Some(maker) = self.makers.get_mut(&running.maker)
            {
                maker.release(bytes);
            }
            match outcome {
                outcome::PieceOutcome::Made(handle) => self.made(job, piece, handle, bytes),
                outcome::PieceOutcome::Late => self.finish(job, outcome::JobOutcome::Late),
                outcome::PieceOutcome::InputGone => {
                    self.finish(job, outcome::JobOutcome::InputGone);
                }
                outcome::PieceOutcome::NoRoom | outcome::PieceOutcome::Failed => {
                    self.repeat(job, piece);
                }
            }
        }
        if has_no_room && let Some(maker) = self.makers.get_mut(&maker) {
            maker.no_room(now, self.pieces.room);
        }
    }

    fn made(&mut self, job: JobId, piece: u32, handle: handle::Handle, bytes: u64) {
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
            self.finish(job, outcome::JobOutcome::Made(handles));
        }
    }

    fn finish(&mut self, id: JobId, outcome: outcome::JobOutcome) {
        if self.remove(id) {
            self.finished.push((id, outcome));
        }
    }
}
