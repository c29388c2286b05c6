//! Jobs that wait for one pool of upstreams, and the calls that are under way.

use std::collections::BTreeMap;
use std::mem;
use std::net;

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::batch::call;
use crate::batch::cells;
use crate::batch::job;
use crate::batch::load;
use crate::batch::maker;
use crate::batch::outcome;
use crate::batch::running;
use crate::batch::waiting;
use crate::directory::upstream;
use crate::model::handle;
use crate::model::pool;
use crate::model::priority;

mod ending;
mod sending;

/// A call is sent this long before the running one ends, when a full call waits: a round trip
/// between regions and the delay of timers.
const LEAD: clock::Millis = clock::Millis(55);

/// Part of a new call in the running number of pieces that calls take; it covers the last ten, which
/// is some seconds of the two or three upstreams of a queue.
const FILL_WEIGHT: f64 = 0.1;

/// Calls of the daemon that kept the queue before end in this time: one that runs, and one that
/// waits behind it.
const OTHERS_LAST: clock::Millis = clock::Millis(1500);

/// Longest time between two looks at a queue in which pieces wait.
const RECHECK: clock::Millis = clock::Millis(200);

/// The queue of one pool.
#[derive(Debug)]
pub struct Queue {
    pieces: pool::PieceProfile,
    makers: IndexMap<id::UpstreamId, maker::Maker>,
    jobs: IndexMap<call::JobId, waiting::Waiting>,
    running: IndexMap<call::CallId, running::Running>,
    finished: Vec<(call::JobId, outcome::JobOutcome)>,
    orphans: Vec<handle::Handle>,
    spent: Vec<call::ConsumedInputs>,
    next: u64,
    /// Pieces that a call takes while more of them wait; fewer than a batch if room is scarce.
    fill: f64,
    /// From when on no other daemon sends calls to the upstreams.
    alone_from: clock::Millis,
}

impl Queue {
    /// An empty queue for upstreams that work as `pieces` says.
    pub fn new(pieces: pool::PieceProfile) -> Self {
        Self {
            fill: f64::from(pieces.batch.max(1)),
            pieces,
            makers: IndexMap::new(),
            jobs: IndexMap::new(),
            running: IndexMap::new(),
            finished: Vec::new(),
            orphans: Vec::new(),
            spent: Vec::new(),
            next: 0,
            alone_from: clock::Millis::ZERO,
        }
    }

    /// Notes that another daemon may have kept this queue until `now`.
    pub fn take_over(&mut self, now: clock::Millis) {
        self.alone_from = now.plus(OTHERS_LAST);
    }

    /// Hands back the jobs of which nothing was sent, at the shutdown of this daemon.
    pub fn hand_over(&mut self) {
        self.hand_back_if(|_| true);
    }

    /// Replaces what is known of the work of an upstream.
    pub fn set_profile(&mut self, pieces: pool::PieceProfile) {
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
    pub fn submit(&mut self, now: clock::Millis, job: job::Job) -> call::JobId {
        self.next += 1;
        let entry = waiting::Waiting {
            since: now,
            aim_at: now.plus(job.target_left),
            end_at: now.plus(job.time_left),
            made: vec![None; job.pieces as usize],
            unsent: (0..job.pieces).collect(),
            fetched: 0,
            repeats: 0,
            job,
        };
        self.jobs.insert(self.next, entry);
        self.next
    }

    /// Drops a job that nobody waits for any more.
    pub fn cancel(&mut self, id: call::JobId) {
        self.remove(id);
    }

    /// Removes a job; results that were made for it are of no use.
    fn remove(&mut self, id: call::JobId) -> bool {
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
    pub fn take_finished(&mut self) -> Vec<(call::JobId, outcome::JobOutcome)> {
        mem::take(&mut self.finished)
    }

    /// Results that nobody will use.
    pub fn take_orphans(&mut self) -> Vec<handle::Handle> {
        mem::take(&mut self.orphans)
    }

    /// Inputs that have been fetched for all pieces of their jobs.
    pub fn take_consumed(&mut self) -> Vec<call::ConsumedInputs> {
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
        let is_usable = |maker: &&maker::Maker| !maker.is_out(now);
        let healthy: Vec<_> = self.makers.values().filter(is_usable).collect();
        let free_at = |maker: &&maker::Maker| maker.free_at(now).max(maker.rest_until());
        let earliest = healthy.iter().map(free_at).min();
        let Some(earliest) = earliest else {
            return load::Load {
                wait: cells::NO_UPSTREAM_WAIT,
                by_priority: Vec::new(),
            };
        };
        let call = self.pieces.call_time(self.fill as u32).as_f64();
        let wait = |pieces: usize| {
            let calls = (pieces as f64 / self.fill).floor();
            clock::Millis((calls * call / healthy.len() as f64) as u64).plus(earliest - now)
        };
        let mut counts: BTreeMap<priority::Priority, usize> = BTreeMap::new();
        for entry in self.jobs.values().filter(|entry| !entry.unsent.is_empty()) {
            *counts.entry(entry.job.priority).or_default() += entry.unsent.len();
        }
        let mut ahead = 0;
        let by_priority = counts.into_iter().map(|(rank, pieces)| {
            ahead += pieces;
            (rank, wait(ahead))
        });
        let by_priority: Vec<_> = by_priority.collect();
        load::Load {
            wait: wait(ahead),
            by_priority,
        }
    }

    /// When [`Queue::dispatch`] should be called again at the latest.
    pub fn next_wakeup(&self, now: clock::Millis) -> Option<clock::Millis> {
        let pending = self
            .running
            .values()
            .filter_map(running::Running::fetched_at);
        let fetched = pending.map(|at| at.max(now)).min();
        let waits = self.jobs.values().any(|entry| !entry.unsent.is_empty());
        if !waits {
            return fetched;
        }
        let free = self.makers.values().map(|maker| {
            let lead = maker.free_at(now) - LEAD;
            lead.max(maker.rest_until())
        });
        let ends = self.jobs.values().map(|entry| entry.end_at);
        let far = self.jobs.values().map(waiting::Waiting::far_from);
        let next = free.chain(ends).chain(far).filter(|at| *at > now).min();
        // An upstream that is overdue wakes the queue by its answer or its timeout.
        let next = next.unwrap_or(clock::Millis::MAX).min(now.plus(RECHECK));
        Some(fetched.map_or(next, |at| at.min(next)))
    }
}
