//! Tests of whether registrations of live upstreams may be missing after a store outage.

mod common;

use basilgrade_adapter::store;
use basilgrade_edge::follow::mirror;
use basilgrade_edge::follow::mirrors;
use basilgrade_edge::peers::service;
use common::new_mirrors_and_core;

/// Reply of another daemon, whose mirror of the upstreams is at `position`.
fn new_reply(position: u64, is_uncertain: bool, changes: mirror::Changes) -> service::Updates {
    service::Updates {
        is_store_reachable: true,
        is_uncertain,
        updates: vec![mirror::Update {
            topic: store::Topic::Upstreams,
            position: position.into(),
            changes,
        }],
    }
}

fn registration() -> mirror::Changes {
    let entry = r#"{"service": "pool", "address": "127.0.0.1:5", "zone": "a", "slots": 1,
        "state": "ready", "sequence": 1}"#;
    mirror::Changes::All(vec![("i-1".into(), entry.into())])
}

fn removal() -> mirror::Changes {
    mirror::Changes::Some(vec![("i-1".into(), None)])
}

fn new_mirrors() -> mirrors::Mirrors {
    new_mirrors_and_core().0
}

/// Guards against a daemon that keeps sending requests to a deregistered upstream, because the
/// daemon takes the first store answer after its own start for the end of a store outage.
#[test]
fn first_store_answer_after_start_ends_no_outage() {
    let mirrors = new_mirrors();

    mirrors.record_store_answer();

    assert!(!mirrors.is_uncertain());
}

/// Guards against live upstreams that are removed because their registrations expired during a
/// store outage that lasted since the daemon's start.
#[test]
fn registrations_may_be_missing_after_store_outage() {
    let mirrors = new_mirrors();
    mirrors.record_store_failure("no answer");
    let during_outage = mirrors.is_uncertain();

    mirrors.record_store_answer();

    assert!(during_outage && mirrors.is_uncertain());
}

/// Guards against a daemon that keeps sending requests to a deregistered upstream, because the
/// daemon that reads the store for it has just regained the store.
#[test]
fn doubt_of_reader_does_not_outweigh_own_reads() {
    let (mirrors, core) = new_mirrors_and_core();
    mirrors.record_store_answer();
    mirrors.apply_reply(new_reply(1, false, registration()), true);

    mirrors.apply_reply(new_reply(2, true, removal()), true);

    assert_eq!(core.view.load().directory.ids().count(), 0);
}

/// Guards against live upstreams that are removed because a daemon that has not read the store
/// itself overrules its reader.
#[test]
fn doubt_of_reader_holds_without_own_reads() {
    let (mirrors, core) = new_mirrors_and_core();
    mirrors.apply_reply(new_reply(1, false, registration()), true);

    mirrors.apply_reply(new_reply(2, true, removal()), true);

    assert_eq!(core.view.load().directory.ids().count(), 1);
}

/// Guards against a software version that a daemon overlooks because it reads the registration of an
/// upstream together with its removal.
#[test]
fn version_that_came_and_went_between_two_reads_counts() {
    let (mirrors, core) = new_mirrors_and_core();
    mirrors.record_store_answer();
    mirrors.apply_reply(new_reply(1, false, registration()), true);
    let entry = r#"{"service": "pool", "address": "127.0.0.1:6", "zone": "a", "slots": 1,
        "state": "ready", "version": "v2", "sequence": 1}"#;
    let changes = vec![("i-2".into(), Some(entry.into())), ("i-2".into(), None)];

    mirrors.apply_reply(new_reply(3, false, mirror::Changes::Some(changes)), true);

    let pool = "pool".parse().expect("valid name");
    assert!(core.streams().has_several_versions(&pool));
    assert_eq!(core.view.load().directory.ids().count(), 1);
}
