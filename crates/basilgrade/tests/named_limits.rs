//! Upstreams that name the rate of requests that they take from all daemons together.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;

/// Window over which the platform counts the requests at an upstream.
const WINDOW: time::Duration = time::Duration::from_secs(4);

/// Time after an upstream first names its limit from which on the limit applies.
const GRACE: time::Duration = time::Duration::from_secs(4);

/// Interval between the requests of a test.
const INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Most requests that an upstream with a limit of `rate` requests per second may get in a window.
fn allowance(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Most requests that reached the upstream `id` in a window that begins at `since` or later.
fn busiest_window(deployment: &deployment::Deployment, id: &str, since: time::Instant) -> usize {
    let times: Vec<_> = deployment
        .upstream(id)
        .runs()
        .into_iter()
        .map(|run| run.at)
        .filter(|at| *at >= since)
        .collect();
    let count = |start: &time::Instant| {
        let in_window = |at: &&time::Instant| **at >= *start && **at < *start + WINDOW;
        times.iter().filter(in_window).count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

/// Sends requests to all daemons in turn for `span`; returns the answers.
async fn send_steadily(
    deployment: &deployment::Deployment,
    path: &str,
    span: time::Duration,
) -> Vec<client::Answer> {
    let end = time::Instant::now() + span;
    let mut sending = tokio::task::JoinSet::new();
    let mut number = 0;
    while time::Instant::now() < end {
        let address = deployment.daemons[number % deployment.daemons.len()].caller_address;
        let id = format!("{}-{number}", path.trim_matches('/').replace('/', "-"));
        let request = client::request(&id, "POST", path);
        sending.spawn(client::send(address, request, ""));
        number += 1;
        tokio::time::sleep(INTERVAL).await;
    }
    let answers = sending.join_all().await;
    answers
        .into_iter()
        .map(|answer| answer.expect("the daemon answers"))
        .collect()
}

/// Guards against daemons that together exceed the limit of an upstream, although each one alone
/// would not, and against requests that fail although another upstream takes them.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_together_keep_the_limit_of_an_upstream() {
    let deployment =
        deployment::start_with(&["a", "a", "b"], 3, &deployment::without_stages()).await;
    for id in ["desk-0", "desk-1"] {
        deployment.upstream(id).name_limit(Some("1"));
    }
    let start = time::Instant::now();

    let answers = send_steadily(&deployment, "/once/x", GRACE + WINDOW * 2).await;

    assert!(answers.iter().all(|answer| answer.status == 200));
    for id in ["desk-0", "desk-1"] {
        let most = busiest_window(&deployment, id, start + GRACE);
        assert!(most <= allowance(1.0), "{most} requests in 4 s at `{id}`");
    }
}
