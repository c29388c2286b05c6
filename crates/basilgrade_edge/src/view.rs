//! Snapshot of the configuration and the upstreams, by which requests are routed.

use std::sync;

use basilgrade_fleet::daemon;
use basilgrade_fleet::directory;
use basilgrade_fleet::model::configuration;
use basilgrade_fleet::placement;

/// Immutable snapshot of the configuration, the upstreams and the topology.
#[derive(Clone, Debug)]
pub struct View {
    /// Configuration in force; `None` until the first one has been received.
    pub configuration: Option<sync::Arc<configuration::Configuration>>,
    /// Registered upstreams and their state.
    pub directory: sync::Arc<directory::Directory>,
    /// This VM's failure domain and the region of each failure domain.
    pub topology: sync::Arc<placement::Topology>,
    /// Registered daemons; includes this one once its registration has been read.
    pub registered: sync::Arc<Vec<daemon::Daemon>>,
    /// Number of registered daemons, including this one.
    pub daemons: usize,
    /// Whether the list of upstreams has been received at least once.
    pub has_upstreams: bool,
}
