//! Selection of the log reader of a domain, polling of the log, and pulls from peers.

mod support;

use basilgrade_membership::log_backoff;
use basilgrade_membership::progress;
use basilgrade_membership::pull;
use basilgrade_types::id;
use basilgrade_types::offset;
use basilgrade_types::revision;
use rand::SeedableRng;
use rand::rngs;
use support::Cluster;
use support::ProcessState;
use support::vm;

fn readers(cluster: &Cluster) -> Vec<id::VmId> {
    cluster
        .nodes
        .iter()
        .filter(|(vm, node)| {
            cluster.processes[*vm] == ProcessState::Running && node.reads_log(cluster.now)
        })
        .map(|(vm, _)| vm.clone())
        .collect()
}

/// Guards against a domain with several log readers, or none, after the reader dies or another
/// daemon joins.
#[test]
fn dead_log_reader_is_replaced_by_exactly_one_member() {
    let mut cluster = Cluster::converged(1, 2, 6);
    assert_eq!(readers(&cluster), [vm(0, 0), vm(1, 0)]);

    cluster.set_process(&vm(0, 0), ProcessState::Killed);
    cluster.run(4000);
    assert_eq!(readers(&cluster), [vm(0, 1), vm(1, 0)]);

    cluster.start(0, 0);
    cluster.run(5000);
    assert_eq!(readers(&cluster), [vm(0, 1), vm(1, 0)]);
}

/// Guards against a domain without access to the log because only its log reader cannot reach it.
#[test]
fn log_reader_without_log_access_is_replaced() {
    let mut cluster = Cluster::converged(2, 1, 4);
    let now = cluster.now;
    let node = cluster.node(&vm(0, 0));
    node.set_log_access(now, progress::LogAccess::Unreachable);

    cluster.run(2000);

    assert_eq!(readers(&cluster), [vm(0, 1)]);
}

/// Guards against log readers that all retry at the same moment after an outage of the log.
#[test]
fn reads_of_unreachable_log_are_spread() {
    let mut rng = rngs::StdRng::seed_from_u64(3);

    let steady: Vec<_> = (0..1000)
        .map(|_| log_backoff::next_read_delay(0, &mut rng).0)
        .collect();
    let outage: Vec<_> = (0..1000)
        .map(|_| log_backoff::next_read_delay(10, &mut rng).0)
        .collect();

    assert!(steady.iter().all(|delay| (400..=600).contains(delay)));
    assert!(outage.iter().all(|delay| (250..=5000).contains(delay)));
    for start in (0..5000).step_by(500) {
        let period = start..start + 500;
        let together = outage.iter().filter(|delay| period.contains(*delay));
        assert!(
            together.count() < 200,
            "at least a fifth of the reads fall within 500 ms from {start} ms on"
        );
    }
}

/// Guards against all members of a domain pulling the same records from another domain.
#[test]
fn only_log_reader_pulls_from_other_domains() {
    let mut cluster = Cluster::converged(4, 2, 5);
    let now = cluster.now;
    for node in cluster.nodes.values_mut() {
        node.set_progress(now, revision::Revision(1), offset::Offset(1));
        node.readiness(now);
    }
    let publisher = cluster.node(&vm(1, 0));
    publisher.set_progress(now, revision::Revision(2), offset::Offset(1));
    cluster.run(8000);
    let now = cluster.now;
    let mut rng = rngs::StdRng::seed_from_u64(5);

    let pulls: Vec<_> = (0..5)
        .map(|number| {
            let node = cluster.node(&vm(0, number));
            node.pull(now, pull::Stream::Config, &mut rng)
                .map(|pull| pull.vm)
        })
        .collect();

    assert_eq!(pulls, [Some(vm(1, 0)), None, None, None, None]);
    // An unanswered pull is not repeated before it times out.
    let node = cluster.node(&vm(0, 0));
    assert_eq!(node.pull(now, pull::Stream::Config, &mut rng), None);
}
