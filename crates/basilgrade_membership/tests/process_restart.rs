//! Restarted processes.

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

/// Guards against a restarted process that is taken for the old one: its claims are gone.
#[test]
fn a_restart_ends_the_old_run_at_once() {
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

/// Guards against messages of a former run that arrive late and speak for the present one.
#[test]
fn a_late_message_of_an_old_run_is_ignored() {
    let mut cluster = Cluster::converged(2, 1, 5);
    let (restarted, observer) = (vm(0, 2), vm(0, 0));
    let old = cluster.nodes[&restarted].record().clone();
    cluster.set_process(&restarted, ProcessState::Killed);
    cluster.run(500);
    cluster.start(0, 2);
    cluster.run(5000);
    let own = cluster.nodes[&observer].record().clone();
    let before = format!("{:?}", cluster.nodes[&observer]);

    // It says that it leaves, and that the observer is dead.
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
    assert_eq!(strip_time(&before), strip_time(&after));
}

/// The pause detector notes the time of every call.
fn strip_time(state: &str) -> String {
    let start = state.find("pause:").unwrap();
    let end = start + state[start..].find("phase:").unwrap();
    format!("{}{}", &state[..start], &state[end..])
}

/// Guards against a replacement VM whose clock is behind its predecessor's and that all peers would
/// ignore as the old run.
#[test]
fn a_restart_with_a_clock_that_is_behind_takes_a_later_incarnation() {
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

/// Guards against an old process that resumes beside its replacement and disputes its place.
#[test]
fn an_old_run_that_resumes_gives_way() {
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
