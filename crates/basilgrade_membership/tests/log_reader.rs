//! The log reader of a domain and pulls.

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

/// Guards against several readers per domain, or none, when the reader dies or others join.
#[test]
fn a_domain_has_one_reader_which_is_replaced_when_it_dies() {
    let mut cluster = Cluster::converged(1, 2, 6);
    assert_eq!(readers(&cluster), [vm(0, 0), vm(1, 0)]);

    cluster.set_process(&vm(0, 0), ProcessState::Killed);
    cluster.run(4000);
    assert_eq!(readers(&cluster), [vm(0, 1), vm(1, 0)]);

    cluster.start(0, 0);
    cluster.run(5000);
    assert_eq!(readers(&cluster), [vm(0, 1), vm(1, 0)]);
}

/// Guards against a domain that stays cut off from the log because only its reader cannot reach it.
#[test]
fn a_reader_that_cannot_reach_the_log_is_replaced() {
    let mut cluster = Cluster::converged(2, 1, 4);
    let now = cluster.now;
    let node = cluster.node(&vm(0, 0));
    node.set_log_access(now, progress::LogAccess::Unreachable);

    cluster.run(2000);

    assert_eq!(readers(&cluster), [vm(0, 1)]);
}

/// Guards against readers that return together after an outage of the log.
#[test]
fn reads_of_an_unreachable_log_are_spread() {
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
        assert!(together.count() < 200, "a fifth returns from {start} ms on");
    }
}

/// Guards against every member of a domain pulling the same records from another domain.
#[test]
fn records_cross_into_a_domain_through_its_reader() {
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
    // An unanswered pull is not repeated before its time-out.
    let node = cluster.node(&vm(0, 0));
    assert_eq!(node.pull(now, pull::Stream::Config, &mut rng), None);
}
