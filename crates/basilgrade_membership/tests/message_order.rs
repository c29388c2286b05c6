//! Messages that arrive late, out of order or with outdated content.

mod support;

use basilgrade_membership::body;
use basilgrade_membership::contact;
use basilgrade_membership::death;
use basilgrade_membership::domain_delta;
use basilgrade_membership::health;
use basilgrade_membership::heartbeat;
use basilgrade_membership::item;
use basilgrade_membership::item_set_delta;
use basilgrade_membership::member_delta;
use basilgrade_membership::message;
use basilgrade_membership::progress;
use basilgrade_membership::state_update;
use basilgrade_membership::status;
use basilgrade_membership::tag;
use basilgrade_membership::term;
use basilgrade_membership::versioned_item;
use basilgrade_types::id;
use basilgrade_types::incarnation;
use basilgrade_types::offset;
use basilgrade_types::revision;
use support::Cluster;
use support::ProcessState;
use support::domain;
use support::record;
use support::vm;

fn deliver_update(
    cluster: &mut Cluster,
    to: &id::VmId,
    from: &id::VmId,
    update: state_update::StateUpdate,
) {
    let now = cluster.now;
    let incarnation = cluster
        .nodes
        .get(from)
        .map_or(incarnation::Incarnation(1), |node| {
            node.record().incarnation
        });
    let body = body::Body::StateUpdate(update);
    let message = message::Message { incarnation, body };
    cluster.node(to).receive(now, from, message);
}

fn delta(
    from: u64,
    through: u64,
    items: impl IntoIterator<Item = (u64, item::Item)>,
) -> item_set_delta::ItemSetDelta {
    item_set_delta::ItemSetDelta {
        from,
        through,
        extent: item_set_delta::Extent::Newer,
        items: items
            .into_iter()
            .map(|(version, item)| versioned_item::VersionedItem { version, item })
            .collect(),
    }
}

fn progress_item(revision: u64) -> item::Item {
    item::Item::Progress(progress::Progress {
        revision: revision::Revision(revision),
        control_offset: offset::Offset(0),
        log_access: progress::LogAccess::Reachable,
    })
}

/// Guards against a suspicion that persists although the suspected daemon replies to probes.
#[test]
fn suspected_daemon_refutes_with_higher_version() {
    let mut cluster = Cluster::converged(1, 1, 3);
    let (suspected, peer) = (vm(0, 0), vm(0, 1));
    let tag = cluster.nodes[&suspected].record().tag();
    let suspicion = heartbeat::Heartbeat {
        tag,
        version: 1_000_000,
        item_version: 0,
        status: status::Status::Suspect,
        age_centis: 250,
    };
    let heartbeats = vec![suspicion];
    deliver_update(
        &mut cluster,
        &suspected,
        &peer,
        state_update::StateUpdate {
            heartbeats,
            ..state_update::StateUpdate::default()
        },
    );

    let now = cluster.now;
    let probe = message::Message {
        incarnation: cluster.nodes[&peer].record().incarnation,
        body: body::Body::Probe(cluster.nodes[&peer].record().clone()),
    };
    let replies = cluster.node(&suspected).receive(now, &peer, probe);

    let body::Body::ProbeReply(reply) = &replies[0].message.body else {
        panic!("expected a probe reply, got {replies:?}");
    };
    assert!(reply.version > 1_000_000);
    assert_eq!(reply.status, status::Status::Alive);
}

/// Guards against a late heartbeat that marks a dead daemon as alive again.
#[test]
fn late_heartbeat_of_dead_daemon_is_ignored() {
    let mut cluster = Cluster::converged(2, 1, 3);
    let (victim, observer, relay) = (vm(0, 0), vm(0, 1), vm(0, 2));
    let tag = cluster.nodes[&victim].record().tag();
    cluster.set_process(&victim, ProcessState::Killed);
    cluster.run(5000);

    for version in [1, 5, 20] {
        let late = heartbeat::Heartbeat {
            tag,
            version,
            item_version: 1,
            status: status::Status::Alive,
            age_centis: 0,
        };
        let heartbeats = vec![late];
        deliver_update(
            &mut cluster,
            &observer,
            &relay,
            state_update::StateUpdate {
                heartbeats,
                ..state_update::StateUpdate::default()
            },
        );

        let dead = cluster.status(&observer, &victim);
        assert_eq!(
            dead,
            Some(status::Status::Dead),
            "a heartbeat with version {version} revived the dead daemon"
        );
    }
}

/// Guards against a reordered delta that makes the node skip the items before it.
#[test]
fn delta_with_version_gap_is_not_applied() {
    let mut cluster = Cluster::converged(3, 1, 2);
    let (observer, owner) = (vm(0, 0), vm(0, 1));
    let tag = cluster.nodes[&owner].record().tag();
    let ejected = |name: &str| item::Item::Health {
        upstream: tag::Tag::of(name),
        health: health::Health::Ejected,
    };
    let of_owner = |delta| state_update::StateUpdate {
        members: vec![member_delta::MemberDelta { tag, delta }],
        ..state_update::StateUpdate::default()
    };
    let second = of_owner(delta(2, 3, [(3, ejected("second"))]));
    let first = of_owner(delta(1, 2, [(2, ejected("first"))]));

    deliver_update(&mut cluster, &observer, &owner, second.clone());
    deliver_update(&mut cluster, &observer, &owner, first);
    deliver_update(&mut cluster, &observer, &owner, second);

    let now = cluster.now;
    for name in ["first", "second"] {
        let upstream: id::UpstreamId = name.parse().unwrap();
        let health = cluster.nodes[&observer].health(now, &upstream);
        assert_eq!(
            health,
            health::Health::Ejected,
            "wrong health of upstream `{name}`"
        );
    }
}

/// Guards against a summary that mixes items of two writers, and against a repeated summary that
/// counts as a new sign of life of its domain.
#[test]
fn later_term_replaces_summary_and_earlier_terms_are_ignored() {
    let mut cluster = Cluster::converged(4, 1, 2);
    let (observer, sender) = (vm(0, 0), vm(1, 0));
    let summary = |number, name: &str, delta| state_update::StateUpdate {
        domains: vec![domain_delta::DomainDelta {
            domain: domain(1),
            term: term::Term {
                number,
                writer: tag::Tag::of(name),
            },
            delta,
        }],
        ..state_update::StateUpdate::default()
    };
    let member = |number| item::Item::Member {
        record: record(1, number, 1),
        status: status::Status::Alive,
    };
    let first = summary(
        1,
        "a",
        delta(0, 50, [(49, progress_item(9)), (50, member(5))]),
    );
    let second = summary(2, "b", delta(0, 3, [(2, progress_item(4)), (3, member(6))]));
    let late = summary(1, "a", delta(0, 60, [(60, member(7))]));

    deliver_update(&mut cluster, &observer, &sender, first);
    deliver_update(&mut cluster, &observer, &sender, second.clone());
    deliver_update(&mut cluster, &observer, &sender, late);

    let members: Vec<_> = cluster.nodes[&observer]
        .members_of(&domain(1))
        .map(|(record, _)| record.vm.clone())
        .collect();
    assert_eq!(members, [vm(1, 6)]);
    cluster.run(16_000);
    deliver_update(&mut cluster, &observer, &sender, second);
    let now = cluster.now;
    let node = cluster.node(&observer);
    node.report_contact(&vm(1, 6), now, contact::Outcome::Failed);
    let death = node.death_evidence(now, &vm(1, 6), None);
    assert_eq!(death, death::DeathEvidence::DomainSilent);
}
