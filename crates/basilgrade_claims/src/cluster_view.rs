//! The view of the cluster that the membership protocol provides.

use basilgrade_journal::node;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// A daemon's view of the cluster at one moment.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Daemons of the own failure domain that are alive and not leaving, including this daemon.
    pub live: IndexSet<node::Node>,
    /// Daemons of the own failure domain that are alive and shutting down.
    pub leaving: IndexSet<node::Node>,
    /// Daemons that are treated as dead for ownership: no heartbeat for the detection time and no
    /// answer to this daemon's own contact attempt, or a later incarnation of the VM is alive.
    pub dead: IndexSet<node::Node>,
    /// Number of live daemons in each reachable failure domain, the own one included.
    pub domains: IndexMap<id::DomainId, usize>,
}

impl ClusterView {
    /// Whether `node` is treated as dead for ownership.
    pub fn is_dead(&self, node: &node::Node) -> bool {
        self.dead.contains(node)
    }

    /// Whether `node` is the daemon of its failure domain that proposes owners for unowned slots.
    ///
    /// Only one daemon per domain proposes, so that the start of the cluster or the end of a log
    /// outage causes one record per domain. While the views of daemons differ, several may
    /// propose; the first record in the log takes effect.
    pub fn is_proposer(&self, node: &node::Node) -> bool {
        self.live.iter().min() == Some(node)
    }
}
