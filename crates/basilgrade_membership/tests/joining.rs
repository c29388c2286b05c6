//! Joining of daemons to a domain.

mod support;

use basilgrade_membership::prefix_hint;
use basilgrade_membership::pull;
use basilgrade_membership::readiness;
use basilgrade_membership::tag;
use basilgrade_types::offset;
use basilgrade_types::revision;
use rand::SeedableRng;
use rand::rngs;
use support::Cluster;
use support::ProcessState;
use support::record;
use support::vm;
use support::vm_hint;

/// Maximum size of a reply to a join request, as specified in the design documentation.
const MAX_JOIN_CHUNK_BYTES: usize = 32 * 1024;

/// Guards against a joining daemon that serves an old configuration revision. Only one peer has the
/// newest revision, the joining daemon may fetch its state from another peer, and the log gives it
/// an old revision.
#[test]
fn joining_daemon_behind_reachable_peers_is_not_ready() {
    for seed in 0..20 {
        let mut cluster = Cluster::converged(seed, 1, 6);
        let now = cluster.now;
        for node in cluster.nodes.values_mut() {
            node.set_progress(now, revision::Revision(4), offset::Offset(1));
        }
        cluster.run(3000);
        let joiner = cluster.start(0, 8);
        let now = cluster.now;
        let node = cluster.node(&joiner);
        node.set_progress(now, revision::Revision(3), offset::Offset(0));
        let publisher = cluster.node(&vm(0, 3));
        publisher.set_progress(now, revision::Revision(5), offset::Offset(1));

        let mut states = Vec::new();
        for _ in 0..4000 {
            cluster.run(1);
            let now = cluster.now;
            states.push(cluster.node(&joiner).readiness(now));
        }

        assert!(
            !states.contains(&readiness::Readiness::Ready),
            "seed {seed}: the joining daemon is ready with the old revision 3"
        );
        let behind = readiness::Readiness::Behind(revision::Revision(5));
        assert_eq!(states.last(), Some(&behind));

        let now = cluster.now;
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let node = cluster.node(&joiner);
        let pull = node.pull(now, pull::Stream::Config, &mut rng).unwrap();
        assert_eq!((pull.vm, pull.held, pull.target), (vm(0, 3), 3, 5));
        node.set_progress(now, revision::Revision(5), offset::Offset(1));
        assert_eq!(node.readiness(now), readiness::Readiness::Ready);
    }
}

/// Guards against a joining daemon that relies only on the peer that sent it the state. Here, this
/// peer cannot reach the only member with the newest revision, but the joining daemon can.
#[test]
fn joining_daemon_requests_revision_of_every_member() {
    for seed in 0..20 {
        let mut cluster = Cluster::converged(seed, 1, 6);
        let now = cluster.now;
        for node in cluster.nodes.values_mut() {
            node.set_progress(now, revision::Revision(4), offset::Offset(1));
        }
        cluster.run(3000);
        let publisher = vm(0, 3);
        let other_members: Vec<_> = [0, 1, 2, 4, 5].map(|number| vm(0, number)).into();
        cluster.partition_vms(vec![publisher.clone()], other_members);
        let joiner = cluster.start(0, 8);
        let now = cluster.now;
        cluster
            .node(&publisher)
            .set_progress(now, revision::Revision(5), offset::Offset(1));
        let node = cluster.node(&joiner);
        node.observe_vm_list([vm_hint(&record(0, 0, 0))]);
        node.set_progress(now, revision::Revision(4), offset::Offset(1));

        let mut states = Vec::new();
        for _ in 0..1500 {
            cluster.run(1);
            let now = cluster.now;
            states.push(cluster.node(&joiner).readiness(now));
        }

        let behind = readiness::Readiness::Behind(revision::Revision(5));
        assert_eq!(states.last(), Some(&behind), "seed {seed}");
        assert!(!states.contains(&readiness::Readiness::Ready));
    }
}

/// Guards against replies to a join request above 32 KiB, and against a joining daemon that lacks
/// more than 5 % of the state after 3 s.
#[test]
fn joining_daemon_receives_full_state_in_bounded_chunks() {
    let mut cluster = Cluster::converged(7, 1, 19);
    for index in 0..19 * 200_u32 {
        let hint = prefix_hint::PrefixHint {
            prefix: tag::Tag::of(&format!("prefix-{index}")),
            upstream: tag::Tag::of("engine"),
            tokens: 100,
        };
        cluster
            .node(&vm(0, index as usize % 19))
            .add_prefix_hint(hint);
    }
    cluster.run(90_000);
    let encoded_size = cluster.nodes[&vm(0, 0)].encoded_size();
    cluster.largest_message = 0;
    let joiner = cluster.start(0, 30);

    cluster.run(3000);
    assert!(
        encoded_size > MAX_JOIN_CHUNK_BYTES,
        "the state of {encoded_size} bytes fits into one chunk"
    );
    assert!(cluster.largest_message <= MAX_JOIN_CHUNK_BYTES);
    let fetched = cluster.nodes[&joiner].encoded_size();
    assert!(
        fetched * 20 > encoded_size * 19,
        "the joining daemon received only {fetched} of {encoded_size} bytes of state"
    );
    let now = cluster.now;
    assert_eq!(
        cluster.node(&joiner).readiness(now),
        readiness::Readiness::NoRevision
    );
}

/// Guards against a daemon that never becomes ready because no listed peer answers.
#[test]
fn daemon_without_reachable_peers_becomes_ready() {
    let mut cluster = Cluster::started(8, 1, 4);
    for number in 1..4 {
        cluster.set_process(&vm(0, number), ProcessState::Killed);
    }
    let now = cluster.now;
    let node = cluster.node(&vm(0, 0));
    node.set_progress(now, revision::Revision(2), offset::Offset(1));

    cluster.run(5000);

    let now = cluster.now;
    let node = cluster.node(&vm(0, 0));
    assert_eq!(node.readiness(now), readiness::Readiness::Ready);
}

/// Guards against a daemon that serves an old configuration revision after a long pause.
#[test]
fn resumed_daemon_catches_up_before_it_is_ready() {
    let mut cluster = Cluster::converged(9, 1, 5);
    let paused = vm(0, 2);
    let now = cluster.now;
    for node in cluster.nodes.values_mut() {
        node.set_progress(now, revision::Revision(4), offset::Offset(1));
        node.readiness(now);
    }
    cluster.run(3000);
    cluster.set_process(&paused, ProcessState::Paused);
    cluster.run(10_000);
    let now = cluster.now;
    for (vm, node) in &mut cluster.nodes {
        if *vm != paused {
            node.set_progress(now, revision::Revision(5), offset::Offset(1));
        }
    }

    cluster.set_process(&paused, ProcessState::Running);
    let mut states = Vec::new();
    for _ in 0..4000 {
        cluster.run(1);
        let now = cluster.now;
        // Readiness is queried right after a tick, because the tick detects the pause.
        if cluster.now.0.is_multiple_of(20) {
            states.push(cluster.node(&paused).readiness(now));
        }
    }

    let behind = readiness::Readiness::Behind(revision::Revision(5));
    assert_eq!(states.last(), Some(&behind));
}
