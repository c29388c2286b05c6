//! Detection of dead, paused and leaving daemons.

mod support;

use basilgrade_membership::contact;
use basilgrade_membership::death;
use basilgrade_membership::status;
use basilgrade_membership::timing;
use support::Cluster;
use support::ProcessState;
use support::vm;

/// Guards against a killed daemon that still counts as a member after the target of 3 s plus one
/// tick, and against survivors that then lack the evidence for a change of ownership.
#[test]
fn all_members_detect_killed_daemon_within_three_seconds() {
    for seed in 0..5 {
        let mut cluster = Cluster::converged(seed, 1, 19);
        let victim = vm(0, 7);
        cluster.set_process(&victim, ProcessState::Killed);

        let took = cluster.run_until(10_000, |cluster| {
            cluster
                .nodes
                .keys()
                .filter(|observer| **observer != victim)
                .all(|observer| cluster.status(observer, &victim) == Some(status::Status::Dead))
        });

        assert!(
            took <= 3100,
            "seed {seed}: all members detected the death only after {took} ms"
        );
        for (observer, node) in cluster.nodes.iter().filter(|(vm, _)| **vm != victim) {
            assert_eq!(
                node.death_evidence(cluster.now, &victim, None),
                death::DeathEvidence::Confirmed,
                "seed {seed}: wrong evidence at observer `{observer}`"
            );
        }
    }
}

/// Guards against a death that is detected up to one tick later than the target of 3 s.
#[test]
fn next_tick_is_due_when_member_times_out() {
    let mut cluster = Cluster::converged(6, 1, 3);
    let (victim, observer) = (vm(0, 2), vm(0, 0));
    cluster.set_process(&victim, ProcessState::Killed);
    cluster.run_until(5000, |cluster| {
        cluster.status(&observer, &victim) == Some(status::Status::Suspect)
    });
    // From here on, only the observer runs.
    let mut now = cluster.now;
    let suspected_at = now.0;
    while cluster.status(&observer, &victim) == Some(status::Status::Suspect) {
        let before = now;
        now = cluster.nodes[&observer].next_tick(now);
        assert!(now > before && now.0 < suspected_at + 3000);
        cluster.nodes[&observer].tick(now, &mut cluster.rng);
    }

    // The tick that marked the member as dead came exactly when its heartbeat timed out.
    let silent = cluster.nodes[&observer].silence(now, &victim);
    assert_eq!(silent, Some(timing::DEAD_AFTER));
}

/// Guards against false suspicions: ten minutes without faults must not produce any.
#[test]
fn no_member_is_suspected_without_faults() {
    let mut cluster = Cluster::converged(11, 1, 19);

    let took = cluster.run_until(600_000, |cluster| {
        cluster.now.0.is_multiple_of(100)
            && cluster
                .nodes
                .values()
                .any(|node| node.members().any(|(_, status)| !status.is_live()))
    });

    assert_eq!(
        took, 600_000,
        "a member was suspected after {took} ms without faults"
    );
}

/// Guards against assigning new ownership to a daemon that is paused.
#[test]
fn paused_daemon_is_no_ownership_candidate() {
    let mut cluster = Cluster::converged(1, 1, 5);
    let (paused, observer) = (vm(0, 2), vm(0, 0));
    for node in cluster.nodes.values_mut() {
        node.set_progress(
            cluster.now,
            basilgrade_types::revision::Revision(1),
            basilgrade_types::offset::Offset(0),
        );
        node.readiness(cluster.now);
    }
    let candidates = cluster.nodes[&observer].ownership_candidates(cluster.now);
    assert!(candidates.contains(&paused));

    cluster.set_process(&paused, ProcessState::Paused);
    cluster.run(2300);

    let now = cluster.now;
    let candidates = cluster.nodes[&observer].ownership_candidates(now);
    assert!(!candidates.contains(&paused));
    assert!(candidates.contains(&observer));
    // The paused daemon itself, when it resumes, finds no candidates at all.
    assert!(cluster.nodes[&paused].ownership_candidates(now).is_empty());
}

/// Guards against a resumed daemon that declares its peers dead because it received no heartbeats
/// while it was paused.
#[test]
fn resumed_daemon_does_not_suspect_peers() {
    let mut cluster = Cluster::converged(2, 1, 5);
    let paused = vm(0, 2);
    cluster.set_process(&paused, ProcessState::Paused);
    cluster.run(30_000);

    cluster.set_process(&paused, ProcessState::Running);
    let now = cluster.now;
    let out = cluster.nodes[&paused].tick(now, &mut cluster.rng);
    let suspects: Vec<_> = cluster.nodes[&paused]
        .members()
        .filter(|(_, status)| !status.is_live())
        .map(|(record, _)| record.vm.clone())
        .collect();
    let death = cluster.nodes[&paused].death_evidence(now, &vm(0, 1), None);
    cluster.send(&paused, out);
    cluster.run(5000);

    assert!(
        suspects.is_empty(),
        "the resumed daemon suspects {suspects:?}"
    );
    assert!(!death.permits_takeover());
    for observer in cluster.nodes.keys() {
        assert_eq!(
            cluster.status(observer, &paused),
            Some(status::Status::Alive),
            "`{observer}` does not consider the resumed daemon alive"
        );
    }
}

/// Guards against takeovers that rely on reports of other daemons only. Death is confirmed only if
/// an own contact attempt has failed since the last sign of life; a later success revokes it.
#[test]
fn takeover_requires_own_failed_contact() {
    let mut cluster = Cluster::converged(3, 2, 3);
    let (victim, observer) = (vm(1, 1), vm(0, 0));
    let evidence =
        |cluster: &Cluster| cluster.nodes[&observer].death_evidence(cluster.now, &victim, None);
    assert_eq!(
        evidence(&cluster),
        death::DeathEvidence::NotDead(status::Status::Alive)
    );
    cluster.set_process(&victim, ProcessState::Killed);
    cluster.run(15_000);
    assert_eq!(evidence(&cluster), death::DeathEvidence::ContactNeeded);

    let now = cluster.now;
    let node = cluster.node(&observer);
    node.report_contact(&victim, now, contact::Outcome::Failed);
    assert_eq!(evidence(&cluster), death::DeathEvidence::Confirmed);

    let later = basilgrade_types::clock::Millis(now.0 + 1);
    let node = cluster.node(&observer);
    node.report_contact(&victim, later, contact::Outcome::Answered);
    assert_eq!(evidence(&cluster), death::DeathEvidence::ContactNeeded);
}

/// Guards against a domain that takes over the slots of a domain that is only unreachable.
#[test]
fn members_of_silent_domain_are_not_dead() {
    let mut cluster = Cluster::converged(4, 2, 3);
    let (other, observer) = (vm(1, 1), vm(0, 0));
    cluster.partition_domains(0, 1);
    cluster.run(60_000);

    let now = cluster.now;
    let node = cluster.node(&observer);
    node.report_contact(&other, now, contact::Outcome::Failed);

    let death = cluster.nodes[&observer].death_evidence(now, &other, None);
    assert_eq!(death, death::DeathEvidence::DomainSilent);
}

/// Guards against a leaving daemon that receives new work or counts as dead.
#[test]
fn all_members_learn_of_leaving_daemon_within_one_second() {
    let mut cluster = Cluster::converged(5, 1, 19);
    let leaver = vm(0, 4);
    let now = cluster.now;
    cluster.node(&leaver).leave(now);

    cluster.run(1000);

    for observer in cluster.nodes.keys() {
        assert_eq!(
            cluster.status(observer, &leaver),
            Some(status::Status::Leaving)
        );
    }
}
