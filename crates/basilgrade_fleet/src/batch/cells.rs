//! Choice of the queue for a job.
//!
//! The upstreams of a pool in one failure domain form a cell with its own queue, so that inputs and
//! results stay where they are computed. A job leaves its failure domain only if waiting there
//! costs the caller more than the transfer to another one.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use indexmap::IndexMap;

use crate::batch::load;
use crate::model::pool;
use crate::model::priority;
use crate::placement;

/// Wait in milliseconds that costs as much as transferring one megabyte to another failure domain:
/// the price of the megabyte equals the loss from answers that are later by this span.
pub(super) const TRANSFER_MS_PER_MB: f64 = 100.0;

/// Minimum reduction of the wait for which a job leaves its failure domain, as reported waits are
/// up to one report interval old.
const SPILL_MARGIN_MS: f64 = 100.0;

/// Cost of a queue in which the job would miss its target latency. It exceeds the cost of crossing
/// between failure domains, because a late answer has only a fraction of the value of one in time.
const LATE_COST_MS: f64 = 1000.0;

/// Upstreams of a pool in one failure domain, and the last load that their queue reported.
#[derive(Clone, Debug, Default)]
struct Cell {
    upstreams: u32,
    load: load::Load,
    /// Pieces sent to the queue since it last reported its load.
    sent_pieces: u32,
}

impl Cell {
    fn wait(&self, profile: &pool::PieceProfile, priority: priority::Priority) -> f64 {
        let call = profile.call_time(profile.batch).as_f64();
        let rate = f64::from(profile.batch.max(1)) * f64::from(self.upstreams.max(1));
        self.load.wait_for(priority).as_f64() + f64::from(self.sent_pieces) * call / rate
    }
}

/// Properties of a job that affect the choice of its queue.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Failure domain that holds the inputs, or else the one that needs the results.
    pub home: &'a id::DomainId,
    /// Priority of the request.
    pub priority: priority::Priority,
    pub pieces: u32,
    /// Time left until the results miss the target latency.
    pub target_left: clock::Millis,
    /// Bytes transferred between failure domains if the job leaves `home`.
    pub transfer_size: size::ByteCount,
}

/// Cells of a pool, with the loads that this daemon has received.
#[derive(Clone, Debug, Default)]
pub struct Cells {
    cells: IndexMap<id::DomainId, Cell>,
}

impl Cells {
    /// Sets the number of upstreams in each failure domain; loads of known queues are kept.
    pub fn set_upstream_counts(&mut self, counts: &IndexMap<id::DomainId, u32>) {
        self.cells.retain(|domain, _| counts.contains_key(domain));
        for (domain, upstreams) in counts {
            self.cells.entry(domain.clone()).or_default().upstreams = *upstreams;
        }
    }

    /// Records the load that the queue in `domain` has reported.
    pub fn update_load(&mut self, domain: &id::DomainId, load: load::Load) {
        if let Some(cell) = self.cells.get_mut(domain) {
            cell.load = load;
            cell.sent_pieces = 0;
        }
    }

    /// Failure domains that have a queue.
    pub fn domains(&self) -> impl Iterator<Item = &id::DomainId> {
        self.cells.keys()
    }

    /// The queue with the lowest cost for a job, other than those in `tried`; the job's pieces
    /// count as sent to it.
    pub fn choose(
        &mut self,
        topology: &placement::Topology,
        profile: &pool::PieceProfile,
        demand: &Demand<'_>,
        tried: &[id::DomainId],
    ) -> Option<id::DomainId> {
        let call = profile.call_time(demand.pieces.min(profile.batch)).as_f64();
        let untried = self
            .cells
            .iter()
            .filter(|(domain, _)| !tried.contains(domain));
        let (best, _) = untried.min_by(|one, other| {
            let cost = |(domain, cell): &(&id::DomainId, &Cell)| {
                let wait = cell.wait(profile, demand.priority);
                let is_late = wait + call > demand.target_left.as_f64();
                let late_cost = if is_late { LATE_COST_MS } else { 0.0 };
                wait + crossing_cost(topology, demand, domain) + late_cost
            };
            cost(one).total_cmp(&cost(other))
        })?;
        let best = best.clone();
        if let Some(cell) = self.cells.get_mut(&best) {
            cell.sent_pieces = cell.sent_pieces.saturating_add(demand.pieces);
        }
        Some(best)
    }

    /// Load of the queue with the lowest sum of wait and crossing cost for jobs from `home`.
    pub fn load(&self, topology: &placement::Topology, home: &id::DomainId) -> Option<&load::Load> {
        let cost = |(domain, cell): &(&id::DomainId, &Cell)| {
            cell.load.wait.as_f64() + topology.crossing_cost(home, domain)
        };
        let cells = self.cells.iter();
        let best = cells.min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
        Some(&best.1.load)
    }
}

fn crossing_cost(
    topology: &placement::Topology,
    demand: &Demand<'_>,
    domain: &id::DomainId,
) -> f64 {
    if domain == demand.home {
        return 0.0;
    }
    let transfer = demand.transfer_size.0 as f64 / 1e6 * TRANSFER_MS_PER_MB;
    topology.crossing_cost(demand.home, domain) + transfer + SPILL_MARGIN_MS
}

/// Wait reported for a pool that has no usable upstream.
pub const NO_UPSTREAM_WAIT: clock::Millis = clock::Millis(2000);
