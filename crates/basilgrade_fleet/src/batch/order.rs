//! Order in which a queue serves its jobs.

use std::collections::HashMap;

use basilgrade_types::clock;

use crate::batch::decisions;
use crate::batch::policy;
use crate::batch::turns;
use crate::model::priority;

/// Age difference that one priority level outweighs: a job goes before jobs of the next lower level
/// that were submitted up to this much earlier.
///
/// The value exceeds the usual waits, so that a burst of a high priority goes first, and is below
/// the deadlines, so that the burst does not starve lower priorities.
const PRIORITY_STEP: clock::Millis = clock::Millis(1500);

/// Factor on the expected time of the calls ahead of a job in the check for overload; it leaves time
/// for jobs that arrive meanwhile.
///
/// With 1, the most urgent kind of the day model gets 0.768 of its credit instead of 0.775 (load 0.85,
/// seeds 1 to 3). With 1.6, a priority whose load fits gets less than 0.9 of its fair share, as some
/// of its jobs that would be served in order of age are displaced.
const OVERLOAD_FACTOR: f64 = 1.4;

/// Properties of a waiting job that determine its place.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub priority: priority::Priority,
    pub submitted_at: clock::Millis,
    /// Time by which the job must end for its request to meet the target latency.
    pub target_at: clock::Millis,
    /// Time by which the job must end for its request to be of use.
    pub deadline: clock::Millis,
}

/// Place of a job; the least is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    is_late: bool,
    level: u8,
    due: clock::Millis,
}

impl Rank {
    /// Place at `now` of a job in a queue whose calls take about `call`.
    pub fn new(
        order: policy::Order,
        now: clock::Millis,
        call: clock::Millis,
        job: &Candidate,
    ) -> Self {
        // A job without a target before its deadline would be lost, not late.
        let has_target = job.target_at < job.deadline;
        let is_late = has_target && now.plus(call) > job.target_at;
        let (level, due) = match order {
            policy::Order::Age => {
                let step = clock::Millis(PRIORITY_STEP.0 * u64::from(job.priority.0));
                (0, job.submitted_at.plus(step))
            }
            policy::Order::Strict | policy::Order::Adaptive if is_late => {
                (job.priority.0, job.deadline)
            }
            policy::Order::Strict | policy::Order::Adaptive => (job.priority.0, job.target_at),
        };
        Self {
            is_late,
            level,
            due,
        }
    }

    /// Whether the job is expected to miss its target.
    pub const fn is_late(&self) -> bool {
        self.is_late
    }
}

/// Waiting job with its place.
#[derive(Clone, Copy, Debug)]
pub struct Waiting<T> {
    pub rank: Rank,
    /// Number of unsent pieces.
    pub pieces: usize,
    /// Hash of the customer's name.
    pub customer: u64,
    pub id: T,
}

/// What a queue is expected to do next.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    pub now: clock::Millis,
    /// Expected time of a job's call.
    pub call: clock::Millis,
    /// Number of pieces that the next calls of all upstreams take.
    pub room: f64,
}

impl Outlook {
    /// Whether a job of `level`, in order of age behind `before` pieces, is expected to miss its
    /// target, as more jobs are waiting than can be served in time.
    fn is_overloaded<T>(&self, level: &[Waiting<T>], mut before: f64) -> bool {
        level.iter().any(|job| {
            before += job.pieces as f64;
            let calls = (before / self.room.max(1.0)).ceil();
            let time = clock::Millis((calls * OVERLOAD_FACTOR * self.call.as_f64()) as u64);
            self.now.plus(time) > job.rank.due
        })
    }
}

/// Ids of `waiting`, the most urgent first, in a queue with the given outlook and in which `turns`
/// tells the work done for each customer; counts its
/// `decisions`.
pub fn sorted<T: Copy + Ord>(
    policy: &policy::Policy,
    mut waiting: Vec<Waiting<T>>,
    outlook: &Outlook,
    turns: &turns::Turns,
    decisions: &mut decisions::Decisions,
) -> Vec<T> {
    waiting.sort_unstable_by_key(|job| (job.rank, job.id));
    let is_shared = policy.customers == policy::Customers::Share;
    if policy.order != policy::Order::Age {
        let mut has_overload = false;
        let mut before = 0.0;
        let is_same_level = |one: &Waiting<T>, other: &Waiting<T>| {
            (one.rank.is_late, one.rank.level) == (other.rank.is_late, other.rank.level)
        };
        for level in waiting.chunk_by_mut(is_same_level) {
            let is_overloaded = outlook.is_overloaded(level, before);
            before += level.iter().map(|job| job.pieces as f64).sum::<f64>();
            if !is_overloaded {
                continue;
            }
            has_overload = true;
            let is_late = level.first().is_some_and(|job| job.rank.is_late);
            if policy.order == policy::Order::Adaptive && !is_late {
                level.reverse();
            }
            if is_shared {
                take_turns(level, turns);
            }
        }
        decisions.overloads += u64::from(has_overload);
        decisions.turns += u64::from(has_overload && is_shared);
    }
    waiting.into_iter().map(|job| job.id).collect()
}

/// Orders the jobs of each customer as before, and those of different customers by the pieces that
/// were sent for the customer, and by its pieces that precede them.
///
/// A customer with most of the jobs so delays its own ones, and one with larger jobs gets fewer of
/// them.
fn take_turns<T: Copy>(level: &mut [Waiting<T>], turns: &turns::Turns) {
    let mut taken: HashMap<u64, f64> = HashMap::new();
    let mut ordered: Vec<(f64, Waiting<T>)> = level
        .iter()
        .map(|job| {
            let tag = || turns.tag(job.rank.level, job.customer);
            let own = taken.entry(job.customer).or_insert_with(tag);
            let before = *own;
            *own += job.pieces as f64;
            (before, *job)
        })
        .collect();
    ordered.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    for (place, (_, job)) in level.iter_mut().zip(ordered) {
        *place = job;
    }
}
