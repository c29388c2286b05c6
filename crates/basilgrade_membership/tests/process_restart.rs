//! Restarts of daemons and incarnations.

mod support;

use basilgrade_membership::body;
use basilgrade_membership::death;
use basilgrade_membership::digest;
use basilgrade_membership::heartbeat;
use basilgrade_membership::message;
use basilgrade_membership::status;
use basilgrade_membership::wire_codec;
use support::Cluster;
use support::ProcessState;
use support::record;
use support::vm;

/// Guards against a restarted process that is mistaken for its former run, whose claims are lost.
#[test]
fn restart_supersedes_former_run() {
    let mut cluster = Cluster::converged(1, 1, 5);
    let (restarted, observer) = (vm(0, 2), vm(0, 0));
    let old = cluster.nodes[&restarted].record().incarnation;
    cluster.set_process(&restarted, ProcessState::Killed);
    cluster.run(500);
    cluster.start(0, 2);
    cluster.run(2000);

    let new = cluster.nodes[&restarted].record().incarnation;
    let node = &cluster.nodes[&observer];
    assert!(new > old);
    assert_eq!(
        node.death_evidence(cluster.now, &restarted, Some(old)),
        death::DeathEvidence::Superseded(new)
    );
    assert_eq!(
        node.death_evidence(cluster.now, &restarted, Some(new)),
        death::DeathEvidence::NotDead(status::Status::Alive)
    );
    let runs = node.members().filter(|(member, _)| member.vm == restarted);
    assert_eq!(runs.count(), 1);
}

/// Guards against late messages of a former run that change the state of the current run.
#[test]
fn late_message_of_former_run_is_ignored() {
    let mut cluster = Cluster::converged(2, 1, 5);
    let (restarted, observer) = (vm(0, 2), vm(0, 0));
    let old = cluster.nodes[&restarted].record().clone();
    cluster.set_process(&restarted, ProcessState::Killed);
    cluster.run(500);
    cluster.start(0, 2);
    cluster.run(5000);
    let own = cluster.nodes[&observer].record().clone();
    let before = format!("{:?}", cluster.nodes[&observer]);

    // The late message announces that its sender leaves and reports the observer as dead.
    let late = message::Message {
        incarnation: old.incarnation,
        body: body::Body::Digest(digest::Digest {
            members: vec![
                heartbeat::Heartbeat {
                    tag: old.tag(),
                    version: 1 << 40,
                    item_version: 0,
                    status: status::Status::Leaving,
                    age_centis: 0,
                },
                heartbeat::Heartbeat {
                    tag: own.tag(),
                    version: 1 << 40,
                    item_version: 0,
                    status: status::Status::Dead,
                    age_centis: 0,
                },
            ],
            record: old,
            domains: None,
        }),
    };
    let bytes = wire_codec::encode(&late).unwrap();
    let now = cluster.now;
    let message = wire_codec::decode(&bytes).unwrap();
    cluster.node(&observer).receive(now, &restarted, message);

    let after = format!("{:?}", cluster.nodes[&observer]);
    assert_eq!(strip_pause_state(&before), strip_pause_state(&after));
}

/// Removes the state of the pause detector, which changes with the time of every call.
fn strip_pause_state(state: &str) -> String {
    let start = state.find("pause:").unwrap();
    let end = start + state[start..].find("phase:").unwrap();
    format!("{}{}", &state[..start], &state[end..])
}

/// Guards against a restarted daemon that all peers ignore as a former run, because its clock is
/// behind that of the former run.
#[test]
fn restart_with_slow_clock_adopts_later_incarnation() {
    let mut cluster = Cluster::converged(3, 1, 5);
    let (restarted, observer) = (vm(0, 2), vm(0, 0));
    let old = cluster.nodes[&restarted].record().incarnation;
    cluster.set_process(&restarted, ProcessState::Killed);
    cluster.run(500);
    cluster.start_with_record(record(0, 2, 5));

    cluster.run(8000);

    assert!(cluster.nodes[&restarted].record().incarnation > old);
    assert_eq!(
        cluster.status(&observer, &restarted),
        Some(status::Status::Alive)
    );
}

/// Guards against a paused process that resumes after its replacement and competes with it.
#[test]
fn resumed_former_run_yields_to_newer_run() {
    let mut cluster = Cluster::converged(4, 1, 5);
    let (restarted, observer) = (vm(0, 2), vm(0, 0));
    let mut old = cluster.nodes[&restarted].clone();
    cluster.start_with_record(record(0, 2, cluster.now.0));
    cluster.run(30_000);
    let new = cluster.nodes[&restarted].record().incarnation;

    for _ in 0..100 {
        cluster.run(20);
        let now = cluster.now;
        for outgoing in old.tick(now, &mut cluster.rng) {
            let replies = cluster
                .node(&outgoing.vm)
                .receive(now, &restarted, outgoing.message);
            for reply in replies.into_iter().filter(|reply| reply.vm == restarted) {
                old.receive(now, &outgoing.vm, reply.message);
            }
        }
    }

    let now = cluster.now;
    assert_eq!(
        old.readiness(now),
        basilgrade_membership::readiness::Readiness::Leaving
    );
    assert!(old.record().incarnation < new);
    assert_eq!(
        cluster.nodes[&observer].newest_incarnation(&restarted),
        Some(new)
    );
}
