//! Tests of when a daemon sends copies of its streams to others.

mod common;

use std::sync;
use std::time;

use basilgrade_edge::peers::stream_copies;
use basilgrade_edge::view;
use basilgrade_fleet::daemon;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::streams;
use basilgrade_types::clock;

fn engine() -> upstream::Upstream {
    upstream::Upstream {
        id: "engine-0".parse().expect("the name is valid"),
        pool: "engine".parse().expect("the name is valid"),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "a".parse().expect("the name is valid"),
        slots: 1,
        state: upstream::State::Ready,
        version: upstream::Version("v1".into()),
        started_at: None,
        sequence: None,
        cold_for: clock::Millis::ZERO,
        stats: sync::Arc::default(),
    }
}

/// Guards against streams of a deployment's first second that are lost with their daemon, as it
/// looks for a keeper only once in a while.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_copied_as_soon_as_a_keeper_is_known() {
    let (_, core) = common::new_mirrors_and_core();
    let attempt = streams::AttemptId::new("one");
    core.streams().record(core.now(), attempt, &engine());
    let sending = sync::Arc::clone(&core);
    tokio::spawn(async move { stream_copies::send(sending).await });
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port is free");
    let keeper = daemon::Daemon {
        name: "vm-2".parse().expect("the name is valid"),
        address: listener.local_addr().expect("the listener has an address"),
        domain: "a".parse().expect("the name is valid"),
        seen_at: clock::Millis(0),
        keeps_streams: true,
        shares_loads: true,
        packs_updates: true,
    };
    let registered = sync::Arc::new(vec![keeper]);

    core.view.rcu(|view| view::View {
        registered: sync::Arc::clone(&registered),
        ..view::View::clone(view)
    });

    let called = tokio::time::timeout(time::Duration::from_millis(400), listener.accept()).await;
    assert!(called.is_ok(), "the keeper is not called in time");
}
