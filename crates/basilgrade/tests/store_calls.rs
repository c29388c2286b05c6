//! Calls to the store, which are billed.

mod edge_support;

use std::time;

use edge_support::deployment;

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
