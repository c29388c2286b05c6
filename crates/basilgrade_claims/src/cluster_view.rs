//! What membership tells about the cluster.

use basilgrade_journal::node;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// A daemon's view of the cluster at one moment.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Daemons of the own failure domain that are alive and not leaving, with the own daemon.
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

    /// Whether `node` proposes owners of slots that have none on behalf of its failure domain.
    ///
    /// One daemon per domain does, so that a start or the end of a log outage brings one record
    /// per domain. Views may differ for a while; then the first record wins.
    pub fn is_proposer(&self, node: &node::Node) -> bool {
        self.live.iter().min() == Some(node)
    }
}
