//! Callers that abandon a stream whose events do not come, long before their deadline.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

/// Gap without an event after which callers abandon the streams of the test's configuration: the
/// longest of 2 s, four target latencies and eight gaps.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

/// Returns the configuration whose routes have a target latency of `target_ms`.
fn configuration(target_ms: u64) -> String {
    let text = deployment::configuration(1, &["key-one"]);
    let mut document: serde_json::Value =
        serde_json::from_str(&text).expect("the configuration is JSON");
    for route in document["routes"]
        .as_array_mut()
        .expect("`routes` is a list")
    {
        route["target-latency-ms"] = target_ms.into();
    }
    document.to_string()
}

/// Returns `configuration` whose pools need `call_ms` for a call of one piece.
fn with_calls_of(call_ms: u64, configuration: &str) -> String {
    let mut document: serde_json::Value =
        serde_json::from_str(configuration).expect("the configuration is JSON");
    let services = document["services"].as_array_mut();
    let services = services.expect("`services` is a list").iter_mut();
    for pieces in services.filter_map(|service| service.get_mut("pieces")) {
        pieces["call-ms"] = call_ms.into();
    }
    document.to_string()
}

/// Starts a daemon in front of upstreams of `pool` that send nothing for `pause_ms`.
async fn start_with_pause(pool: &str, pause_ms: u64) -> deployment::Deployment {
    start_configured(pool, pause_ms, &configuration(300)).await
}

async fn start_configured(
    pool: &str,
    pause_ms: u64,
    configuration: &str,
) -> deployment::Deployment {
    let deployment = deployment::start_with(&["a"], 2, configuration).await;
    for number in 0..2 {
        let upstream = deployment.upstream(&format!("{pool}-{number}"));
        upstream.set_behaviour(upstream::Behaviour::Pauses(1, pause_ms));
    }
    deployment
}

/// Guards against requests that are held, untried, until their callers have left.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_stages_outlast_its_callers_patience_is_refused_before_the_caller_leaves() {
    for path in ["/stream/x", "/stream-resumable/x"] {
        let deployment = start_with_pause("rank", 4000).await;

        assert_refused_in_time(&deployment, path).await;
    }
}

/// Guards against requests that are held past the patience of their callers because all pieces of
/// a stage are in a running call, whose time-out ends later.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_pieces_are_all_running_is_refused_before_the_caller_leaves() {
    for path in ["/stream/x", "/stream-resumable/x"] {
        let configuration = with_calls_of(400, &configuration(300));
        let deployment = start_configured("rank", 8000, &configuration).await;

        assert_refused_in_time(&deployment, path).await;
    }
}

/// Sends a request for `path` and checks that it is refused before its caller leaves and that no
/// engine has run it.
async fn assert_refused_in_time(deployment: &deployment::Deployment, path: &str) {
    let request = client::staged_request("impatient", path);

    let sending = client::send(deployment.daemons[0].caller_address, request, "");
    let answer = tokio::time::timeout(PATIENCE, sending).await;

    let answer = answer.expect("the daemon answers before its caller leaves");
    let answer = answer.expect("the daemon answers");
    assert_eq!(answer.status, 503, "{path}: {answer:?}");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    let engines = deployment.upstreams.iter();
    let mut engines = engines.filter(|known| known.id.starts_with("engine"));
    assert!(engines.all(|engine| engine.runs().is_empty()), "{path}");
}

/// Guards against a stream that is given up, although an engine runs it, at the time at which most
/// callers would have left.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_an_engine_runs_outlasts_the_usual_patience() {
    let deployment = start_with_pause("engine", 2500).await;
    let request = client::staged_request("patient", "/stream/x");

    let answer = client::send(deployment.daemons[0].caller_address, request, "").await;

    let answer = answer.expect("the daemon answers");
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
}
