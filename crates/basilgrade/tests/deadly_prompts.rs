//! Requests that crash the engines that run them.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

/// Part of a prompt that crashes engines.
const DEADLY: &str = "dead";

/// Builds a request whose prompt has the parts `aa`, `part` and one of its own.
fn new_request(id: &str, part: &str) -> hyper::http::request::Builder {
    client::request(id, "POST", "/stream-resumable/plan")
        .header("x-model", "m")
        .header("x-token-usage", "1000,50")
        .header("x-prefix-hash", format!("aa:400,{part}:400,cc:200"))
}

/// Sends a request to the daemon with this index and returns the status of the answer.
async fn send(
    deployment: &deployment::Deployment,
    daemon: usize,
    request: hyper::http::request::Builder,
) -> Option<u16> {
    let address = deployment.daemons[daemon].caller_address;
    let answer = client::send(address, request, "").await?;
    Some(answer.status)
}

/// Guards against requests with one part that crash engines one after the other, at the daemon that
/// saw the crashes, at one that did not, and at one that starts later.
#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashes_engines_is_blocked_at_every_daemon() {
    let mut deployment =
        deployment::start_with(&["a", "b"], 6, &deployment::without_stages()).await;
    for engine in &deployment.upstreams {
        engine.set_behaviour(upstream::Behaviour::CrashesOn(DEADLY));
    }
    let mut crashing = 0;
    while send(
        &deployment,
        0,
        new_request(&format!("first-{crashing}"), DEADLY),
    )
    .await
        != Some(503)
    {
        crashing += 1;
        assert!(crashing < 6, "requests with the part still reach engines");
        tokio::time::sleep(time::Duration::from_millis(400)).await;
    }
    let refused = format!("first-{crashing}");
    let sound = send(&deployment, 0, new_request("sound", "bb")).await;
    deployment.add_daemon("vm-2", "b");
    for daemon in [1, 2] {
        deployment.wait_until_ready(daemon).await;
        deployment::wait_until("the daemon refuses the part", || async {
            let request = new_request(&format!("learned-{daemon}"), DEADLY);
            send(&deployment, daemon, request).await == Some(503)
        })
        .await;
    }
    for daemon in [1, 2] {
        let request = new_request(&format!("late-{daemon}"), DEADLY);
        assert_eq!(send(&deployment, daemon, request).await, Some(503));
    }

    assert_eq!(sound, Some(200));
    for id in [&refused, "late-1", "late-2"] {
        assert_eq!(deployment.count_runs(id), 0, "`{id}` reached an engine");
    }
}
