//! Whether missing entries of upstreams may be those of living ones.

use std::sync;

use basilgrade_edge::core;
use basilgrade_edge::follow::mirrors;
use basilgrade_edge::settings;
use basilgrade_edge::view;
use basilgrade_fleet::placement;

fn state() -> mirrors::Mirrors {
    let text = "[vm]\nname = vm-1\ndomain = a\n[listen]\ncallers = 127.0.0.1:1\n\
        readiness = 127.0.0.1:2\npeers = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n\
        [shutdown]\ngrace = 8s\n[retries]\nratio = 0.2\nfloor = 58\nwindow = 10s\n";
    let settings = settings::parse(text).expect("they are valid");
    let topology = placement::Topology {
        domain: settings.domain.clone(),
        regions: settings.regions.clone(),
    };
    let view = view::View {
        configuration: None,
        directory: sync::Arc::default(),
        topology: sync::Arc::new(topology),
        daemons: 1,
        has_upstreams: false,
    };
    let core = core::Core::new(settings, view).expect("it is set up");
    mirrors::Mirrors::new(sync::Arc::new(core))
}

/// Guards against a daemon that goes on sending work to an upstream that has left, because it took
/// its own start for the return of the store.
#[test]
fn a_start_is_no_return_of_the_store() {
    let mirrors = state();

    mirrors.record_store_answer();

    assert!(!mirrors.is_uncertain());
}

/// Guards against upstreams that are dropped because their entries lapsed while the store was away.
#[test]
fn the_return_of_the_store_makes_missing_entries_uncertain() {
    for was_reached in [true, false] {
        let mirrors = state();
        if was_reached {
            mirrors.record_store_answer();
        }
        mirrors.record_store_failure("no answer");
        let while_away = mirrors.is_uncertain();

        mirrors.record_store_answer();

        assert!(while_away && mirrors.is_uncertain());
    }
}
