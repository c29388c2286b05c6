//! The placement writer of a failure domain, without input and output.

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

/// Times of the placement lease.
///
/// A renewal is appended every 5 s; 20 failure domains append 4 records a second. Outages of the
/// log of up to 10 s do not interrupt placement.
pub const LEASE_TIMES: lease_manager::LeaseTimes = lease_manager::LeaseTimes {
    ttl: clock::Millis::from_secs(15),
    margin: clock::Millis::from_secs(5),
    retry: clock::Millis::from_secs(2),
};

/// Lease and decisions of one daemon; orders exist only while the lease permits them.
#[derive(Clone, Debug)]
pub struct Writer {
    fencing: lease_manager::Fencing,
    manager: lease_manager::LeaseManager,
    planner: planner::Planner,
}

impl Writer {
    /// A writer without lease.
    pub fn new(node: node::Node, domain: id::DomainId, fencing: lease_manager::Fencing) -> Self {
        Self {
            fencing,
            manager: lease_manager::LeaseManager::new(node, domain, fencing, LEASE_TIMES),
            planner: planner::Planner::default(),
        }
    }

    /// What it assumes of the engines.
    pub const fn fencing(&self) -> lease_manager::Fencing {
        self.fencing
    }

    /// Takes note of the lease in force.
    pub fn observe(&mut self, now: clock::Millis, state: &control_state::ControlState) {
        self.manager.observe(now, state);
    }

    /// The record to append now, if any.
    pub fn propose(&mut self, now: clock::Millis, id: Uuid, candidate: bool) -> Option<Bytes> {
        self.manager.propose(now, id, candidate)
    }

    /// The record that gives up the lease, if it is held.
    pub fn release_lease(&mut self, id: Uuid) -> Option<Bytes> {
        self.planner.suspend();
        self.manager.release(id)
    }

    /// The fencing number for an order sent now; `None` if no order may be sent.
    pub fn fence(&self, now: clock::Millis) -> Option<fence::Fence> {
        self.manager.fence(now)
    }

    /// The orders to send now, if the lease permits any.
    pub fn plan(&mut self, now: clock::Millis, view: &view::View<'_>) -> Option<plan::Plan> {
        if self.fence(now).is_none() {
            // Another writer may change what the engines have from now on.
            self.planner.suspend();
            return None;
        }
        Some(self.planner.plan(now, view))
    }

    /// Notes that an engine answered an order of the latest plan.
    pub fn mark_sent(&mut self, now: clock::Millis, engine: &id::UpstreamId) {
        self.planner.mark_sent(now, engine);
    }
}
