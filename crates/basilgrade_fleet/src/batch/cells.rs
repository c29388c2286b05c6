//! Choice of the queue for a job.
//!
//! Answers the load of a pool that is spread over failure domains: each of them has a queue of its
//! own, so that inputs and results stay where they are made, and jobs leave their failure domain
//! only when the wait there costs callers more than the crossing.

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use indexmap::IndexMap;

use crate::batch::load;
use crate::model::pool;
use crate::model::priority;
use crate::placement;

/// Wait that a megabyte is worth which crosses failure domains: the price of a megabyte is that of
/// late answers of this span.
pub(super) const MS_PER_MB: f64 = 100.0;

/// A job leaves its failure domain only for a wait that is shorter by at least this, as told waits
/// are up to one beat old.
const SPILL_MARGIN: f64 = 100.0;

/// Added for a queue in which the job would be late for its aim: more than any crossing, as late
/// answers are worth a fraction.
const LATE_COST: f64 = 1000.0;

/// The queue of the upstreams in one failure domain, as it is known elsewhere.
#[derive(Clone, Debug, Default)]
struct Cell {
    upstreams: u32,
    load: load::Load,
    /// Pieces sent there since its load was told.
    sent_pieces: u32,
}

impl Cell {
    fn wait(&self, pieces: &pool::PieceProfile, priority: priority::Priority) -> f64 {
        let call = pieces.call_time(pieces.batch).as_f64();
        let rate = f64::from(pieces.batch.max(1) * self.upstreams.max(1));
        self.load.wait_for(priority).as_f64() + f64::from(self.sent_pieces) * call / rate
    }
}

/// What has to be made.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Failure domain of the inputs, or the one that the results are for.
    pub home: &'a id::DomainId,
    /// Urgency of the request.
    pub priority: priority::Priority,
    /// Number of pieces.
    pub pieces: u32,
    /// Time until the results are late.
    pub target_left: clock::Millis,
    /// What crosses if the pieces are made elsewhere.
    pub transfer_size: size::ByteCount,
}

/// The queues of a pool, as far as a daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct Cells {
    cells: IndexMap<id::DomainId, Cell>,
}

impl Cells {
    /// Takes over how many upstreams each failure domain has; loads of known queues are kept.
    pub fn set_upstream_counts(&mut self, counts: &IndexMap<id::DomainId, u32>) {
        self.cells.retain(|domain, _| counts.contains_key(domain));
        for (domain, upstreams) in counts {
            self.cells.entry(domain.clone()).or_default().upstreams = *upstreams;
        }
    }

    /// Takes note of the load that a queue told.
    pub fn update_load(&mut self, domain: &id::DomainId, load: load::Load) {
        if let Some(cell) = self.cells.get_mut(domain) {
            cell.load = load;
            cell.sent_pieces = 0;
        }
    }

    /// Failure domains with a queue.
    pub fn domains(&self) -> impl Iterator<Item = &id::DomainId> {
        self.cells.keys()
    }

    /// The queue for a job, other than those in `tried`; the job counts as sent there.
    pub fn choose(
        &mut self,
        place: &placement::Topology,
        work: &pool::PieceProfile,
        demand: &Demand<'_>,
        tried: &[id::DomainId],
    ) -> Option<id::DomainId> {
        let call = work.call_time(demand.pieces.min(work.batch)).as_f64();
        let open = self
            .cells
            .iter()
            .filter(|(domain, _)| !tried.contains(domain));
        let (best, _) = open.min_by(|one, other| {
            let cost = |(domain, cell): &(&id::DomainId, &Cell)| {
                let wait = cell.wait(work, demand.priority);
                let is_late = wait + call > demand.target_left.as_f64();
                let late = if is_late { LATE_COST } else { 0.0 };
                wait + crossing(place, demand, domain) + late
            };
            cost(one).total_cmp(&cost(other))
        })?;
        let best = best.clone();
        if let Some(cell) = self.cells.get_mut(&best) {
            cell.sent_pieces += demand.pieces;
        }
        Some(best)
    }

    /// The load that jobs of `home` meet: that of the queue with the shortest way and wait.
    pub fn load(&self, place: &placement::Topology, home: &id::DomainId) -> Option<&load::Load> {
        let cost = |(domain, cell): &(&id::DomainId, &Cell)| {
            cell.load.wait.as_f64() + place.crossing_cost(home, domain)
        };
        let cells = self.cells.iter();
        let best = cells.min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
        Some(&best.1.load)
    }
}

fn crossing(place: &placement::Topology, demand: &Demand<'_>, domain: &id::DomainId) -> f64 {
    if domain == demand.home {
        return 0.0;
    }
    let moved = demand.transfer_size.0 as f64 / 1e6 * MS_PER_MB;
    place.crossing_cost(demand.home, domain) + moved + SPILL_MARGIN
}

/// Wait that is told when a pool has no upstream.
pub const NO_UPSTREAM_WAIT: clock::Millis = clock::Millis(2000);
