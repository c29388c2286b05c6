//! Upstreams that run a request and answer with a status that tells callers that it has not run.

mod edge_support;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

/// Statuses by which callers repeat any request.
const REFUSALS: [u16; 3] = [408, 429, 503];

/// Sends a request for `path` while all upstreams run requests and refuse them with `status`.
async fn send(status: u16, method: &str, path: &str) -> (client::Answer, usize) {
    let deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    for upstream in &deployment.upstreams {
        upstream.set_behaviour(upstream::Behaviour::RunsAndRefuses(status));
    }
    let request = client::request("one", method, path);

    let answer = client::send(deployment.daemons[0].caller_address, request, "").await;

    let answer = answer.expect("the daemon answers");
    (answer, deployment.count_runs("one"))
}

/// Guards against a request that runs twice because its caller is told, untruly, that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_have_run_is_not_refused() {
    for status in REFUSALS {
        for path in ["/once/x", "/stream/x"] {
            let (answer, runs) = send(status, "POST", path).await;

            assert_eq!(answer.status, 502, "{status} {path}: {answer:?}");
            assert!(!answer.headers.contains_key("retry-after"), "{answer:?}");
            assert!(answer.body.contains("may-have-run"), "{answer:?}");
            assert_eq!(runs, 1, "{status} {path}");
        }
    }
}

/// Guards against another status than the upstream's for requests that may run any number of times.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_repeatable_request_keeps_its_status() {
    for status in REFUSALS {
        let (answer, runs) = send(status, "GET", "/safe/x").await;

        assert_eq!(answer.status, status, "{answer:?}");
        assert!(runs >= 1, "{status}");
    }
}
