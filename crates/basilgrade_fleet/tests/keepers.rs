//! Tests of the choice of the daemons that keep copies of streams.

mod common;

use std::collections;

use basilgrade_fleet::daemon;
use basilgrade_fleet::keepers;
use basilgrade_fleet::placement;
use basilgrade_types::clock;
use basilgrade_types::id;

use common::domain;

/// Daemons `{domain}-0` to `{domain}-2` in the failure domains `a` and `b` of the region `north`
/// and `c` of the region `south`.
fn daemons() -> Vec<daemon::Daemon> {
    let daemon = |(number, home): (u16, &str)| daemon::Daemon {
        name: vm(&format!("{home}-{}", number % 3)),
        address: ([10, 0, 0, 2], number).into(),
        domain: domain(home),
        seen_at: clock::Millis(0),
        keeps_streams: true,
        shares_loads: true,
        packs_updates: true,
    };
    let homes = ["a", "a", "a", "b", "b", "b", "c", "c", "c"];
    (0..).zip(homes).map(daemon).collect()
}

fn vm(name: &str) -> id::VmId {
    name.parse().expect("valid name")
}

fn rank(home: &str, daemons: &[daemon::Daemon]) -> keepers::Keepers {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let region = |(known, region): (&str, &str)| (domain(known), region.parse().expect("valid"));
    let topology = placement::Topology {
        domain: domain(home),
        regions: regions.into_iter().map(region).collect(),
    };
    keepers::Keepers::rank(&domain(home), &topology, daemons)
}

fn names(daemons: &[daemon::Daemon]) -> Vec<&str> {
    daemons.iter().map(|daemon| daemon.name.as_str()).collect()
}

/// Guards against copies that are lost together with their failure domain, and against traffic
/// between regions that a keeper in the region would save.
#[test]
fn copies_are_kept_inside_and_outside_of_the_domain() {
    for own in ["a-0", "a-1", "a-2"] {
        let targets = rank("a", &daemons()).targets(&vm(own), |_| true);

        let [inside, outside] = targets.map(|target| target.expect("a daemon is there"));
        assert_eq!(inside.domain, domain("a"));
        assert_ne!(inside.name.as_str(), own);
        assert_eq!(outside.domain, domain("b"));
    }
}

/// Guards against a stream that is sent to daemons which nobody asks for it, as the daemons before
/// them do not answer the daemon that began it.
#[test]
fn keepers_are_asked_while_one_of_each_group_does_not_answer() {
    let daemons = daemons();
    for own in &daemons {
        let home = own.domain.as_str();
        let keepers = rank(home, &daemons);
        let unusable = keepers
            .targets(&own.name, |_| true)
            .map(|known| known.expect("a daemon"));
        let is_usable = |daemon: &daemon::Daemon| !unusable.contains(daemon);
        let targets = keepers.targets(&own.name, is_usable);
        for asking in daemons.iter().filter(|daemon| daemon.name != own.name) {
            let asked = keepers.asked(&asking.name, |_| true);
            let is_asked = |daemon: &daemon::Daemon| {
                daemon.name == asking.name || names(&asked).contains(&daemon.name.as_str())
            };
            assert!(targets.iter().flatten().all(is_asked), "{own:?} {asking:?}");
        }
    }
}

/// Guards against a daemon that keeps the streams of its whole failure domain.
#[test]
fn daemons_of_a_large_domain_have_several_keepers() {
    let daemon = |number: u16| daemon::Daemon {
        name: vm(&format!("vm-{number}")),
        address: ([10, 0, 0, 3], number).into(),
        ..daemons()[0].clone()
    };
    let daemons: Vec<_> = (0..19).map(daemon).collect();
    let keepers = rank("a", &daemons);

    let mut loads = collections::HashMap::<_, usize>::new();
    for own in &daemons {
        let [inside, _] = keepers.targets(&own.name, |_| true);
        *loads
            .entry(inside.expect("a daemon is there").name)
            .or_default() += 1;
    }

    assert!(loads.values().all(|count| *count <= 9), "{loads:?}");
}

/// Guards against daemons of a failure domain that choose different keepers, and against a daemon
/// that keeps the streams of all domains.
#[test]
fn daemons_agree_on_the_keepers_of_a_domain() {
    let mut reversed = daemons();
    reversed.reverse();
    let mut chosen = collections::HashSet::new();
    for home in ["a", "b", "c"] {
        let one = rank(home, &daemons()).asked(&vm("other"), |_| true);
        let other = rank(home, &reversed).asked(&vm("other"), |_| true);
        assert_eq!(one, other);
        chosen.insert(one[2].name.clone());
    }
    assert!(chosen.len() > 1, "{chosen:?}");
}

/// Guards against calls to daemons of earlier builds, which break the connection.
#[test]
fn daemons_that_keep_no_streams_are_not_chosen() {
    let mut daemons = daemons();
    for daemon in &mut daemons {
        daemon.keeps_streams = daemon.name == vm("c-1");
    }
    let keepers = rank("a", &daemons);

    let [first, second] = keepers.targets(&vm("a-0"), |_| true);

    assert_eq!(first.map(|daemon| daemon.name), Some(vm("c-1")));
    assert_eq!(second, None);
    assert_eq!(names(&keepers.asked(&vm("a-0"), |_| true)), ["c-1"]);
}

/// Guards against streams that no daemon records in the log, or that several do, also after the one
/// that did so has failed.
#[test]
fn one_daemon_records_the_streams_of_a_domain() {
    let daemons = daemons();
    let own = ["a-0", "a-1", "a-2"].map(vm);
    let recorder = |own: &id::VmId, failed: &[&str]| {
        let is_usable = |daemon: &daemon::Daemon| !failed.contains(&daemon.name.as_str());
        let found = keepers::recorder(&domain("a"), own, &daemons, is_usable);
        found.map_or_else(|| own.clone(), |daemon| daemon.name)
    };

    let first = recorder(&own[0], &[]);
    let others: Vec<_> = own.iter().filter(|name| **name != first).collect();
    let next: Vec<_> = others
        .iter()
        .map(|own| recorder(own, &[first.as_str()]))
        .collect();

    assert!(own.iter().all(|own| recorder(own, &[]) == first));
    assert_eq!(next[0], next[1]);
    assert!(next[0] != first && own.contains(&next[0]));
}
