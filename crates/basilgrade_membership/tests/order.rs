//! Messages that arrive late, out of order or for a state that has passed.

mod support;

use basilgrade_membership::body;
use basilgrade_membership::contact;
use basilgrade_membership::death;
use basilgrade_membership::domain_delta;
use basilgrade_membership::health;
use basilgrade_membership::heartbeat;
use basilgrade_membership::item;
use basilgrade_membership::ledger_delta;
use basilgrade_membership::member_delta;
use basilgrade_membership::message;
use basilgrade_membership::news;
use basilgrade_membership::progress;
use basilgrade_membership::status;
use basilgrade_membership::tag;
use basilgrade_membership::term;
use basilgrade_membership::versioned;
use basilgrade_types::id;
use basilgrade_types::incarnation;
use basilgrade_types::offset;
use basilgrade_types::revision;
use support::Cluster;
use support::Process;
use support::domain;
use support::record;
use support::vm;

fn tell(cluster: &mut Cluster, to: &id::VmId, from: &id::VmId, news: news::News) {
    let now = cluster.now;
    let incarnation = cluster
        .nodes
        .get(from)
        .map_or(incarnation::Incarnation(1), |node| {
            node.record().incarnation
        });
    let body = body::Body::News(news);
    let message = message::Message { incarnation, body };
    cluster.node(to).receive(now, from, message);
}

fn delta(
    from: u64,
    through: u64,
    items: impl IntoIterator<Item = (u64, item::Item)>,
) -> ledger_delta::LedgerDelta {
    ledger_delta::LedgerDelta {
        from,
        through,
        extent: ledger_delta::Extent::Newer,
        items: items
            .into_iter()
            .map(|(version, item)| versioned::Versioned { version, item })
            .collect(),
    }
}

fn progress_item(revision: u64) -> item::Item {
    item::Item::Progress(progress::Progress {
        revision: revision::Revision(revision),
        control: offset::Offset(0),
        log: progress::LogAccess::Reachable,
    })
}

/// Guards against a suspicion that outlives the contact with the suspected daemon.
#[test]
fn a_suspected_daemon_raises_its_version_above_the_suspicion() {
    let mut cluster = Cluster::settled(1, 1, 3);
    let (accused, peer) = (vm(0, 0), vm(0, 1));
    let tag = cluster.nodes[&accused].record().tag();
    let suspicion = heartbeat::Heartbeat {
        tag,
        version: 1_000_000,
        items: 0,
        status: status::Status::Suspect,
        age: 250,
    };
    let heartbeats = vec![suspicion];
    tell(
        &mut cluster,
        &accused,
        &peer,
        news::News {
            heartbeats,
            ..news::News::default()
        },
    );

    let now = cluster.now;
    let probe = message::Message {
        incarnation: cluster.nodes[&peer].record().incarnation,
        body: body::Body::Probe(cluster.nodes[&peer].record().clone()),
    };
    let replies = cluster.node(&accused).receive(now, &peer, probe);

    let body::Body::Reply(reply) = &replies[0].message.body else {
        panic!("{replies:?}");
    };
    assert!(reply.version > 1_000_000);
    assert_eq!(reply.status, status::Status::Alive);
}

/// Guards against a late heartbeat that brings a dead daemon back.
#[test]
fn a_late_heartbeat_of_a_dead_daemon_is_ignored() {
    let mut cluster = Cluster::settled(2, 1, 3);
    let (victim, observer, relay) = (vm(0, 0), vm(0, 1), vm(0, 2));
    let tag = cluster.nodes[&victim].record().tag();
    cluster.set(&victim, Process::Killed);
    cluster.run(5000);

    for version in [1, 5, 20] {
        let late = heartbeat::Heartbeat {
            tag,
            version,
            items: 1,
            status: status::Status::Alive,
            age: 0,
        };
        let heartbeats = vec![late];
        tell(
            &mut cluster,
            &observer,
            &relay,
            news::News {
                heartbeats,
                ..news::News::default()
            },
        );

        let dead = cluster.status(&observer, &victim);
        assert_eq!(dead, Some(status::Status::Dead), "version {version}");
    }
}

/// Guards against a reordered delta that hides the items before it.
#[test]
fn a_delta_that_skips_items_is_not_applied() {
    let mut cluster = Cluster::settled(3, 1, 2);
    let (observer, owner) = (vm(0, 0), vm(0, 1));
    let tag = cluster.nodes[&owner].record().tag();
    let ejected = |name: &str| item::Item::Health {
        upstream: tag::Tag::of(name),
        health: health::Health::Ejected,
    };
    let of_owner = |delta| news::News {
        members: vec![member_delta::MemberDelta { tag, delta }],
        ..news::News::default()
    };
    let second = of_owner(delta(2, 3, [(3, ejected("second"))]));
    let first = of_owner(delta(1, 2, [(2, ejected("first"))]));

    tell(&mut cluster, &observer, &owner, second.clone());
    tell(&mut cluster, &observer, &owner, first);
    tell(&mut cluster, &observer, &owner, second);

    let now = cluster.now;
    for name in ["first", "second"] {
        let upstream: id::UpstreamId = name.parse().unwrap();
        let health = cluster.nodes[&observer].health(now, &upstream);
        assert_eq!(health, health::Health::Ejected, "{name}");
    }
}

/// Guards against a mixture of what two writers of one summary state, and against a summary that
/// is taken for a sign of life each time it is repeated.
#[test]
fn a_later_term_replaces_the_summary_and_earlier_ones_are_ignored() {
    let mut cluster = Cluster::settled(4, 1, 2);
    let (observer, speaker) = (vm(0, 0), vm(1, 0));
    let summary = |number, name: &str, delta| news::News {
        domains: vec![domain_delta::DomainDelta {
            domain: domain(1),
            term: term::Term {
                number,
                writer: tag::Tag::of(name),
            },
            delta,
        }],
        ..news::News::default()
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

    tell(&mut cluster, &observer, &speaker, first);
    tell(&mut cluster, &observer, &speaker, second.clone());
    tell(&mut cluster, &observer, &speaker, late);

    let members: Vec<_> = cluster.nodes[&observer]
        .members_of(&domain(1))
        .map(|(record, _)| record.vm.clone())
        .collect();
    assert_eq!(members, [vm(1, 6)]);
    cluster.run(16_000);
    tell(&mut cluster, &observer, &speaker, second);
    let now = cluster.now;
    let node = cluster.node(&observer);
    node.report_contact(&vm(1, 6), now, contact::Outcome::Failed);
    let death = node.may_treat_as_dead(now, &vm(1, 6), None);
    assert_eq!(death, death::Death::DomainSilent);
}
