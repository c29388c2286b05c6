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

    mirrors.record_store_answer(store::Topic::Upstreams);

    assert!(!mirrors.is_uncertain());
}

/// Guards against live upstreams that are removed because their registrations expired during a
/// store outage that lasted since the daemon's start.
#[test]
fn registrations_may_be_missing_after_store_outage() {
    let mirrors = new_mirrors();
    mirrors.record_store_failure(store::Topic::Upstreams, "no answer");
    let during_outage = mirrors.is_uncertain();

    mirrors.record_store_answer(store::Topic::Upstreams);

    assert!(during_outage && mirrors.is_uncertain());
}

/// Guards against a daemon that keeps sending requests to a deregistered upstream, because the
/// daemon that reads the store for it has just regained the store.
#[test]
fn doubt_of_reader_does_not_outweigh_own_reads() {
    let (mirrors, core) = new_mirrors_and_core();
    mirrors.record_store_answer(store::Topic::Upstreams);
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
    mirrors.record_store_answer(store::Topic::Upstreams);
    mirrors.apply_reply(new_reply(1, false, registration()), true);
    let entry = r#"{"service": "pool", "address": "127.0.0.1:6", "zone": "a", "slots": 1,
        "state": "ready", "version": "v2", "sequence": 1}"#;
    let changes = vec![("i-2".into(), Some(entry.into())), ("i-2".into(), None)];

    mirrors.apply_reply(new_reply(3, false, mirror::Changes::Some(changes)), true);

    let pool = "pool".parse().expect("valid name");
    assert!(core.streams().has_several_versions(&pool));
    assert_eq!(core.view.load().directory.ids().count(), 1);
}

/// Registration of the run of `i-1` that started at `born`, with this number.
fn numbered(state: &str, born: u64, sequence: u64) -> mirror::Changes {
    let entry = format!(
        r#"{{"service": "pool", "address": "127.0.0.1:5", "zone": "a", "slots": 1,
        "state": "{state}", "born": {born}, "sequence": {sequence}}}"#
    );
    mirror::Changes::Some(vec![("i-1".into(), Some(entry.into()))])
}

/// Guards against a leaving or removed upstream that gets requests again as the store does one of its
/// earlier registrations late.
#[test]
fn late_registration_does_not_bring_a_leaving_upstream_back() {
    let is_leaving = [numbered("draining", 1000, 13), removal()];
    for (case, leaving) in is_leaving.into_iter().enumerate() {
        let (mirrors, core) = new_mirrors_and_core();
        mirrors.record_store_answer(store::Topic::Upstreams);
        mirrors.apply_reply(new_reply(1, false, numbered("ready", 1000, 12)), true);
        mirrors.apply_reply(new_reply(2, false, leaving), true);

        mirrors.apply_reply(new_reply(3, false, numbered("ready", 1000, 9)), true);
        mirrors.apply_reply(new_reply(4, false, numbered("ready", 900, 40)), true);

        let view = core.view.load();
        let mut known = view.directory.iter();
        let now = core.now();
        assert!(!known.any(|entry| entry.is_accepting(now)), "case {case}");
    }
}

/// Guards against upstreams that stay out of use, as their registrations look older than others.
#[test]
fn registrations_of_a_new_start_or_without_numbers_are_used() {
    let later = [numbered("ready", 2000, 1), registration()];
    for (case, later) in later.into_iter().enumerate() {
        let (mirrors, core) = new_mirrors_and_core();
        mirrors.record_store_answer(store::Topic::Upstreams);
        mirrors.apply_reply(new_reply(1, false, numbered("draining", 1000, 13)), true);

        mirrors.apply_reply(new_reply(2, false, later), true);

        let view = core.view.load();
        let mut known = view.directory.iter();
        let now = core.now();
        assert!(known.any(|entry| entry.is_accepting(now)), "case {case}");
    }
}
