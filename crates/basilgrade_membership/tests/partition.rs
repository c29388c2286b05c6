//! Network partitions between and within domains.

mod support;

use basilgrade_membership::status;
use basilgrade_types::offset;
use basilgrade_types::revision;
use support::Cluster;
use support::ProcessState;
use support::membership_view;
use support::vm;

/// Guards against views that still differ after a partition during which both sides changed.
#[test]
fn domains_converge_to_same_view_after_partition() {
    for seed in 0..5 {
        let mut cluster = Cluster::converged(seed, 2, 5);
        cluster.partition_domains(0, 1);
        cluster.run(20_000);
        cluster.set_process(&vm(0, 1), ProcessState::Killed);
        cluster.set_process(&vm(1, 0), ProcessState::Killed);
        cluster.run(5000);
        cluster.start(1, 0);
        let now = cluster.now;
        for number in [0, 2, 3, 4] {
            let node = cluster.node(&vm(0, number));
            node.set_progress(now, revision::Revision(7), offset::Offset(3));
        }
        for number in 0..5 {
            let node = cluster.node(&vm(1, number));
            node.set_progress(now, revision::Revision(6), offset::Offset(9));
        }
        cluster.run(20_000);
        let diverged = membership_view(&cluster.nodes[&vm(0, 0)], 2)
            != membership_view(&cluster.nodes[&vm(1, 2)], 2);

        cluster.heal();
        cluster.run(20_000);

        assert!(
            diverged,
            "seed {seed}: the views did not differ during the partition"
        );
        let expected = membership_view(&cluster.nodes[&vm(0, 0)], 2);
        assert!(expected.iter().any(|line| line.contains("Revision(7)")));
        assert!(expected.iter().any(|line| line.contains("Offset(9)")));
        for (observer, node) in &cluster.nodes {
            if cluster.processes[observer] == ProcessState::Running {
                assert_eq!(
                    membership_view(node, 2),
                    expected,
                    "seed {seed}: different view at `{observer}`"
                );
            }
        }
        assert_ne!(
            cluster.status(&vm(1, 2), &vm(0, 1)),
            Some(status::Status::Alive)
        );
    }
}

/// Guards against members of a split domain that never find one another again. The partition lasts
/// longer than digests list dead members, so neither side mentions the other any more.
#[test]
fn split_domain_reunites_after_long_partition() {
    let mut cluster = Cluster::converged(9, 1, 6);
    let half = |numbers: [usize; 3]| numbers.map(|number| vm(0, number)).into();
    cluster.partition_vms(half([0, 1, 2]), half([3, 4, 5]));
    cluster.run(120_000);
    let status = cluster.status(&vm(0, 0), &vm(0, 4));
    assert_eq!(status, Some(status::Status::Dead));

    cluster.heal();
    cluster.run(10_000);

    for node in cluster.nodes.values() {
        let live = node.members().filter(|(_, status)| status.is_live());
        assert_eq!(live.count(), 6);
    }
}
