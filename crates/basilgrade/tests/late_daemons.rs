//! Daemons that stand still while they have pieces computed for others.

mod edge_support;

use std::collections;
use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

/// Returns a configuration whose stage `encode` takes about two seconds, and whose callers wait for
/// the first event of a stream until their deadline.
fn configuration() -> String {
    let text = deployment::configuration(1, &["key-one"]);
    let mut document: serde_json::Value =
        serde_json::from_str(&text).expect("the configuration is JSON");
    let services = document["services"]
        .as_array_mut()
        .expect("`services` is a list");
    for service in services {
        if service["name"] == "encode" {
            service["pieces"]["call-ms"] = 2000.0.into();
        }
    }
    deployment::with_patient_callers(&document.to_string())
}

/// Starts two daemons that know each other; all upstreams are in the failure domain of the first one,
/// which has their pieces computed.
async fn start() -> deployment::Deployment {
    let deployment = deployment::start_with(&["a", "b"], 2, &configuration()).await;
    deployment::wait_until("both daemons are registered", || async {
        deployment.store.newest("keyed.status").len() == 2
    })
    .await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    deployment
}

/// Counts how often each piece of the stage `encode` was computed for the request `id`.
fn count_pieces(
    deployment: &deployment::Deployment,
    id: &str,
) -> collections::BTreeMap<String, usize> {
    let mut counts = collections::BTreeMap::new();
    for number in 0..2 {
        for run in deployment.upstream(&format!("encode-{number}")).runs() {
            let call: serde_json::Value =
                serde_json::from_slice(&run.body).expect("the stage call is JSON");
            for item in call["items"].as_array().expect("`items` is a list") {
                if item["id"] == id {
                    *counts.entry(item["piece"].to_string()).or_default() += 1;
                }
            }
        }
    }
    counts
}

/// Sends a request to the second daemon, stops the first, which has its pieces computed, for `pause`
/// as soon as the stage `encode` runs, and returns the answer.
async fn send_during_standstill(
    deployment: &deployment::Deployment,
    id: &'static str,
    pause: time::Duration,
) -> client::Answer {
    for number in 0..2 {
        deployment
            .upstream(&format!("encode-{number}"))
            .set_behaviour(upstream::Behaviour::Pauses(1, 2000));
    }
    let address = deployment.daemons[1].caller_address;
    let request = client::staged_request(id, "/stream/plan");
    let sending = tokio::spawn(client::send(address, request, "why?"));
    deployment::wait_until("the stage runs", || async {
        !count_pieces(deployment, id).is_empty()
    })
    .await;
    deployment.daemons[0].signal("STOP");
    tokio::time::sleep(pause).await;
    deployment.daemons[0].signal("CONT");
    let answer = sending.await.expect("the sending task does not panic");
    answer.expect("the daemon answers")
}

/// Guards against a late call that ends all other calls of its connection.
#[tokio::test(flavor = "multi_thread")]
async fn pieces_in_progress_outlast_a_late_call() {
    let deployment = start().await;

    let pause = time::Duration::from_millis(1200);
    let answer = send_during_standstill(&deployment, "kept", pause).await;

    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    let counts = count_pieces(&deployment, "kept");
    assert!(
        counts.len() == 2 && counts.values().all(|count| *count == 1),
        "{counts:?}"
    );
}

/// Guards against requests that wait for a daemon which never answers.
#[tokio::test(flavor = "multi_thread")]
async fn pieces_of_a_daemon_that_hangs_are_computed_elsewhere() {
    let deployment = start().await;

    // The standstill outlasts the deadline of the request.
    let pause = time::Duration::from_secs(9);
    let answer = send_during_standstill(&deployment, "moved", pause).await;

    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
}
