//! Effect of the VM list on membership.

mod support;

use basilgrade_membership::health;
use basilgrade_membership::status;
use basilgrade_types::id;
use support::Cluster;
use support::ProcessState;
use support::record;
use support::vm;
use support::vm_hint;

fn upstream() -> id::UpstreamId {
    "engine-1".parse().unwrap()
}

/// Guards against a stale VM list that omits a live daemon or upstream. Neither may be ejected.
#[test]
fn vm_list_without_live_vm_ejects_no_member() {
    let mut cluster = Cluster::converged(1, 1, 5);
    for node in cluster.nodes.values_mut() {
        node.observe_vm_list([]);
    }

    cluster.run(10_000);

    let now = cluster.now;
    for node in cluster.nodes.values() {
        assert!(node.members().all(|(_, status)| status.is_live()));
        assert_eq!(node.members().count(), 5);
        assert_eq!(node.health(now, &upstream()), health::Health::Healthy);
    }
}

/// Guards against a stale VM list that names a dead daemon. The daemon must neither count as alive
/// nor become a candidate for ownership.
#[test]
fn vm_list_with_dead_vm_does_not_revive_member() {
    let mut cluster = Cluster::converged(2, 1, 5);
    let (victim, observer) = (vm(0, 2), vm(0, 0));
    cluster.set_process(&victim, ProcessState::Killed);
    cluster.run(4000);

    for _ in 0..10 {
        for node in cluster.nodes.values_mut() {
            node.observe_vm_list((0..5).map(|number| vm_hint(&record(0, number, 0))));
        }
        assert_eq!(
            cluster.status(&observer, &victim),
            Some(status::Status::Dead)
        );
        cluster.run(1000);
        assert_eq!(
            cluster.status(&observer, &victim),
            Some(status::Status::Dead)
        );
    }
    let now = cluster.now;
    let candidates = cluster.nodes[&observer].ownership_candidates(now);
    assert!(!candidates.contains(&victim));
    // A VM that is only listed and has never answered is suspect.
    let listed = record(0, 9, 0);
    cluster.node(&observer).observe_vm_list([vm_hint(&listed)]);
    cluster.run(5000);
    assert_eq!(
        cluster.status(&observer, &listed.vm),
        Some(status::Status::Suspect)
    );
}

/// Guards against a daemon that stays unknown because the VM list does not name it yet.
#[test]
fn unlisted_vm_that_answers_is_alive() {
    let mut cluster = Cluster::converged(3, 1, 3);
    let joiner = cluster.start(0, 8);

    cluster.run(3000);

    for observer in cluster.nodes.keys() {
        assert_eq!(
            cluster.status(observer, &joiner),
            Some(status::Status::Alive)
        );
    }
}
