//! Calls to the store, which are billed.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::path;
use edge_support::upstream;

/// Daemons that start at the same time.
const DAEMONS: usize = 8;

/// Most calls of a daemon until another one reads the store for it.
const CALLS_TO_START: f64 = 6.5;

/// Time in which all daemons have found the one that reads the store for them, and time in which
/// their calls are counted then.
const PHASE: time::Duration = time::Duration::from_secs(4);

/// Guards against daemons that start together and all poll the store until they know each other,
/// and against registrations that are written twice.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_start_together_do_not_all_poll_the_store() {
    let start = time::Instant::now();
    let deployment = deployment::start(&["a"; DAEMONS]).await;
    tokio::time::sleep(PHASE).await;

    let (calls, span) = (deployment.store.calls(), start.elapsed());
    tokio::time::sleep(PHASE).await;
    let steady = (deployment.store.calls() - calls) as f64 / PHASE.as_secs_f64();

    let at_start = calls as f64 - steady * span.as_secs_f64();
    assert!(
        at_start <= CALLS_TO_START * DAEMONS as f64,
        "{calls} calls within {span:?}, then {steady} a second"
    );
    assert_eq!(deployment.store.record_count("keyed.status"), DAEMONS);
}

/// Time in which calls are counted, and time before it for a change of the reader.
const SPAN: time::Duration = time::Duration::from_secs(3);

/// Guards against a whole failure domain that polls the store, because the store answers the daemon
/// that reads it for the others no more.
#[tokio::test(flavor = "multi_thread")]
async fn another_daemon_reads_the_store_for_all_if_the_store_refuses_the_reader() {
    let configuration = deployment::configuration(1, &["key-one"]);
    let mut deployment = deployment::start_with(&[], 2, &configuration).await;
    let store = deployment.store_server.address;
    let paths: Vec<_> = (0..4).map(|_| path::Path::start(store)).collect();
    for (number, path) in paths.iter().enumerate() {
        deployment.add_daemon_at(&format!("vm-{number}"), "a", path.address);
    }
    for number in 0..paths.len() {
        deployment.wait_until_ready(number).await;
    }
    tokio::time::sleep(PHASE).await;
    let steady = count_calls(&deployment, SPAN).await;

    let mut refused = 0;
    // One of the daemons is the reader.
    for path in &paths {
        path.set(path::PathState::Refused);
        tokio::time::sleep(SPAN).await;
        refused = refused.max(count_calls(&deployment, SPAN).await);
        path.set(path::PathState::Open);
    }

    // A second reader would double the calls.
    assert!(refused < 2 * steady, "{refused} calls, before {steady}");
}

/// Time for which the store refuses records.
const REFUSAL: time::Duration = time::Duration::from_secs(7);

/// Attempts to write one kind of record within [`REFUSAL`] if the waits between them double.
const MOST_ATTEMPTS: usize = 5;

/// Guards against records that are written again and again to a store that refuses them.
#[tokio::test(flavor = "multi_thread")]
async fn refused_records_are_written_again_less_and_less_often() {
    let configuration = deployment::configuration(1, &["key-one"]);
    let mut deployment = deployment::start_with(&[], 2, &configuration).await;
    deployment.store.refuse_appends(Some("keyed.status"));
    deployment.add_daemon("vm-0", "a");
    deployment.wait_until_ready(0).await;
    for number in 0..2 {
        let engine = deployment.upstream(&format!("engine-{number}"));
        engine.set_behaviour(upstream::Behaviour::Mute);
    }
    let address = deployment.daemons[0].caller_address;
    let request = client::staged_request("breaks", "/stream/x");
    client::send(address, request, "").await;
    deployment::wait_until("the daemon writes a record", || async {
        deployment.store.refusals() > 0
    })
    .await;

    tokio::time::sleep(REFUSAL).await;

    let refusals = deployment.store.refusals();
    assert!(refusals <= 2 * MOST_ATTEMPTS, "{refusals} appends");
    deployment.store.refuse_appends(None);
    for kind in ["vm-0", "request:"] {
        deployment::wait_until("the registration and the evidence are written", || async {
            let records = deployment.store.newest("keyed.status");
            records.keys().any(|key| key.starts_with(kind))
        })
        .await;
    }
}

/// Counts the calls to the store within `span`.
async fn count_calls(deployment: &deployment::Deployment, span: time::Duration) -> usize {
    let before = deployment.store.calls();
    tokio::time::sleep(span).await;
    deployment.store.calls() - before
}
