//! Whether missing entries of upstreams may be those of living ones.

use std::sync;

use basilgrade_edge::core;
use basilgrade_edge::follow::state;
use basilgrade_edge::settings;
use basilgrade_edge::view;
use basilgrade_fleet::placement;

fn state() -> state::State {
    let text = "[vm]\nname = vm-1\ndomain = a\n[listen]\ncallers = 127.0.0.1:1\n\
        readiness = 127.0.0.1:2\npeers = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n\
        [shutdown]\ngrace = 8s\n[retries]\nratio = 0.2\nfloor = 58\nwindow = 10s\n";
    let settings = settings::parse(text).expect("they are valid");
    let place = placement::Topology {
        domain: settings.domain.clone(),
        regions: settings.regions.clone(),
    };
    let view = view::View {
        configuration: None,
        directory: sync::Arc::default(),
        place: sync::Arc::new(place),
        daemons: 1,
        has_upstreams: false,
    };
    let core = core::Core::new(settings, view).expect("it is set up");
    state::State::new(sync::Arc::new(core))
}

/// Guards against a daemon that goes on sending work to an upstream that has left, because it took
/// its own start for the return of the store.
#[test]
fn a_start_is_no_return_of_the_store() {
    let state = state();

    state.reached();

    assert!(!state.is_uncertain());
}

/// Guards against upstreams that are dropped because their entries lapsed while the store was away.
#[test]
fn the_return_of_the_store_makes_missing_entries_uncertain() {
    for was_reached in [true, false] {
        let state = state();
        if was_reached {
            state.reached();
        }
        state.lost("no answer");
        let while_away = state.is_uncertain();

        state.reached();

        assert!(while_away && state.is_uncertain());
    }
}
