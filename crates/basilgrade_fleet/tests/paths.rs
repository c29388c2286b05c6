//! Paths to upstreams that a daemon does not reach by itself.

mod common;

use std::net;

use basilgrade_fleet::daemon;
use basilgrade_fleet::paths;
use basilgrade_types::clock;
use basilgrade_types::id;
use common::domain;

const START: clock::Millis = clock::Millis(10_000);

fn upstream() -> id::UpstreamId {
    common::upstream(0, "b").id
}

fn vm(name: &str) -> id::VmId {
    name.parse().expect("the name is valid")
}

fn daemons(names: &[(&str, &str)]) -> Vec<daemon::Daemon> {
    let daemon = |(name, home): &(&str, &str)| daemon::Daemon {
        name: vm(name),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: domain(home),
        seen_at: START,
        keeps_streams: true,
        shares_loads: true,
        packs_updates: true,
    };
    names.iter().map(daemon).collect()
}

fn plan_after(paths: &mut paths::Paths, span: u64) -> paths::Plan {
    paths.plan(START.plus(clock::Millis(span)), &upstream())
}

/// Guards against a daemon that never uses a path again that has recovered, and against one that
/// tries it with every connection.
#[test]
fn broken_path_is_probed_until_it_works() {
    let mut paths = paths::Paths::default();
    let entry = common::upstream(0, "b");
    let before = plan_after(&mut paths, 0);

    let is_new = paths.record_tunnel(START, &entry, &vm("vm-1"));
    let is_news_again = paths.record_tunnel(START, &entry, &vm("vm-2"));
    let during = [0, 100, 499, 500, 600].map(|span| plan_after(&mut paths, span));
    let was_lost =
        [START, START.plus(clock::Millis(1))].map(|start| paths.was_lost_since(start, &upstream()));
    let has_recovered = paths.record_direct(&upstream());

    assert_eq!(was_lost, [true, false]);
    assert_eq!(before, paths::Plan::Direct);
    assert!(is_new && !is_news_again && has_recovered);
    assert_eq!(
        during,
        [
            paths::Plan::TunnelAndProbe,
            paths::Plan::Tunnel,
            paths::Plan::Tunnel,
            paths::Plan::TunnelAndProbe,
            paths::Plan::Tunnel,
        ]
    );
    assert_eq!(plan_after(&mut paths, 700), paths::Plan::Direct);
}

/// Guards against daemons that ask all others about each connection to an upstream that has crashed.
#[test]
fn unreachable_upstream_is_asked_about_once_in_a_while() {
    let mut paths = paths::Paths::default();

    paths.record_unreachable(START, &upstream());

    assert_eq!(plan_after(&mut paths, 0), paths::Plan::DirectOnly);
    assert_eq!(plan_after(&mut paths, 499), paths::Plan::DirectOnly);
    assert_eq!(plan_after(&mut paths, 500), paths::Plan::Direct);
    assert!(!paths.record_direct(&upstream()));
}

/// Guards against daemons that keep asking others that are partitioned as well, from all pools or
/// from one.
#[test]
fn daemons_that_failed_to_forward_are_asked_last() {
    let mut paths = paths::Paths::default();
    let names = [("vm-0", "a"), ("vm-1", "b"), ("vm-2", "c"), ("vm-3", "a")];
    let entry = common::upstream(0, "b");
    let mut other = common::upstream(1, "b");
    other.pool = common::pool_id("other");
    paths.record_failure(START, &entry, &vm("vm-0"));
    paths.record_failure(START, &other, &vm("vm-1"));
    paths.record_failure(START, &entry, &vm("vm-3"));
    paths.record_tunnel(START, &entry, &vm("vm-3"));

    for seed in 0..20 {
        let mut during = daemons(&names);
        paths.rank_forwarders(START, seed, &domain("a"), &entry, &mut during);
        let mut after = daemons(&names);
        let later = START.plus(clock::Millis(2000));
        paths.rank_forwarders(later, seed, &domain("a"), &entry, &mut after);

        let order: Vec<_> = during.iter().map(|daemon| daemon.name.as_str()).collect();
        assert_eq!(order, ["vm-3", "vm-2", "vm-1", "vm-0"]);
        assert_eq!(after[3].name, vm("vm-2"), "only the detour comes last");
    }
}
