//! What a request is decided by.

use std::sync;

use basilgrade_fleet::directory;
use basilgrade_fleet::model::configuration;
use basilgrade_fleet::placement;

/// The configuration and the directory at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration in force; `None` before the first one is known.
    pub configuration: Option<sync::Arc<configuration::Configuration>>,
    /// The upstreams.
    pub directory: sync::Arc<directory::Directory>,
    /// Distances.
    pub topology: sync::Arc<placement::Topology>,
    /// Daemons that are known, this one included.
    pub daemons: usize,
    /// Whether the upstreams have been read at least once.
    pub has_upstreams: bool,
}
