//! Mirrors of a daemon without a process.

use std::sync;

use basilgrade_edge::core;
use basilgrade_edge::follow::mirrors;
use basilgrade_edge::settings;
use basilgrade_edge::view;
use basilgrade_fleet::placement;

/// Empty mirrors of a daemon that knows nothing yet, and its state.
pub(crate) fn new_mirrors_and_core() -> (mirrors::Mirrors, sync::Arc<core::Core>) {
    let text = "[vm]\nname = vm-1\ndomain = a\n[listen]\ncallers = 127.0.0.1:1\n\
        readiness = 127.0.0.1:2\npeers = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n\
        [shutdown]\ngrace = 8s\n[retries]\nratio = 0.2\nfloor = 58\nwindow = 10s\n";
    let settings = settings::parse(text).expect("the settings are valid");
    let topology = placement::Topology {
        domain: settings.domain.clone(),
        regions: settings.regions.clone(),
    };
    let view = view::View {
        configuration: None,
        directory: sync::Arc::default(),
        topology: sync::Arc::new(topology),
        registered: sync::Arc::default(),
        daemons: 1,
        has_upstreams: false,
    };
    let core = core::Core::new(settings, view).expect("the metrics are registered");
    let core = sync::Arc::new(core);
    (mirrors::Mirrors::new(sync::Arc::clone(&core)), core)
}
