//! The placement writer of a failure domain: lease and plan, without I/O.

use basilgrade_journal::control_state;
use basilgrade_journal::lease_manager;
use basilgrade_journal::node;
use basilgrade_placement::plan;
use basilgrade_placement::planner;
use basilgrade_placement::view;
use basilgrade_types::clock;
use basilgrade_types::fence;
use basilgrade_types::id;
use bytes::Bytes;
use uuid::Uuid;

/// Durations of the placement lease.
///
/// A renewal is appended every 5 s, so 20 failure domains append 4 records a second. A log outage
/// of up to 10 s does not interrupt placement.
pub const LEASE_TIMES: lease_manager::LeaseTimes = lease_manager::LeaseTimes {
    ttl: clock::Millis::from_secs(15),
    margin: clock::Millis::from_secs(5),
    retry: clock::Millis::from_secs(2),
};

/// Lease and planner of one daemon; the writer plans orders only while it holds the lease.
#[derive(Clone, Debug)]
pub struct Writer {
    fencing: lease_manager::Fencing,
    manager: lease_manager::LeaseManager,
    planner: planner::Planner,
}

impl Writer {
    /// Creates a writer that holds no lease.
    pub fn new(node: node::Node, domain: id::DomainId, fencing: lease_manager::Fencing) -> Self {
        Self {
            fencing,
            manager: lease_manager::LeaseManager::new(node, domain, fencing, LEASE_TIMES),
            planner: planner::Planner::default(),
        }
    }

    /// Whether the writer assumes that engines check fencing numbers.
    pub const fn fencing(&self) -> lease_manager::Fencing {
        self.fencing
    }

    /// Observes the lease in force.
    pub fn observe(&mut self, now: clock::Millis, state: &control_state::ControlState) {
        self.manager.observe(now, state);
    }

    /// The lease record to append now, if any; a daemon that is not a `candidate` may only renew a
    /// lease that it holds.
    pub fn propose(&mut self, now: clock::Millis, id: Uuid, candidate: bool) -> Option<Bytes> {
        self.manager.propose(now, id, candidate)
    }

    /// The record that releases the lease; `None` if the lease is not held.
    pub fn release_lease(&mut self, id: Uuid) -> Option<Bytes> {
        self.planner.suspend();
        self.manager.release(id)
    }

    /// The fencing number of an order sent now; `None` if the lease permits no orders.
    pub fn fence(&self, now: clock::Millis) -> Option<fence::Fence> {
        self.manager.fence(now)
    }

    /// Plans the orders to send now; `None` if the lease permits no orders.
    pub fn plan(&mut self, now: clock::Millis, view: &view::View<'_>) -> Option<plan::Plan> {
        if self.fence(now).is_none() {
            // Without the lease, another writer may change the models that engines have loaded.
            self.planner.suspend();
            return None;
        }
        Some(self.planner.plan(now, view))
    }

    /// Records that an engine acknowledged an order of the latest plan.
    pub fn mark_sent(&mut self, now: clock::Millis, engine: &id::UpstreamId) {
        self.planner.mark_sent(now, engine);
    }
}
