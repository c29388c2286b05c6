//! Calls to the store, which are billed.

mod edge_support;

use std::time;

use edge_support::deployment;
use edge_support::path;

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

/// Counts the calls to the store within `span`.
async fn count_calls(deployment: &deployment::Deployment, span: time::Duration) -> usize {
    let before = deployment.store.calls();
    tokio::time::sleep(span).await;
    deployment.store.calls() - before
}
